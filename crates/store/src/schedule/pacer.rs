//! Start times of the calls of one host, by which the whole fleet keeps to a rate.

use std::time::{Duration, Instant};

use rand::Rng;

/// How late a timer may fire for its call to count as started at the grid time.
const TIMER_SLACK: Duration = Duration::from_millis(25);

/// Computes the start times of the reads or the writes of one host.
///
/// The start times of a host are at least one period apart; the period is the fleet's size divided
/// by the fleet's rate. In a small fleet an idle host may start a call at once, since all hosts
/// together add at most the fleet's size to the calls of a second. In a large fleet, calls start
/// only on a grid of times that has a random phase for each host, so that no event that all hosts
/// see can synchronize their calls.
#[derive(Debug)]
pub(super) struct Pacer {
    rate: u32,
    immediate_hosts: u32,
    period: Duration,
    on_grid: bool,
    next: Instant,
}

impl Pacer {
    /// Creates the pacer of one of `hosts` hosts that together start `rate` calls a second. In a
    /// fleet of up to `immediate_hosts` hosts, an idle host starts a call at once.
    pub(super) fn new(
        rate: u32,
        immediate_hosts: u32,
        hosts: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let mut pacer = Self {
            rate: rate.max(1),
            immediate_hosts,
            period: Duration::ZERO,
            on_grid: false,
            next: now,
        };
        pacer.set_hosts(hosts, now, rng);
        pacer
    }

    /// Sets the fleet's size and draws a new phase.
    pub(super) fn set_hosts(&mut self, hosts: u32, now: Instant, rng: &mut impl Rng) {
        let hosts = hosts.max(1);
        self.period = Duration::from_secs_f64(f64::from(hosts) / f64::from(self.rate));
        self.on_grid = hosts > self.immediate_hosts;
        self.next = now + self.period.mul_f64(rng.random_range(0.0..1.0));
    }

    /// Returns when the next call may start: a time up to `now` if it may start now, otherwise the
    /// first possible time after `now`.
    pub(super) fn next(&self, now: Instant) -> Instant {
        let late = now.saturating_duration_since(self.next);
        if late.is_zero() {
            return self.next;
        }
        if !self.on_grid {
            return now;
        }
        let periods = late.as_nanos() / self.period.as_nanos().max(1);
        let last = self.next + self.period * u32::try_from(periods).unwrap_or(u32::MAX);
        let slack = TIMER_SLACK.min(self.period / 4);
        if now.saturating_duration_since(last) <= slack {
            last
        } else {
            last + self.period
        }
    }

    /// Records the start of a call at `at`, a time that [`next`](Self::next) returned.
    pub(super) fn start(&mut self, at: Instant) {
        self.next = at + self.period;
    }
}
