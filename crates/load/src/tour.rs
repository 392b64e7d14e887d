//! The `try` subcommand: a tour of every feature on loopback sockets, with each outcome checked.

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

use crate::client::{Call, CallOutcome, Caller, ClientError};
use crate::fleet::{Fleet, FleetError, default_options, digest};
use crate::report::Report;

const RECORDS: &str = include_str!("../data/try.json");
const LEAD_KEY: &str = "lead-key-1-of-the-tour";
const CONSULT_KEY: &str = "consult-key-of-the-tour";
const GRANTED_KEY: &str = "lead-key-2-of-the-tour";
const HOST_FLAGS: &[(&str, &str)] = &[("lookup-ttl", "1s"), ("poll-interval", "300ms")];
/// The promised time until a granted or withdrawn key is in force on every host.
const KEY_CHANGE_LIMIT: Duration = Duration::from_secs(2);
/// The promised time after which a leaving endpoint gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Why the tour did not complete.
#[derive(Debug, derive_more::Display, Error, From)]
pub enum TourError {
    /// The fleet could not be set up or stopped.
    #[display("{_0}")]
    Fleet(FleetError),
    /// An API of a host did not answer as expected.
    #[display("{_0}")]
    Client(ClientError),
    /// The built-in records are malformed.
    #[display("records: {_0}")]
    Records(serde_json::Error),
    /// An outcome was wrong.
    #[display("{step}: {actual}")]
    #[from(ignore)]
    Wrong {
        /// The step that was checked.
        step: String,
        /// The outcome that was seen.
        actual: String,
    },
}

fn wrong_outcome(step: &str, actual: impl Display) -> TourError {
    TourError::Wrong {
        step: step.to_owned(),
        actual: actual.to_string(),
    }
}

fn ensure(good: bool, step: &str, actual: impl Display) -> Result<(), TourError> {
    if good {
        Ok(())
    } else {
        Err(wrong_outcome(step, actual))
    }
}

struct Tour {
    fleet: Fleet,
    caller: Arc<Caller>,
    report: Arc<Mutex<Report>>,
}

/// Runs the tour and prints its progress and a table of latencies.
///
/// # Errors
///
/// Returns the first wrong outcome, or the error that stopped the tour.
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
        set_keys(&mut records, "lead", &[LEAD_KEY]);
        set_keys(&mut records, "consult", &[CONSULT_KEY]);
        let log = Logger::root(Discard, o!());
        let endpoints = |_: &str, service: &str| Settings {
            median: Duration::from_millis(if service == "dossiers" { 8 } else { 2 }),
            sigma: 0.2,
            ..Settings::default()
        };
        let fleet = Fleet::start(records, &endpoints, &default_options(&log), HOST_FLAGS).await?;
        let tour = Self {
            fleet,
            caller: Arc::new(Caller::new("tour")),
            report: Arc::default(),
        };
        tour.wait_until_ready().await?;
        Ok(tour)
    }

    /// Waits until every host answers reads of every service. This takes a while because a new host
    /// waits until no other host can still use its slots.
    async fn wait_until_ready(&self) -> Result<(), TourError> {
        const READY_TIMEOUT: Duration = Duration::from_secs(10);
        let start = Instant::now();
        for addr in self.addrs() {
            for service in ["substances", "dossiers", "hazards"] {
                loop {
                    let reply = self.caller.call(addr, &Call::read(service, LEAD_KEY)).await;
                    if reply.outcome == CallOutcome::Answer {
                        break;
                    }
                    ensure(
                        start.elapsed() < READY_TIMEOUT,
                        "first read",
                        &reply.outcome,
                    )?;
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

    fn first_addr(&self) -> Result<SocketAddr, TourError> {
        self.addrs()
            .first()
            .copied()
            .ok_or_else(|| wrong_outcome("fleet", "no host"))
    }

    async fn timed(&self, addr: SocketAddr, team: &str, class: &str, call: &Call) -> CallOutcome {
        timed(&self.caller, &self.report, addr, team, class, call).await
    }

    async fn lookup(&self) -> Result<(), TourError> {
        let path = "/v1/lookup?client=198.51.100.7&keys=1";
        let lookup: Lookup = self
            .caller
            .json(Method::GET, self.first_addr()?, path)
            .await?;
        let first = lookup.hosts.first().map(|h| h.zone.to_string());
        ensure(
            first.as_deref() == Some("eire-a"),
            "nearest zone first",
            format!("{first:?}"),
        )?;
        ensure(
            lookup.site.as_deref() == Some("cork"),
            "site",
            format!("{:?}", lookup.site),
        )?;
        ensure(lookup.keys.len() == 1, "issued keys", lookup.keys.len())
    }

    async fn reads(&self) -> Result<(), TourError> {
        const ROUNDS: usize = 60;
        for _ in 0..ROUNDS {
            for addr in self.addrs() {
                let lead = Call::read("substances", LEAD_KEY);
                let consult = Call::read("substances", CONSULT_KEY);
                let open = Call {
                    key: None,
                    ..Call::read("hazards", LEAD_KEY)
                };
                let (a, b, c) = tokio::join!(
                    self.timed(addr, "lead", "lookup", &lead),
                    self.timed(addr, "consult", "lookup", &consult),
                    self.timed(addr, "open", "archive", &open),
                );
                for outcome in [a, b, c] {
                    ensure(outcome == CallOutcome::Answer, "read", &outcome)?;
                }
            }
        }
        let unknown_key = Call::read("substances", "a key that nobody granted");
        let outcome = self
            .timed(self.first_addr()?, "stranger", "lookup", &unknown_key)
            .await;
        ensure(
            is_refused(&outcome, "unauthorized"),
            "unknown key",
            &outcome,
        )?;
        let not_entitled = Call::read("dossiers", CONSULT_KEY);
        let outcome = self
            .timed(self.first_addr()?, "consult", "submission", &not_entitled)
            .await;
        ensure(
            is_refused(&outcome, "forbidden"),
            "service without entitlement",
            &outcome,
        )
    }

    async fn submissions(&self) -> Result<(), TourError> {
        const COUNT: usize = 20;
        let addrs = self.addrs();
        let issuer = self.first_addr()?;
        let path = format!("/v1/keys?count={COUNT}");
        let keys: Keys = self.caller.json(Method::POST, issuer, &path).await?;
        ensure(keys.keys.len() == COUNT, "issued keys", keys.keys.len())?;
        let before = self.ran("dossiers");
        for (n, key) in keys.keys.iter().enumerate() {
            let call = Call::submit("dossiers", LEAD_KEY, &format!("dossier {n}"))
                .with_idempotency_key(key);
            let other = addrs[n % addrs.len()];
            let start = Instant::now();
            let (a, b) = tokio::join!(
                self.caller.call(issuer, &call),
                self.caller.call(other, &call)
            );
            self.record("lead", "submission", start.elapsed());
            ensure(
                is_answer_or_duplicate(&a.outcome) && is_answer_or_duplicate(&b.outcome),
                "submission",
                format!("{}, {}", a.outcome, b.outcome),
            )?;
            ensure(
                a.body == b.body,
                "the same answer to a duplicate",
                &b.outcome,
            )?;
            let third = self.caller.call(other, &call).await;
            ensure(third.body == a.body, "the stored answer", &third.outcome)?;
        }
        let ran = self.ran("dossiers") - before;
        ensure(
            ran == COUNT,
            "each submission ran once",
            format!("{ran} of {COUNT}"),
        )
    }

    fn ran(&self, service: &str) -> usize {
        let of_service = |(name, _): &(&String, _)| name.starts_with(service);
        self.fleet
            .endpoints
            .iter()
            .filter(of_service)
            .map(|(_, e)| e.log().ran())
            .sum()
    }

    async fn keys(&mut self) -> Result<(), TourError> {
        self.put_keys(&[LEAD_KEY, GRANTED_KEY]).await?;
        self.wait_for_outcome(GRANTED_KEY, "granted key", |outcome| {
            *outcome == CallOutcome::Answer
        })
        .await?;
        self.put_keys(&[LEAD_KEY]).await?;
        self.wait_for_outcome(GRANTED_KEY, "withdrawn key", |outcome| {
            is_refused(outcome, "unauthorized")
        })
        .await
    }

    async fn put_keys(&mut self, keys: &[&str]) -> Result<(), TourError> {
        let team = self.fleet.record("team", "lead");
        let mut team = vec![team.ok_or_else(|| wrong_outcome("records", "no team"))?];
        set_keys(&mut team, "lead", keys);
        self.fleet.commit(team).await?;
        Ok(())
    }

    /// Reads with `key` at every host until each outcome is as expected, and fails if that takes
    /// longer than [`KEY_CHANGE_LIMIT`].
    async fn wait_for_outcome(
        &self,
        key: &str,
        step: &str,
        good: impl Fn(&CallOutcome) -> bool,
    ) -> Result<(), TourError> {
        let start = Instant::now();
        for addr in self.addrs() {
            loop {
                let outcome = self
                    .caller
                    .call(addr, &Call::read("substances", key))
                    .await
                    .outcome;
                if good(&outcome) {
                    break;
                }
                ensure(start.elapsed() < KEY_CHANGE_LIMIT, step, &outcome)?;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        println!(
            "          {step}: in force on every host after {} ms",
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
            .ok_or_else(|| wrong_outcome("fleet", name))?;
        let load = self.start_load();
        tokio::time::sleep(Duration::from_millis(500)).await;
        endpoint.set_faults(Faults {
            leaving: true,
            ..Faults::default()
        });
        tokio::time::sleep(DRAIN_LIMIT).await;
        let before = endpoint.log().ran();
        tokio::time::sleep(Duration::from_millis(700)).await;
        let after = endpoint.log().ran();
        load.stop().await?;
        ensure(before > 0, "load reached the endpoint", before)?;
        ensure(
            after == before,
            "no new work after 3 s",
            format!("{} requests", after - before),
        )?;
        endpoint.set_faults(Faults::default());
        Ok(())
    }

    async fn stop_host(&mut self) -> Result<(), TourError> {
        let name = "entry-3";
        let stopping_addr = self
            .fleet
            .addr(name)
            .ok_or_else(|| wrong_outcome("fleet", name))?;
        let load = self.start_load();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let host = self
            .fleet
            .hosts
            .remove(name)
            .ok_or_else(|| wrong_outcome("fleet", name))?;
        let stop = tokio::spawn(host.stop());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let path = "/v1/lookup?client=203.0.113.9";
        let lookup: Lookup = self
            .caller
            .json(Method::GET, self.first_addr()?, path)
            .await?;
        let listed = lookup.hosts.iter().any(|h| h.address == stopping_addr);
        ensure(!listed, "a leaving host is out of look-ups", name)?;
        load.exclude(stopping_addr);
        match stop.await {
            Ok(stopped) => stopped.map_err(FleetError::from)?,
            Err(e) => return Err(wrong_outcome("graceful stop", e)),
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        load.stop().await
    }

    /// Starts reads at a steady rate from every host.
    fn start_load(&self) -> BackgroundLoad {
        let addrs = Arc::new(Mutex::new(self.addrs()));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (caller, report) = (self.caller.clone(), self.report.clone());
        let task = tokio::spawn(read_until(caller, report, addrs.clone(), stopped));
        BackgroundLoad { addrs, stop, task }
    }

    fn record(&self, team: &str, class: &str, taken: Duration) {
        lock(&self.report).answered(team, class, taken);
    }

    /// Checks that no key reached an endpoint in a header or a path.
    fn check_no_key(&self) -> Result<(), TourError> {
        for (name, endpoint) in &self.fleet.endpoints {
            for entry in endpoint.log().entries() {
                for key in [LEAD_KEY, CONSULT_KEY, GRANTED_KEY] {
                    let seen = entry
                        .headers
                        .windows(key.len())
                        .any(|w| w == key.as_bytes());
                    ensure(
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

struct BackgroundLoad {
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    stop: tokio::sync::watch::Sender<bool>,
    task: tokio::task::JoinHandle<Option<CallOutcome>>,
}

impl BackgroundLoad {
    /// Sends no further requests to `addr`.
    fn exclude(&self, addr: SocketAddr) {
        lock(&self.addrs).retain(|a| *a != addr);
    }

    async fn stop(self) -> Result<(), TourError> {
        self.stop.send_replace(true);
        match self.task.await {
            Ok(None) => Ok(()),
            Ok(Some(outcome)) => Err(wrong_outcome("read under load", outcome)),
            Err(e) => Err(wrong_outcome("load", e)),
        }
    }
}

/// Reads until stopped; returns the first outcome that is not an answer.
async fn read_until(
    caller: Arc<Caller>,
    report: Arc<Mutex<Report>>,
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    stopped: tokio::sync::watch::Receiver<bool>,
) -> Option<CallOutcome> {
    let mut period = tokio::time::interval(Duration::from_millis(20));
    let mut calls = tokio::task::JoinSet::new();
    while !*stopped.borrow() {
        period.tick().await;
        for addr in lock(&addrs).clone() {
            let (caller, report) = (caller.clone(), report.clone());
            calls.spawn(async move {
                let call = Call::read("substances", LEAD_KEY);
                timed(&caller, &report, addr, "lead", "lookup", &call).await
            });
        }
        while let Some(outcome) = calls.try_join_next() {
            match outcome {
                Ok(CallOutcome::Answer) => {}
                Ok(outcome) => return Some(outcome),
                Err(e) => {
                    return Some(CallOutcome::Lost {
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
        .find(|outcome| *outcome != CallOutcome::Answer)
}

async fn timed(
    caller: &Caller,
    report: &Mutex<Report>,
    addr: SocketAddr,
    team: &str,
    class: &str,
    call: &Call,
) -> CallOutcome {
    let start = Instant::now();
    let outcome = caller.call(addr, call).await.outcome;
    match &outcome {
        CallOutcome::Answer => lock(report).answered(team, class, start.elapsed()),
        other => lock(report).failed(team, class, &other.to_string()),
    }
    outcome
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_refused(outcome: &CallOutcome, expected: &str) -> bool {
    matches!(outcome, CallOutcome::NotRun { reason } if reason == expected)
}

/// Returns whether the outcome is an answer or the stored answer to a duplicate. The latter carries
/// the request id of the first attempt and is therefore reported as another request's before its
/// digest is checked; callers compare the bodies.
fn is_answer_or_duplicate(outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Answer => true,
        CallOutcome::Wrong { reason } => reason.contains("another request"),
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
