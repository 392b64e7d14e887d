//! Tracks which objects are warm at endpoints.
//!
//! An object is warm at an endpoint that served it recently and still caches it, so that requests
//! for it run faster there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of objects remembered per endpoint; more than an endpoint is expected to cache.
const MAX_TRACKED: usize = 64;
/// The initial estimate of how many objects an endpoint caches.
const INITIAL_CAPACITY: f64 = 24.0;
/// The lower bound of that estimate.
const MIN_CAPACITY: f64 = 8.0;
/// How much one object that was unexpectedly not warm lowers the estimate.
const CAPACITY_STEP: f64 = 0.5;
/// The time after which peers are told again that an object is warm.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The objects that one endpoint served most recently.
#[derive(Debug, Default)]
pub(crate) struct WarmSet {
    last_served: HashMap<u32, Instant>,
}

impl WarmSet {
    /// Returns the number of other objects that the endpoint served since it last served this one,
    /// or `None` if it is not known to have served it.
    pub(crate) fn reuse_distance(&self, object: u32) -> Option<usize> {
        let at = self.last_served.get(&object)?;
        Some(
            self.last_served
                .values()
                .filter(|other| *other > at)
                .count(),
        )
    }

    /// Removes an object that the endpoint turned out not to have run.
    pub(crate) fn forget(&mut self, object: u32) {
        self.last_served.remove(&object);
    }

    /// Records that the object was served. Returns `true` if it was not recorded within the last
    /// [`REPORT_INTERVAL`], so that peers should be told.
    pub(crate) fn record(&mut self, object: u32, now: Instant) -> bool {
        let previous = self.last_served.insert(object, now);
        if self.last_served.len() > MAX_TRACKED {
            let oldest = self
                .last_served
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(&o, _)| o);
            if let Some(oldest) = oldest {
                self.last_served.remove(&oldest);
            }
        }
        previous.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL)
    }
}

/// The estimated number of objects that endpoints of a service cache, learned from response times.
#[derive(Debug)]
pub(crate) struct WarmCapacity(f64);

impl Default for WarmCapacity {
    fn default() -> Self {
        Self(INITIAL_CAPACITY)
    }
}

impl WarmCapacity {
    /// Returns whether an object with this reuse distance is still expected to be warm.
    pub(crate) fn holds(&self, reuse_distance: usize) -> bool {
        (reuse_distance as f64) < self.0
    }

    /// Updates the estimate from an object with this reuse distance that was observed to be warm or
    /// not.
    pub(crate) fn observe(&mut self, reuse_distance: usize, warm: bool) {
        if warm {
            self.0 = self.0.max(reuse_distance as f64 + 1.0);
        } else if self.holds(reuse_distance) {
            self.0 = (self.0 - CAPACITY_STEP).max(MIN_CAPACITY);
        }
    }
}
