//! Event rates as exponential moving averages.

use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use crate::hash::short_hash;

/// The time constant of the average; long enough to be steady, short compared to daily load
/// variations.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Measures the rate of events.
#[derive(Debug, Default)]
pub(crate) struct RateMeter {
    count: f64,
    updated_at: Option<Instant>,
    first_event: Option<Instant>,
}

/// The shortest age that is assumed in computing a rate.
const MIN_AGE: Duration = Duration::from_millis(150);

impl RateMeter {
    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        self.count * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Counts an event.
    pub(crate) fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = Some(now);
        self.first_event.get_or_insert(now);
    }

    /// Returns the time of the first event.
    pub(crate) fn first_event(&self) -> Option<Instant> {
        self.first_event
    }

    /// Returns the events per second. During the first seconds the average covers only the time
    /// since the first event.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let age = self
            .first_event
            .map_or(MIN_AGE, |at| now.duration_since(at).max(MIN_AGE));
        let time_constant = TIME_CONSTANT.as_secs_f64();
        let covered = 1.0 - (-age.as_secs_f64() / time_constant).exp();
        self.decayed(now) / (time_constant * covered)
    }
}

/// Returns the hash by which digests identify the arrivals for a service, or those among them that
/// only the region `pinned` may run.
pub(crate) fn arrival_hash(service: &ServiceId, pinned: Option<&RegionId>) -> u32 {
    match pinned {
        None => short_hash(service.as_str()),
        Some(region) => short_hash(&format!("{service}@{region}")),
    }
}
