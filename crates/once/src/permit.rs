//! The right to run one request once.

use std::sync::{Arc, Mutex, PoisonError};

use crate::entry::EntryId;

/// The right to run one request; it is given back through `Once::finish`.
///
/// A permit that is dropped instead is noted in a list that the machine reads at its next call, and
/// counts as an unknown outcome from then on.
#[derive(Debug)]
#[must_use = "a dropped permit counts as an unknown outcome"]
pub struct Permit {
    id: EntryId,
    dropped: Option<Dropped>,
}

impl Permit {
    pub(crate) fn new(id: EntryId, dropped: Dropped) -> Self {
        Self {
            id,
            dropped: Some(dropped),
        }
    }

    pub(crate) fn spend(mut self) -> EntryId {
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

/// The permits that were dropped without an outcome.
#[derive(Debug, Clone, Default)]
pub(crate) struct Dropped(Arc<Mutex<Vec<EntryId>>>);

impl Dropped {
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
