//! The scheduler of many hosts against the counter of one fake table, in virtual time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wagtail_store::{
    Access, Outcome, Priority, ScheduleEffect, ScheduleInput, ScheduleSettings, Scheduler,
};
use wagtail_types::{Clock, ManualClock};

const READS_CAP: usize = 2_000;
const WRITES_CAP: usize = 300;
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
const IDLE: Duration = Duration::from_secs(60);
const FOR_EVER: Duration = Duration::from_secs(3_600);

/// The calls of the last second, and the most there ever were.
#[derive(Default)]
struct Counter {
    recent: VecDeque<Instant>,
    peak: usize,
    total: usize,
}

impl Counter {
    fn count(&mut self, now: Instant) {
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|at| now.duration_since(*at) >= SECOND)
        {
            self.recent.pop_front();
        }
        self.peak = self.peak.max(self.recent.len());
        self.total += 1;
    }
}

/// A fleet in which every host always wants more than it gets.
struct Fleet {
    clock: ManualClock,
    hosts: Vec<Scheduler>,
    reads: Counter,
    writes: Counter,
}

impl Fleet {
    fn new(count: u32, seed: u64) -> Self {
        Self::with(&ScheduleSettings::default(), count, seed)
    }

    fn with(settings: &ScheduleSettings, count: u32, seed: u64) -> Self {
        let clock = ManualClock::new();
        let settings = ScheduleSettings {
            hosts: count,
            ..settings.clone()
        };
        let start = |n| Scheduler::new(settings.clone(), seed.wrapping_add(n), clock.now());
        let hosts = (0..u64::from(count)).map(start).collect();
        Self {
            clock,
            hosts,
            reads: Counter::default(),
            writes: Counter::default(),
        }
    }

    fn run(&mut self, time: Duration, outcome: Outcome) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            let now = self.clock.now();
            for host in &mut self.hosts {
                want(host, now);
                while let Some(effect) = host.poll_effect() {
                    let ScheduleEffect::Start { id } = effect else {
                        continue;
                    };
                    let counter = if id % 2 == 0 {
                        &mut self.reads
                    } else {
                        &mut self.writes
                    };
                    counter.count(now);
                    host.handle(now, ScheduleInput::Finished { id, outcome });
                }
            }
            self.clock.advance(STEP);
        }
    }
}

/// Submits a read and a write; even numbers read.
fn want(host: &mut Scheduler, now: Instant) {
    for (id, access, priority) in [
        (0, Access::Read, Priority::Bulk),
        (1, Access::Write, Priority::Claim),
    ] {
        let deadline = now + STEP;
        host.handle(
            now,
            ScheduleInput::Submit {
                id,
                priority,
                access,
                deadline,
            },
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: Config::default().cases.div_ceil(20),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn all_hosts_together_keep_the_caps(
        count in prop_oneof![Just(540u32), Just(40), Just(41), Just(150), Just(151), 1u32..600],
        seed: u64,
    ) {
        let mut fleet = Fleet::new(count, seed);
        fleet.run(Duration::from_secs(4), Outcome::Answered);
        fleet.run(Duration::from_secs(6), Outcome::Failed);
        fleet.run(Duration::from_secs(4), Outcome::Answered);
        fleet.clock.advance(IDLE);
        fleet.run(Duration::from_secs(2), Outcome::Answered);
        prop_assert!(fleet.reads.peak <= READS_CAP, "{} reads in a second", fleet.reads.peak);
        prop_assert!(fleet.writes.peak <= WRITES_CAP, "{} writes in a second", fleet.writes.peak);
    }
}

#[test]
fn the_budget_is_used() {
    let mut fleet = Fleet::new(540, 3);
    fleet.run(Duration::from_secs(10), Outcome::Answered);
    println!("540 hosts, 10 s, calls always wanted, in the busiest second and in all:");
    println!("reads  {} {}", fleet.reads.peak, fleet.reads.total);
    println!("writes {} {}", fleet.writes.peak, fleet.writes.total);
    assert!(
        fleet.reads.total > 10 * 1_600,
        "{} reads",
        fleet.reads.total
    );
    assert!(
        fleet.writes.total > 10 * 210,
        "{} writes",
        fleet.writes.total
    );
}

/// A broken variant: hosts of any fleet start at once after they were idle.
#[test]
fn the_counter_finds_a_fleet_without_the_grid() {
    let settings = ScheduleSettings {
        read_burst: u32::MAX,
        write_burst: u32::MAX,
        ..ScheduleSettings::default()
    };
    let mut fleet = Fleet::with(&settings, 540, 3);
    fleet.clock.advance(IDLE);
    fleet.run(SECOND, Outcome::Answered);
    assert!(fleet.reads.peak > READS_CAP, "{} reads", fleet.reads.peak);
    assert!(
        fleet.writes.peak > WRITES_CAP,
        "{} writes",
        fleet.writes.peak
    );
}

fn started(host: &mut Scheduler) -> Vec<ScheduleEffect> {
    std::iter::from_fn(|| host.poll_effect()).collect()
}

fn submit(host: &mut Scheduler, now: Instant, id: u64, priority: Priority, time: Duration) {
    let deadline = now + time;
    let access = Access::Write;
    host.handle(
        now,
        ScheduleInput::Submit {
            id,
            priority,
            access,
            deadline,
        },
    );
}

#[test]
fn leases_go_before_claims_before_polls() {
    let now = Instant::now();
    let mut host = Scheduler::new(ScheduleSettings::default(), 1, now);
    let order = [
        (1, Priority::Bulk),
        (2, Priority::Poll),
        (3, Priority::Claim),
        (4, Priority::Lease),
    ];
    for (id, priority) in order {
        submit(&mut host, now, id, priority, FOR_EVER);
    }
    let mut seen = Vec::new();
    let mut at = now;
    while seen.len() < order.len() {
        at = host.next_wake(at).expect("calls wait").max(at);
        host.tick(at);
        for effect in started(&mut host) {
            let ScheduleEffect::Start { id } = effect else {
                panic!("{effect:?}")
            };
            seen.push(id);
            host.handle(
                at,
                ScheduleInput::Finished {
                    id,
                    outcome: Outcome::Answered,
                },
            );
        }
    }
    assert_eq!(seen, [4, 3, 2, 1]);
}

#[test]
fn what_cannot_be_done_is_dropped_and_said_so() {
    let now = Instant::now();
    let settings = ScheduleSettings {
        queue: 2,
        ..ScheduleSettings::default()
    };
    let mut host = Scheduler::new(settings, 1, now);
    submit(&mut host, now, 1, Priority::Poll, FOR_EVER);
    submit(&mut host, now, 2, Priority::Poll, FOR_EVER);
    assert_eq!(started(&mut host), [ScheduleEffect::Drop { id: 1 }]);
    submit(&mut host, now, 3, Priority::Claim, FOR_EVER);
    submit(&mut host, now, 4, Priority::Lease, Duration::from_micros(1));
    assert_eq!(started(&mut host), [ScheduleEffect::Drop { id: 2 }]);
    let later = now + Duration::from_micros(1);
    host.tick(later);
    assert_eq!(started(&mut host), [ScheduleEffect::Drop { id: 4 }]);
}

#[test]
fn after_failures_one_call_at_a_time_tries_with_growing_waits() {
    let mut now = Instant::now();
    let settings = ScheduleSettings {
        hosts: 1,
        ..ScheduleSettings::default()
    };
    let longest = settings.longest;
    let mut host = Scheduler::new(settings, 1, now);
    let mut waits = Vec::new();
    for id in 0..8 {
        submit(&mut host, now, id, Priority::Lease, FOR_EVER);
        let asked = now;
        while started(&mut host).is_empty() {
            now = host.next_wake(now).expect("a call waits").max(now);
            host.tick(now);
        }
        waits.push(now - asked);
        host.handle(
            now,
            ScheduleInput::Finished {
                id,
                outcome: Outcome::Failed,
            },
        );
    }
    assert!(waits[3] > waits[1], "{waits:?}");
    assert!(waits.iter().all(|w| *w <= longest), "{waits:?}");
    assert!(waits[7] >= longest / 2, "{waits:?}");
}

/// A host that hears of another size of the fleet every 20 ms gets as many turns as one that
/// hears of none, and the fleet keeps its caps.
#[test]
fn a_size_that_flaps_neither_delays_nor_hastens() {
    let total = |flaps: bool| {
        let mut fleet = Fleet::new(540, 3);
        for step in 0..500 {
            let hosts = if flaps { 540 + step % 30 } else { 540 };
            let now = fleet.clock.now();
            for host in &mut fleet.hosts {
                host.handle(now, ScheduleInput::Fleet { hosts });
            }
            fleet.run(STEP, Outcome::Answered);
        }
        assert!(
            fleet.writes.peak <= WRITES_CAP,
            "{} writes",
            fleet.writes.peak
        );
        fleet.writes.total
    };
    assert_eq!(total(true), total(false));
}
