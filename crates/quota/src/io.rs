//! What an embedder tells the machine, and what the machine asks of it.

use std::time::Duration;

use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens, ZoneId};

use crate::message::{Message, Row};
use crate::shard::{ShardId, ShardMap};

/// The limit of one team over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team.
    pub team: TeamId,
    /// Requests per second.
    pub rate: Rate,
    /// The most requests at once.
    pub burst: Tokens,
    /// The config epoch at which this limit was last changed.
    pub since: Epoch,
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// How long a message takes to it, one way.
    pub distance: Duration,
}

/// What a read of a lease row found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The row.
    Found {
        /// Its version, higher with every write.
        version: u64,
        /// Its contents.
        row: Row,
    },
    /// There is no row yet.
    Absent,
    /// No answer, or an error.
    Failed,
}

/// What became of a write of a lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied {
        /// The row's new version.
        version: u64,
    },
    /// It did not take effect, as the row had another version than expected.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// What an embedder tells the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The configuration now in force; a lower epoch than the last is ignored.
    Config {
        /// Its epoch.
        epoch: Epoch,
        /// Every team's limit.
        teams: Vec<TeamLimit>,
        /// Every shard; fixed for the life of a fleet.
        shards: ShardMap,
    },
    /// The other hosts that are alive, in place of those told before.
    Peers(Vec<PeerInfo>),
    /// A message from another host.
    Received {
        /// Its sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The answer to a read.
    Row {
        /// The shard whose row was read.
        shard: ShardId,
        /// What was found.
        outcome: ReadOutcome,
    },
    /// The answer to a write.
    WriteDone {
        /// The shard whose row was written.
        shard: ShardId,
        /// The attempt, as in the row.
        attempt: AttemptId,
        /// What became of it.
        outcome: WriteOutcome,
    },
}

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run; its token is spent.
    Granted,
    /// The team's rate and burst are used up.
    Refused {
        /// When a new attempt can hope for a token.
        retry: Duration,
    },
    /// Other hosts are being asked; an [`Effect::Resolve`] follows.
    Waiting(Ticket),
}

/// How a waiting request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The request may run; its token is spent.
    Granted,
    /// No token could be had in time.
    Refused {
        /// When a new attempt can hope for a token.
        retry: Duration,
    },
}

/// What the machine asks of its embedder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Read a lease row and hand in an [`Input::Row`].
    Read {
        /// The shard of the row.
        shard: ShardId,
    },
    /// Write a lease row if it still has the expected version, and hand in an [`Input::WriteDone`].
    Write {
        /// The shard of the row.
        shard: ShardId,
        /// The version to be replaced; `None` where there must be no row yet.
        expected: Option<u64>,
        /// The new contents, with the attempt.
        row: Row,
    },
    /// Answer a waiting request.
    Resolve {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        resolution: Resolution,
    },
    /// Every shard is given up; the host may exit.
    Released,
}

/// Running totals since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests granted at once.
    pub granted: u64,
    /// Requests granted after a wait.
    pub gathered: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests refused after a wait.
    pub failed: u64,
    /// Asks sent to other hosts.
    pub asks: u64,
    /// Loans made to other hosts.
    pub loans: u64,
    /// Leases that ended without a release.
    pub lapses: u64,
}

/// The state of one team's bucket on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamView {
    /// Tokens there now.
    pub level: Tokens,
    /// The most tokens that the bucket holds.
    pub cap: Tokens,
    /// The bucket's share of the rate, loans counted.
    pub rate: Rate,
    /// Requests that wait.
    pub waiting: usize,
}
