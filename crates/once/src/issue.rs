//! Tracks which keys this host has issued and which of them have expired.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::Settings;

/// Tracks the counters of issued keys in memory that does not grow with their number.
///
/// Counters below `expired_below` have expired; counters from `next` on have not been issued.
#[derive(Debug, Default)]
pub(crate) struct Issuer {
    next: u64,
    expired_below: u64,
    batches: VecDeque<Batch>,
    /// Expired counters whose attempts may have run.
    executed: BTreeSet<u64>,
    /// Below this counter, `executed` is no longer complete.
    forgotten_below: u64,
}

/// Consecutive counters that expire together.
#[derive(Debug)]
struct Batch {
    /// The counter after the last one of the batch.
    end: u64,
    /// The expiry of the first keys added; `expires` is that of the last ones.
    first_expiry: Instant,
    expires: Instant,
}

/// The status of an issued key that has no entry in the duplicate table.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum KeyStatus {
    /// Issued, not expired and not used yet.
    Unused,
    /// Never issued by this incarnation.
    Unissued,
    /// Expired without any attempt that may have run.
    Expired,
    /// Expired after an attempt that may have run.
    Executed,
    /// Expired, and it is no longer known whether an attempt ran.
    Forgotten,
}

impl Issuer {
    /// Issues the next `count` counters and returns them.
    pub(crate) fn issue(
        &mut self,
        now: Instant,
        count: u64,
        settings: &Settings,
    ) -> std::ops::Range<u64> {
        let start = self.next;
        self.next += count;
        self.add_batch(self.next, now + settings.key_ttl, settings);
        start..self.next
    }

    /// Records newly issued counters up to `end`, merging batches that expire at nearly the same time
    /// so that few are stored.
    fn add_batch(&mut self, end: u64, expires: Instant, settings: &Settings) {
        const BATCHES_PER_TTL: u32 = 1_024;
        let max_span = settings.key_ttl / BATCHES_PER_TTL;
        if let Some(last) = self.batches.back_mut()
            && expires.duration_since(last.first_expiry) < max_span
        {
            last.end = end;
            last.expires = expires;
            return;
        }
        self.batches.push_back(Batch {
            end,
            first_expiry: expires,
            expires,
        });
    }

    /// Raises `expired_below` past every expired batch.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some(batch) = self.batches.front()
            && batch.expires <= now
        {
            self.expired_below = batch.end;
            self.batches.pop_front();
        }
    }

    /// Records that the outcome of a key whose attempt may have run has been removed.
    ///
    /// Remembers at most `max` counters and drops the lowest ones first.
    pub(crate) fn record_executed(&mut self, counter: u64, max: usize) {
        self.executed.insert(counter);
        while self.executed.len() > max {
            if let Some(first) = self.executed.pop_first() {
                self.forgotten_below = first + 1;
            }
        }
    }

    /// Returns whether the key has expired, so that it may no longer be run.
    pub(crate) fn is_expired(&self, counter: u64) -> bool {
        counter < self.expired_below
    }

    /// Returns the status of a key that has no entry.
    pub(crate) fn status(&self, counter: u64) -> KeyStatus {
        if counter >= self.next {
            KeyStatus::Unissued
        } else if !self.is_expired(counter) {
            KeyStatus::Unused
        } else if self.executed.contains(&counter) {
            KeyStatus::Executed
        } else if counter < self.forgotten_below {
            KeyStatus::Forgotten
        } else {
            KeyStatus::Expired
        }
    }

    /// Returns when the next batch expires.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.batches.front().map(|batch| batch.expires)
    }
}
