//! The number of requests in flight, its history, and the load report derived from them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::faults::Report;

/// Number of changes kept for [`Report::Lagging`].
const MAX_HISTORY: usize = 4096;

/// Tracks the requests in flight at one endpoint, both running and waiting.
#[derive(Debug, Default)]
pub(crate) struct Load {
    inflight: usize,
    history: VecDeque<(Instant, usize)>,
}

impl Load {
    /// Counts a request in and returns true, or returns false if `limit` are in flight already.
    pub(crate) fn try_acquire(&mut self, limit: usize, now: Instant) -> bool {
        if self.inflight >= limit {
            return false;
        }
        self.record(self.inflight + 1, now);
        true
    }

    /// Counts a request out.
    pub(crate) fn release(&mut self, now: Instant) {
        self.record(self.inflight.saturating_sub(1), now);
    }

    /// Returns the number in flight to report, or `None` if no load is reported.
    pub(crate) fn reported(&self, report: Report, now: Instant) -> Option<usize> {
        match report {
            Report::Honest => Some(self.inflight),
            Report::Lagging { ms } => Some(self.inflight_at(now, Duration::from_millis(ms))),
            Report::Fixed { inflight } => Some(inflight),
            Report::Stopped => None,
        }
    }

    fn record(&mut self, inflight: usize, now: Instant) {
        self.inflight = inflight;
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, inflight));
    }

    /// Returns the number in flight `age` ago, or 0 if the history does not reach back that far.
    fn inflight_at(&self, now: Instant, age: Duration) -> usize {
        let old = |(t, _): &&(Instant, usize)| now.saturating_duration_since(*t) >= age;
        let entry = self.history.iter().rev().find(old);
        entry.map_or(0, |(_, inflight)| *inflight)
    }
}
