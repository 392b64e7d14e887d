//! What hosts send one another and what they keep in the table.

use std::time::Duration;

use derive_more::Display;
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens};

use crate::shard::ShardId;

/// A loan, unique among all that its lender ever makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct LoanId(pub u64);

/// A message between two hosts. Any may be lost, late, repeated or out of order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for tokens and rate of a team, or for more time on a loan.
    Ask {
        /// Unique among all asks of the sender.
        id: u64,
        /// The team.
        team: TeamId,
        /// Tokens wanted now.
        need: Tokens,
        /// Rate wanted for the coming seconds.
        rate: Rate,
        /// A loan to be extended in place of a new one.
        extend: Option<LoanId>,
        /// The state of the sender's own bucket.
        hint: Hint,
    },
    /// Answers an ask; all zero where the sender has nothing to lend.
    Loan {
        /// The ask that this answers.
        id: u64,
        /// The loan made or extended.
        loan: LoanId,
        /// The team.
        team: TeamId,
        /// Rate lent.
        rate: Rate,
        /// Room for tokens lent.
        cap: Tokens,
        /// Tokens lent; never more than `cap`.
        tokens: Tokens,
        /// How long the loan lasts on the receiver's clock, from when it sent the ask.
        life: Duration,
        /// The state of the sender's own bucket.
        hint: Hint,
    },
    /// Gives a loan back before its time, with unspent tokens.
    Return {
        /// The loan.
        loan: LoanId,
        /// The team.
        team: TeamId,
        /// Unspent tokens.
        tokens: Tokens,
    },
    /// Asks a member of the lease row not to claim the shard for one term.
    Hold {
        /// The shard.
        shard: ShardId,
        /// The version of the row that the sender holds.
        version: u64,
        /// Unique among all holds of the sender.
        id: u64,
    },
    /// Promises what a hold asked for.
    Held {
        /// The shard.
        shard: ShardId,
        /// The hold that this answers.
        id: u64,
        /// The life of the host that promises.
        incarnation: Incarnation,
    },
    /// Tells that a shard can be claimed at once.
    Released {
        /// The shard.
        shard: ShardId,
    },
    /// Spreads hints.
    Gossip {
        /// The highest epoch that every shard is known to have reached.
        confirmed: Epoch,
        /// Who holds which shards.
        shards: Vec<ShardNote>,
        /// The sender's buckets.
        hints: Vec<TeamHint>,
    },
}

/// The state of a host's bucket of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hint {
    /// Tokens there now.
    pub level: Tokens,
    /// The rate above the host's own demand.
    pub spare: Rate,
    /// The most tokens that the bucket holds.
    pub cap: Tokens,
}

/// The state of the sender's bucket of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamHint {
    /// The team.
    pub team: TeamId,
    /// The state.
    pub hint: Hint,
}

/// Who holds a shard, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardNote {
    /// The shard.
    pub shard: ShardId,
    /// Its holder.
    pub holder: HostId,
    /// The version of the row that the holder wrote.
    pub version: u64,
    /// The config epoch in that row.
    pub epoch: Epoch,
}

/// The table row of one shard's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The holder and its life; `None` once released.
    pub holder: Option<Member>,
    /// The config epoch that the holder applies. A host with a lower one must not use the shard.
    pub epoch: Epoch,
    /// The highest epoch that every shard is known to have reached.
    pub confirmed: Epoch,
    /// The hosts that may claim the shard one term after the row last changed.
    pub members: Vec<Member>,
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
    /// Tokens left by a holder that released the shard.
    pub tokens: Vec<TeamTokens>,
    /// Earlier spreads of teams that some host may still use; empty but for a while after a change.
    pub spreads: Vec<TeamSpread>,
}

/// From an epoch on, a team was carried by so many shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpread {
    /// The team.
    pub team: TeamId,
    /// The epoch.
    pub since: Epoch,
    /// The number of shards.
    pub count: u32,
}

/// One life of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Tokens of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamId,
    /// The tokens.
    pub tokens: Tokens,
}
