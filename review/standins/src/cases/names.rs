//! CONFIG: a tenant's name that the host does not accept keeps every later configuration out of force.

use std::io;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Traffic, stop};
use crate::config::{Route, Tenant, config};
use crate::host::Host;
use crate::site::{Site, sleep_until};
use crate::upstream::Kind;

const ZONES: &str = r#"{"cymru-a": "cymru", "eire-a": "eire"}"#;
/// The time in which hosts must apply a version (`config_apply_s`).
const APPLY_TIME: Duration = Duration::from_secs(2);
/// A tenant's name of 57 bytes. The pages set no limit for it, and one of 200 bytes for keys of rows.
const LONG_NAME: &str = "lead-registrants-of-joint-submissions-for-solvents-cymru1";
const CHANGE_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(16);

pub fn run(site: &Site, trouble: bool) -> io::Result<bool> {
    let route = Route {
        name: "r-lookup",
        host: "substances.example",
        prefix: "/cas/",
        kind: "safe",
        timeout_s: 1.5,
        service: "idlookup",
    };
    let routes = [route];
    let tenant = |name, keys| Tenant {
        name,
        keys,
        rate: 0,
        burst: 0,
    };
    let first = [tenant("registrants", &["old-key", "kept-key"])];
    let mut second = vec![tenant("registrants", &["kept-key"])];
    if trouble {
        second.push(tenant(LONG_NAME, &["new-key"]));
    }
    site.store.put("op", "config", &config(1, &routes, &first));
    let kind = Kind {
        service: "idlookup",
        slots: 8,
        work: Duration::from_millis(40),
    };
    site.upstreams(&kind, &["cymru-a", "eire-a"], 4)?;
    let mut hosts = vec![
        site.host("front-cymru-a-1", "cymru-a", ZONES, 1)?,
        site.host("front-eire-a-1", "eire-a", ZONES, 2)?,
    ];
    site.start(&mut hosts)?;
    let directories: Vec<_> = hosts.iter().map(Host::directory).collect();
    let mut keys = vec![
        ("with the old key", "old-key"),
        ("with the kept key", "kept-key"),
    ];
    if trouble {
        keys.push(("with the new key", "new-key"));
    }
    let began = Instant::now();
    let clients: Vec<Client> = (1..)
        .zip(keys)
        .map(|(i, (what, key))| {
            let traffic = Traffic {
                what,
                method: "GET",
                host: "substances.example",
                path: "/cas/50-00-0",
                key,
                deadline: Duration::from_secs(3),
                period: Duration::from_millis(200),
                at_once: false,
                keep: true,
                body: None,
                patience: 1,
            };
            Client::start(i, traffic, directories.clone(), site.log.clone())
        })
        .collect();
    sleep_until(began + CHANGE_AT);
    site.store.put("op", "config", &config(2, &routes, &second));
    let acknowledged = Instant::now();
    site.record
        .note("version 2 acknowledged: the old key is taken away");
    sleep_until(began + LENGTH);
    stop(clients);
    let log = site.log.lock().expect("no thread panics with the lock");
    let runs = site.runs.lock().expect("no thread panics with the lock");
    let late = |s: &&crate::client::Sent| s.at > acknowledged + APPLY_TIME;
    let ran = |id: &str| runs.iter().any(|r| r.id == id);
    let old = log
        .iter()
        .filter(late)
        .filter(|s| s.what == "with the old key");
    let old_ran = old.clone().filter(|s| ran(&s.id)).count();
    let new = log
        .iter()
        .filter(late)
        .filter(|s| s.what == "with the new key");
    let new_refused = new.clone().filter(|s| s.end == End::Answer(401)).count();
    site.record.say(format!(
        "later than 2 s after version 2 was acknowledged: {old_ran} of {} requests with the dropped key ran, {new_refused} of {} with the new key were refused with 401",
        old.count(),
        new.count()
    ));
    for host in &hosts {
        for line in host.logged("unusable").into_iter().take(1) {
            site.record.note(format!("{} logged {line}", host.name));
        }
    }
    Ok(old_ran + new_refused > 0)
}
