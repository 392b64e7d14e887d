//! Entries of the duplicate table, one for each key or relayed attempt without a key.

use std::time::Instant;

use slotmap::new_key_type;
use wagtail_types::{AttemptId, ServiceId, TeamId, Verdict};

use crate::dedup::Waiter;
use crate::{Answer, ChosenKey, Fingerprint};

new_key_type! {
    /// Identifies an entry; the id of a removed entry is never reused.
    pub(crate) struct EntryId;
}

/// The lookup key of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum EntryKey {
    /// A key issued by this incarnation of the host, by its counter.
    Issued(u64),
    /// A key chosen by a caller, within its scope.
    Chosen {
        team: TeamId,
        service: ServiceId,
        key: ChosenKey,
    },
    /// A relayed attempt without a key.
    Unkeyed(AttemptId),
}

/// The progress of a key or of a relayed attempt without a key.
#[derive(Debug)]
pub(crate) enum State {
    /// The claim has been sent to the table service and is not confirmed yet.
    Claiming { claim: AttemptId, retries: u32 },
    /// A permit has been granted and not returned.
    Running,
    /// No attempt has run. The next one may run, but must first confirm `claim` if there is one.
    NotRun { claim: Option<AttemptId> },
    /// An attempt ran, and its answer is stored.
    Answered(Answer),
    /// An attempt may have run, and no answer is stored.
    Unknown,
    /// A relayed attempt without a key was refused; repeated messages get the same verdict.
    Refused(Verdict),
}

/// One entry of the duplicate table.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: EntryKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: State,
    pub(crate) waiters: Vec<Waiter>,
    /// The relayed attempts that this entry decides.
    pub(crate) relayed: Vec<AttemptId>,
    /// Memory charged for the entry and its answer, or for the largest answer while one is awaited.
    pub(crate) bytes: usize,
    /// When the entry is removed; `None` while a claim or an attempt is in flight.
    pub(crate) expires: Option<Instant>,
}

impl Entry {
    /// Estimated memory of an entry without its answer.
    pub(crate) const OVERHEAD_BYTES: usize = 512;
}
