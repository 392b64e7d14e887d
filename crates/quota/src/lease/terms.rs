//! The parts that a lease is made of, and what passes between it and its host.

use std::time::{Duration, Instant};

use wagtail_types::{Epoch, HostId};

use crate::drift::Drift;
use crate::message::{Member, Row, TeamSpread, TeamTokens};
use crate::settings::Settings;

/// What a lease needs to know of its host.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) drift: Drift,
    pub(crate) epoch: Epoch,
    pub(crate) confirmed: Epoch,
    /// The epoch that the shard's parts of all teams, loans included, have reached.
    pub(crate) reached: Epoch,
    /// Earlier spreads that may still be in use.
    pub(crate) spreads: &'a [TeamSpread],
    /// The other hosts of the zone.
    pub(crate) members: &'a [Member],
    /// How many hosts of the zone come before this one for the shard.
    pub(crate) rank: usize,
    /// How long this host waits before it claims, so that hosts of a zone do not race.
    pub(crate) patience: Duration,
}

impl Context<'_> {
    pub(super) fn me(&self) -> Member {
        Member {
            host: self.settings.me.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    pub(super) fn term(&self) -> Duration {
        self.settings.lease_term
    }
}

/// With what a newly held shard starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Start {
    /// The whole burst, as nobody ever held the shard.
    Full,
    /// Nothing, as its last holder may have spent everything.
    Empty,
    /// What the last holder left.
    Left(Vec<TeamTokens>),
}

/// What a lease asks of its host.
#[derive(Debug)]
pub(crate) enum Out {
    Read,
    Write {
        expected: Option<u64>,
        row: Row,
    },
    Hold {
        to: HostId,
        version: u64,
        id: u64,
    },
    /// The shard was taken over, and this is the row that its last holder left.
    Took(Row),
    Gained(Start),
    Lost,
    Released,
}

#[derive(Debug)]
pub(super) enum Aim {
    Hold(Start),
    Release,
}

#[derive(Debug)]
pub(super) struct Try {
    pub(super) row: Row,
    pub(super) sent: Instant,
    pub(super) aim: Aim,
}

#[derive(Debug)]
pub(super) struct Seen {
    pub(super) version: Option<u64>,
    pub(super) row: Option<Row>,
    pub(super) first: Instant,
    /// When a read last found the row like this.
    pub(super) last: Instant,
}

#[derive(Debug)]
pub(super) struct Round {
    pub(super) id: u64,
    pub(super) sent: Instant,
    pub(super) left: Vec<Member>,
}
