//! Adds and removes entries of the duplicate table and accounts for their memory.

use std::time::{Duration, Instant};

use crate::entry::{Entry, EntryId, EntryKey, State};
use crate::{Deduplicator, Fingerprint};

impl Deduplicator {
    pub(crate) fn insert_entry(
        &mut self,
        entry_key: EntryKey,
        fingerprint: Fingerprint,
    ) -> EntryId {
        let id = self.entries.insert(Entry {
            key: entry_key.clone(),
            fingerprint,
            state: State::NotRun { claim: None },
            waiters: Vec::new(),
            relayed: Vec::new(),
            bytes: Entry::OVERHEAD_BYTES,
            expires: None,
        });
        self.used_bytes += Entry::OVERHEAD_BYTES;
        self.entry_ids.insert(entry_key, id);
        id
    }

    /// Removes an expired entry; an issued key that may have run stays marked as executed.
    pub(crate) fn expire_entry(&mut self, id: EntryId) {
        let Some(entry) = self.remove_entry(id) else {
            return;
        };
        if let (EntryKey::Issued(counter), State::Answered(_) | State::Unknown) =
            (entry.key, entry.state)
        {
            self.issuer
                .record_executed(counter, self.settings.executed_max);
        }
    }

    /// Removes an entry, which must have no waiters.
    pub(crate) fn remove_entry(&mut self, id: EntryId) -> Option<Entry> {
        self.set_expiry(id, None);
        let entry = self.entries.remove(id)?;
        self.entry_ids.remove(&entry.key);
        if let State::Claiming { claim, .. } | State::NotRun { claim: Some(claim) } = entry.state {
            self.claims.remove(&claim);
        }
        self.used_bytes -= entry.bytes;
        Some(entry)
    }

    pub(crate) fn set_expiry(&mut self, id: EntryId, at: Option<Instant>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut entry.expires, at) {
            self.expiries.remove(&(old, id));
        }
        if let Some(at) = at {
            self.expiries.insert((at, id));
        }
    }

    /// Charges an entry for an answer of `size` bytes instead of its present one.
    pub(crate) fn set_answer_bytes(&mut self, id: EntryId, size: usize) {
        let entry = &mut self.entries[id];
        self.used_bytes -= entry.bytes;
        entry.bytes = Entry::OVERHEAD_BYTES + size;
        self.used_bytes += entry.bytes;
    }

    pub(crate) fn has_room(&self, need: usize) -> bool {
        // The last quarter is reserved for the records of relayed attempts.
        self.used_bytes + need <= self.settings.memory.as_usize() / 4 * 3
    }

    /// Returns how long it takes until the next entry is removed.
    pub(crate) fn time_to_expiry(&self, now: Instant) -> Option<Duration> {
        let first = self.expiries.first()?;
        Some(first.0.saturating_duration_since(now))
    }

    /// Removes the entry that expires first; called only for `Mutant::EvictOutcomes`.
    pub(crate) fn evict_entry(&mut self) {
        if let Some(&(_, id)) = self.expiries.first() {
            self.remove_entry(id);
        }
    }
}
