//! LOST: long bodies that the operator's limit allows end a host for its memory.

use std::collections::HashSet;
use std::io;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Traffic, stop};
use crate::config::{Route, Tenant, config};
use crate::host::{Host, MEMORY_MB};
use crate::site::{Site, sleep_until};
use crate::upstream::Kind;

const ZONES: &str = r#"{"cymru-a": "cymru", "eire-a": "eire"}"#;
/// The size of an upload; `max_body_bytes` of the configuration allows 67,108,864.
const UPLOAD_BYTES: usize = 60_000_000;
/// The rate at which a client sends its upload, in bytes per second. All uploads together stay below
/// the 1,000 Mbit/s of a machine's link.
const UPLOAD_RATE: f64 = 15e6;
/// Usually one client uploads every six seconds. While the tenant is hot, six more do every five seconds,
/// which makes about eight times as many uploads.
const UPLOADERS: u64 = 1;
const PERIOD: Duration = Duration::from_secs(6);
const HOT_UPLOADERS: u64 = 6;
const HOT_PERIOD: Duration = Duration::from_secs(5);
const HOT_AT: Duration = Duration::from_secs(9);
const HOT_TIME: Duration = Duration::from_millis(6_500);
const LENGTH: Duration = Duration::from_secs(26);
/// The number of requests that may be lost.
const LOST_MAX: usize = 3;
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(site: &Site, trouble: bool) -> io::Result<bool> {
    let routes = [
        Route {
            name: "r-lookup",
            host: "substances.example",
            prefix: "/cas/",
            kind: "safe",
            timeout_s: 1.5,
            service: "idlookup",
        },
        Route {
            name: "r-submit",
            host: "dossiers.example",
            prefix: "/dossiers/",
            kind: "unsafe",
            timeout_s: 12.0,
            service: "submitter",
        },
    ];
    let tenants = [
        Tenant {
            name: "consultants",
            keys: &["lookup-key"],
            rate: 0,
            burst: 0,
        },
        Tenant {
            name: "registrants",
            keys: &["submit-key"],
            rate: 0,
            burst: 0,
        },
    ];
    site.store
        .put("op", "config", &config(1, &routes, &tenants));
    let zones = ["cymru-a", "eire-a"];
    for (service, work) in [("idlookup", 300), ("submitter", 840)] {
        let work = Duration::from_millis(work);
        let kind = Kind {
            service,
            slots: 8,
            work,
        };
        site.upstreams(&kind, &zones, 6)?;
    }
    let mut hosts = vec![
        site.host("front-cymru-a-1", "cymru-a", ZONES, 1)?,
        site.host("front-eire-a-1", "eire-a", ZONES, 2)?,
    ];
    site.start(&mut hosts)?;

    let lookup = Traffic {
        what: "lookup",
        method: "GET",
        host: "substances.example",
        path: "/cas/50-00-0",
        key: "lookup-key",
        deadline: Duration::from_secs(3),
        period: Duration::from_millis(500),
        at_once: false,
        keep: true,
        body: None,
        patience: 1,
    };
    let submit = Traffic {
        what: "upload",
        method: "POST",
        host: "dossiers.example",
        path: "/dossiers/1",
        key: "submit-key",
        deadline: Duration::from_secs(12),
        period: PERIOD,
        at_once: false,
        keep: true,
        body: Some((UPLOAD_BYTES, UPLOAD_RATE)),
        patience: 1,
    };
    let directories: Vec<_> = hosts.iter().map(Host::directory).collect();
    let start = |number: u64, traffic: &Traffic| {
        Client::start(
            number,
            traffic.clone(),
            directories.clone(),
            site.log.clone(),
        )
    };
    let began = Instant::now();
    let mut clients: Vec<Client> = (1..=24).map(|i| start(i, &lookup)).collect();
    clients.extend((101..101 + UPLOADERS).map(|i| start(i, &submit)));
    let mut hot: Vec<Client> = Vec::new();
    let mut platform = Platform::default();
    while began.elapsed() < LENGTH {
        platform.watch(site, &mut hosts)?;
        let time = began.elapsed();
        let is_hot = trouble && (HOT_AT..HOT_AT + HOT_TIME).contains(&time);
        if is_hot && hot.is_empty() {
            site.record.note("the tenant registrants is hot");
            let traffic = Traffic {
                period: HOT_PERIOD,
                at_once: true,
                ..submit.clone()
            };
            hot = (201..201 + HOT_UPLOADERS)
                .map(|i| start(i, &traffic))
                .collect();
        }
        if !is_hot && !hot.is_empty() {
            site.record.note("the tenant registrants is as usual");
            hot.iter().for_each(Client::ask_to_stop);
            clients.append(&mut hot);
        }
        sleep_until(Instant::now() + Duration::from_millis(10));
    }
    clients.append(&mut hot);
    stop(clients);

    let runs = site.runs.lock().expect("no thread panics with the lock");
    let passed_on: HashSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    let log = site.log.lock().expect("no thread panics with the lock");
    let count = |of: &dyn Fn(&End) -> bool| log.iter().filter(|s| of(&s.end)).count();
    let lost = log
        .iter()
        .filter(|s| s.kept && s.end == End::Cut && passed_on.contains(s.id.as_str()))
        .count();
    let uploads = log
        .iter()
        .filter(|s| s.what == "upload" && s.end == End::Answer(200));
    site.record.say(format!(
        "{} requests sent, {} answered with 200 ({} of them uploads), {} cut off; highest memory {} MB of {MEMORY_MB}; {} processes ended for their memory",
        log.len(),
        count(&|e| *e == End::Answer(200)),
        uploads.count(),
        count(&|e| *e == End::Cut),
        platform.highest / 1_000_000,
        platform.ends,
    ));
    site.record.say(format!(
        "{lost} requests from kept connections were passed on to a sound upstream and cut off without an answer; {LOST_MAX} are allowed"
    ));
    Ok(lost > LOST_MAX)
}

/// Kills processes that exceed their memory, and starts them again, as the platform does.
#[derive(Debug, Default)]
struct Platform {
    highest: u64,
    ends: usize,
    restarts: Vec<(usize, Instant)>,
}

impl Platform {
    fn watch(&mut self, site: &Site, hosts: &mut [Host]) -> io::Result<()> {
        for (i, host) in hosts.iter_mut().enumerate() {
            let memory = host.memory().unwrap_or(0);
            self.highest = self.highest.max(memory);
            if memory > MEMORY_MB * 1_000_000 {
                host.kill();
                site.record.say(format!(
                    "{} has {} MB of memory, more than {MEMORY_MB}: killed",
                    host.name,
                    memory / 1_000_000
                ));
                self.ends += 1;
                self.restarts.push((i, Instant::now() + RESTART_DELAY));
            }
        }
        let due = |(_, at): &mut (usize, Instant)| *at <= Instant::now();
        for (i, _) in self.restarts.extract_if(.., due) {
            hosts[i].start()?;
            site.record.note(format!("{} started again", hosts[i].name));
        }
        Ok(())
    }
}
