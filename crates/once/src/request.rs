//! What goes into and comes out of one decision.

use bytes::Bytes;
use derive_more::Display;
use wagtail_types::{Cause, HostId, ServiceId, TeamId, Verdict};

use crate::{Fingerprint, Key, Permit};

/// A request as duplicate suppression sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The team whose key came with the request.
    pub team: TeamId,
    /// The service that is asked.
    pub service: ServiceId,
    /// The idempotency key.
    pub key: Key,
    /// The content of the request.
    pub print: Fingerprint,
    /// Whether an earlier attempt under this key may exist and was not answered `not-run`.
    ///
    /// Where the fate of earlier attempts cannot be learned, a repeat is answered `may-have-run`
    /// and a first attempt `not-run`.
    pub repeat: bool,
}

/// What a host does with a request that has just come in.
#[derive(Debug)]
pub enum Begin {
    /// Run it now, and pass the permit to `Once::finish`.
    Run(Permit),
    /// An attempt is running; an `Effect::Resolve` for the ticket follows.
    Wait(Ticket),
    /// An earlier attempt was answered like this.
    Replay(Answer),
    /// Only this host may run it.
    Relay {
        /// Where to send the request.
        host: HostId,
    },
    /// The key is being claimed; an `Effect::Resolve` for the ticket follows.
    Claiming(Ticket),
    /// It does not run.
    Refuse(Verdict),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answer(Answer),
    /// The endpoint answered in full, but the answer was not buffered.
    Unkept,
    /// The attempt is proved not to have run; the verdict is a `Verdict::NotRun`.
    NotRun(Verdict),
    /// The attempt may have run.
    Unknown(Cause),
}

/// How a waiting request goes on.
#[derive(Debug)]
pub enum Resolution {
    /// Run it now, and pass the permit to `Once::finish`.
    Run(Permit),
    /// The attempt that it waited for was answered like this.
    Answer(Answer),
    /// Only this host may run it.
    Relay {
        /// Where to send the request.
        host: HostId,
    },
    /// It does not run.
    Refuse(Verdict),
}

/// The complete answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that go to the caller.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Builds an answer.
    pub fn new(status: u16, headers: Vec<(String, Bytes)>, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers,
            body: body.into(),
        }
    }

    /// The bytes that the answer occupies.
    pub fn size(&self) -> usize {
        const PER_HEADER_BYTES: usize = 64;
        let header = |(name, value): &(String, Bytes)| name.len() + value.len() + PER_HEADER_BYTES;
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// A request that waits for the outcome of another or for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Ticket(pub u64);
