//! When a host may start its next call, so that the whole fleet keeps to a rate.

use std::time::{Duration, Instant};

use rand::Rng;

/// How late a timer may be and still use its place on the grid.
const SLACK: Duration = Duration::from_millis(25);

/// Start times of one kind of call on one host.
///
/// Each host has a period, the fleet's size over the fleet's rate. In a small fleet an idle host
/// may start at once: all of them together add no more than the fleet's size to a second. In a
/// large one, calls start on a grid of the host's own random phase only, so that no event that all
/// hosts see can bring them together.
#[derive(Debug)]
pub(super) struct Pace {
    rate: u32,
    small: u32,
    period: Duration,
    on_grid: bool,
    next: Instant,
}

impl Pace {
    /// A pace for `hosts` hosts that start `rate` calls a second together. Up to `small` hosts,
    /// an idle one starts at once.
    pub(super) fn new(rate: u32, small: u32, hosts: u32, now: Instant, rng: &mut impl Rng) -> Self {
        let mut pace = Self {
            rate: rate.max(1),
            small,
            period: Duration::ZERO,
            on_grid: false,
            next: now,
        };
        pace.set_hosts(hosts, now, rng);
        pace
    }

    /// Takes the fleet's size in, and draws a new phase.
    pub(super) fn set_hosts(&mut self, hosts: u32, now: Instant, rng: &mut impl Rng) {
        let hosts = hosts.max(1);
        self.period = Duration::from_secs_f64(f64::from(hosts) / f64::from(self.rate));
        self.on_grid = hosts > self.small;
        self.next = now + self.period.mul_f64(rng.random_range(0.0..1.0));
    }

    /// When a call may start: a time up to `now`, or the first one after it.
    pub(super) fn next(&self, now: Instant) -> Instant {
        let late = now.saturating_duration_since(self.next);
        if late.is_zero() {
            return self.next;
        }
        if !self.on_grid {
            return now;
        }
        let passed = late.as_nanos() / self.period.as_nanos().max(1);
        let last = self.next + self.period * u32::try_from(passed).unwrap_or(u32::MAX);
        let slack = SLACK.min(self.period / 4);
        if now.saturating_duration_since(last) <= slack {
            last
        } else {
            last + self.period
        }
    }

    /// Notes a call started at `at`, which [`next`](Self::next) gave.
    pub(super) fn start(&mut self, at: Instant) {
        self.next = at + self.period;
    }
}
