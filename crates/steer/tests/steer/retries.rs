//! The retry budget of a service across all hosts, while hosts restart or are cut off.

use std::time::{Duration, Instant};

use wagtail_steer::{Settings, Steer};
use wagtail_types::{Clock, ManualClock, ServiceId};

use crate::support::{SERVICE, exchange, name, steer};

const RATIO: f64 = 0.2;
const SLACK: f64 = 62.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(20);

/// Hosts that share the retry budget of one service.
struct Fleet {
    hosts: Vec<Steer>,
    /// The number of hosts, from the first one, that exchange no digests.
    cut: usize,
    clock: ManualClock,
    service: ServiceId,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            hosts: (0..count).map(new_host).collect(),
            cut: 0,
            clock: ManualClock::new(),
            service: name(SERVICE),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        exchange(&mut fleet.hosts, &fleet.clock);
        fleet
    }

    /// Replaces every host by a new process that has read the registrations of the others.
    fn restart(&mut self) {
        let records: Vec<_> = self
            .hosts
            .iter()
            .map(|h| h.local_host().record.clone())
            .collect();
        for (i, host) in self.hosts.iter_mut().enumerate() {
            *host = new_host(i);
            for record in &records {
                host.register_host(record.clone(), self.clock.now());
            }
            host.mark_hosts_read();
        }
    }

    /// Sends `rate` requests per second to the hosts in turn. The share `failing` of them ask for a
    /// retry.
    fn run(&mut self, rate: f64, failing: f64, time: Duration) {
        let (mut owed, mut owed_failures) = (0.0, 0.0);
        for tick in 0..time.as_millis() / STEP.as_millis() {
            let now = self.clock.now();
            owed += rate * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                let turn = self.requests.len() % self.hosts.len();
                let host = &mut self.hosts[turn];
                host.count_request(&self.service, &[], now);
                self.requests.push(now);
                owed_failures += failing;
                if owed_failures >= 1.0 {
                    owed_failures -= 1.0;
                    if host.take_retry(&self.service, now) {
                        self.retries.push(now);
                    }
                }
            }
            if tick % 50 == 0 {
                for host in &mut self.hosts {
                    host.prune_peers(now);
                }
                let cut = self.cut;
                exchange(&mut self.hosts[cut..], &self.clock);
            }
            self.clock.advance(STEP);
        }
    }

    /// Checks that each window has no more retries than the budget of all hosts allows. The requests
    /// are counted in the window, half a window before it or one window before it, whichever has
    /// most.
    fn assert_within_budget(&self) {
        let count = |times: &[Instant], from: Instant| {
            let in_window = |t: &&Instant| **t >= from && t.duration_since(from) < WINDOW;
            times.iter().filter(in_window).count() as f64
        };
        for &from in &self.retries {
            let retries = count(&self.retries, from);
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW]
                .into_iter()
                .filter_map(|d| from.checked_sub(d))
                .map(|at| count(&self.requests, at))
                .fold(0.0, f64::max);
            let allowed = RATIO * requests + SLACK;
            assert!(
                retries <= allowed,
                "{retries} retries in a window, for {requests} requests; allowed {allowed}"
            );
        }
    }
}

fn new_host(index: usize) -> Steer {
    let zones = ["a1", "b1", "c1", "a2", "b2", "c2"];
    let port = 100 + 10 * u16::try_from(index).expect("few hosts");
    let settings = Settings {
        retry_ratio: RATIO,
        retry_slack: SLACK,
        retry_window: WINDOW,
        ..Settings::default()
    };
    let zone = zones[index % zones.len()];
    let local = steer(&format!("host-{index}"), zone, port)
        .local_host()
        .clone();
    Steer::new(local, settings)
}

/// All hosts restart several times within a window, under little and under much load, while most
/// attempts fail. Their new processes must not spend again what the ones before have spent.
#[test]
fn restarted_hosts_do_not_spend_the_retry_budget_again() {
    for rate in [20.0, 100.0, 400.0] {
        for restarts in 1..=3 {
            let mut fleet = Fleet::new(11);
            fleet.run(rate, 0.0, Duration::from_secs(12));
            fleet.run(rate, 0.6, Duration::from_secs(2));
            for _ in 0..restarts {
                fleet.restart();
                fleet.run(rate, 0.6, Duration::from_secs(2));
            }
            fleet.run(rate, 0.6, Duration::from_secs(10));
            fleet.assert_within_budget();
        }
    }
}

/// Hosts that hear nothing of the others for longer than silent hosts are remembered must not take
/// the parts of the others.
#[test]
fn hosts_that_are_cut_off_for_long_keep_to_their_part_of_the_retry_budget() {
    let mut fleet = Fleet::new(11);
    fleet.run(20.0, 0.0, Duration::from_secs(2));
    fleet.cut = 11;
    fleet.run(20.0, 0.0, Duration::from_secs(24));
    fleet.run(20.0, 0.9, Duration::from_secs(14));
    fleet.assert_within_budget();
}

/// Attempts fail in short bursts slightly less than a window apart.
#[test]
fn retries_in_bursts_stay_within_the_budget_of_each_window() {
    let mut fleet = Fleet::new(11);
    fleet.run(100.0, 0.0, Duration::from_secs(12));
    for _ in 0..3 {
        fleet.run(100.0, 0.0, Duration::from_millis(8_400));
        fleet.run(500.0, 1.0, Duration::from_millis(600));
    }
    fleet.assert_within_budget();
}

/// A service of which one request in eight fails for long must get a retry for nearly every one, and
/// hosts that lose an endpoint must be able to retry all that was in flight there.
#[test]
fn retries_within_the_budget_are_granted() {
    let mut fleet = Fleet::new(11);
    fleet.run(220.0, 0.125, Duration::from_secs(30));
    let failures = 0.125 * fleet.requests.len() as f64;
    let granted = fleet.retries.len() as f64;
    assert!(granted >= 0.9 * failures, "{granted} of {failures}");
    fleet.run(220.0, 0.0, Duration::from_secs(10));
    let before = fleet.retries.len();
    fleet.run(220.0, 1.0, Duration::from_millis(400));
    let granted = fleet.retries.len() - before;
    assert!(granted >= 85, "{granted} of 88 in a burst");
    fleet.assert_within_budget();
}

/// The first request of a lone host, and one of the first of each host of a fleet, must get a retry
/// if its first attempt fails.
#[test]
fn a_host_that_has_just_started_may_retry() {
    for (hosts, first) in [(1, 1), (11, 44)] {
        let mut fleet = Fleet::new(hosts);
        fleet.run(100.0, 1.0, Duration::from_millis(10 * first + 10));
        assert!(!fleet.retries.is_empty(), "{hosts} hosts");
    }
}
