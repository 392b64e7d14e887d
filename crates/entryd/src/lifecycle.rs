//! The lifecycle of an entry host: starting, serving, leaving, stopped.
//!
//! Each phase is a type and each transition consumes the previous one, so that a host cannot serve
//! before it has started nor stop before it has left the look-ups.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use tokio::sync::Notify;

/// The lifecycle phase of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Phase {
    /// Waits for a configuration.
    #[display("starting")]
    Starting,
    /// Listed in look-ups; accepts requests.
    #[display("serving")]
    Serving,
    /// No longer listed in look-ups; still accepts requests from callers that cached an answer.
    #[display("leaving")]
    Leaving,
    /// Accepts no requests.
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

/// Gives other parts of the process the phase and counts running requests.
#[derive(Debug, Clone)]
pub(crate) struct Watch(Arc<Inner>);

impl Watch {
    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        PHASES[usize::from(self.0.phase.load(Ordering::Acquire))]
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.0.running.load(Ordering::Acquire)
    }

    /// Counts a request as running until the guard is dropped; `None` if `limit` are running.
    pub(crate) fn enter(&self, limit: usize) -> Option<Running> {
        let guard = Running(self.0.clone());
        let before = self.0.running.fetch_add(1, Ordering::AcqRel);
        (before < limit).then_some(guard)
    }
}

/// Counts one running request until it is dropped.
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
    /// Creates the initial phase.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            phase: AtomicU8::new(Phase::Starting as u8),
            running: AtomicUsize::new(0),
            idle: Notify::new(),
        };
        Self(Arc::new(inner))
    }

    /// Returns a handle to read the phase and count requests.
    pub(crate) fn watch(&self) -> Watch {
        Watch(self.0.clone())
    }

    /// Starts to serve.
    pub(crate) fn serve(self) -> Serving {
        set(&self.0, Phase::Serving);
        Serving(self.0)
    }
}

impl Serving {
    /// Leaves the look-ups; requests are still accepted.
    pub(crate) fn leave(self) -> Leaving {
        set(&self.0, Phase::Leaving);
        Leaving(self.0)
    }
}

impl Leaving {
    /// Waits until cached look-ups have expired, then until no request is running, for at most
    /// `longest` altogether.
    ///
    /// # Errors
    ///
    /// Returns the number of requests still running after `longest`.
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
