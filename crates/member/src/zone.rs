//! What is known of whole zones.

use std::time::Instant;

use wagtail_types::{Epoch, ZoneId};

use crate::{Confirmation, Member, Summary};

/// What this host holds of a zone.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// When a host of the zone made the summary.
    pub made: Instant,
    /// How many hosts of the zone are live.
    pub live: u32,
    /// The latest epoch that any of its hosts has adopted.
    pub newest: Epoch,
    /// The latest epoch that all its live hosts have adopted.
    pub oldest: Epoch,
    /// The free capacity of its hosts, in slots, by estimate.
    pub free: u64,
    /// When one of its hosts was last in contact with the table service.
    pub contact: Option<Instant>,
}

impl ZoneView {
    pub(crate) fn summary(&self, now: Instant) -> Summary {
        let age = |at| now.saturating_duration_since(at);
        Summary {
            zone: self.zone.clone(),
            age: age(self.made),
            live: self.live,
            newest: self.newest,
            oldest: self.oldest,
            free: self.free,
            contact: self.contact.map(age),
        }
    }
}

impl Member {
    /// What is known of every zone that is heard, the own first.
    pub fn zones(&self, now: Instant) -> Vec<ZoneView> {
        let mut zones = vec![self.own_zone(now)];
        zones.extend(self.heard(now).cloned());
        zones
    }

    /// How far `epoch` has come.
    pub fn confirmed(&self, epoch: Epoch, now: Instant) -> Confirmation {
        let mut confirmation = Confirmation {
            confirmed: Vec::new(),
            waiting: Vec::new(),
            unheard: Vec::new(),
            missing: Vec::new(),
        };
        let heard = self.zones(now);
        for zone in self.roster.zones() {
            let list = match heard.iter().find(|view| view.zone == *zone) {
                Some(view) if view.oldest >= epoch => &mut confirmation.confirmed,
                Some(_) => &mut confirmation.waiting,
                None => &mut confirmation.unheard,
            };
            list.push(zone.clone());
        }
        if self.adoption.complete < epoch {
            let zone = &self.settings.own.zone;
            confirmation.missing = if self.adoption.epoch < epoch {
                let live = self.roster.in_zone(zone).filter(|view| view.is_live());
                live.map(|view| view.info.host.clone()).collect()
            } else {
                self.adoption.missing(&self.roster, zone)
            };
        }
        confirmation
    }

    /// The own zone, from full detail.
    pub(crate) fn own_zone(&self, now: Instant) -> ZoneView {
        let zone = &self.settings.own.zone;
        let live = self.roster.in_zone(zone).filter(|view| view.is_live());
        let (mut count, mut known, mut free) = (0, 0, 0);
        for view in live {
            count += 1;
            if view.heard.is_some() || view.info.host == self.settings.own.host {
                known += 1;
                free += u64::from(view.free);
            }
        }
        ZoneView {
            zone: zone.clone(),
            made: now,
            live: count,
            newest: self.adoption.epoch.max(self.fresh.adopted()),
            oldest: self.adoption.complete,
            // Hosts that were not heard directly count like the mean of those that were.
            free: (free * u64::from(count)).checked_div(known).unwrap_or(0),
            contact: self.zone_contact(),
        }
    }

    /// The other zones that a summary has come from lately.
    pub(crate) fn heard(&self, now: Instant) -> impl Iterator<Item = &ZoneView> {
        let limit = self.settings.zone_limit(self.roster.len());
        self.others
            .values()
            .filter(move |view| now.saturating_duration_since(view.made) <= limit)
    }

    /// The latest contact of the own zone.
    pub(crate) fn zone_contact(&self) -> Option<Instant> {
        self.contact.max(self.mates_contact)
    }

    /// Takes in the summary of another zone, as of `at`.
    pub(crate) fn note_zone(&mut self, summary: Summary, at: Instant) {
        let Some(made) = at.checked_sub(summary.age) else {
            return;
        };
        let listed = self.roster.zones().contains(&summary.zone);
        if summary.zone == self.settings.own.zone || !listed {
            return;
        }
        let view = ZoneView {
            made,
            live: summary.live,
            newest: summary.newest,
            oldest: summary.oldest,
            free: summary.free,
            contact: summary.contact.and_then(|age| at.checked_sub(age)),
            zone: summary.zone,
        };
        let newer = self.others.get(&view.zone).is_none_or(|o| o.made < made);
        if newer {
            self.others.insert(view.zone.clone(), view);
        }
    }
}
