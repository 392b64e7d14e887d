//! Contact to the table service, and how lately the configuration was current.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use wagtail_types::Epoch;

use crate::Freshness;

/// The contact of this host to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mode {
    /// This host or a zone that it hears is in contact with the table service.
    #[display("current")]
    Current,
    /// A majority of zones hear one another, and none is in contact with the table service.
    #[display("platform-out")]
    PlatformOut,
    /// No contact, and in a minority of zones.
    #[display("cut-off")]
    CutOff {
        /// Since when.
        since: Instant,
    },
}

/// What the mode is worked out from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reach {
    /// The latest contact of any zone that is heard.
    pub(crate) contact: Option<Instant>,
    /// How many zones are heard, the own included.
    pub(crate) heard: usize,
    /// How many zones there are.
    pub(crate) zones: usize,
}

impl Mode {
    /// The mode that follows from `reach`.
    pub(crate) fn next(self, now: Instant, reach: Reach, limit: Duration, half: bool) -> Self {
        let in_contact = reach
            .contact
            .is_some_and(|at| now.saturating_duration_since(at) <= limit);
        let majority = reach.heard * 2 > reach.zones || half && reach.heard * 2 == reach.zones;
        match self {
            _ if in_contact => Self::Current,
            _ if majority => Self::PlatformOut,
            Self::CutOff { since } => Self::CutOff { since },
            _ => Self::CutOff { since: now },
        }
    }
}

/// How lately the adopted configuration was known to be the newest.
#[derive(Debug, Default)]
pub(crate) struct Fresh {
    adopted: Epoch,
    proved: Option<(Epoch, Instant)>,
    /// Epochs that were the head at a time, and are not adopted here yet.
    ahead: BTreeMap<Epoch, Instant>,
}

impl Fresh {
    const AHEAD_MAX: usize = 16;

    pub(crate) fn adopted(&self) -> Epoch {
        self.adopted
    }

    /// Notes that `epoch` was the head at `at`.
    pub(crate) fn note(&mut self, epoch: Epoch, at: Instant) {
        if epoch <= self.adopted {
            if self.proved.is_none_or(|(_, old)| old < at) {
                self.proved = Some((epoch, at));
            }
            return;
        }
        let latest = self.ahead.entry(epoch).or_insert(at);
        *latest = (*latest).max(at);
        if self.ahead.len() > Self::AHEAD_MAX {
            self.ahead.pop_first();
        }
    }

    /// Notes that this host has adopted `epoch`.
    pub(crate) fn adopt(&mut self, epoch: Epoch) {
        self.adopted = self.adopted.max(epoch);
        while let Some((&first, &at)) = self.ahead.first_key_value()
            && first <= self.adopted
        {
            self.ahead.pop_first();
            self.note(first, at);
        }
    }

    /// Forgets all but the adopted epoch.
    pub(crate) fn reset(&mut self) {
        self.proved = None;
        self.ahead.clear();
    }

    /// When the adopted configuration was last known to be the newest.
    pub(crate) fn at(&self) -> Option<Instant> {
        self.proved.map(|(_, at)| at)
    }

    /// What peers are told.
    pub(crate) fn share(&self, now: Instant) -> Option<Freshness> {
        let (epoch, at) = self.proved?;
        let age = now.saturating_duration_since(at);
        Some(Freshness { epoch, age })
    }
}
