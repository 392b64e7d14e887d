//! Pauses between attempts to connect.

use std::time::{Duration, Instant};

use rand::Rng;

/// An exponential backoff with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    pause: Duration,
    until: Option<Instant>,
}

impl Backoff {
    pub(crate) fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            pause: first,
            until: None,
        }
    }

    /// Whether an attempt may be made.
    pub(crate) fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Notes a failed attempt.
    pub(crate) fn fail(&mut self, now: Instant, rng: &mut impl Rng) {
        self.until = Some(now + self.pause.mul_f64(rng.random_range(0.5..1.0)));
        self.pause = (self.pause * 2).min(self.longest);
    }

    /// Notes a successful attempt.
    pub(crate) fn succeed(&mut self) {
        self.pause = self.first;
        self.until = None;
    }
}
