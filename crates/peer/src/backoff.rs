//! Exponential backoff between connection attempts.

use std::time::{Duration, Instant};

use rand::Rng;

/// Delays attempts after failures: exponential, with a jitter of 50 % to 100 % of the delay.
#[derive(Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
    blocked_until: Option<Instant>,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            next: min,
            blocked_until: None,
        }
    }

    /// Returns whether an attempt may be made now.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.blocked_until.is_none_or(|until| now >= until)
    }

    /// Records a failed attempt and doubles the next delay, up to the maximum.
    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        self.blocked_until = Some(now + self.next.mul_f64(rng.random_range(0.5..1.0)));
        self.next = (self.next * 2).min(self.max);
    }

    /// Resets the delay after a successful attempt.
    pub(crate) fn reset(&mut self) {
        self.next = self.min;
        self.blocked_until = None;
    }
}
