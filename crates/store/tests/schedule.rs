//! Checks in virtual time that the calls of all hosts together stay within the table's rate limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wagtail_store::{
    Access, Outcome, Priority, ScheduleEffect, ScheduleInput, ScheduleSettings, Scheduler,
};
use wagtail_types::{Clock, ManualClock};

const MAX_READS: usize = 2_000;
const MAX_WRITES: usize = 300;
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
const IDLE: Duration = Duration::from_secs(60);
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// Counts the calls of the last second, the most in any second and all calls.
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

/// A fleet in which every host always requests more calls than it may make.
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
                submit_both(host, now);
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

/// Submits a read and a write. Calls with even ids are reads.
fn submit_both(host: &mut Scheduler, now: Instant) {
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
    fn all_hosts_together_stay_within_the_rate_limits(
        count in prop_oneof![Just(540u32), Just(40), Just(41), Just(150), Just(151), 1u32..600],
        seed: u64,
    ) {
        let mut fleet = Fleet::new(count, seed);
        fleet.run(Duration::from_secs(4), Outcome::Answered);
        fleet.run(Duration::from_secs(6), Outcome::Failed);
        fleet.run(Duration::from_secs(4), Outcome::Answered);
        fleet.clock.advance(IDLE);
        fleet.run(Duration::from_secs(2), Outcome::Answered);
        prop_assert!(fleet.reads.peak <= MAX_READS, "{} reads in a second", fleet.reads.peak);
        prop_assert!(fleet.writes.peak <= MAX_WRITES, "{} writes in a second", fleet.writes.peak);
    }
}

#[test]
fn a_large_fleet_uses_most_of_the_rate() {
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

/// Checks that the counter detects a broken variant, in which idle hosts of a large fleet start
/// calls at once instead of on the grid.
#[test]
fn the_counter_detects_a_large_fleet_without_the_grid() {
    let settings = ScheduleSettings {
        immediate_reads: u32::MAX,
        immediate_writes: u32::MAX,
        ..ScheduleSettings::default()
    };
    let mut fleet = Fleet::with(&settings, 540, 3);
    fleet.clock.advance(IDLE);
    fleet.run(SECOND, Outcome::Answered);
    assert!(fleet.reads.peak > MAX_READS, "{} reads", fleet.reads.peak);
    assert!(
        fleet.writes.peak > MAX_WRITES,
        "{} writes",
        fleet.writes.peak
    );
}

fn effects(host: &mut Scheduler) -> Vec<ScheduleEffect> {
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
fn calls_start_in_order_of_priority() {
    let now = Instant::now();
    let mut host = Scheduler::new(ScheduleSettings::default(), 1, now);
    let order = [
        (1, Priority::Bulk),
        (2, Priority::Poll),
        (3, Priority::Claim),
        (4, Priority::Lease),
    ];
    for (id, priority) in order {
        submit(&mut host, now, id, priority, NO_DEADLINE);
    }
    let mut seen = Vec::new();
    let mut at = now;
    while seen.len() < order.len() {
        at = host.next_wake(at).expect("calls wait").max(at);
        host.tick(at);
        for effect in effects(&mut host) {
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
fn calls_that_cannot_start_are_reported_as_dropped() {
    let now = Instant::now();
    let settings = ScheduleSettings {
        max_queued: 2,
        ..ScheduleSettings::default()
    };
    let mut host = Scheduler::new(settings, 1, now);
    submit(&mut host, now, 1, Priority::Poll, NO_DEADLINE);
    submit(&mut host, now, 2, Priority::Poll, NO_DEADLINE);
    assert_eq!(effects(&mut host), [ScheduleEffect::Drop { id: 1 }]);
    submit(&mut host, now, 3, Priority::Claim, NO_DEADLINE);
    submit(&mut host, now, 4, Priority::Lease, Duration::from_micros(1));
    assert_eq!(effects(&mut host), [ScheduleEffect::Drop { id: 2 }]);
    let later = now + Duration::from_micros(1);
    host.tick(later);
    assert_eq!(effects(&mut host), [ScheduleEffect::Drop { id: 4 }]);
}

#[test]
fn waits_between_calls_grow_after_failures() {
    let mut now = Instant::now();
    let settings = ScheduleSettings {
        hosts: 1,
        ..ScheduleSettings::default()
    };
    let max_backoff = settings.max_backoff;
    let mut host = Scheduler::new(settings, 1, now);
    let mut waits = Vec::new();
    for id in 0..8 {
        submit(&mut host, now, id, Priority::Lease, NO_DEADLINE);
        let submitted = now;
        while effects(&mut host).is_empty() {
            now = host.next_wake(now).expect("a call waits").max(now);
            host.tick(now);
        }
        waits.push(now - submitted);
        host.handle(
            now,
            ScheduleInput::Finished {
                id,
                outcome: Outcome::Failed,
            },
        );
    }
    assert!(waits[3] > waits[1], "{waits:?}");
    assert!(waits.iter().all(|w| *w <= max_backoff), "{waits:?}");
    assert!(waits[7] >= max_backoff / 2, "{waits:?}");
}

/// Guards against start times that shift with each small change of the fleet's size: a host that is
/// told another size every 20 ms must make as many calls as one whose fleet does not change, and
/// the fleet must stay within its limits.
#[test]
fn a_fluctuating_fleet_size_does_not_change_the_number_of_calls() {
    let total = |fluctuates: bool| {
        let mut fleet = Fleet::new(540, 3);
        for step in 0..500 {
            let hosts = if fluctuates { 540 + step % 30 } else { 540 };
            let now = fleet.clock.now();
            for host in &mut fleet.hosts {
                host.handle(now, ScheduleInput::Fleet { hosts });
            }
            fleet.run(STEP, Outcome::Answered);
        }
        assert!(
            fleet.writes.peak <= MAX_WRITES,
            "{} writes",
            fleet.writes.peak
        );
        fleet.writes.total
    };
    assert_eq!(total(true), total(false));
}

// Guards against a large answer that crosses a slow link and holds back every other call: after a
// failure a host makes one call at a time, so leases would lapse until the answer has arrived.
#[test]
fn a_slow_call_does_not_hold_back_others_after_a_failure() {
    const WAIT: Duration = Duration::from_secs(3);
    let start = Instant::now();
    let mut host = Scheduler::new(ScheduleSettings::default(), 1, start);
    let mut at = start;
    let mut start_call = |host: &mut Scheduler, id, priority| {
        submit(host, at, id, priority, WAIT);
        while let Some(wake) = host.next_wake(at) {
            at = at.max(wake);
            host.tick(at);
            if let Some(effect) = host.poll_effect() {
                return (effect, at);
            }
        }
        panic!("call {id} neither starts nor is dropped");
    };
    let (slow, _) = start_call(&mut host, 1, Priority::Bulk);
    assert_eq!(slow, ScheduleEffect::Start { id: 1 });
    let (failing, failed_at) = start_call(&mut host, 2, Priority::Poll);
    assert_eq!(failing, ScheduleEffect::Start { id: 2 });
    let outcome = Outcome::Failed;
    host.handle(failed_at, ScheduleInput::Finished { id: 2, outcome });
    let (lease, _) = start_call(&mut host, 3, Priority::Lease);
    assert_eq!(lease, ScheduleEffect::Start { id: 3 });
}

/// Starts three calls after a failure, the first of which ends with `outcome` at once. Returns how
/// many of the calls have started when the wait after the failure is over.
fn started_after(outcome: Outcome) -> usize {
    let start = Instant::now();
    let settings = ScheduleSettings {
        hosts: 1,
        ..ScheduleSettings::default()
    };
    let mut host = Scheduler::new(settings, 1, start);
    submit(&mut host, start, 0, Priority::Poll, NO_DEADLINE);
    let at = host.next_wake(start).expect("it waits").max(start);
    host.tick(at);
    assert_eq!(effects(&mut host), [ScheduleEffect::Start { id: 0 }]);
    let failed = Outcome::Failed;
    host.handle(
        at,
        ScheduleInput::Finished {
            id: 0,
            outcome: failed,
        },
    );
    for id in 1..=3 {
        submit(&mut host, at, id, Priority::Lease, NO_DEADLINE);
    }
    let mut started = Vec::new();
    let end = at + ScheduleSettings::default().slow_after;
    let mut now = at;
    while now < end {
        host.tick(now);
        for effect in effects(&mut host) {
            let ScheduleEffect::Start { id } = effect else {
                panic!("{effect:?}");
            };
            started.push(id);
            if id == 1 {
                host.handle(now, ScheduleInput::Finished { id, outcome });
            }
        }
        now += STEP;
    }
    started.len()
}

// Guards against an outage in which a host makes many calls at a time again because one that was to
// start was not made: only an answer shows that the platform is back.
#[test]
fn a_call_that_is_not_made_does_not_count_as_answered() {
    assert_eq!(started_after(Outcome::Answered), 3);
    assert_eq!(started_after(Outcome::NotMade), 2);
}
