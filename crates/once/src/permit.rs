//! Permits, which allow one attempt to run.

use std::sync::{Arc, Mutex, PoisonError};

use crate::entry::EntryId;

/// Allows one attempt of a request to run; return it through `Deduplicator::finish`.
///
/// A permit that is dropped instead is recorded in a shared list. The next call of the state machine
/// reads that list and stores an unknown outcome.
#[derive(Debug)]
#[must_use = "a dropped permit counts as an unknown outcome"]
pub struct Permit {
    id: EntryId,
    dropped: Option<DroppedPermits>,
}

impl Permit {
    pub(crate) fn new(id: EntryId, dropped: DroppedPermits) -> Self {
        Self {
            id,
            dropped: Some(dropped),
        }
    }

    pub(crate) fn into_entry(mut self) -> EntryId {
        self.dropped = None;
        self.id
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(dropped) = &self.dropped {
            dropped.push(self.id);
        }
    }
}

/// Lists the permits that were dropped without an outcome.
#[derive(Debug, Clone, Default)]
pub(crate) struct DroppedPermits(Arc<Mutex<Vec<EntryId>>>);

impl DroppedPermits {
    fn push(&self, id: EntryId) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(id);
    }

    pub(crate) fn take(&self) -> Vec<EntryId> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
