//! How fast requests of a team arrive at this host.

use std::time::{Duration, Instant};

use wagtail_types::Rate;

const WINDOW: Duration = Duration::from_secs(2);

/// An exponentially weighted estimate of an arrival rate.
#[derive(Debug)]
pub(crate) struct Demand {
    per_second: f64,
    at: Instant,
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    pub(crate) fn note(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / WINDOW.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Arrivals per second as estimated at `now`.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at);
        self.per_second * (-idle.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}

/// A rate from a floating-point estimate.
pub(crate) fn rate_of(per_second: f64) -> Rate {
    const MICROS: f64 = 1e6;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and an estimate is never negative"
    )]
    Rate::from_micros((per_second * MICROS) as u64)
}

/// A rate as a floating-point number per second.
pub(crate) fn per_second(rate: Rate) -> f64 {
    const MICROS: f64 = 1e6;
    rate.micros() as f64 / MICROS
}
