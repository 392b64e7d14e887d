//! Tracking of which hosts have adopted a config epoch.

use wagtail_types::{Epoch, HostId, ZoneId};

use crate::Adoption;
use crate::roster::Roster;

const WORD_BITS: usize = 64;

/// The adoption of a config epoch by zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// Zones in which all live hosts have adopted it.
    pub confirmed: Vec<ZoneId>,
    /// Zones heard from in which some live host is not known to have adopted it.
    pub pending: Vec<ZoneId>,
    /// Zones without a recent summary.
    pub unheard: Vec<ZoneId>,
    /// Live hosts of the local zone that are not known to have adopted it.
    pub missing: Vec<HostId>,
}

impl Confirmation {
    /// Returns whether more than half of all zones have adopted the epoch.
    pub fn is_majority(&self) -> bool {
        let others = self.pending.len() + self.unheard.len();
        self.confirmed.len() > others
    }
}

impl Adoption {
    pub(crate) fn new(roster: &Roster, zone: &ZoneId) -> Self {
        let hosts = roster.in_zone(zone).count();
        Self {
            epoch: Epoch(0),
            complete: Epoch(0),
            list_digest: roster.digest(zone),
            bits: vec![0; hosts.div_ceil(WORD_BITS)],
        }
    }

    /// Clears the bits if the list of hosts that they refer to has changed.
    pub(crate) fn update_hosts(&mut self, roster: &Roster, zone: &ZoneId) {
        let empty = Self::new(roster, zone);
        if empty.list_digest != self.list_digest {
            *self = Self {
                epoch: self.epoch,
                complete: self.complete,
                ..empty
            };
        }
    }

    /// Records that the host at `index` in the zone has adopted `epoch`.
    pub(crate) fn record(&mut self, epoch: Epoch, index: usize) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.bits.fill(0);
        }
        if epoch == self.epoch {
            self.bits[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        }
    }

    /// Merges the adoption known to another host of the zone.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.complete = self.complete.max(other.complete);
        if other.list_digest != self.list_digest || other.bits.len() != self.bits.len() {
            return;
        }
        if other.epoch > self.epoch {
            self.epoch = other.epoch;
            self.bits.clone_from(&other.bits);
        } else if other.epoch == self.epoch {
            for (ours, theirs) in self.bits.iter_mut().zip(&other.bits) {
                *ours |= theirs;
            }
        }
    }

    /// Returns the live hosts that are not known to have adopted the latest epoch.
    pub(crate) fn missing(&self, roster: &Roster, zone: &ZoneId) -> Vec<HostId> {
        let has_adopted =
            |index: usize| self.bits[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1;
        roster
            .in_zone(zone)
            .enumerate()
            .filter(|(index, view)| view.is_live() && !has_adopted(*index))
            .map(|(_, view)| view.info.host.clone())
            .collect()
    }

    /// Marks the latest epoch as complete once all live hosts have adopted it.
    pub(crate) fn mark_complete(&mut self, roster: &Roster, zone: &ZoneId) {
        if self.complete < self.epoch && self.missing(roster, zone).is_empty() {
            self.complete = self.epoch;
        }
    }
}
