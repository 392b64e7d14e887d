//! The budget of further attempts at one service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the fleet's budget that hosts use, so that unequal views stay within it.
const USED_PART: f64 = 0.8;

/// Counts requests and further attempts of one service on one host over a sliding window.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    /// Requests and further attempts, a second of time an entry.
    slots: VecDeque<(Instant, u32, u32)>,
}

impl Budget {
    /// An empty budget over a window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slots: VecDeque::new(),
        }
    }

    fn slot(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        while let Some(&(at, ..)) = self.slots.front() {
            if now.duration_since(at) < self.window {
                break;
            }
            self.slots.pop_front();
        }
        let fresh = |&(at, ..): &(Instant, u32, u32)| now.duration_since(at).as_secs() == 0;
        if !self.slots.back().is_some_and(fresh) {
            self.slots.push_back((now, 0, 0));
        }
        self.slots
            .back_mut()
            .expect("an entry was pushed if there was none")
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.slot(now).1 += 1;
    }

    /// Whether the host's part of the budget allows one further attempt.
    ///
    /// `slack` is the fleet's allowance beyond `ratio` and `hosts` the hosts that share it.
    pub fn allows(&self, ratio: f64, slack: f64, hosts: usize, now: Instant) -> bool {
        let recent = self
            .slots
            .iter()
            .filter(|s| now.duration_since(s.0) < self.window);
        let (requests, further) = recent.fold((0, 0), |(r, f), s| (r + s.1, f + s.2));
        let allowed = ratio * f64::from(requests) + slack / hosts.max(1) as f64;
        f64::from(further) + 1.0 <= allowed * USED_PART
    }

    /// Takes one further attempt if [`allows`](Self::allows) it.
    pub fn take(&mut self, ratio: f64, slack: f64, hosts: usize, now: Instant) -> bool {
        let allowed = self.allows(ratio, slack, hosts, now);
        if allowed {
            self.slot(now).2 += 1;
        }
        allowed
    }
}
