//! The `overhead` subcommand: the latency that an entry host adds to direct calls in the same run.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use slog::{Discard, Logger, o};
use wagtail_config::RawRecord;
use wagtail_standin::endpoint::Settings;

use crate::client::{Call, CallOutcome, Caller};
use crate::fleet::{Fleet, FleetError, default_options, digest};

const KEY: &str = "key-of-the-only-team";
const SERVICE: &str = "reads";
const HOST: &str = "entry-1";
const ENDPOINTS: usize = 4;
const SLOTS: usize = 16;
/// Requests per second that 12 endpoints with 3 slots and a service time of 60 ms carry.
const SERVICE_RATE: f64 = 600.0;
const ROUNDS: usize = 5;
const ROUND_LENGTH: Duration = Duration::from_millis(1_500);
const CAPACITY_RUN: Duration = Duration::from_secs(1);
const CAPACITY_WORKERS: usize = 8;
/// The time until every slot of a new endpoint is used.
const RAMP_UP: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const HIGHEST_MICROS: u64 = 10_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Why the measurement did not complete.
#[derive(Debug, Display, Error, From)]
pub enum OverheadError {
    /// The fleet could not be set up or stopped.
    #[display("{_0}")]
    Fleet(FleetError),
    /// A request was not answered.
    #[display("a request was not answered: {_0}")]
    #[from(ignore)]
    Unanswered(#[error(not(source))] CallOutcome),
}

/// The latencies of direct calls and of calls through a host, at one rate.
#[derive(Debug)]
pub struct Overhead {
    /// What the rate corresponds to.
    pub load: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Requests that were not answered, direct and through the host.
    pub unanswered: u64,
    direct: Histogram<u64>,
    via_host: Histogram<u64>,
}

impl Overhead {
    fn new(load: &'static str, rate: f64) -> Self {
        Self {
            load,
            rate,
            unanswered: 0,
            direct: histogram(),
            via_host: histogram(),
        }
    }

    /// Returns the latency that the host adds at a quantile, in microseconds.
    pub fn added(&self, quantile: f64) -> f64 {
        let at = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64;
        at(&self.via_host) - at(&self.direct)
    }
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {:.0} requests/s; {} of {} not answered",
            self.load,
            self.rate,
            self.unanswered,
            self.unanswered + self.via_host.len() + self.direct.len()
        )?;
        writeln!(f, "{:<10} {:>9} {:>9} {:>9}", "us", "p50", "p90", "p99")?;
        for (name, h) in [("direct", &self.direct), ("through", &self.via_host)] {
            let at = |q| h.value_at_quantile(q);
            writeln!(
                f,
                "{name:<10} {:>9} {:>9} {:>9}",
                at(0.5),
                at(0.9),
                at(0.99)
            )?;
        }
        let added = [0.5, 0.9, 0.99].map(|q| self.added(q));
        writeln!(
            f,
            "{:<10} {:>9.0} {:>9.0} {:>9.0}",
            "added", added[0], added[1], added[2]
        )
    }
}

/// Measures direct calls and calls through one host alternately: at half load of the
/// reference service, and at half the capacity of one host.
///
/// # Errors
///
/// Returns an error if the fleet cannot be set up or stopped, or if a request has an outcome other
/// than an answer, a refusal or a lost connection.
pub async fn run(seed: u64) -> Result<[Overhead; 2], OverheadError> {
    let log = Logger::root(Discard, o!());
    let endpoints = |_: &str, _: &str| Settings::default();
    let fleet = Fleet::start(records(), &endpoints, &default_options(&log), &[]).await?;
    let entry = fleet.hosts[HOST].addr();
    let direct: Vec<_> = fleet.endpoints.values().map(|e| vec![e.addr()]).collect();
    let direct: Arc<[SocketAddr]> = direct.concat().into();
    let caller = Arc::new(Caller::new("overhead"));
    wait_until_ready(&caller, entry).await?;
    tokio::time::sleep(RAMP_UP).await;
    let half_capacity = capacity(&caller, entry).await / 2.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut results = [
        Overhead::new("half load of a service", SERVICE_RATE / 2.0),
        Overhead::new("half of the host's capacity", half_capacity),
    ];
    for result in &mut results {
        let (rate, direct) = (result.rate, CallPath::Direct(direct.clone()));
        for _ in 0..ROUNDS {
            let latency = &mut result.direct;
            result.unanswered += open_loop(&caller, &direct, rate, &mut rng, latency).await?;
            let path = CallPath::Host(entry);
            let latency = &mut result.via_host;
            result.unanswered += open_loop(&caller, &path, rate, &mut rng, latency).await?;
        }
    }
    fleet.stop().await?;
    Ok(results)
}

#[derive(Debug, Clone)]
enum CallPath {
    Direct(Arc<[SocketAddr]>),
    Host(SocketAddr),
}

async fn send(caller: &Caller, path: &CallPath, number: usize) -> CallOutcome {
    match path {
        CallPath::Direct(endpoints) => {
            let addr = endpoints[number % endpoints.len()];
            caller
                .call_direct(addr, &Call::read(SERVICE, KEY))
                .await
                .outcome
        }
        CallPath::Host(addr) => caller.call(*addr, &Call::read(SERVICE, KEY)).await.outcome,
    }
}

async fn wait_until_ready(caller: &Caller, entry: SocketAddr) -> Result<(), OverheadError> {
    let start = Instant::now();
    loop {
        match caller.call(entry, &Call::read(SERVICE, KEY)).await.outcome {
            CallOutcome::Answer => return Ok(()),
            outcome if start.elapsed() > READY_TIMEOUT => {
                return Err(OverheadError::Unanswered(outcome));
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Returns the requests per second that a closed loop completes through the host.
async fn capacity(caller: &Arc<Caller>, entry: SocketAddr) -> f64 {
    let start = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CAPACITY_WORKERS {
        let caller = caller.clone();
        workers.spawn(async move {
            let mut count = 0_u64;
            while start.elapsed() < CAPACITY_RUN {
                let outcome = send(&caller, &CallPath::Host(entry), 0).await;
                count += u64::from(outcome == CallOutcome::Answer);
            }
            count
        });
    }
    let sum: u64 = workers.join_all().await.iter().sum();
    sum as f64 / start.elapsed().as_secs_f64()
}

/// Sends at Poisson arrivals and records latency from when each request is sent; returns the number
/// of requests that were not answered.
async fn open_loop(
    caller: &Arc<Caller>,
    path: &CallPath,
    rate: f64,
    rng: &mut SmallRng,
    latency: &mut Histogram<u64>,
) -> Result<u64, OverheadError> {
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while due < ROUND_LENGTH {
        due += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / rate);
        let intended = start + due;
        tokio::time::sleep_until(intended.into()).await;
        let (caller, path) = (caller.clone(), path.clone());
        number += 1;
        calls.spawn(async move {
            // The runtime's timer has a resolution of 1 ms; the delay that it adds is not latency.
            let sent = Instant::now().max(intended);
            let outcome = send(&caller, &path, number).await;
            (outcome, sent.elapsed())
        });
    }
    let mut unanswered = 0;
    for (outcome, taken) in calls.join_all().await {
        match outcome {
            CallOutcome::Answer => {
                let micros = u64::try_from(taken.as_micros()).unwrap_or(HIGHEST_MICROS);
                latency.saturating_record(micros);
            }
            // Refused, or beyond the connections that an endpoint accepts.
            CallOutcome::NotRun { .. }
            | CallOutcome::Lost { .. }
            | CallOutcome::Unreached { .. } => unanswered += 1,
            outcome => return Err(OverheadError::Unanswered(outcome)),
        }
    }
    Ok(unanswered)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants in range")
}

fn records() -> Vec<RawRecord> {
    let raw = |kind: &str, name: &str, schema, body| RawRecord {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema,
        body,
    };
    let mut records = vec![
        raw("region", "one", 1, json!({})),
        raw("zone", "one-a", 1, json!({"region": "one"})),
        raw(
            "host",
            HOST,
            1,
            json!({"zone": "one-a", "api": "127.0.0.1:1", "peer": "127.0.0.1:2"}),
        ),
        raw(
            "service",
            SERVICE,
            1,
            json!({"class": "lookup", "idempotent": true, "deadline_ms": 2_000}),
        ),
        raw(
            "team",
            "only",
            2,
            json!({
                "rate": "1000000/s", "burst": 1_000_000, "keys": [digest(KEY)],
                "services": [SERVICE],
            }),
        ),
    ];
    for n in 0..ENDPOINTS {
        let body = json!({
            "service": SERVICE, "zone": "one-a", "addr": "127.0.0.1:1", "slots": SLOTS,
            "connections": 300,
        });
        records.push(raw("endpoint", &format!("reads-{n}"), 1, body));
    }
    records
}
