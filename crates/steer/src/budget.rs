//! The retry budget of one service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fraction of the fleet-wide budget that hosts use, so that the bound holds although the
/// hosts' views differ.
const USED_FRACTION: f64 = 0.8;

/// Counts the requests and retries of one service on one host over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    /// Requests and retries in intervals of one second: start, requests, retries.
    intervals: VecDeque<(Instant, u32, u32)>,
}

impl RetryBudget {
    /// Creates an empty budget over a sliding window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            intervals: VecDeque::new(),
        }
    }

    fn interval(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        while let Some(&(at, ..)) = self.intervals.front() {
            if now.duration_since(at) < self.window {
                break;
            }
            self.intervals.pop_front();
        }
        let current = |&(at, ..): &(Instant, u32, u32)| now.duration_since(at).as_secs() == 0;
        if !self.intervals.back().is_some_and(current) {
            self.intervals.push_back((now, 0, 0));
        }
        self.intervals
            .back_mut()
            .expect("an entry was pushed if there was none")
    }

    /// Counts a request, which raises the number of retries allowed in the window.
    pub fn request(&mut self, now: Instant) {
        self.interval(now).1 += 1;
    }

    /// Returns whether the local host's part of the budget allows one more retry.
    ///
    /// `ratio` is the number of retries per request. `slack` is the number of retries beyond it, in
    /// one window, that all `hosts` hosts share.
    pub fn allows(&self, ratio: f64, slack: f64, hosts: usize, now: Instant) -> bool {
        let recent = self
            .intervals
            .iter()
            .filter(|s| now.duration_since(s.0) < self.window);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), s| {
            (requests + s.1, retries + s.2)
        });
        let allowed = ratio * f64::from(requests) + slack / hosts.max(1) as f64;
        f64::from(retries) + 1.0 <= allowed * USED_FRACTION
    }

    /// Takes one retry if [`allows`](Self::allows) permits it.
    pub fn take(&mut self, ratio: f64, slack: f64, hosts: usize, now: Instant) -> bool {
        let allowed = self.allows(ratio, slack, hosts, now);
        if allowed {
            self.interval(now).2 += 1;
        }
        allowed
    }
}
