//! Division of endpoint slots among hosts.
//!
//! The slots of a zone's endpoints are divided among the serving hosts of that zone by rendezvous
//! hashing on (endpoint, slot). A host that loses a slot stops using it at once; a host that
//! gains one waits until the previous holder must have seen the change and its last request has
//! ended.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::{EndpointId, RegionId, ZoneId};

use crate::mutant::{Fault, Mutant};
use crate::rendezvous::{name_hash, part_hash, score};
use crate::settings::Settings;
use crate::topology::{HostState, HostView};

/// A slot that this host holds, and the time from which it may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Slot {
    pub(crate) index: u32,
    pub(crate) from: Instant,
}

/// Tracks which hosts divide the slots of each zone, according to the local membership view.
#[derive(Debug, Clone)]
pub(crate) struct Owner {
    me: u64,
    region: RegionId,
    detection: Duration,
    fault: Fault,
    zones: HashMap<ZoneId, Members>,
    serving: bool,
}

#[derive(Debug, Clone)]
struct Members {
    region: RegionId,
    hosts: Vec<u64>,
    changed: Instant,
    /// The time from which slots may be used without the handover wait.
    ready: Option<Instant>,
}

impl Owner {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            me: name_hash(settings.host.as_str()),
            region: settings.region.clone(),
            detection: settings.owner.detection,
            fault: settings.fault,
            zones: HashMap::new(),
            serving: false,
        }
    }

    /// Replaces the configured zones.
    pub(crate) fn set_zones(&mut self, now: Instant, zones: &[(ZoneId, RegionId)]) {
        self.zones
            .retain(|id, m| zones.iter().any(|(z, r)| z == id && *r == m.region));
        for (zone, region) in zones {
            self.zones.entry(zone.clone()).or_insert_with(|| Members {
                region: region.clone(),
                hosts: Vec::new(),
                changed: now,
                ready: None,
            });
        }
    }

    /// Applies the current membership view.
    pub(crate) fn set_hosts(&mut self, now: Instant, hosts: &[HostView]) {
        let serving = |h: &&HostView| h.state == HostState::Serving;
        let live: Vec<_> = hosts
            .iter()
            .filter(serving)
            .map(|h| (&h.zone, name_hash(h.id.as_str())))
            .collect();
        self.serving = live.iter().any(|(_, host)| *host == self.me);
        let region_of: HashMap<_, _> = self
            .zones
            .iter()
            .map(|(zone, m)| (zone.clone(), m.region.clone()))
            .collect();
        for (zone, members) in &mut self.zones {
            let of = |near: &dyn Fn(&ZoneId) -> bool| -> Vec<u64> {
                let mut list: Vec<_> = live
                    .iter()
                    .filter(|(z, _)| near(z))
                    .map(|(_, host)| *host)
                    .collect();
                list.sort_unstable();
                list.dedup();
                list
            };
            let mut list = of(&|z| z == zone);
            if list.is_empty() {
                list = of(&|z| region_of.get(z) == Some(&members.region));
            }
            if list != members.hosts {
                members.hosts = list;
                members.changed = now;
                members.ready = None;
            }
        }
    }

    /// Ends the handover wait for the slots of a zone, until its hosts change again.
    pub(crate) fn open(&mut self, now: Instant, zone: &ZoneId) {
        if let Some(members) = self.zones.get_mut(zone) {
            members.ready = Some(now);
        }
    }

    /// Restarts the handover wait for all slots, as after a process pause.
    pub(crate) fn reset(&mut self, now: Instant) {
        for members in self.zones.values_mut() {
            members.changed = now;
            members.ready = None;
        }
    }

    /// Returns the slots of an endpoint that this host holds. Slots in `held` that it still holds
    /// keep the time from which they may be used.
    pub(crate) fn slots(&self, endpoint: &Place<'_>, held: Option<&[Slot]>) -> Vec<Slot> {
        let Some(members) = self.zones.get(endpoint.zone) else {
            return Vec::new();
        };
        if !self.serving || members.region != self.region {
            return Vec::new();
        }
        let wait = self.wait(endpoint.longest);
        let fresh = members.ready.unwrap_or(members.changed + wait);
        let since = |index| {
            let known = held.and_then(|held| held.iter().find(|slot| slot.index == index));
            known.map_or(fresh, |slot| slot.from.min(fresh))
        };
        let kept = |index: &u32| {
            let was = |held: &[Slot]| held.iter().any(|slot| slot.index == *index);
            self.fault.is(Mutant::KeepSlots) && held.is_some_and(was)
        };
        (0..endpoint.slots)
            .filter(|index| kept(index) || self.holds(members, endpoint.id, *index))
            .map(|index| Slot {
                index,
                from: since(index),
            })
            .collect()
    }

    fn wait(&self, longest: Duration) -> Duration {
        if self.fault.is(Mutant::NoWait) {
            return Duration::ZERO;
        }
        self.detection + longest
    }

    fn holds(&self, members: &Members, endpoint: &EndpointId, index: u32) -> bool {
        let item = part_hash(endpoint.as_str(), index);
        let best = members.hosts.iter().max_by_key(|h| (score(item, **h), **h));
        best == Some(&self.me)
    }
}

/// The properties of an endpoint that determine how its slots are divided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    pub(crate) id: &'a EndpointId,
    pub(crate) zone: &'a ZoneId,
    pub(crate) slots: u32,
    pub(crate) longest: Duration,
}
