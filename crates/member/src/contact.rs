//! Contact with the table service, and freshness of the adopted configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use wagtail_types::Epoch;

use crate::Freshness;

/// The contact mode: whether the table service can be reached, directly or through peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mode {
    /// The local zone or a zone heard from is in contact with the table service.
    #[display("current")]
    Current,
    /// A majority of zones is heard from, and none of them is in contact with the table service.
    #[display("platform-out")]
    PlatformOut,
    /// No contact with the table service, and only a minority of zones is heard from.
    #[display("cut-off")]
    CutOff {
        /// When the host entered this mode.
        since: Instant,
    },
}

/// What the contact mode is derived from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reachability {
    /// The latest contact of any zone heard from with the table service.
    pub(crate) last_contact: Option<Instant>,
    /// The number of zones heard from, including the local one.
    pub(crate) heard_zones: usize,
    /// The number of zones in the roster.
    pub(crate) total_zones: usize,
}

impl Mode {
    /// Returns the mode that follows from `reach`; a contact older than `timeout` does not count.
    pub(crate) fn next(
        self,
        now: Instant,
        reach: Reachability,
        timeout: Duration,
        half_is_majority: bool,
    ) -> Self {
        let in_contact = reach
            .last_contact
            .is_some_and(|at| now.saturating_duration_since(at) <= timeout);
        let majority = reach.heard_zones * 2 > reach.total_zones
            || half_is_majority && reach.heard_zones * 2 == reach.total_zones;
        match self {
            _ if in_contact => Self::Current,
            _ if majority => Self::PlatformOut,
            Self::CutOff { since } => Self::CutOff { since },
            _ => Self::CutOff { since: now },
        }
    }
}

/// Tracks when the adopted configuration was last known to be the newest.
#[derive(Debug, Default)]
pub(crate) struct FreshnessTracker {
    adopted: Epoch,
    /// An adopted epoch and when it was last known to be the head.
    verified: Option<(Epoch, Instant)>,
    /// Epochs that are not adopted yet, each with when it was last known to be the head.
    pending: BTreeMap<Epoch, Instant>,
}

impl FreshnessTracker {
    const MAX_PENDING: usize = 16;

    pub(crate) fn adopted(&self) -> Epoch {
        self.adopted
    }

    /// Records that `epoch` was the head at `at`.
    pub(crate) fn record_head(&mut self, epoch: Epoch, at: Instant) {
        if epoch <= self.adopted {
            if self.verified.is_none_or(|(_, known)| known < at) {
                self.verified = Some((epoch, at));
            }
            return;
        }
        let latest = self.pending.entry(epoch).or_insert(at);
        *latest = (*latest).max(at);
        if self.pending.len() > Self::MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// Records that the local host has adopted `epoch`.
    pub(crate) fn adopt(&mut self, epoch: Epoch) {
        self.adopted = self.adopted.max(epoch);
        while let Some((&first, &at)) = self.pending.first_key_value()
            && first <= self.adopted
        {
            self.pending.pop_first();
            self.record_head(first, at);
        }
    }

    /// Discards everything but the adopted epoch.
    pub(crate) fn reset(&mut self) {
        self.verified = None;
        self.pending.clear();
    }

    /// Returns when the adopted configuration was last known to be the newest.
    pub(crate) fn verified_at(&self) -> Option<Instant> {
        self.verified.map(|(_, at)| at)
    }

    /// Returns the freshness to send to peers.
    pub(crate) fn to_message(&self, now: Instant) -> Option<Freshness> {
        let (epoch, at) = self.verified?;
        let age = now.saturating_duration_since(at);
        Some(Freshness { epoch, age })
    }
}
