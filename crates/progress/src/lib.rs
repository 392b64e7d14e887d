//! Limits on the time that a transfer may make no progress.
//!
//! A limit on a whole transfer gives up what is large for its link, and the next attempt starts from
//! the first byte again. Here a transfer may take as long as bytes go on moving.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use tokio::io::{AsyncReadExt, AsyncWriteExt};
//! use wagtail_progress::Tracked;
//!
//! # let rt = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
//! # rt.block_on(async {
//! let (near, mut far) = tokio::io::duplex(64);
//! let mut near = Tracked::new(near);
//! let progress = near.progress().clone();
//! far.write_all(b"whole").await?;
//! drop(far);
//!
//! let mut text = String::new();
//! let read = progress.until_stalled(Duration::from_secs(1), near.read_to_string(&mut text));
//! assert_eq!(read.await.expect("it does not stall")?, 5);
//! # Ok::<(), std::io::Error>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod tracked;

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::{Instant, timeout_at};

pub use tracked::Tracked;

/// A timer that fires later than this shows that the process itself was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Error of a transfer that made no progress within its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no progress within {} ms", limit.as_millis())]
pub struct Stalled {
    /// The limit.
    pub limit: Duration,
}

/// Records when a transfer last made progress. Clones share the record.
#[derive(Debug, Clone)]
pub struct Progress(Arc<Record>);

#[derive(Debug)]
struct Record {
    start: Instant,
    /// Microseconds from the start to the last progress.
    last: AtomicU64,
}

impl Default for Progress {
    fn default() -> Self {
        Self(Arc::new(Record {
            start: Instant::now(),
            last: AtomicU64::new(0),
        }))
    }
}

impl Progress {
    /// Records progress at the current time.
    pub fn record(&self) {
        let micros = self.0.start.elapsed().as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.0.last.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns when the last progress was made, at first the time of creation.
    pub fn last(&self) -> Instant {
        self.0.start + Duration::from_micros(self.0.last.load(Ordering::Relaxed))
    }

    /// Runs `work` to its end unless no progress is made for `limit`. The time starts anew with the
    /// call, with each progress, and after a pause of the process, since bytes that arrived
    /// meanwhile have not been read yet.
    ///
    /// # Errors
    ///
    /// Returns [`Stalled`] after `limit` without progress; `work` is then dropped.
    pub async fn until_stalled<T>(
        &self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, Stalled> {
        let mut work = pin!(work);
        let mut base = Instant::now();
        loop {
            let due = base.max(self.last()) + limit;
            if let Ok(result) = timeout_at(due, work.as_mut()).await {
                return Ok(result);
            }
            let now = Instant::now();
            if now.saturating_duration_since(due) > PAUSE_THRESHOLD {
                base = now;
            } else if base.max(self.last()) + limit <= now {
                return Err(Stalled { limit });
            }
        }
    }
}
