//! A tour of the whole path on loopback sockets, with every outcome checked.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Error, From};
use http::Method;
use serde_json::json;
use slog::{Discard, Logger, o};
use wagtail_config::RawRecord;
use wagtail_entryd::{Keys, Lookup};
use wagtail_standin::endpoint::{Faults, Settings};

use crate::client::{Call, Caller, ClientError, Got};
use crate::fleet::{Fleet, FleetError, digest, plain};
use crate::report::Report;

const RECORDS: &str = include_str!("../data/try.json");
const LEAD: &str = "lead-key-1-of-the-tour";
const CONSULT: &str = "consult-key-of-the-tour";
const GRANTED: &str = "lead-key-2-of-the-tour";
const FLAGS: &[(&str, &str)] = &[("lookup-ttl", "1s"), ("poll-interval", "300ms")];
const WITHIN: Duration = Duration::from_secs(2);
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// Why the tour did not come to its end.
#[derive(Debug, derive_more::Display, Error, From)]
pub enum TourError {
    /// The fleet could not be set up or stopped.
    #[display("{_0}")]
    Fleet(FleetError),
    /// An interface did not answer.
    #[display("{_0}")]
    Client(ClientError),
    /// The built-in records are malformed.
    #[display("records: {_0}")]
    Records(serde_json::Error),
    /// An outcome was wrong.
    #[display("{what}: {saw}")]
    #[from(ignore)]
    Wrong {
        /// What was tried.
        what: String,
        /// What was seen.
        saw: String,
    },
}

fn wrong(what: &str, saw: impl Display) -> TourError {
    TourError::Wrong {
        what: what.to_owned(),
        saw: saw.to_string(),
    }
}

fn expect(good: bool, what: &str, saw: impl Display) -> Result<(), TourError> {
    if good { Ok(()) } else { Err(wrong(what, saw)) }
}

struct Tour {
    fleet: Fleet,
    caller: Arc<Caller>,
    report: Arc<Mutex<Report>>,
}

/// Runs the tour and prints its progress and a table.
///
/// # Errors
///
/// The first outcome that is wrong, or whatever kept the tour from its end.
pub async fn run() -> Result<(), TourError> {
    let start = Instant::now();
    let step = |text: &str| println!("[{:5.1} s] {text}", start.elapsed().as_secs_f64());
    step("starting platform stand-in, 9 endpoints and 4 entry hosts in 3 zones of 2 regions");
    let mut tour = Tour::start().await?;
    step("look-up: which entry hosts to use");
    tour.lookup().await?;
    step("reads from two teams and an open route, at every host");
    tour.reads().await?;
    step("submissions under idempotency keys, with duplicates at other hosts");
    tour.submissions().await?;
    step("granting a key, then withdrawing it");
    tour.keys().await?;
    step("draining an endpoint under load");
    tour.drain().await?;
    step("stopping an entry host gracefully under load");
    tour.stop_host().await?;
    tour.check_no_key()?;
    let Tour { fleet, report, .. } = tour;
    step("stopping everything");
    fleet.stop().await?;
    println!(
        "\n{}",
        report.lock().unwrap_or_else(PoisonError::into_inner)
    );
    step("every outcome was right");
    Ok(())
}

impl Tour {
    async fn start() -> Result<Self, TourError> {
        let mut records: Vec<RawRecord> = serde_json::from_str(RECORDS)?;
        set_keys(&mut records, "lead", &[LEAD]);
        set_keys(&mut records, "consult", &[CONSULT]);
        let log = Logger::root(Discard, o!());
        let endpoints = |_: &str, service: &str| Settings {
            median: Duration::from_millis(if service == "dossiers" { 8 } else { 2 }),
            sigma: 0.2,
            ..Settings::default()
        };
        let fleet = Fleet::start(records, &endpoints, &plain(&log), FLAGS).await?;
        let tour = Self {
            fleet,
            caller: Arc::new(Caller::new("tour")),
            report: Arc::default(),
        };
        tour.settle().await?;
        Ok(tour)
    }

    /// Waits until every host answers reads of every service: a new host waits until no other can
    /// still use its slots.
    async fn settle(&self) -> Result<(), TourError> {
        const PATIENCE: Duration = Duration::from_secs(10);
        let start = Instant::now();
        for addr in self.addrs() {
            for service in ["substances", "dossiers", "hazards"] {
                loop {
                    let reply = self.caller.call(addr, &Call::read(service, LEAD)).await;
                    if reply.got == Got::Answer {
                        break;
                    }
                    expect(start.elapsed() < PATIENCE, "first read", &reply.got)?;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.fleet
            .hosts
            .values()
            .map(wagtail_entryd::Running::addr)
            .collect()
    }

    fn first(&self) -> Result<SocketAddr, TourError> {
        self.addrs()
            .first()
            .copied()
            .ok_or_else(|| wrong("fleet", "no host"))
    }

    async fn timed(&self, addr: SocketAddr, team: &str, class: &str, call: &Call) -> Got {
        timed(&self.caller, &self.report, addr, team, class, call).await
    }

    async fn lookup(&self) -> Result<(), TourError> {
        let path = "/v1/lookup?client=198.51.100.7&keys=1";
        let lookup: Lookup = self.caller.json(Method::GET, self.first()?, path).await?;
        let first = lookup.hosts.first().map(|h| h.zone.to_string());
        expect(
            first.as_deref() == Some("eire-a"),
            "nearest zone first",
            format!("{first:?}"),
        )?;
        expect(
            lookup.site.as_deref() == Some("cork"),
            "site",
            format!("{:?}", lookup.site),
        )?;
        expect(lookup.keys.len() == 1, "issued keys", lookup.keys.len())
    }

    async fn reads(&self) -> Result<(), TourError> {
        const ROUNDS: usize = 60;
        for _ in 0..ROUNDS {
            for addr in self.addrs() {
                let lead = Call::read("substances", LEAD);
                let consult = Call::read("substances", CONSULT);
                let open = Call {
                    key: None,
                    ..Call::read("hazards", LEAD)
                };
                let (a, b, c) = tokio::join!(
                    self.timed(addr, "lead", "lookup", &lead),
                    self.timed(addr, "consult", "lookup", &consult),
                    self.timed(addr, "open", "archive", &open),
                );
                for got in [a, b, c] {
                    expect(got == Got::Answer, "read", &got)?;
                }
            }
        }
        let stranger = Call::read("substances", "a key that nobody granted");
        let got = self
            .timed(self.first()?, "stranger", "lookup", &stranger)
            .await;
        expect(is_refused(&got, "unauthorized"), "unknown key", &got)?;
        let beyond = Call::read("dossiers", CONSULT);
        let got = self
            .timed(self.first()?, "consult", "submission", &beyond)
            .await;
        expect(
            is_refused(&got, "forbidden"),
            "service without entitlement",
            &got,
        )
    }

    async fn submissions(&self) -> Result<(), TourError> {
        const COUNT: usize = 20;
        let addrs = self.addrs();
        let issuer = self.first()?;
        let path = format!("/v1/keys?count={COUNT}");
        let keys: Keys = self.caller.json(Method::POST, issuer, &path).await?;
        expect(keys.keys.len() == COUNT, "issued keys", keys.keys.len())?;
        let before = self.ran("dossiers");
        for (n, key) in keys.keys.iter().enumerate() {
            let call = Call::submit("dossiers", LEAD, &format!("dossier {n}")).under(key);
            let other = addrs[n % addrs.len()];
            let start = Instant::now();
            let (a, b) = tokio::join!(
                self.caller.call(issuer, &call),
                self.caller.call(other, &call)
            );
            self.record("lead", "submission", start.elapsed());
            expect(
                is_whole(&a.got) && is_whole(&b.got),
                "submission",
                format!("{}, {}", a.got, b.got),
            )?;
            expect(a.body == b.body, "the same answer to a duplicate", &b.got)?;
            let third = self.caller.call(other, &call).await;
            expect(third.body == a.body, "the kept answer", &third.got)?;
        }
        let ran = self.ran("dossiers") - before;
        expect(
            ran == COUNT,
            "each submission ran once",
            format!("{ran} of {COUNT}"),
        )
    }

    fn ran(&self, service: &str) -> usize {
        let of = |(name, _): &(&String, _)| name.starts_with(service);
        self.fleet
            .endpoints
            .iter()
            .filter(of)
            .map(|(_, e)| e.log().ran())
            .sum()
    }

    async fn keys(&mut self) -> Result<(), TourError> {
        self.put_keys(&[LEAD, GRANTED]).await?;
        self.until(GRANTED, "granted key", |got| *got == Got::Answer)
            .await?;
        self.put_keys(&[LEAD]).await?;
        self.until(GRANTED, "withdrawn key", |got| {
            is_refused(got, "unauthorized")
        })
        .await
    }

    async fn put_keys(&mut self, keys: &[&str]) -> Result<(), TourError> {
        let team = self.fleet.record("team", "lead");
        let mut team = vec![team.ok_or_else(|| wrong("records", "no team"))?];
        set_keys(&mut team, "lead", keys);
        self.fleet.put(team).await?;
        Ok(())
    }

    /// Reads with `key` at every host until all agree; that must not take longer than it may.
    async fn until(
        &self,
        key: &str,
        what: &str,
        good: impl Fn(&Got) -> bool,
    ) -> Result<(), TourError> {
        let start = Instant::now();
        for addr in self.addrs() {
            loop {
                let got = self
                    .caller
                    .call(addr, &Call::read("substances", key))
                    .await
                    .got;
                if good(&got) {
                    break;
                }
                expect(start.elapsed() < WITHIN, what, &got)?;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        println!(
            "          {what}: in force on every host after {} ms",
            start.elapsed().as_millis()
        );
        Ok(())
    }

    async fn drain(&self) -> Result<(), TourError> {
        let name = "substances-b1";
        let endpoint = self
            .fleet
            .endpoints
            .get(name)
            .ok_or_else(|| wrong("fleet", name))?;
        let load = self.load();
        tokio::time::sleep(Duration::from_millis(500)).await;
        endpoint.set_faults(Faults {
            leaving: true,
            ..Faults::default()
        });
        tokio::time::sleep(NO_NEW_WORK).await;
        let before = endpoint.log().ran();
        tokio::time::sleep(Duration::from_millis(700)).await;
        let after = endpoint.log().ran();
        load.stop().await?;
        expect(before > 0, "load reached the endpoint", before)?;
        expect(
            after == before,
            "no new work after 3 s",
            format!("{} requests", after - before),
        )?;
        endpoint.set_faults(Faults::default());
        Ok(())
    }

    async fn stop_host(&mut self) -> Result<(), TourError> {
        let name = "entry-3";
        let gone = self.fleet.addr(name).ok_or_else(|| wrong("fleet", name))?;
        let load = self.load();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let host = self
            .fleet
            .hosts
            .remove(name)
            .ok_or_else(|| wrong("fleet", name))?;
        let stop = tokio::spawn(host.stop());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let path = "/v1/lookup?client=203.0.113.9";
        let lookup: Lookup = self.caller.json(Method::GET, self.first()?, path).await?;
        let listed = lookup.hosts.iter().any(|h| h.address == gone);
        expect(!listed, "a leaving host is out of look-ups", name)?;
        load.leave(gone);
        match stop.await {
            Ok(stopped) => stopped.map_err(FleetError::from)?,
            Err(e) => return Err(wrong("graceful stop", e)),
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        load.stop().await
    }

    /// Reads at a steady rate from every host until stopped.
    fn load(&self) -> Load {
        let addrs = Arc::new(Mutex::new(self.addrs()));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (caller, report) = (self.caller.clone(), self.report.clone());
        let task = tokio::spawn(read_until(caller, report, addrs.clone(), stopped));
        Load { addrs, stop, task }
    }

    fn record(&self, team: &str, class: &str, taken: Duration) {
        lock(&self.report).answered(team, class, taken);
    }

    /// No byte sequence of a key may have reached an endpoint.
    fn check_no_key(&self) -> Result<(), TourError> {
        for (name, endpoint) in &self.fleet.endpoints {
            for entry in endpoint.log().entries() {
                for key in [LEAD, CONSULT, GRANTED] {
                    let seen = entry
                        .headers
                        .windows(key.len())
                        .any(|w| w == key.as_bytes());
                    expect(
                        !seen && !entry.path.contains(key),
                        "no key at an endpoint",
                        name,
                    )?;
                }
            }
        }
        Ok(())
    }
}

struct Load {
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    stop: tokio::sync::watch::Sender<bool>,
    task: tokio::task::JoinHandle<Option<Got>>,
}

impl Load {
    /// Sends nothing more to `addr`.
    fn leave(&self, addr: SocketAddr) {
        lock(&self.addrs).retain(|a| *a != addr);
    }

    async fn stop(self) -> Result<(), TourError> {
        self.stop.send_replace(true);
        match self.task.await {
            Ok(None) => Ok(()),
            Ok(Some(got)) => Err(wrong("read under load", got)),
            Err(e) => Err(wrong("load", e)),
        }
    }
}

/// Reads until stopped; returns the first outcome that was no answer.
async fn read_until(
    caller: Arc<Caller>,
    report: Arc<Mutex<Report>>,
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    stopped: tokio::sync::watch::Receiver<bool>,
) -> Option<Got> {
    let mut period = tokio::time::interval(Duration::from_millis(20));
    let mut calls = tokio::task::JoinSet::new();
    while !*stopped.borrow() {
        period.tick().await;
        for addr in lock(&addrs).clone() {
            let (caller, report) = (caller.clone(), report.clone());
            calls.spawn(async move {
                let call = Call::read("substances", LEAD);
                timed(&caller, &report, addr, "lead", "lookup", &call).await
            });
        }
        while let Some(got) = calls.try_join_next() {
            match got {
                Ok(Got::Answer) => {}
                Ok(got) => return Some(got),
                Err(e) => {
                    return Some(Got::Lost {
                        reason: e.to_string(),
                    });
                }
            }
        }
    }
    calls
        .join_all()
        .await
        .into_iter()
        .find(|got| *got != Got::Answer)
}

async fn timed(
    caller: &Caller,
    report: &Mutex<Report>,
    addr: SocketAddr,
    team: &str,
    class: &str,
    call: &Call,
) -> Got {
    let start = Instant::now();
    let got = caller.call(addr, call).await.got;
    match &got {
        Got::Answer => lock(report).answered(team, class, start.elapsed()),
        other => lock(report).failed(team, class, &other.to_string()),
    }
    got
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_refused(got: &Got, why: &str) -> bool {
    matches!(got, Got::NotRun { reason } if reason == why)
}

/// A kept answer names the first attempt's request id, so only its wholeness can be checked.
fn is_whole(got: &Got) -> bool {
    match got {
        Got::Answer => true,
        Got::Wrong { reason } => reason.contains("another request"),
        _ => false,
    }
}

fn set_keys(records: &mut [RawRecord], team: &str, keys: &[&str]) {
    let digests: Vec<String> = keys.iter().map(|k| digest(k)).collect();
    for record in records
        .iter_mut()
        .filter(|r| r.kind == "team" && r.name == team)
    {
        record.body["keys"] = json!(digests);
    }
}
