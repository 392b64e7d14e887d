//! Compares leased shards with loans against an equal static split, in virtual time.
//!
//! Run it with `cargo run --release -p wagtail-quota --example compare`.

#[expect(dead_code, reason = "shared with the tests")]
#[path = "../tests/fake/world.rs"]
mod world;

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use wagtail_quota::Settings;
use wagtail_types::Share;

use world::{MS, SECOND, World};

/// Ten hosts in six zones, two zones a region.
const ZONES: [usize; 10] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 5];
const SHARDS: u32 = 2;
const WARM_UP: u64 = 10 * SECOND;
const MEASURED: u64 = 120 * SECOND;
const PATIENCE: u64 = 250 * MS;
const SEEDS: [u64; 3] = [1, 2, 3];
const LOAD: f64 = 0.95;
const SURGE: f64 = 5.0;
/// The team that sends more than its rate.
const LOUD: (u64, u64) = (100, 100);

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
    /// The share of calls that the busiest host gets.
    skew: f64,
    /// Hosts that get calls at all.
    callers: usize,
    fault: Fault,
    /// The margin for clocks.
    drift: Share,
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    host: usize,
    team: usize,
}

/// A token bucket of exact rate that sees arrivals in order.
struct Central {
    level: f64,
    at: u64,
    rate: f64,
    burst: f64,
}

impl Central {
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

/// What was measured of one team, summed over seeds.
#[derive(Debug, Default)]
struct Figures {
    central: u64,
    granted: u64,
    wrongful: u64,
    split_wrongful: u64,
    /// Refused by a central bucket whose rate is reduced by the drift margin.
    floor: u64,
    no_wait: u64,
    loud: u64,
    seconds: f64,
    messages: u64,
    bytes: u64,
    writes: u64,
    reads: u64,
}

fn distance(a: usize, b: usize) -> u64 {
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
            rng.random_range(1..case.callers)
        };
        list.push(Arrival { at, host, team });
    }
    list
}

/// Brings a fault to the first holder of the measured team, and returns the hosts that are gone.
fn at_fault(world: &mut World, fault: Fault) -> Vec<usize> {
    let team = world.teams[0].clone();
    let holder = world.hosts[0]
        .quota
        .as_ref()
        .and_then(|q| q.holders(&team).first().cloned());
    let victim = world
        .hosts
        .iter()
        .position(|h| Some(&h.id) == holder.as_ref())
        .unwrap_or(0);
    let zone = ZONES[victim];
    let gone: Vec<usize> = match fault {
        Fault::None => Vec::new(),
        Fault::Stop | Fault::Crash => vec![victim],
        Fault::ZoneLost => (0..ZONES.len()).filter(|h| ZONES[*h] == zone).collect(),
    };
    for host in &gone {
        match fault {
            Fault::Stop => world.release(*host),
            _ => world.crash(*host),
        }
    }
    for host in 0..ZONES.len() {
        world.tell_peers(host);
    }
    gone
}

/// The host that gets a call when its own is gone.
fn living(host: usize, gone: &[usize]) -> usize {
    let mut others = (host..host + ZONES.len()).map(|h| h % ZONES.len());
    others.find(|h| !gone.contains(h)).unwrap_or(host)
}

fn measure(case: Case, seed: u64, out: &mut Figures) {
    let (rate, burst) = case.limit;
    let tune = move |settings: &mut Settings| settings.drift = case.drift;
    let mut world = World::new(&ZONES, SHARDS, &[case.limit, LOUD], seed, tune);
    world.distance = distance;
    world.table_distance = 10 * MS;
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = WARM_UP + MEASURED;
    let mut calls = arrivals(&mut rng, 0, rate as f64 * LOAD, case, end);
    calls.extend(arrivals(&mut rng, 1, LOUD.0 as f64 * SURGE, case, end));
    calls.sort_by_key(|c| c.at);
    let mut central = Central::new(rate as f64, burst as f64);
    let mut derated = Central::new(rate as f64 / (1.0 + case.drift.as_f64()), burst as f64);
    let parts = ZONES.len() as f64;
    let split = || Central::new(rate as f64 / parts, burst as f64 / parts);
    let mut split: Vec<Central> = ZONES.iter().map(|_| split()).collect();
    let mut admitted = BTreeSet::new();
    let fault_at = WARM_UP + MEASURED / 4;
    let (mut begun, mut faulty) = (false, false);
    let mut gone = Vec::new();
    for call in &calls {
        world.run(call.at);
        if !begun && call.at >= WARM_UP {
            begun = true;
            (world.messages, world.bytes, world.writes, world.reads) = (0, 0, 0, 0);
        }
        if !faulty && call.at >= fault_at {
            faulty = true;
            gone = at_fault(&mut world, case.fault);
        }
        let host = living(call.host, &gone);
        world.admit(host, call.team, PATIENCE);
        if call.team == 0 {
            let fair = central.admit(call.at);
            let alone = split[host].admit(call.at);
            let slow = derated.admit(call.at);
            if fair {
                admitted.insert(call.at);
            }
            if call.at >= WARM_UP {
                out.central += u64::from(fair);
                out.split_wrongful += u64::from(fair && !alone);
                out.floor += u64::from(fair && !slow);
            }
        }
    }
    world.run(end + SECOND);
    out.seconds += MEASURED as f64 / SECOND as f64;
    out.messages += world.messages;
    out.bytes += world.bytes;
    out.writes += world.writes;
    out.reads += world.reads;
    for decision in &world.decisions {
        let arrived = decision.at - if decision.granted { decision.waited } else { 0 };
        if arrived < WARM_UP || arrived >= end {
            continue;
        }
        if decision.team == 1 {
            out.loud += u64::from(decision.granted);
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
    let mut f = Figures::default();
    for seed in SEEDS {
        measure(case, seed, &mut f);
    }
    let hosts = ZONES.len() as f64;
    let loud = 100.0 * f.loud as f64 / (f.seconds * LOUD.0 as f64);
    println!(
        "{:>4}/s {:>4} {:>4.0}% {:<9} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.1} {:>8.2} {:>7.1} {:>7.0} {:>6.1} {:>6.1}",
        case.limit.0,
        case.limit.1,
        case.skew * 100.0,
        format!("{:?}", case.fault),
        percent(f.split_wrongful, f.central),
        percent(f.floor, f.central),
        percent(f.wrongful, f.central),
        100.0 - percent(f.granted, f.central),
        percent(f.no_wait, f.granted),
        loud,
        f.messages as f64 / f.seconds / hosts,
        f.bytes as f64 / f.seconds / hosts,
        f.writes as f64 / f.seconds,
        f.reads as f64 / f.seconds,
    );
}

fn report_writes(teams: usize) {
    let limits = vec![(10, 10); teams];
    let mut world = World::new(&ZONES, SHARDS, &limits, 1, |_| {});
    world.run(WARM_UP);
    (world.writes, world.row_bytes) = (0, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    while world.now < WARM_UP + 30 * SECOND {
        world.run(world.now + 20 * MS);
        for _ in 0..4 {
            let host = rng.random_range(0..ZONES.len());
            world.admit(host, rng.random_range(0..teams), PATIENCE);
        }
    }
    let seconds = 30.0;
    println!(
        "{teams:>6} teams: {:.2} writes/s",
        world.writes as f64 / seconds
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
                    callers: ZONES.len(),
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
            callers: 4,
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
                callers: ZONES.len(),
                fault,
                drift: wide,
            });
        }
    }
    for teams in [1, 10, 100, 1000] {
        report_writes(teams);
    }
}
