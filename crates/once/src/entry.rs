//! What a host remembers of one key or relayed attempt.

use std::time::Instant;

use slotmap::new_key_type;
use wagtail_types::{AttemptId, ServiceId, TeamId, Verdict};

use crate::once::Waiter;
use crate::{Answer, ChosenKey, Fingerprint};

new_key_type! {
    /// Names an entry; an entry that is gone never matches again.
    pub(crate) struct EntryId;
}

/// What an entry is found by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Name {
    /// A key that this host issued, by its number.
    Issued(u64),
    /// A key that a caller made up.
    Chosen {
        team: TeamId,
        service: ServiceId,
        key: ChosenKey,
    },
    /// A relayed attempt without a key.
    Bare(AttemptId),
}

/// How far a key has come.
#[derive(Debug)]
pub(crate) enum State {
    /// The claim is on its way to the table service.
    Claiming { claim: AttemptId, tries: u32 },
    /// A permit is out.
    Running,
    /// Nothing ran; the next attempt may, once its claim is made where `claim` names one.
    Free { claim: Option<AttemptId> },
    /// An attempt was answered.
    Done(Answer),
    /// An attempt may have run.
    Unknown,
    /// A relayed attempt without a key was refused for good.
    Refused(Verdict),
}

/// One key or relayed attempt.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) name: Name,
    pub(crate) print: Fingerprint,
    pub(crate) state: State,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) relayed: Vec<AttemptId>,
    pub(crate) cost: usize,
    pub(crate) due: Option<Instant>,
}

impl Entry {
    /// The memory that an entry takes besides its answer.
    pub(crate) const BYTES: usize = 512;
}
