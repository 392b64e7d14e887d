//! The latency that an entry host adds, against direct calls in the same run.

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

use crate::client::{Call, Caller, Got};
use crate::fleet::{Fleet, FleetError, digest, plain};

const KEY: &str = "key-of-the-only-team";
const SERVICE: &str = "reads";
const HOST: &str = "entry-1";
const ENDPOINTS: usize = 4;
const SLOTS: usize = 16;
/// Requests a second of 12 endpoints with 3 slots and a service time of 60 ms.
const SERVICE_RATE: f64 = 600.0;
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(1_500);
const CAPACITY_RUN: Duration = Duration::from_secs(1);
const CAPACITY_WORKERS: usize = 8;
/// Until every slot of a new endpoint is used.
const RAMP: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(15);
const HIGHEST_MICROS: u64 = 10_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Why the run did not come to its end.
#[derive(Debug, Display, Error, From)]
pub enum OverheadError {
    /// The fleet could not be set up or stopped.
    #[display("{_0}")]
    Fleet(FleetError),
    /// A request was not answered.
    #[display("a request was not answered: {_0}")]
    #[from(ignore)]
    Unanswered(#[error(not(source))] Got),
}

/// Latencies of both ways at one rate.
#[derive(Debug)]
pub struct Overhead {
    /// What the rate is.
    pub load: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Requests of both ways that were not answered.
    pub refused: u64,
    direct: Histogram<u64>,
    through: Histogram<u64>,
}

impl Overhead {
    fn new(load: &'static str, rate: f64) -> Self {
        Self {
            load,
            rate,
            refused: 0,
            direct: histogram(),
            through: histogram(),
        }
    }

    /// The latency that the host adds at a quantile, in microseconds.
    pub fn added(&self, quantile: f64) -> f64 {
        let at = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64;
        at(&self.through) - at(&self.direct)
    }
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {:.0} requests/s; {} of {} not answered",
            self.load,
            self.rate,
            self.refused,
            self.refused + self.through.len() + self.direct.len()
        )?;
        writeln!(f, "{:<10} {:>9} {:>9} {:>9}", "us", "p50", "p90", "p99")?;
        for (name, h) in [("direct", &self.direct), ("through", &self.through)] {
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

/// Measures direct calls and calls through one host in turns: at half load of a service of today's
/// size, and at half of what one host carries.
///
/// # Errors
///
/// Fails where the fleet cannot be set up or a request is not answered.
pub async fn run(seed: u64) -> Result<[Overhead; 2], OverheadError> {
    let log = Logger::root(Discard, o!());
    let endpoints = |_: &str, _: &str| Settings::default();
    let fleet = Fleet::start(records(), &endpoints, &plain(&log), &[]).await?;
    let entry = fleet.hosts[HOST].addr();
    let direct: Vec<_> = fleet.endpoints.values().map(|e| vec![e.addr()]).collect();
    let direct: Arc<[SocketAddr]> = direct.concat().into();
    let caller = Arc::new(Caller::new("overhead"));
    settle(&caller, entry).await?;
    tokio::time::sleep(RAMP).await;
    let most = capacity(&caller, entry).await / 2.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut results = [
        Overhead::new("half load of a service", SERVICE_RATE / 2.0),
        Overhead::new("half of the host's capacity", most),
    ];
    for result in &mut results {
        let (rate, direct) = (result.rate, Way::Direct(direct.clone()));
        for _ in 0..ROUNDS {
            let latency = &mut result.direct;
            result.refused += open_loop(&caller, &direct, rate, &mut rng, latency).await?;
            let way = Way::Through(entry);
            let latency = &mut result.through;
            result.refused += open_loop(&caller, &way, rate, &mut rng, latency).await?;
        }
    }
    fleet.stop().await?;
    Ok(results)
}

#[derive(Debug, Clone)]
enum Way {
    Direct(Arc<[SocketAddr]>),
    Through(SocketAddr),
}

async fn send(caller: &Caller, way: &Way, number: usize) -> Got {
    match way {
        Way::Direct(endpoints) => {
            let addr = endpoints[number % endpoints.len()];
            caller
                .call_direct(addr, &Call::read(SERVICE, KEY))
                .await
                .got
        }
        Way::Through(addr) => caller.call(*addr, &Call::read(SERVICE, KEY)).await.got,
    }
}

async fn settle(caller: &Caller, entry: SocketAddr) -> Result<(), OverheadError> {
    let start = Instant::now();
    loop {
        match caller.call(entry, &Call::read(SERVICE, KEY)).await.got {
            Got::Answer => return Ok(()),
            got if start.elapsed() > PATIENCE => return Err(OverheadError::Unanswered(got)),
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Requests a second that a closed loop gets through.
async fn capacity(caller: &Arc<Caller>, entry: SocketAddr) -> f64 {
    let start = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CAPACITY_WORKERS {
        let caller = caller.clone();
        workers.spawn(async move {
            let mut count = 0_u64;
            while start.elapsed() < CAPACITY_RUN {
                let got = send(&caller, &Way::Through(entry), 0).await;
                count += u64::from(got == Got::Answer);
            }
            count
        });
    }
    let sum: u64 = workers.join_all().await.iter().sum();
    sum as f64 / start.elapsed().as_secs_f64()
}

/// Sends at Poisson arrivals; latency counts from the intended start.
async fn open_loop(
    caller: &Arc<Caller>,
    way: &Way,
    rate: f64,
    rng: &mut SmallRng,
    latency: &mut Histogram<u64>,
) -> Result<u64, OverheadError> {
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while due < ROUND {
        due += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / rate);
        let intended = start + due;
        tokio::time::sleep_until(intended.into()).await;
        let (caller, way) = (caller.clone(), way.clone());
        number += 1;
        calls.spawn(async move {
            // The runtime's timer has steps of a millisecond; what it adds is no latency.
            let sent = Instant::now().max(intended);
            let got = send(&caller, &way, number).await;
            (got, sent.elapsed())
        });
    }
    let mut refused = 0;
    for (got, taken) in calls.join_all().await {
        match got {
            Got::Answer => {
                let micros = u64::try_from(taken.as_micros()).unwrap_or(HIGHEST_MICROS);
                latency.saturating_record(micros);
            }
            // Refused, or over the connections that an endpoint takes.
            Got::NotRun { .. } | Got::Lost { .. } | Got::Unreached { .. } => refused += 1,
            got => return Err(OverheadError::Unanswered(got)),
        }
    }
    Ok(refused)
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
