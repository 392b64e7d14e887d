//! Time as an interface, so that decisions can be driven by a test or an embedder.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time; never goes back and goes on while the process is paused.
    fn now(&self) -> Instant;

    /// Wall-clock time, for records and reports only; no decision rests on it.
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

/// The operating system's clocks.
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

/// A clock that stands still until it is moved. Clones share one reading.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    gone: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// A clock whose readings start at an arbitrary instant.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            gone: Arc::default(),
        }
    }

    /// Moves the clock on.
    pub fn advance(&self, time: Duration) {
        *self.gone.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }

    /// The time that the clock has been moved on since it was made.
    pub fn elapsed(&self) -> Duration {
        *self.gone.lock().unwrap_or_else(PoisonError::into_inner)
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

/// A time in whole milliseconds, for messages and logs; a time beyond all counting is the largest.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
