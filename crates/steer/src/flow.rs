//! Rates of events, as moving averages.

use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use crate::hash::short_hash;

/// The time over which a rate is averaged; long enough to be steady, short against the waves of a
/// day.
const MEAN_TIME: Duration = Duration::from_secs(3);

/// A rate that follows its events.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    count: f64,
    at: Option<Instant>,
    first: Option<Instant>,
}

/// The least age of a flow from which its rate is worked out.
const AGE_MIN: Duration = Duration::from_millis(150);

impl Flow {
    fn decayed(&self, now: Instant) -> f64 {
        let gone = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.count * (-gone.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp()
    }

    /// Counts an event.
    pub(crate) fn note(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.at = Some(now);
        self.first.get_or_insert(now);
    }

    /// The time of the first event.
    pub(crate) fn first(&self) -> Option<Instant> {
        self.first
    }

    /// Events a second. The average of a young flow is over its age.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let age = self
            .first
            .map_or(AGE_MIN, |at| now.duration_since(at).max(AGE_MIN));
        let mean = MEAN_TIME.as_secs_f64();
        let covered = 1.0 - (-age.as_secs_f64() / mean).exp();
        self.decayed(now) / (mean * covered)
    }
}

/// The hash by which digests tell the flow to a service, or the part that only one region may run.
pub(crate) fn flow_hash(service: &ServiceId, bound: Option<&RegionId>) -> u32 {
    match bound {
        None => short_hash(service.as_str()),
        Some(region) => short_hash(&format!("{service}@{region}")),
    }
}
