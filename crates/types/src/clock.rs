//! The clock as a trait, so that a test or an embedder can control time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns monotonic time, which never goes back and advances while the process is paused.
    fn now(&self) -> Instant;

    /// Returns wall-clock time, for records and reports, and to compare with the start times that other
    /// processes announce.
    fn wall(&self) -> SystemTime;
}

impl<C: Clock + ?Sized> Clock for Arc<C> {
    fn now(&self) -> Instant {
        (**self).now()
    }

    fn wall(&self) -> SystemTime {
        (**self).wall()
    }
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that only moves when it is advanced. Clones share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    offset: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock that starts at an arbitrary instant.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            offset: Arc::default(),
        }
    }

    /// Advances the clock by `time`.
    pub fn advance(&self, time: Duration) {
        *self.offset.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }

    /// Returns the time by which the clock has been advanced since its creation.
    pub fn elapsed(&self) -> Duration {
        *self.offset.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}

/// Returns a time in whole milliseconds, for messages and logs, or `u64::MAX` if it does not fit.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
