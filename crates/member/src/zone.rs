//! Zone summaries and the state of zones derived from them.

use std::time::Instant;

use wagtail_types::{Epoch, ZoneId};

use crate::{Confirmation, Member, Summary};

/// The state of a zone as the local host knows it.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// The described zone: the local one, or another whose summary was received.
    pub zone: ZoneId,
    /// When a host of the zone created the summary.
    pub as_of: Instant,
    /// The number of live hosts in the zone.
    pub live: u32,
    /// The latest config epoch that any of its hosts has adopted.
    pub newest: Epoch,
    /// The latest config epoch that all its live hosts have adopted.
    pub oldest: Epoch,
    /// The estimated free capacity of its hosts, in slots.
    pub free: u64,
    /// When one of its hosts was last in contact with the table service.
    pub contact: Option<Instant>,
}

impl ZoneView {
    pub(crate) fn summary(&self, now: Instant) -> Summary {
        let age = |at| now.saturating_duration_since(at);
        Summary {
            zone: self.zone.clone(),
            age: age(self.as_of),
            live: self.live,
            newest: self.newest,
            oldest: self.oldest,
            free: self.free,
            contact: self.contact.map(age),
        }
    }
}

impl Member {
    /// Returns the local zone, then every other zone with a recent summary.
    pub fn zones(&self, now: Instant) -> Vec<ZoneView> {
        let mut zones = vec![self.local_zone(now)];
        zones.extend(self.heard_zones(now).cloned());
        zones
    }

    /// Returns which zones have adopted `epoch`.
    pub fn confirmed(&self, epoch: Epoch, now: Instant) -> Confirmation {
        let mut confirmation = Confirmation {
            confirmed: Vec::new(),
            pending: Vec::new(),
            unheard: Vec::new(),
            missing: Vec::new(),
        };
        let heard = self.zones(now);
        for zone in self.roster.zones() {
            let list = match heard.iter().find(|view| view.zone == *zone) {
                Some(view) if view.oldest >= epoch => &mut confirmation.confirmed,
                Some(_) => &mut confirmation.pending,
                None => &mut confirmation.unheard,
            };
            list.push(zone.clone());
        }
        if self.adoption.complete < epoch {
            let zone = &self.settings.local.zone;
            confirmation.missing = if self.adoption.epoch < epoch {
                let live = self.roster.in_zone(zone).filter(|view| view.is_live());
                live.map(|view| view.info.host.clone()).collect()
            } else {
                self.adoption.missing(&self.roster, zone)
            };
        }
        confirmation
    }

    /// Returns the state of the local zone, computed from its individual hosts.
    pub(crate) fn local_zone(&self, now: Instant) -> ZoneView {
        let zone = &self.settings.local.zone;
        let live = self.roster.in_zone(zone).filter(|view| view.is_live());
        let (mut count, mut known, mut free) = (0, 0, 0);
        for view in live {
            count += 1;
            if view.last_heard.is_some() || view.info.host == self.settings.local.host {
                known += 1;
                free += u64::from(view.free);
            }
        }
        ZoneView {
            zone: zone.clone(),
            as_of: now,
            live: count,
            newest: self.adoption.epoch.max(self.fresh.adopted()),
            oldest: self.adoption.complete,
            // Hosts not heard from directly count with the mean of those that were.
            free: (free * u64::from(count)).checked_div(known).unwrap_or(0),
            contact: self.zone_contact(),
        }
    }

    /// Returns the other zones whose summary has not timed out.
    pub(crate) fn heard_zones(&self, now: Instant) -> impl Iterator<Item = &ZoneView> {
        let timeout = self.settings.summary_timeout(self.roster.len());
        self.other_zones
            .values()
            .filter(move |view| now.saturating_duration_since(view.as_of) <= timeout)
    }

    /// Returns the latest contact of any host of the local zone with the table service.
    pub(crate) fn zone_contact(&self) -> Option<Instant> {
        self.contact.max(self.peer_contact)
    }

    /// Records the summary of another zone if it is newer than the known one. Its ages count back
    /// from `at`.
    pub(crate) fn record_summary(&mut self, summary: Summary, at: Instant) {
        let Some(as_of) = at.checked_sub(summary.age) else {
            return;
        };
        let is_listed = self.roster.zones().contains(&summary.zone);
        if summary.zone == self.settings.local.zone || !is_listed {
            return;
        }
        let view = ZoneView {
            as_of,
            live: summary.live,
            newest: summary.newest,
            oldest: summary.oldest,
            free: summary.free,
            contact: summary.contact.and_then(|age| at.checked_sub(age)),
            zone: summary.zone,
        };
        let is_newer = self
            .other_zones
            .get(&view.zone)
            .is_none_or(|known| known.as_of < as_of);
        if is_newer {
            self.other_zones.insert(view.zone.clone(), view);
        }
    }
}
