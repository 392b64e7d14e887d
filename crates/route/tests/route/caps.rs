//! Caps on shifted traffic hold over all hosts and all causes, and bytes stay within their budget.
//!
//! A cap would be exceeded if moves, drains and spillover did not share one credit, or if the cap
//! did not ramp up from its initial share.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use wagtail_route::{
    Advert, Cap, CapSpec, Drain, HostState, Input, Lease, MoveSpec, Mutant, Outcome, Placement,
    RelayResult, Router, Topology,
};
use wagtail_types::{ByteRate, Share};

use crate::support::{
    SingleHost, config, endpoint, host, id, ms, one_zone, request, service, settings, zone,
};

const HOSTS: [&str; 3] = ["h0", "h1", "h2"];
const REMOTE_HOSTS: [(&str, &str); 2] = [("far1", "east"), ("far2", "west")];
const STEP: Duration = Duration::from_millis(20);

fn share(percent: u8) -> Share {
    Share::from_ppm(u32::from(percent) * 10_000).expect("a share")
}

#[derive(Debug, Clone)]
enum Op {
    Load {
        host: usize,
        count: u8,
        refuse: bool,
    },
    Wait(u8),
    Move {
        to: usize,
        percent: u8,
    },
    DrainZone(bool),
    DrainRegion(bool),
    Fail(bool),
    Level(u8),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        10 => (0..3_usize, 1..30_u8, any::<bool>())
            .prop_map(|(host, count, refuse)| Op::Load { host, count, refuse }),
        4 => (1..100_u8).prop_map(Op::Wait),
        2 => (0..2_usize, 0..101_u8).prop_map(|(to, percent)| Op::Move { to, percent }),
        1 => any::<bool>().prop_map(Op::DrainZone),
        1 => any::<bool>().prop_map(Op::DrainRegion),
        1 => any::<bool>().prop_map(Op::Fail),
        1 => (5..60_u8).prop_map(Op::Level),
    ];
    prop::collection::vec(op, 1..80)
}

/// Simulates three hosts of one region that may shift traffic to two other regions.
struct RegionSim {
    now: Instant,
    routers: Vec<Router>,
    topology: Topology,
    moves: [u8; 2],
    level: u8,
    /// The greatest share that the cap may allow, computed independently of the router.
    allowed_share: f64,
    /// The sum of the allowed share over all requests of this region's callers so far.
    allowed: f64,
    moved: HashMap<String, f64>,
    /// The least difference between moved and allowed requests of each destination so far, for the
    /// bound over any interval.
    min_slack: HashMap<String, f64>,
    leases: Vec<(usize, Lease)>,
}

const INITIAL_PERCENT: u8 = 5;
const RISE_PERCENT: u8 = 2;

impl RegionSim {
    fn new(mutant: Option<Mutant>) -> Self {
        let mut topology = one_zone(3, 2);
        topology.services = vec![service("s", ms(200))];
        for (_, region) in REMOTE_HOSTS {
            topology.zones.push(zone(&format!("{region}-a"), region));
        }
        topology.zones.push(zone("b", "r"));
        topology.endpoints.push(endpoint("b0", "s", "b", 2));
        let now = Instant::now();
        let router = |name: &&str| {
            let mut settings = settings(name, "a", "r").with_mutant(mutant);
            settings.queue.max_wait = ms(40);
            Router::new(settings, 3, now)
        };
        let mut region = Self {
            now,
            routers: HOSTS.iter().map(router).collect(),
            topology,
            moves: [0; 2],
            level: 50,
            allowed_share: f64::from(INITIAL_PERCENT) / 100.0,
            allowed: 0.0,
            moved: HashMap::new(),
            min_slack: HashMap::new(),
            leases: Vec::new(),
        };
        region.configure();
        let views: Vec<_> = HOSTS
            .iter()
            .map(|name| host(name, "a", HostState::Serving))
            .chain(REMOTE_HOSTS.map(|(name, r)| host(name, &format!("{r}-a"), HostState::Serving)))
            .collect();
        for router in &mut region.routers {
            router.handle(now, Input::Hosts(views.clone()));
        }
        region
    }

    fn configure(&mut self) {
        let cap = Cap {
            level: share(self.level),
            start: share(INITIAL_PERCENT),
            rise: share(RISE_PERCENT),
        };
        self.topology.caps = vec![CapSpec {
            from: None,
            to: None,
            cap,
            fallback: false,
        }];
        let moves = REMOTE_HOSTS
            .iter()
            .zip(self.moves)
            .filter(|(_, percent)| *percent > 0);
        self.topology.moves = moves
            .map(|((_, to), percent)| MoveSpec {
                from: id("r"),
                to: id(to),
                share: share(percent),
                service: None,
                ramp: Duration::ZERO,
            })
            .collect();
        self.allowed_share = self.allowed_share.min(f64::from(self.level) / 100.0);
        for router in &mut self.routers {
            router.handle(self.now, Input::Topology(self.topology.clone()));
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Load {
                host,
                count,
                refuse,
            } => {
                (0..count).try_for_each(|_| self.send_request(host, refuse))?;
            }
            Op::Wait(steps) => (0..steps).for_each(|_| self.step()),
            Op::Move { to, percent } => {
                self.moves[to] = percent;
                self.configure();
            }
            Op::DrainZone(on) => self.drain(Drain::Zone(id("a")), on),
            Op::DrainRegion(on) => self.drain(Drain::Region(id("r")), on),
            Op::Fail(on) => {
                for n in 0..3 {
                    self.drain(Drain::Endpoint(id(&format!("e{n}"))), on);
                }
            }
            Op::Level(level) => {
                self.level = level;
                self.configure();
            }
        }
        Ok(())
    }

    fn drain(&mut self, drain: Drain, on: bool) {
        self.topology.drains.retain(|other| *other != drain);
        if on {
            self.topology.drains.push(drain);
        }
        self.configure();
    }

    fn step(&mut self) {
        self.now += STEP;
        let rise = f64::from(RISE_PERCENT) / 100.0 * STEP.as_secs_f64();
        self.allowed_share = (self.allowed_share + rise).min(f64::from(self.level) / 100.0);
        for (host, lease) in std::mem::take(&mut self.leases) {
            self.routers[host].finish(self.now, lease, Outcome::Answered);
        }
        for router in &mut self.routers {
            for (name, _) in REMOTE_HOSTS {
                let free = vec![(id("s"), 50)];
                let advert = Advert {
                    host: id(name),
                    free,
                    age: Duration::ZERO,
                };
                router.handle(self.now, Input::Advert(advert));
            }
            router.tick(self.now);
        }
        self.collect_leases();
    }

    fn collect_leases(&mut self) {
        for (host, router) in self.routers.iter_mut().enumerate() {
            while let Some(effect) = router.poll_effect() {
                if let wagtail_route::Effect::Start { lease, .. } = effect {
                    self.leases.push((host, lease));
                }
            }
        }
    }

    fn send_request(&mut self, host: usize, refuse: bool) -> Result<(), String> {
        let router = &mut self.routers[host];
        let key = router.service(&id("s")).expect("configured");
        let mut request = request(key, self.now + ms(100));
        self.allowed += self.allowed_share;
        match router.place(self.now, &request) {
            Placement::Dispatch(lease) => self.leases.push((host, lease)),
            Placement::Relay(permit) if !refuse => {
                let zone = permit.zone.to_string();
                router.finish_relay(self.now, permit, RelayResult::Taken);
                self.count(&zone)?;
            }
            Placement::Relay(permit) => {
                let tried = [permit.zone.clone()];
                router.finish_relay(self.now, permit, RelayResult::NoSlot);
                request.attempt = 1;
                request.tried = &tried;
                if let Placement::Relay(permit) = router.place(self.now, &request) {
                    let zone = permit.zone.to_string();
                    router.finish_relay(self.now, permit, RelayResult::Taken);
                    self.count(&zone)?;
                }
            }
            Placement::Queued(_) | Placement::Refuse(_) => {}
        }
        self.collect_leases();
        Ok(())
    }

    /// The oracle: the number of requests sent to a region stays under the allowed share of all
    /// requests since the start, and exceeds it in any interval by at most one request per host and
    /// one more.
    fn count(&mut self, zone: &str) -> Result<(), String> {
        let moved = self.moved.entry(zone.to_owned()).or_default();
        *moved += 1.0;
        if *moved > self.allowed + 1e-6 {
            return Err(format!("{moved} moved to {zone} of {}", self.allowed));
        }
        let slack = *moved - self.allowed;
        let min_slack = self.min_slack.entry(zone.to_owned()).or_insert(0.0);
        let hosts = HOSTS.len() as f64;
        if slack - *min_slack > hosts + 1.0 + 1e-6 {
            return Err(format!("{} above the cap to {zone}", slack - *min_slack));
        }
        Ok(())
    }

    fn record_slack(&mut self) {
        for (_, region) in REMOTE_HOSTS {
            let zone = format!("{region}-a");
            let moved = self.moved.get(&zone).copied().unwrap_or(0.0);
            let min_slack = self.min_slack.entry(zone).or_insert(0.0);
            *min_slack = min_slack.min(moved - self.allowed);
        }
    }
}

fn search(cases: u32, mutant: Option<Mutant>) -> Result<(), TestError<Vec<Op>>> {
    TestRunner::new(config(cases)).run(&ops(), |ops| {
        let mut region = RegionSim::new(mutant);
        for op in &ops {
            region.apply(op).map_err(TestCaseError::fail)?;
            region.record_slack();
        }
        Ok(())
    })
}

#[test]
fn caps_hold_over_all_hosts_and_causes() {
    search(150, None).unwrap();
}

#[test]
fn the_oracle_detects_broken_caps() {
    for mutant in [Mutant::UncappedMoves, Mutant::NoRamp] {
        let found = search(150, Some(mutant));
        assert!(
            matches!(found, Err(TestError::Fail(..))),
            "{mutant:?} was not found"
        );
    }
}

#[test]
fn a_move_reaches_its_share_once_the_cap_allows_it() {
    let mut region = RegionSim::new(None);
    region.moves = [30, 0];
    region.level = 100;
    region.configure();
    for _ in 0..2_000 {
        region.step();
        region.send_request(0, false).unwrap();
    }
    region.moved.clear();
    for _ in 0..1_000 {
        region.step();
        region.send_request(0, false).unwrap();
    }
    let moved = region.moved["east-a"];
    assert!((290.0..=301.0).contains(&moved), "{moved} of 1000 moved");
}

#[test]
fn a_drained_region_sends_all_requests_once_the_cap_allows_it() {
    let mut region = RegionSim::new(None);
    region.level = 100;
    region.drain(Drain::Region(id("r")), true);
    let all = |region: &mut RegionSim| {
        region.moved.clear();
        for _ in 0..500 {
            region.step();
            region.send_request(0, false).unwrap();
        }
        region.moved.values().sum::<f64>()
    };
    let early = all(&mut region);
    for _ in 0..2_500 {
        region.step();
        region.send_request(0, false).unwrap();
    }
    let late = all(&mut region);
    assert!(early < 300.0, "{early} of 500 at the start");
    assert!(late > 495.0, "{late} of 500 at the end");
}

/// Checks that chunks sent after the returned wait stay within burst and rate over every interval.
fn check_bytes(chunks: &[(u16, u32)], mutant: Option<Mutant>) -> Result<(), String> {
    const RATE: u64 = 1_000_000;
    const BURST: f64 = 100_000.0;
    let mut settings = settings("one", "a", "r").with_mutant(mutant);
    settings.spillover.byte_rate = ByteRate(RATE);
    let mut single = SingleHost::new(settings, one_zone(1, 1));
    let start = single.now;
    let mut sent: Vec<(f64, f64)> = Vec::new();
    for (gap, size) in chunks {
        single.advance(ms(u64::from(*gap)));
        let wait = single.router.reserve_bytes(single.now, u64::from(*size));
        let at = (single.now + wait - start).as_secs_f64();
        sent.push((at, f64::from(*size)));
    }
    for (n, (from, _)) in sent.iter().enumerate() {
        let mut total = 0.0;
        for (to, size) in &sent[n..] {
            total += size;
            let bound = BURST + RATE as f64 * (to - from) + sent[n].1;
            if total > bound + 1.0 {
                return Err(format!("{total} bytes in {} s", to - from));
            }
        }
    }
    Ok(())
}

fn search_bytes(mutant: Option<Mutant>) -> Result<(), TestError<Vec<(u16, u32)>>> {
    let chunks = prop::collection::vec((0..80_u16, 1..64_000_u32), 1..100);
    TestRunner::new(config(100)).run(&chunks, |chunks| {
        check_bytes(&chunks, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn bytes_to_other_regions_stay_within_their_budget() {
    search_bytes(None).unwrap();
}

#[test]
fn the_oracle_detects_unpaced_bytes() {
    let found = search_bytes(Some(Mutant::UnpacedBytes));
    assert!(matches!(found, Err(TestError::Fail(..))));
}
