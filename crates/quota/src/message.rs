//! Messages between hosts, and rows of the lease table.

use std::time::Duration;

use derive_more::Display;
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens};

use crate::shard::ShardId;

/// Identifies a loan; unique among all loans that its lender ever makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct LoanId(pub u64);

/// Message between two hosts; any may be lost, delayed, repeated or reordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests a loan of a team's tokens and rate, or the renewal of a loan.
    LoanRequest {
        /// Identifier, unique among all loan requests of the sender.
        id: u64,
        /// Team whose tokens are requested.
        team: TeamId,
        /// Tokens needed now.
        need: Tokens,
        /// Rate needed for the coming seconds.
        rate: Rate,
        /// Loan to renew instead of making a new one.
        extend: Option<LoanId>,
        /// State of the sender's own bucket.
        hint: Hint,
    },
    /// Answers a loan request; all amounts are zero if the sender has nothing to lend.
    Loan {
        /// Identifier of the answered request.
        id: u64,
        /// Loan that was made or renewed.
        loan: LoanId,
        /// Team whose tokens are lent.
        team: TeamId,
        /// Lent rate.
        rate: Rate,
        /// Lent bucket capacity.
        cap: Tokens,
        /// Lent tokens; never more than `cap`.
        tokens: Tokens,
        /// Duration of the loan on the receiver's clock, counted from when it sent the request.
        duration: Duration,
        /// State of the sender's own bucket.
        hint: Hint,
    },
    /// Returns a loan early, with its unspent tokens.
    Return {
        /// Loan that ends.
        loan: LoanId,
        /// Team whose tokens were lent.
        team: TeamId,
        /// Unspent tokens.
        tokens: Tokens,
    },
    /// Asks a member listed in the lease row not to claim the shard for one lease term.
    PromiseRequest {
        /// Shard that the sender holds.
        shard: ShardId,
        /// Version of the row that the sender wrote.
        version: u64,
        /// Identifier of this round of requests, unique among all rounds of the sender.
        id: u64,
    },
    /// Promises not to claim the shard for one lease term.
    Promise {
        /// Shard that the receiver holds.
        shard: ShardId,
        /// Identifier of the answered request.
        id: u64,
        /// Incarnation of the host that promises.
        incarnation: Incarnation,
    },
    /// Announces that a shard can be claimed at once.
    Released {
        /// Released shard.
        shard: ShardId,
    },
    /// Distributes what the sender knows about shards and buckets.
    Gossip {
        /// Highest epoch that every shard is known to have reached.
        confirmed: Epoch,
        /// Known holders of shards.
        shards: Vec<ShardNote>,
        /// State of the sender's buckets.
        hints: Vec<TeamHint>,
    },
}

/// Describes a host's bucket of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hint {
    /// Tokens that the host can lend.
    pub level: Tokens,
    /// Rate that exceeds the host's own demand.
    pub spare: Rate,
    /// Capacity of the bucket.
    pub cap: Tokens,
}

/// Pairs a team with the state of the sender's bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamHint {
    /// Team of the bucket.
    pub team: TeamId,
    /// State of the bucket.
    pub hint: Hint,
}

/// Names the holder of a shard, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardNote {
    /// Leased shard.
    pub shard: ShardId,
    /// Host that holds the lease.
    pub holder: HostId,
    /// Version of the row that the holder wrote.
    pub version: u64,
    /// Configuration epoch in that row.
    pub epoch: Epoch,
}

/// Holds the table row of one shard's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Holding host and its incarnation; `None` once released.
    pub holder: Option<Member>,
    /// Configuration epoch that the holder applies. A host with a lower one must not use the shard.
    pub epoch: Epoch,
    /// Highest epoch that every shard is known to have reached.
    pub confirmed: Epoch,
    /// Hosts that may claim the shard one lease term after the row last changed.
    pub members: Vec<Member>,
    /// Attempt that wrote the row.
    pub attempt: AttemptId,
    /// Tokens left by a holder that released the shard.
    pub tokens: Vec<TeamTokens>,
    /// Earlier spreads that some host may still use; empty except for a while after a change.
    pub spreads: Vec<TeamSpread>,
}

/// Records over how many shards a team's limit is spread from an epoch on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpread {
    /// Team whose limit is spread.
    pub team: TeamId,
    /// First epoch with this spread.
    pub since: Epoch,
    /// Number of shards.
    pub count: u32,
}

/// Identifies one incarnation of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity of the host.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

/// Holds a number of tokens of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamTokens {
    /// Team that may spend the tokens.
    pub team: TeamId,
    /// Number of tokens.
    pub tokens: Tokens,
}
