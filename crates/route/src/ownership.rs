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
    pub(crate) usable_from: Instant,
}

/// Tracks which hosts divide the slots of each zone, according to the local membership view.
#[derive(Debug, Clone)]
pub(crate) struct SlotOwnership {
    local_hash: u64,
    region: RegionId,
    detection: Duration,
    fault: Fault,
    zones: HashMap<ZoneId, ZoneMembers>,
    local_serving: bool,
}

#[derive(Debug, Clone)]
struct ZoneMembers {
    region: RegionId,
    hosts: Vec<u64>,
    changed: Instant,
    /// The time from which slots may be used without the handover wait.
    ready_at: Option<Instant>,
}

impl SlotOwnership {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            local_hash: name_hash(settings.host.as_str()),
            region: settings.region.clone(),
            detection: settings.ownership.detection_timeout,
            fault: settings.fault,
            zones: HashMap::new(),
            local_serving: false,
        }
    }

    /// Replaces the configured zones.
    pub(crate) fn set_zones(&mut self, now: Instant, zones: &[(ZoneId, RegionId)]) {
        self.zones
            .retain(|id, m| zones.iter().any(|(z, r)| z == id && *r == m.region));
        for (zone, region) in zones {
            self.zones
                .entry(zone.clone())
                .or_insert_with(|| ZoneMembers {
                    region: region.clone(),
                    hosts: Vec::new(),
                    changed: now,
                    ready_at: None,
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
        self.local_serving = live.iter().any(|(_, host)| *host == self.local_hash);
        let region_of: HashMap<_, _> = self
            .zones
            .iter()
            .map(|(zone, m)| (zone.clone(), m.region.clone()))
            .collect();
        for (zone, members) in &mut self.zones {
            let select = |near: &dyn Fn(&ZoneId) -> bool| -> Vec<u64> {
                let mut list: Vec<_> = live
                    .iter()
                    .filter(|(z, _)| near(z))
                    .map(|(_, host)| *host)
                    .collect();
                list.sort_unstable();
                list.dedup();
                list
            };
            let mut list = select(&|z| z == zone);
            if list.is_empty() {
                list = select(&|z| region_of.get(z) == Some(&members.region));
            }
            if list != members.hosts {
                members.hosts = list;
                members.changed = now;
                members.ready_at = None;
            }
        }
    }

    /// Ends the handover wait for the slots of a zone, until its hosts change again.
    pub(crate) fn mark_ready(&mut self, now: Instant, zone: &ZoneId) {
        if let Some(members) = self.zones.get_mut(zone) {
            members.ready_at = Some(now);
        }
    }

    /// Restarts the handover wait for all slots, as after a process pause.
    pub(crate) fn reset(&mut self, now: Instant) {
        for members in self.zones.values_mut() {
            members.changed = now;
            members.ready_at = None;
        }
    }

    /// Returns the slots of an endpoint that this host holds. Slots in `held` that it still holds
    /// keep the time from which they may be used.
    pub(crate) fn slots(&self, endpoint: &EndpointSlots<'_>, held: Option<&[Slot]>) -> Vec<Slot> {
        let Some(members) = self.zones.get(endpoint.zone) else {
            return Vec::new();
        };
        if !self.local_serving || members.region != self.region {
            return Vec::new();
        }
        let wait = self.handover_wait(endpoint.max_duration);
        let fresh = members.ready_at.unwrap_or(members.changed + wait);
        let since = |index| {
            let known = held.and_then(|held| held.iter().find(|slot| slot.index == index));
            known.map_or(fresh, |slot| slot.usable_from.min(fresh))
        };
        let retained = |index: &u32| {
            let was = |held: &[Slot]| held.iter().any(|slot| slot.index == *index);
            self.fault.is(Mutant::KeepLostSlots) && held.is_some_and(was)
        };
        (0..endpoint.slots)
            .filter(|index| retained(index) || self.is_owner(members, endpoint.id, *index))
            .map(|index| Slot {
                index,
                usable_from: since(index),
            })
            .collect()
    }

    fn handover_wait(&self, max_duration: Duration) -> Duration {
        if self.fault.is(Mutant::NoWait) {
            return Duration::ZERO;
        }
        self.detection + max_duration
    }

    fn is_owner(&self, members: &ZoneMembers, endpoint: &EndpointId, index: u32) -> bool {
        let item = part_hash(endpoint.as_str(), index);
        let best = members.hosts.iter().max_by_key(|h| (score(item, **h), **h));
        best == Some(&self.local_hash)
    }
}

/// The properties of an endpoint that determine how its slots are divided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointSlots<'a> {
    pub(crate) id: &'a EndpointId,
    pub(crate) zone: &'a ZoneId,
    pub(crate) slots: u32,
    pub(crate) max_duration: Duration,
}
