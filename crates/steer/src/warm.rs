//! Which objects an endpoint has handled recently, and how many endpoints of a service keep.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Objects that are remembered of an endpoint, more than it keeps.
const REMEMBERED: usize = 64;
/// Objects that endpoints are taken to keep until answers show more or fewer.
const KEPT_FIRST: f64 = 24.0;
/// The fewest objects that endpoints are taken to keep.
const KEPT_LEAST: f64 = 8.0;
/// How much one wrong expectation lowers the number of objects kept.
const KEPT_STEP: f64 = 0.5;
/// The time after which other hosts are told again that an object is warm.
pub(crate) const TELL_EVERY: Duration = Duration::from_secs(2);

/// The most recent objects of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct WarmSet {
    seen: HashMap<u32, Instant>,
}

impl WarmSet {
    /// How many objects the endpoint handled since this one, or `None` if it did not handle it.
    pub(crate) fn rank(&self, object: u32) -> Option<usize> {
        let at = self.seen.get(&object)?;
        Some(self.seen.values().filter(|other| *other > at).count())
    }

    /// Notes that the object was handled; `true` if that was not known for [`TELL_EVERY`].
    pub(crate) fn note(&mut self, object: u32, now: Instant) -> bool {
        let before = self.seen.insert(object, now);
        if self.seen.len() > REMEMBERED {
            let oldest = self.seen.iter().min_by_key(|(_, at)| **at).map(|(&o, _)| o);
            if let Some(oldest) = oldest {
                self.seen.remove(&oldest);
            }
        }
        before.is_none_or(|at| now.duration_since(at) >= TELL_EVERY)
    }
}

/// How many objects endpoints of one service keep, learned from how long answers took.
#[derive(Debug)]
pub(crate) struct Kept(f64);

impl Default for Kept {
    fn default() -> Self {
        Self(KEPT_FIRST)
    }
}

impl Kept {
    /// Whether an object of this rank is still kept.
    pub(crate) fn keeps(&self, rank: usize) -> bool {
        (rank as f64) < self.0
    }

    /// Learns from an object of this rank that was found warm or not.
    pub(crate) fn learn(&mut self, rank: usize, warm: bool) {
        if warm {
            self.0 = self.0.max(rank as f64 + 1.0);
        } else if self.keeps(rank) {
            self.0 = (self.0 - KEPT_STEP).max(KEPT_LEAST);
        }
    }
}
