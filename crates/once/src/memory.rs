//! What is remembered, within the memory bound.

use std::time::{Duration, Instant};

use crate::entry::{Entry, EntryId, Name, State};
use crate::{Fingerprint, Once};

impl Once {
    pub(crate) fn insert(&mut self, name: Name, print: Fingerprint) -> EntryId {
        let id = self.entries.insert(Entry {
            name: name.clone(),
            print,
            state: State::Free { claim: None },
            waiters: Vec::new(),
            relayed: Vec::new(),
            cost: Entry::BYTES,
            due: None,
        });
        self.used += Entry::BYTES;
        self.names.insert(name, id);
        id
    }

    /// Drops an entry whose time is over.
    pub(crate) fn forget(&mut self, id: EntryId) {
        let Some(entry) = self.remove(id) else {
            return;
        };
        if let (Name::Issued(counter), State::Done(_) | State::Unknown) = (entry.name, entry.state)
        {
            self.issuer.spend(counter, self.settings.spent_max);
        }
    }

    /// Removes an entry that has no waiters left.
    pub(crate) fn remove(&mut self, id: EntryId) -> Option<Entry> {
        self.set_due(id, None);
        let entry = self.entries.remove(id)?;
        self.names.remove(&entry.name);
        if let State::Claiming { claim, .. } | State::Free { claim: Some(claim) } = entry.state {
            self.claims.remove(&claim);
        }
        self.used -= entry.cost;
        Some(entry)
    }

    pub(crate) fn set_due(&mut self, id: EntryId, at: Option<Instant>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut entry.due, at) {
            self.due.remove(&(old, id));
        }
        if let Some(at) = at {
            self.due.insert((at, id));
        }
    }

    /// Sets the memory that an entry takes for its answer.
    pub(crate) fn recost(&mut self, id: EntryId, size: usize) {
        let entry = &mut self.entries[id];
        self.used -= entry.cost;
        entry.cost = Entry::BYTES + size;
        self.used += entry.cost;
    }

    pub(crate) fn has_room(&self, need: usize) -> bool {
        // The rest is kept for notes of relayed attempts.
        self.used + need <= self.settings.memory.as_usize() / 4 * 3
    }

    /// When the next outcome is forgotten.
    pub(crate) fn room_after(&self, now: Instant) -> Option<Duration> {
        let first = self.due.first()?;
        Some(first.0.saturating_duration_since(now))
    }

    pub(crate) fn evict_one(&mut self) {
        if let Some(&(_, id)) = self.due.first() {
            self.remove(id);
        }
    }
}
