//! The retry budget of one service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fraction of the fleet-wide budget that hosts use, so that the bound holds although the
/// hosts' views differ and some requests that they count are not covered by it.
const USED_FRACTION: f64 = 0.9;
/// The fraction of a window's retries per request that can be saved for a burst. The rest is earned
/// within the window, so that both together stay within its budget.
const SAVED_FRACTION: f64 = 0.25;
/// The fraction of the slack that can be saved for a burst.
const SAVED_SLACK_FRACTION: f64 = 0.4;
/// The fraction of the slack that time earns within a window.
const EARNED_SLACK_FRACTION: f64 = 0.3;
/// The fraction of the slack that a new process has. Up to three processes of a host within a window
/// stay within the slack.
const INITIAL_SLACK_FRACTION: f64 = 0.1;

/// The deployment's bound on the retries of a service in any window, across all hosts.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that ratio.
    pub slack: f64,
    /// The length of a window.
    pub window: Duration,
}

/// Holds the retries that one host may spend on one service.
///
/// It starts with few, because earlier processes of the host may have spent its part just before.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// The retries available at `filled_at`.
    level: f64,
    filled_at: Instant,
    /// Requests in intervals of one second: start, count.
    intervals: VecDeque<(Instant, u32)>,
}

impl RetryBudget {
    /// Creates the budget of a new process. `hosts` is the number of hosts that share the slack.
    pub fn new(limits: RetryLimits, hosts: usize, now: Instant) -> Self {
        Self {
            limits,
            level: slack_part(limits, hosts, INITIAL_SLACK_FRACTION),
            filled_at: now,
            intervals: VecDeque::new(),
        }
    }

    /// Counts a request, which earns a part of a retry.
    pub fn request(&mut self, hosts: usize, now: Instant) {
        while let Some(&(at, _)) = self.intervals.front() {
            if now.duration_since(at) < self.limits.window {
                break;
            }
            self.intervals.pop_front();
        }
        match self.intervals.back_mut() {
            Some((at, count)) if now.duration_since(*at).as_secs() == 0 => *count += 1,
            _ => self.intervals.push_back((now, 1)),
        }
        let earned = self.limits.ratio * (1.0 - SAVED_FRACTION) * USED_FRACTION;
        self.level = (self.level(hosts, now) + earned).min(self.capacity(hosts, now));
        self.filled_at = now;
    }

    /// Returns the number of retries that can be saved.
    fn capacity(&self, hosts: usize, now: Instant) -> f64 {
        let is_recent = |&&(at, _): &&(Instant, u32)| now.duration_since(at) < self.limits.window;
        let recent = self.intervals.iter().filter(is_recent);
        let requests: u32 = recent.map(|(_, count)| count).sum();
        let earned = self.limits.ratio * f64::from(requests) * SAVED_FRACTION;
        let slack = slack_part(self.limits, hosts, SAVED_SLACK_FRACTION);
        (earned + slack) * USED_FRACTION
    }

    /// Returns the number of retries available now.
    fn level(&self, hosts: usize, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        let slack = slack_part(self.limits, hosts, EARNED_SLACK_FRACTION);
        let rate = slack / self.limits.window.as_secs_f64() * USED_FRACTION;
        (self.level + elapsed * rate).min(self.capacity(hosts, now))
    }

    /// Returns whether the local host's part of the budget allows one more retry.
    pub fn allows(&self, hosts: usize, now: Instant) -> bool {
        self.level(hosts, now) >= 1.0
    }

    /// Takes one retry if [`allows`](Self::allows) permits it.
    pub fn take(&mut self, hosts: usize, now: Instant) -> bool {
        let allowed = self.allows(hosts, now);
        if allowed {
            self.level = self.level(hosts, now) - 1.0;
            self.filled_at = now;
        }
        allowed
    }
}

/// Returns a fraction of one host's part of the slack.
fn slack_part(limits: RetryLimits, hosts: usize, fraction: f64) -> f64 {
    limits.slack / hosts.max(1) as f64 * fraction
}
