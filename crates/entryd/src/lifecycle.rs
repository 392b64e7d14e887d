//! The life of an entry host: starting, serving, leaving, stopped.
//!
//! Each state is a type and each step consumes the one before, so a host cannot serve before it
//! has started nor stop before it has left the look-ups.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use tokio::sync::Notify;

/// The state as other parts of the process read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Phase {
    /// No configuration yet.
    #[display("starting")]
    Starting,
    /// In look-ups, takes requests.
    #[display("serving")]
    Serving,
    /// Out of look-ups, still takes requests from callers that cached an answer.
    #[display("leaving")]
    Leaving,
    /// Takes nothing any more.
    #[display("stopped")]
    Stopped,
}

const PHASES: [Phase; 4] = [
    Phase::Starting,
    Phase::Serving,
    Phase::Leaving,
    Phase::Stopped,
];

#[derive(Debug)]
struct Inner {
    phase: AtomicU8,
    running: AtomicUsize,
    idle: Notify,
}

/// A view of the life cycle for the parts that only read it.
#[derive(Debug, Clone)]
pub(crate) struct Watch(Arc<Inner>);

impl Watch {
    /// The present phase.
    pub(crate) fn phase(&self) -> Phase {
        PHASES[usize::from(self.0.phase.load(Ordering::Acquire))]
    }

    /// Requests that are running.
    pub(crate) fn running(&self) -> usize {
        self.0.running.load(Ordering::Acquire)
    }

    /// Counts a request as running until the guard is dropped; `None` once `limit` are running.
    pub(crate) fn enter(&self, limit: usize) -> Option<Running> {
        let guard = Running(self.0.clone());
        let before = self.0.running.fetch_add(1, Ordering::AcqRel);
        (before < limit).then_some(guard)
    }
}

/// One running request.
#[derive(Debug)]
pub(crate) struct Running(Arc<Inner>);

impl Drop for Running {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// A host that has no configuration yet.
#[derive(Debug)]
pub(crate) struct Starting(Arc<Inner>);

/// A host that serves.
#[derive(Debug)]
pub(crate) struct Serving(Arc<Inner>);

/// A host that has left the look-ups.
#[derive(Debug)]
pub(crate) struct Leaving(Arc<Inner>);

/// A host whose requests have ended.
#[derive(Debug)]
pub(crate) struct Stopped(());

impl Starting {
    /// The first state.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            phase: AtomicU8::new(Phase::Starting as u8),
            running: AtomicUsize::new(0),
            idle: Notify::new(),
        };
        Self(Arc::new(inner))
    }

    /// A view for the other parts.
    pub(crate) fn watch(&self) -> Watch {
        Watch(self.0.clone())
    }

    /// Enters service.
    pub(crate) fn serve(self) -> Serving {
        set(&self.0, Phase::Serving);
        Serving(self.0)
    }
}

impl Serving {
    /// Leaves the look-ups; requests go on being served.
    pub(crate) fn leave(self) -> Leaving {
        set(&self.0, Phase::Leaving);
        Leaving(self.0)
    }
}

impl Leaving {
    /// Waits out the time to live of look-ups, then the running requests, at most `longest`.
    ///
    /// # Errors
    ///
    /// The number of requests still running after `longest`.
    pub(crate) async fn drain(self, lookup: Duration, longest: Duration) -> Result<Stopped, usize> {
        tokio::time::sleep(lookup).await;
        let ended = tokio::time::timeout(longest.saturating_sub(lookup), self.wait_idle()).await;
        set(&self.0, Phase::Stopped);
        match ended {
            Ok(()) => Ok(Stopped(())),
            Err(_) => Err(self.0.running.load(Ordering::Acquire)),
        }
    }

    async fn wait_idle(&self) {
        loop {
            let idle = self.0.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if self.0.running.load(Ordering::Acquire) == 0 {
                return;
            }
            idle.await;
        }
    }
}

fn set(inner: &Inner, phase: Phase) {
    inner.phase.store(phase as u8, Ordering::Release);
}
