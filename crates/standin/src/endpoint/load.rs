//! Requests in flight, their history and the load report made from it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::faults::Report;

const HISTORY: usize = 4096;

/// Counts of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Load {
    inflight: usize,
    history: VecDeque<(Instant, usize)>,
}

impl Load {
    /// Takes one of `limit` places.
    pub(crate) fn enter(&mut self, limit: usize, now: Instant) -> bool {
        if self.inflight >= limit {
            return false;
        }
        self.set(self.inflight + 1, now);
        true
    }

    /// Gives a place back.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.set(self.inflight.saturating_sub(1), now);
    }

    /// The number in flight that the endpoint reports.
    pub(crate) fn reported(&self, report: Report, now: Instant) -> Option<usize> {
        match report {
            Report::Honest => Some(self.inflight),
            Report::Lagging { ms } => Some(self.at(now, Duration::from_millis(ms))),
            Report::Fixed { inflight } => Some(inflight),
            Report::Stopped => None,
        }
    }

    fn set(&mut self, inflight: usize, now: Instant) {
        self.inflight = inflight;
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, inflight));
    }

    fn at(&self, now: Instant, age: Duration) -> usize {
        let old = |(t, _): &&(Instant, usize)| now.saturating_duration_since(*t) >= age;
        let entry = self.history.iter().rev().find(old);
        entry.map_or(0, |(_, inflight)| *inflight)
    }
}
