//! A decision machine with the requests that wait for it.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

/// A machine behind a lock, the tickets that wait for its effects, and a signal for its timer.
///
/// Lock order: no two machines are locked at a time.
#[derive(Debug)]
pub(crate) struct Waiting<M, T, R> {
    inner: Mutex<Inner<M, T, R>>,
    changed: Notify,
}

/// What the lock guards.
#[derive(Debug)]
pub(crate) struct Inner<M, T, R> {
    /// The machine.
    pub(crate) machine: M,
    waiters: HashMap<T, oneshot::Sender<R>>,
}

impl<M, T: Eq + Hash, R> Waiting<M, T, R> {
    /// Nothing waits yet.
    pub(crate) fn new(machine: M) -> Self {
        let inner = Inner {
            machine,
            waiters: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
            changed: Notify::new(),
        }
    }

    /// Locks the machine.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner<M, T, R>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the machine's timer task, as its next wake may have moved.
    pub(crate) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Waits for [`Waiting::notify`].
    pub(crate) async fn notified(&self) {
        self.changed.notified().await;
    }
}

impl<M, T: Eq + Hash, R> Inner<M, T, R> {
    /// Registers a ticket; it must be done under the lock that gave the ticket out.
    pub(crate) fn wait(&mut self, ticket: T) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Hands `result` to the waiting request; gives it back where that has gone away.
    pub(crate) fn resolve(&mut self, ticket: &T, result: R) -> Result<(), R> {
        match self.waiters.remove(ticket) {
            Some(waiter) => waiter.send(result),
            None => Err(result),
        }
    }

    /// Forgets a ticket whose request has gone away.
    pub(crate) fn forget(&mut self, ticket: &T) {
        self.waiters.remove(ticket);
    }
}
