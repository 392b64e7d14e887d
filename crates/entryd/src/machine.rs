//! A state machine shared by tasks, with the requests that wait for its decisions.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

/// A state machine behind a lock, the tickets that wait for its effects, and a signal for its timer
/// task.
///
/// Lock order: no two state machines are locked at a time.
#[derive(Debug)]
pub(crate) struct SharedMachine<M, T, R> {
    inner: Mutex<Inner<M, T, R>>,
    changed: Notify,
}

/// The state that the lock guards.
#[derive(Debug)]
pub(crate) struct Inner<M, T, R> {
    /// The state machine; shares the lock with `waiters` so that no result precedes its waiter.
    pub(crate) machine: M,
    waiters: HashMap<T, oneshot::Sender<R>>,
}

impl<M, T: Eq + Hash, R> SharedMachine<M, T, R> {
    /// Wraps a state machine for which nothing waits.
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

    /// Locks the state machine.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner<M, T, R>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the timer task, because the time of its next wake may have changed.
    pub(crate) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Waits for [`SharedMachine::notify`].
    pub(crate) async fn notified(&self) {
        self.changed.notified().await;
    }
}

impl<M, T: Eq + Hash, R> Inner<M, T, R> {
    /// Registers a ticket. This must be done under the lock that issued the ticket, since its
    /// result could otherwise come before the waiter.
    pub(crate) fn add_waiter(&mut self, ticket: T) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Sends `result` to the waiting request.
    ///
    /// # Errors
    ///
    /// Returns `result` if the request no longer waits.
    pub(crate) fn resolve(&mut self, ticket: &T, result: R) -> Result<(), R> {
        match self.waiters.remove(ticket) {
            Some(waiter) => waiter.send(result),
            None => Err(result),
        }
    }

    /// Removes a ticket whose request no longer waits.
    pub(crate) fn remove_waiter(&mut self, ticket: &T) {
        self.waiters.remove(ticket);
    }
}
