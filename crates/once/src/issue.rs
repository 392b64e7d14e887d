//! The keys that this host has issued, and which of them have expired.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::Settings;

/// The numbers of issued keys: all below `low` have expired, none from `next` on exist.
#[derive(Debug, Default)]
pub(crate) struct Issuer {
    next: u64,
    low: u64,
    batches: VecDeque<Batch>,
    spent: BTreeSet<u64>,
    floor: u64,
}

#[derive(Debug)]
struct Batch {
    end: u64,
    opened: Instant,
    expires: Instant,
}

/// What the issuer knows of a key that has no entry.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It may be used for the first time.
    Fresh,
    /// It was never issued.
    Unissued,
    /// It has expired and never ran.
    Expired,
    /// It has expired after an attempt that may have run.
    Spent,
    /// It has expired, and whether it ran is no longer known.
    Forgotten,
}

impl Issuer {
    /// Issues the next `count` numbers.
    pub(crate) fn issue(
        &mut self,
        now: Instant,
        count: u64,
        settings: &Settings,
    ) -> std::ops::Range<u64> {
        let start = self.next;
        self.next += count;
        self.note(self.next, now + settings.key_life, settings);
        start..self.next
    }

    /// Batches that expire nearly together are counted as one, so that few are kept.
    fn note(&mut self, end: u64, expires: Instant, settings: &Settings) {
        const BATCHES_PER_LIFE: u32 = 1_024;
        let step = settings.key_life / BATCHES_PER_LIFE;
        if let Some(last) = self.batches.back_mut()
            && expires.duration_since(last.opened) < step
        {
            last.end = end;
            last.expires = expires;
            return;
        }
        self.batches.push_back(Batch {
            end,
            opened: expires,
            expires,
        });
    }

    /// Raises the low-water number past every batch that has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some(batch) = self.batches.front()
            && batch.expires <= now
        {
            self.low = batch.end;
            self.batches.pop_front();
        }
    }

    /// Notes that an outcome is forgotten after an attempt that may have run.
    pub(crate) fn spend(&mut self, counter: u64, max: usize) {
        self.spent.insert(counter);
        while self.spent.len() > max {
            if let Some(first) = self.spent.pop_first() {
                self.floor = first + 1;
            }
        }
    }

    /// Whether the key may not be used for the first time any more.
    pub(crate) fn is_expired(&self, counter: u64) -> bool {
        counter < self.low
    }

    /// What is known of a key that has no entry.
    pub(crate) fn standing(&self, counter: u64) -> Standing {
        if counter >= self.next {
            Standing::Unissued
        } else if !self.is_expired(counter) {
            Standing::Fresh
        } else if self.spent.contains(&counter) {
            Standing::Spent
        } else if counter < self.floor {
            Standing::Forgotten
        } else {
            Standing::Expired
        }
    }

    /// When the next batch expires.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.batches.front().map(|batch| batch.expires)
    }
}
