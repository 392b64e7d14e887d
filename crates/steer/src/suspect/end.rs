//! The ends of endpoints' processes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The time within which hosts see that several endpoints have ended for the same reason.
const JOINT_TIME: Duration = Duration::from_millis(80);
/// The time after a reported end from which on an answer of the same process refutes it; longer than an
/// answer is on its way.
const REFUTATION_TIME: Duration = Duration::from_millis(500);
/// How long ends are compared with others; longer than reports of them are on their way.
const LOG_MEMORY: Duration = Duration::from_secs(60);
/// The number of ends that are compared with others.
const LOG_MAX: usize = 4_096;

/// The end of an endpoint's process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    pub(crate) endpoint: u32,
    pub(crate) started: Option<u64>,
    /// When the request was sent there.
    pub(crate) began: Instant,
    pub(crate) at: Instant,
}

impl End {
    /// Returns whether both are the end of the same process.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        (self.endpoint, self.started) == (other.endpoint, other.started)
    }

    /// Returns whether this end and another one may have the same reason, as they came together.
    pub(super) fn is_joint_with(&self, other: &Self) -> bool {
        let (first, last) = (self.at.min(other.at), self.at.max(other.at));
        last.duration_since(first) < JOINT_TIME
    }

    /// Returns whether an answer at `answered`, on a connection that was opened at `opened`, shows that the
    /// process did not end. A later connection may be one to its successor, whose registration is not
    /// known yet.
    pub(crate) fn is_refuted_by(&self, opened: Instant, answered: Instant) -> bool {
        opened < self.at && answered > self.at + REFUTATION_TIME
    }
}

/// The processes that ended lately under any request, in order of time.
#[derive(Debug, Default)]
pub(super) struct EndLog {
    ends: VecDeque<End>,
}

impl EndLog {
    pub(super) fn record(&mut self, end: End, now: Instant) {
        while let Some(first) = self.ends.front()
            && (self.ends.len() >= LOG_MAX || now.duration_since(first.at) >= LOG_MEMORY)
        {
            self.ends.pop_front();
        }
        if self.near(&end).any(|e| e.is_same(&end)) {
            return;
        }
        let at = self.ends.partition_point(|e| e.at <= end.at);
        self.ends.insert(at, end);
    }

    /// Returns the ends that came together with one.
    pub(super) fn near(&self, end: &End) -> impl Iterator<Item = &End> {
        let from = end.at.checked_sub(JOINT_TIME).unwrap_or(end.at);
        let first = self.ends.partition_point(|e| e.at < from);
        let near = self.ends.range(first..);
        near.take_while(move |e| e.at < from + 2 * JOINT_TIME)
            .filter(|e| e.is_joint_with(end))
    }
}
