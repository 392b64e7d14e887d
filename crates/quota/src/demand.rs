//! Estimate of a team's request rate at the local host.

use std::time::{Duration, Instant};

use wagtail_types::Rate;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Exponentially weighted estimate of an arrival rate.
#[derive(Debug)]
pub(crate) struct Demand {
    per_second: f64,
    updated: Instant,
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            updated: now,
        }
    }

    pub(crate) fn record(&mut self, now: Instant) {
        self.per_second = self.estimate(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the estimated arrivals per second at `now`.
    pub(crate) fn estimate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.per_second * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Converts requests per second to a rate.
pub(crate) fn rate_of(per_second: f64) -> Rate {
    const MICROS: f64 = 1e6;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and an estimate is never negative"
    )]
    Rate::from_micros((per_second * MICROS) as u64)
}

/// Converts a rate to requests per second.
pub(crate) fn per_second(rate: Rate) -> f64 {
    const MICROS: f64 = 1e6;
    rate.micros() as f64 / MICROS
}
