//! Requests, decisions on them and outcomes of attempts.

use bytes::Bytes;
use derive_more::Display;
use wagtail_types::{Cause, HostId, ServiceId, TeamId, Verdict};

use crate::{Fingerprint, Key, Permit};

/// A request as duplicate suppression sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The team whose API key the request carried.
    pub team: TeamId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The idempotency key; one chosen by the caller is scoped to `team` and `service`.
    pub key: Key,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Whether an earlier attempt under this key may exist that was not answered `not-run`.
    ///
    /// If the outcome of earlier attempts cannot be determined, a repeat is answered `may-have-run`
    /// and a first attempt `not-run`.
    pub repeat: bool,
}

/// The decision on a request that a host has received.
#[derive(Debug)]
pub enum Decision {
    /// Run it now, and pass the permit to `Deduplicator::finish`.
    Run(Permit),
    /// An earlier request has an attempt or a claim in flight; an `Effect::Resolve` for the ticket
    /// follows.
    Wait(Ticket),
    /// Return the stored answer of an earlier attempt.
    Replay(Answer),
    /// Relay it to the only host that may run it.
    Relay {
        /// The host to relay the request to.
        host: HostId,
    },
    /// This request has started a claim of its key; an `Effect::Resolve` for the ticket follows.
    Claiming(Ticket),
    /// Do not run it, and return the verdict to the caller.
    Refuse(Verdict),
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answer(Answer),
    /// The endpoint answered in full, but the answer was not buffered.
    Unbuffered,
    /// The attempt has certainly not run; the verdict is a `Verdict::NotRun`.
    NotRun(Verdict),
    /// The attempt may have run.
    Unknown(Cause),
}

/// The decision on a request that had to wait.
#[derive(Debug)]
pub enum Resolution {
    /// Run it now, and pass the permit to `Deduplicator::finish`.
    Run(Permit),
    /// Return the answer of the attempt that it waited for.
    Answer(Answer),
    /// Relay it to the only host that may run it.
    Relay {
        /// The host to relay the request to.
        host: HostId,
    },
    /// Do not run it, and return the verdict to the caller.
    Refuse(Verdict),
}

/// The complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code that goes to the caller.
    pub status: u16,
    /// The headers that go to the caller.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body; counts towards `Settings::answer_max`.
    pub body: Bytes,
}

impl Answer {
    /// Creates an answer from its parts.
    pub fn new(status: u16, headers: Vec<(String, Bytes)>, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers,
            body: body.into(),
        }
    }

    /// Returns the estimated memory of the answer in bytes.
    pub fn size(&self) -> usize {
        const PER_HEADER_BYTES: usize = 64;
        let header = |(name, value): &(String, Bytes)| name.len() + value.len() + PER_HEADER_BYTES;
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// Identifies a request that waits for the outcome of an attempt or of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Ticket(pub u64);
