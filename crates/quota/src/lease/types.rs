//! State of a lease, and the types that it exchanges with its host.

use std::time::{Duration, Instant};

use wagtail_types::{Epoch, HostId};

use crate::drift::Drift;
use crate::message::{Member, Row, TeamSpread, TeamTokens};
use crate::settings::Settings;

/// State of the local host that a lease depends on.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) drift: Drift,
    pub(crate) epoch: Epoch,
    pub(crate) confirmed: Epoch,
    /// Epoch that the shard's allocations of all teams, loans included, have reached.
    pub(crate) reached: Epoch,
    /// Earlier spreads that may still be in use.
    pub(crate) spreads: &'a [TeamSpread],
    /// Peers in the zone of the shard.
    pub(crate) members: &'a [Member],
    /// Number of hosts of the zone that precede the local host in claiming the shard.
    pub(crate) rank: usize,
    /// Delay before the local host claims the shard, so that hosts of a zone do not race.
    pub(crate) claim_delay: Duration,
}

impl Context<'_> {
    pub(super) fn local_member(&self) -> Member {
        Member {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    pub(super) fn term(&self) -> Duration {
        self.settings.lease_term
    }
}

/// Tokens with which a newly held shard starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum InitialTokens {
    /// The whole burst, because no host ever held the shard.
    Full,
    /// Nothing, because the last holder may have spent everything.
    Empty,
    /// The tokens that the last holder left.
    Inherited(Vec<TeamTokens>),
}

/// Action that the host carries out for a lease.
#[derive(Debug)]
pub(crate) enum Action {
    Read,
    Write {
        expected: Option<u64>,
        row: Row,
    },
    /// Ask a member to promise not to claim the shard.
    RequestPromise {
        to: HostId,
        version: u64,
        id: u64,
    },
    /// The local host claimed the shard; this is the row that it replaced.
    TakenOver(Row),
    Gained(InitialTokens),
    Lost,
    Released,
}

/// Purpose of a write to the row.
#[derive(Debug)]
pub(super) enum WriteIntent {
    Hold(InitialTokens),
    Release,
}

/// Write that was sent to the table.
#[derive(Debug)]
pub(super) struct WriteAttempt {
    pub(super) row: Row,
    pub(super) sent: Instant,
    pub(super) intent: WriteIntent,
}

/// Row as last observed in the table.
#[derive(Debug)]
pub(super) struct ObservedRow {
    pub(super) version: Option<u64>,
    pub(super) row: Option<Row>,
    /// When this version was first found.
    pub(super) first_seen: Instant,
    /// When a read last found this version.
    pub(super) last_seen: Instant,
}

/// Round of promise requests, and the members that have not promised yet.
#[derive(Debug)]
pub(super) struct PromiseRound {
    pub(super) id: u64,
    pub(super) sent: Instant,
    pub(super) pending: Vec<Member>,
}
