//! Inputs and effects of the state machine.

use std::time::Duration;

use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens, ZoneId};

use crate::message::{Message, Row};
use crate::shard::{ShardId, ShardMap};

/// Limits one team over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// Team that is limited.
    pub team: TeamId,
    /// Requests per second.
    pub rate: Rate,
    /// Largest number of requests at once.
    pub burst: Tokens,
    /// Configuration epoch at which this limit last changed.
    pub since: Epoch,
}

/// Describes a live peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Name of the peer; an entry with the name of the local host is ignored.
    pub host: HostId,
    /// Incarnation of the peer; a lease row lists its members by host and incarnation.
    pub incarnation: Incarnation,
    /// Zone of the peer, whose shards it may lease.
    pub zone: ZoneId,
    /// One-way latency to the peer, by which the peers to ask for loans are ordered.
    pub latency: Duration,
}

/// Outcome of reading a lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The row exists.
    Found {
        /// Version of the row, higher with every write.
        version: u64,
        /// Contents of the row.
        row: Row,
    },
    /// The row does not exist yet.
    Absent,
    /// The table did not answer, or returned an error.
    Failed,
}

/// Outcome of writing a lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied {
        /// New version of the row.
        version: u64,
    },
    /// The write did not take effect because the row had another version than expected.
    Conflict,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// Input from the caller to the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Configuration now in force; a lower epoch than the last is ignored.
    Config {
        /// Epoch of the configuration.
        epoch: Epoch,
        /// Limits of all teams.
        teams: Vec<TeamLimit>,
        /// All shards; never changes while a fleet exists.
        shards: ShardMap,
    },
    /// Live peers; replaces the previous list.
    Peers(Vec<PeerInfo>),
    /// Message from a peer.
    Received {
        /// Sender of the message.
        from: HostId,
        /// Received message.
        message: Message,
    },
    /// Answer to a read.
    Row {
        /// Shard whose row was read.
        shard: ShardId,
        /// Result of the read.
        outcome: ReadOutcome,
    },
    /// Answer to a write.
    WriteDone {
        /// Shard whose row was written.
        shard: ShardId,
        /// Attempt recorded in the row.
        attempt: AttemptId,
        /// Result of the write.
        outcome: WriteOutcome,
    },
}

/// Identifies a request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Immediate answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run; its token is spent.
    Granted,
    /// The team's rate and burst are exhausted.
    Refused {
        /// Time until a token may be available.
        retry: Duration,
    },
    /// Loans are requested from peers; an [`Effect::Resolve`] follows.
    Waiting(Ticket),
}

/// Final answer to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The request may run; its token is spent.
    Granted,
    /// No token was available in time.
    Refused {
        /// Time until a token may be available.
        retry: Duration,
    },
}

/// Action that the caller must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// Receiver of the message.
        to: HostId,
        /// Message to send.
        message: Message,
    },
    /// Read a lease row and answer with an [`Input::Row`].
    Read {
        /// Shard of the row.
        shard: ShardId,
    },
    /// Write a lease row if its version is as expected, and answer with an [`Input::WriteDone`].
    Write {
        /// Shard of the row.
        shard: ShardId,
        /// Version to replace; `None` if the row must not exist yet.
        expected: Option<u64>,
        /// New contents, including the attempt.
        row: Row,
    },
    /// Answer a waiting request.
    Resolve {
        /// Waiting request.
        ticket: Ticket,
        /// Answer to the request.
        resolution: Resolution,
    },
    /// Every shard is released; the host may exit.
    Released,
}

/// Totals since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests granted at once.
    pub granted: u64,
    /// Requests granted after waiting.
    pub delayed_grants: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests refused after waiting.
    pub delayed_refusals: u64,
    /// Loan requests sent to peers, renewals included.
    pub loan_requests: u64,
    /// Loans made or renewed for peers.
    pub loans: u64,
    /// Leases that ended without being released.
    pub lost_leases: u64,
}

/// Snapshot of one team's bucket on the local host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamView {
    /// Tokens in the bucket.
    pub level: Tokens,
    /// Capacity of the bucket, with borrowed and without lent capacity.
    pub cap: Tokens,
    /// Refill rate of the bucket, with borrowed and without lent rate.
    pub rate: Rate,
    /// Number of waiting requests.
    pub waiting: usize,
}
