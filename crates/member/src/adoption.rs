//! Which hosts have adopted a config epoch.

use wagtail_types::{Epoch, HostId, ZoneId};

use crate::Adoption;
use crate::roster::Roster;

const WORD_BITS: usize = 64;

/// How far a config epoch has come, zone by zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// The zones all of whose live hosts have adopted it.
    pub confirmed: Vec<ZoneId>,
    /// The zones that are heard and have a live host that is not known to have adopted it.
    pub waiting: Vec<ZoneId>,
    /// The zones that are not heard.
    pub unheard: Vec<ZoneId>,
    /// The live hosts of the own zone that are not known to have adopted it.
    pub missing: Vec<HostId>,
}

impl Confirmation {
    /// Whether more than half of all zones have confirmed.
    pub fn is_majority(&self) -> bool {
        let others = self.waiting.len() + self.unheard.len();
        self.confirmed.len() > others
    }
}

impl Adoption {
    pub(crate) fn new(roster: &Roster, zone: &ZoneId) -> Self {
        let hosts = roster.in_zone(zone).count();
        Self {
            epoch: Epoch(0),
            complete: Epoch(0),
            list: roster.digest(zone),
            bits: vec![0; hosts.div_ceil(WORD_BITS)],
        }
    }

    /// Starts again for a changed host list.
    pub(crate) fn relist(&mut self, roster: &Roster, zone: &ZoneId) {
        let fresh = Self::new(roster, zone);
        if fresh.list != self.list {
            *self = Self {
                epoch: self.epoch,
                complete: self.complete,
                ..fresh
            };
        }
    }

    /// Notes that the host at `index` of the zone has adopted `epoch`.
    pub(crate) fn note(&mut self, epoch: Epoch, index: usize) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.bits.fill(0);
        }
        if epoch == self.epoch {
            self.bits[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        }
    }

    /// Takes in what another host of the zone knows.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.complete = self.complete.max(other.complete);
        if other.list != self.list || other.bits.len() != self.bits.len() {
            return;
        }
        if other.epoch > self.epoch {
            self.epoch = other.epoch;
            self.bits.clone_from(&other.bits);
        } else if other.epoch == self.epoch {
            for (own, theirs) in self.bits.iter_mut().zip(&other.bits) {
                *own |= theirs;
            }
        }
    }

    /// The live hosts that are not known to have adopted the latest epoch.
    pub(crate) fn missing(&self, roster: &Roster, zone: &ZoneId) -> Vec<HostId> {
        let has = |index: usize| self.bits[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1;
        roster
            .in_zone(zone)
            .enumerate()
            .filter(|(index, view)| view.is_live() && !has(*index))
            .map(|(_, view)| view.info.host.clone())
            .collect()
    }

    /// Notes where all live hosts have adopted the latest epoch.
    pub(crate) fn complete(&mut self, roster: &Roster, zone: &ZoneId) {
        if self.complete < self.epoch && self.missing(roster, zone).is_empty() {
            self.complete = self.epoch;
        }
    }
}
