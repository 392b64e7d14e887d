//! What a host keeps in force after the registry has been restored from an older copy.
//!
//! The copy lacks the last changes, which their writers then write again. Until that has happened,
//! what the host knows is newer than the copy.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{EndpointId, ZoneId};

use super::Steer;
use crate::config::ConfigVersion;
use crate::endpoint::{Endpoint, EndpointKey, EndpointRecord, EndpointState};
use crate::said::Said;

/// How long an evacuation that the copy lacks stays in force without the operator's row. Longer than
/// endpoints have for registering again, because sending requests to an evacuated zone is worse than
/// sending none for a few more seconds.
const EVACUATION_HOLD: Duration = Duration::from_secs(5);
/// How long the departure of an endpoint is remembered, and what it has said; longer than a copy is old, and
/// than the registry is away.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(24 * 60 * 60);
/// The number of departures that are remembered.
const DEPARTURES_MAX: usize = 4_096;
/// How long a host that has just started waits for a configuration that another host has in force.
const CONFIG_WAIT: Duration = Duration::from_secs(3);

/// An endpoint that is no longer registered.
#[derive(Debug)]
struct Departure {
    started: Option<u64>,
    addr: SocketAddr,
    said: Said,
    at: Instant,
}

/// What is needed to tell entries of an older copy from current ones.
#[derive(Debug, Default)]
pub(super) struct Restore {
    /// The version of the last configuration that the registry held.
    pub(super) stored_config: Option<ConfigVersion>,
    departures: HashMap<EndpointId, Departure>,
    /// When the evacuations that the copy lacks end.
    held_evacuations: HashMap<ZoneId, Instant>,
    /// The newest configuration that the registry has lost according to another host, and when to
    /// stop waiting for it.
    awaited_config: Option<(ConfigVersion, Instant)>,
    /// When another host first named such a configuration.
    first_hint: Option<Instant>,
}

impl Restore {
    pub(super) fn record_departure(&mut self, endpoint: &Endpoint, now: Instant) {
        let record = &endpoint.record;
        let departure = Departure {
            started: record.started,
            addr: record.addr,
            said: endpoint.said,
            at: now,
        };
        if self.departures.len() >= DEPARTURES_MAX {
            let oldest = self.departures.iter().min_by_key(|(_, d)| d.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.departures.remove(&oldest);
            }
        }
        self.departures.insert(record.id.clone(), departure);
    }

    /// Returns what the process of an endpoint that is registered again has said before.
    pub(super) fn said(&self, record: &EndpointRecord) -> Said {
        let Some(departure) = self.departures.get(&record.id) else {
            return Said::default();
        };
        if departure.started == record.started && departure.addr == record.addr {
            departure.said
        } else {
            departure.said.by_process(record.started)
        }
    }

    pub(super) fn forget_departure(&mut self, id: &EndpointId) {
        self.departures.remove(id);
    }

    /// Records that the operator's row of a zone is known again.
    pub(super) fn confirm_evacuation(&mut self, zone: &ZoneId) {
        self.held_evacuations.remove(zone);
    }

    /// Returns whether the host should wait for a newer configuration than `version`.
    pub(super) fn awaits_config(&self, version: ConfigVersion, now: Instant) -> bool {
        self.awaited_config
            .is_some_and(|(awaited, until)| version < awaited && now < until)
    }

    /// Returns whether this process of the endpoint is known to have departed.
    fn has_departed(&self, record: &EndpointRecord) -> bool {
        self.departures
            .get(&record.id)
            .is_some_and(|d| record.started <= d.started)
    }
}

impl Steer {
    /// Records that the registry has been restored from an older copy. Endpoints that the copy lacks
    /// have the same time to register again as after an outage, and records of suspect requests are
    /// written again.
    pub fn registry_restored(&mut self, now: Instant) {
        self.registry_recovered(now);
        self.suspects.reset_records();
    }

    /// Registers an endpoint that the first full read after a restore lists.
    ///
    /// An endpoint that has departed must pass a health check before it is used, as its address may
    /// belong to another one. One that drains goes on draining. Entries of an earlier process of a
    /// registered endpoint are ignored. Returns `None` if the entry is ignored or its zone is
    /// unknown.
    pub fn register_restored(
        &mut self,
        mut record: EndpointRecord,
        now: Instant,
    ) -> Option<EndpointKey> {
        if let Some(&key) = self.by_id.get(&record.id) {
            let known = &self.endpoints[key].record;
            if matches!((record.started, known.started), (Some(old), Some(new)) if old < new) {
                return None;
            }
            if record.started == known.started && known.state == EndpointState::Draining {
                record.state = EndpointState::Draining;
            }
            return self.register(record, now);
        }
        let departed = self.restore.has_departed(&record);
        let key = self.register(record, now)?;
        if departed {
            self.endpoints[key].check_at = Some(now);
        }
        Some(key)
    }

    /// Replaces the set of evacuated zones after the first full read that follows a restore.
    /// Evacuations that the copy lacks stay in force until the operator has written their rows
    /// again, at most for [`EVACUATION_HOLD`].
    pub fn set_evacuated_restored(&mut self, zones: &HashSet<ZoneId>, now: Instant) {
        for zone in self.evacuated.difference(zones) {
            let until = now + EVACUATION_HOLD;
            self.restore.held_evacuations.insert(zone.clone(), until);
        }
        for zone in zones {
            self.evacuate(zone, true, now);
        }
    }

    /// Ends evacuations whose rows the operator has not written again in time, and forgets old
    /// departures. Returns the zones.
    pub fn end_holds(&mut self, now: Instant) -> Vec<ZoneId> {
        let departures = &mut self.restore.departures;
        departures.retain(|_, d| now.duration_since(d.at) < DEPARTURE_MEMORY);
        let held = self.restore.held_evacuations.iter();
        let over: Vec<_> = held
            .filter(|(_, until)| **until <= now)
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &over {
            self.evacuate(zone, false, now);
        }
        over
    }

    /// Returns the configuration in force if the registry lacks it.
    pub fn lost_config(&self) -> Option<ConfigVersion> {
        let version = self.catalog.as_ref()?.version();
        (self.restore.stored_config < Some(version)).then_some(version)
    }

    /// Records a configuration that another host has in force and that the registry has lost.
    /// Returns `true` if the local host has just started and lacks it too, so that it must not serve
    /// callers yet.
    pub fn hint_config(&mut self, version: ConfigVersion, now: Instant) -> bool {
        let first = *self.restore.first_hint.get_or_insert(now);
        let current = self.catalog.as_ref().map(|c| c.version());
        let awaited = self.restore.awaited_config.map(|(awaited, _)| awaited);
        if now.duration_since(first) >= CONFIG_WAIT || current.max(awaited) >= Some(version) {
            return false;
        }
        self.restore.awaited_config = Some((version, first + CONFIG_WAIT));
        true
    }
}
