//! Compares leased shards with loans against an equal static split, in virtual time.
//!
//! Run it with `cargo run --release -p wagtail-quota --example compare`.

#[expect(dead_code, reason = "shared with the tests")]
#[path = "../tests/support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use wagtail_quota::Settings;
use wagtail_types::Share;

use simulation::{MS, SECOND, Simulation};

/// Ten hosts in six zones, two zones a region.
const ZONES: [usize; 10] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 5];
const SHARDS: u32 = 2;
const WARM_UP: u64 = 10 * SECOND;
const MEASUREMENT: u64 = 120 * SECOND;
const TIMEOUT: u64 = 250 * MS;
const SEEDS: [u64; 3] = [1, 2, 3];
const LOAD: f64 = 0.95;
const SURGE: f64 = 5.0;
/// Rate and burst of a team that sends more requests than its rate.
const SURGE_LIMIT: (u64, u64) = (100, 100);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Stop,
    Crash,
    ZoneLost,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    limit: (u64, u64),
    /// Fraction of requests that the busiest host receives.
    skew: f64,
    /// Number of hosts that receive requests.
    receivers: usize,
    fault: Fault,
    /// Bound on clock drift.
    drift: Share,
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    host: usize,
    team: usize,
}

/// Token bucket with an exact rate that sees all arrivals in order.
struct CentralBucket {
    level: f64,
    at: u64,
    rate: f64,
    burst: f64,
}

impl CentralBucket {
    fn new(rate: f64, burst: f64) -> Self {
        Self {
            level: burst,
            at: 0,
            rate,
            burst,
        }
    }

    fn admit(&mut self, at: u64) -> bool {
        let time = (at - self.at) as f64 / SECOND as f64;
        self.level = (self.level + self.rate * time).min(self.burst);
        self.at = at;
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }
}

/// Measurements of one case, summed over seeds.
#[derive(Debug, Default)]
struct Measurements {
    central: u64,
    granted: u64,
    /// Admitted by the central bucket, but refused by the hosts.
    wrongful: u64,
    /// Admitted by the central bucket, but refused by the static split.
    split_wrongful: u64,
    /// Admitted by the central bucket, but refused if its rate is reduced by the drift margin.
    floor: u64,
    /// Granted at once.
    no_wait: u64,
    /// Granted to the team that sends more requests than its rate.
    surge_granted: u64,
    seconds: f64,
    messages: u64,
    bytes: u64,
    writes: u64,
    reads: u64,
}

fn latency(a: usize, b: usize) -> u64 {
    let (a, b) = (ZONES[a], ZONES[b]);
    if a == b {
        MS / 5
    } else if a / 2 == b / 2 {
        3 * MS / 2
    } else {
        10 * MS
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of nanoseconds"
)]
fn arrivals(rng: &mut SmallRng, team: usize, rate: f64, case: Case, end: u64) -> Vec<Arrival> {
    let mut at = 0;
    let mut list = Vec::new();
    while at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at += (gap * SECOND as f64) as u64 + 1;
        let busiest = rng.random::<f64>() < case.skew;
        let host = if busiest {
            0
        } else {
            rng.random_range(1..case.receivers)
        };
        list.push(Arrival { at, host, team });
    }
    list
}

/// Injects a fault at the first holder of the measured team, and returns the hosts that are down.
fn inject_fault(sim: &mut Simulation, fault: Fault) -> Vec<usize> {
    let team = sim.teams[0].clone();
    let holder = sim.hosts[0]
        .quota
        .as_ref()
        .and_then(|q| q.holders(&team).first().cloned());
    let victim = sim
        .hosts
        .iter()
        .position(|h| Some(&h.id) == holder.as_ref())
        .unwrap_or(0);
    let zone = ZONES[victim];
    let down: Vec<usize> = match fault {
        Fault::None => Vec::new(),
        Fault::Stop | Fault::Crash => vec![victim],
        Fault::ZoneLost => (0..ZONES.len()).filter(|h| ZONES[*h] == zone).collect(),
    };
    for host in &down {
        match fault {
            Fault::Stop => sim.release(*host),
            _ => sim.crash(*host),
        }
    }
    for host in 0..ZONES.len() {
        sim.update_peers(host);
    }
    down
}

/// Returns the host that receives a request if `host` is down.
fn live_host(host: usize, down: &[usize]) -> usize {
    let mut others = (host..host + ZONES.len()).map(|h| h % ZONES.len());
    others.find(|h| !down.contains(h)).unwrap_or(host)
}

fn measure(case: Case, seed: u64, out: &mut Measurements) {
    let (rate, burst) = case.limit;
    let adjust_settings = move |settings: &mut Settings| settings.drift = case.drift;
    let mut sim = Simulation::new(
        &ZONES,
        SHARDS,
        &[case.limit, SURGE_LIMIT],
        seed,
        adjust_settings,
    );
    sim.latency = latency;
    sim.table_latency = 10 * MS;
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = WARM_UP + MEASUREMENT;
    let mut requests = arrivals(&mut rng, 0, rate as f64 * LOAD, case, end);
    requests.extend(arrivals(
        &mut rng,
        1,
        SURGE_LIMIT.0 as f64 * SURGE,
        case,
        end,
    ));
    requests.sort_by_key(|c| c.at);
    let mut central = CentralBucket::new(rate as f64, burst as f64);
    let mut derated = CentralBucket::new(rate as f64 / (1.0 + case.drift.as_f64()), burst as f64);
    let parts = ZONES.len() as f64;
    let split = || CentralBucket::new(rate as f64 / parts, burst as f64 / parts);
    let mut split: Vec<CentralBucket> = ZONES.iter().map(|_| split()).collect();
    let mut admitted = BTreeSet::new();
    let fault_at = WARM_UP + MEASUREMENT / 4;
    let (mut measuring, mut fault_injected) = (false, false);
    let mut down = Vec::new();
    for request in &requests {
        sim.run_until(request.at);
        if !measuring && request.at >= WARM_UP {
            measuring = true;
            (sim.messages, sim.bytes, sim.writes, sim.reads) = (0, 0, 0, 0);
        }
        if !fault_injected && request.at >= fault_at {
            fault_injected = true;
            down = inject_fault(&mut sim, case.fault);
        }
        let host = live_host(request.host, &down);
        sim.admit(host, request.team, TIMEOUT);
        if request.team == 0 {
            let central_admits = central.admit(request.at);
            let split_admits = split[host].admit(request.at);
            let derated_admits = derated.admit(request.at);
            if central_admits {
                admitted.insert(request.at);
            }
            if request.at >= WARM_UP {
                out.central += u64::from(central_admits);
                out.split_wrongful += u64::from(central_admits && !split_admits);
                out.floor += u64::from(central_admits && !derated_admits);
            }
        }
    }
    sim.run_until(end + SECOND);
    out.seconds += MEASUREMENT as f64 / SECOND as f64;
    out.messages += sim.messages;
    out.bytes += sim.bytes;
    out.writes += sim.writes;
    out.reads += sim.reads;
    for decision in &sim.decisions {
        let arrived = decision.at - if decision.granted { decision.waited } else { 0 };
        if arrived < WARM_UP || arrived >= end {
            continue;
        }
        if decision.team == 1 {
            out.surge_granted += u64::from(decision.granted);
        } else if decision.granted {
            out.granted += 1;
            out.no_wait += u64::from(decision.waited == 0);
        } else {
            out.wrongful += u64::from(admitted.contains(&arrived));
        }
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn report(case: Case) {
    let mut measured = Measurements::default();
    for seed in SEEDS {
        measure(case, seed, &mut measured);
    }
    let hosts = ZONES.len() as f64;
    let surge_granted =
        100.0 * measured.surge_granted as f64 / (measured.seconds * SURGE_LIMIT.0 as f64);
    println!(
        "{:>4}/s {:>4} {:>4.0}% {:<9} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.1} {:>8.2} {:>7.1} {:>7.0} {:>6.1} {:>6.1}",
        case.limit.0,
        case.limit.1,
        case.skew * 100.0,
        format!("{:?}", case.fault),
        percent(measured.split_wrongful, measured.central),
        percent(measured.floor, measured.central),
        percent(measured.wrongful, measured.central),
        100.0 - percent(measured.granted, measured.central),
        percent(measured.no_wait, measured.granted),
        surge_granted,
        measured.messages as f64 / measured.seconds / hosts,
        measured.bytes as f64 / measured.seconds / hosts,
        measured.writes as f64 / measured.seconds,
        measured.reads as f64 / measured.seconds,
    );
}

fn report_writes(teams: usize) {
    let limits = vec![(10, 10); teams];
    let mut sim = Simulation::new(&ZONES, SHARDS, &limits, 1, |_| {});
    sim.run_until(WARM_UP);
    (sim.writes, sim.row_bytes) = (0, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    while sim.now < WARM_UP + 30 * SECOND {
        sim.run_until(sim.now + 20 * MS);
        for _ in 0..4 {
            let host = rng.random_range(0..ZONES.len());
            sim.admit(host, rng.random_range(0..teams), TIMEOUT);
        }
    }
    let seconds = 30.0;
    println!(
        "{teams:>6} teams: {:.2} writes/s",
        sim.writes as f64 / seconds
    );
}

fn main() {
    println!("percent of what one central bucket admits; messages and bytes a second and host");
    println!(
        "{:>6} {:>4} {:>5} {:<9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>6} {:>6}",
        "rate",
        "bur.",
        "skew",
        "fault",
        "split",
        "floor",
        "wrong",
        "net",
        "no wait",
        "loud",
        "msg/s",
        "B/s",
        "writes",
        "reads"
    );
    let wide = Share::from_ppm(10_000).unwrap_or_default();
    let close = Share::from_ppm(500).unwrap_or_default();
    for drift in [wide, close] {
        println!("clocks within {drift}");
        for limit in [(100, 100), (100, 20), (20, 20), (2, 3)] {
            for skew in [0.6, 0.1] {
                report(Case {
                    limit,
                    skew,
                    receivers: ZONES.len(),
                    fault: Fault::None,
                    drift,
                });
            }
        }
    }
    println!("clocks within {wide}, calls at four hosts only");
    for limit in [(100, 100), (100, 20), (20, 20), (2, 3)] {
        report(Case {
            limit,
            skew: 0.6,
            receivers: 4,
            fault: Fault::None,
            drift: wide,
        });
    }
    println!("clocks within {wide}, a fault after a quarter of the time");
    for fault in [Fault::Stop, Fault::Crash, Fault::ZoneLost] {
        for limit in [(100, 100), (100, 20), (2, 3)] {
            report(Case {
                limit,
                skew: 0.6,
                receivers: ZONES.len(),
                fault,
                drift: wide,
            });
        }
    }
    for teams in [1, 10, 100, 1000] {
        report_writes(teams);
    }
}
