//! The token bucket of one host for one endpoint.

use std::time::{Duration, Instant};

/// The number of requests that can be saved.
const BURST: f64 = 1.0;

/// Holds the requests that the local host may send to an endpoint.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that allows one request at once.
    pub(crate) fn full(now: Instant) -> Self {
        Self {
            level: BURST,
            filled_at: now,
        }
    }

    /// Creates a bucket that allows its first request when it has been earned.
    pub(crate) fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: now,
        }
    }

    /// Returns the level at `now`; `rate` is the requests earned per second.
    fn level(&self, rate: f64, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        (self.level + elapsed * rate).min(BURST)
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn allows(&mut self, rate: f64, now: Instant) -> bool {
        self.level = self.level(rate, now);
        self.filled_at = now;
        self.level >= 1.0
    }

    /// Takes the token for a request.
    pub(crate) fn take(&mut self) {
        self.level -= 1.0;
    }

    /// Returns the time until a request may be sent; `rate` must be positive.
    pub(crate) fn wait(&self, rate: f64, now: Instant) -> Duration {
        let missing = 1.0 - self.level(rate, now);
        Duration::try_from_secs_f64(missing / rate).unwrap_or_default()
    }
}
