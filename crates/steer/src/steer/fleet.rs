//! The other hosts: what they tell, what they are told, and which of them callers should use.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId, ZoneId};

use super::Steer;
use crate::cold::is_sender;
use crate::digest::{Digest, HostState};
use crate::endpoint::Way;
use crate::flow::flow_hash;
use crate::hash::{name_hash, tenths};
use crate::hosts::{HostRecord, Peer};

/// The time for which digests repeat that an object is warm; two periods between regions.
const WARM_TOLD: Duration = Duration::from_millis(2_200);

/// The fewest hosts of a zone for which one follows the registry; with fewer, calls saved are few.
const FOLLOWED: usize = 3;

/// Who follows the registry for the hosts of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Follower {
    /// Each host for itself.
    Each,
    /// This host, which passes changes on to these addresses.
    Us(Vec<SocketAddr>),
    /// Another host.
    Other,
}

impl Steer {
    /// Notes that all registered hosts were read.
    pub fn hosts_read(&mut self) {
        self.hosts_known = true;
    }

    /// Takes the registration of another host.
    pub fn register_host(&mut self, record: HostRecord, now: Instant) {
        if record.id == self.us.record.id {
            return;
        }
        if let Some(region) = self.us.zones.get(&record.zone).cloned() {
            self.hosts.register(record, region, &self.settings, now);
        }
    }

    /// Takes a digest; `false` if it is out of date or from an unknown zone.
    pub fn hear(&mut self, mut digest: Digest, now: Instant) -> bool {
        if digest.host == self.us.record.id {
            return false;
        }
        let Some(region) = self.us.zones.get(&digest.zone).cloned() else {
            return false;
        };
        let warm = std::mem::take(&mut digest.warm);
        let before = self.hosts.state(&digest.host);
        let state = digest.state;
        if !self.hosts.hear(digest, region, &self.settings, now) {
            return false;
        }
        if before != Some(state) {
            self.senders_stale = true;
        }
        for (endpoint, object) in warm {
            if let Some(&key) = self.hashes.get(&endpoint) {
                self.endpoints[key].warm.note(object, now);
            }
        }
        self.take_loads(now);
        true
    }

    /// Gives the endpoints the changed sums of the other hosts' requests.
    pub(super) fn take_loads(&mut self, now: Instant) {
        for endpoint in self.hosts.take_changed() {
            if let Some(&key) = self.hashes.get(&endpoint) {
                self.endpoints[key].note_others(self.hosts.load(endpoint), now);
            }
        }
    }

    /// Works out anew which endpoints this host may be the first to send to.
    pub(super) fn choose_senders(&mut self, now: Instant) {
        self.senders_stale = false;
        let home = &self.us.region;
        let near = self.hosts.alive(now);
        let near = near.filter(|p| p.region == *home && p.state == Some(HostState::Ready));
        let near: Vec<u64> = near.map(|p| name_hash(p.record.id.as_str())).collect();
        let us = name_hash(self.us.record.id.as_str());
        for endpoint in self.endpoints.values_mut() {
            endpoint.sender = endpoint.site.way != Way::Away
                && is_sender(name_hash(endpoint.record.id.as_str()), us, &near);
        }
    }

    /// This host's next digest.
    pub fn digest(&mut self, state: HostState, now: Instant) -> Digest {
        self.number += 1;
        while self
            .warmed
            .front()
            .is_some_and(|w| now.duration_since(w.0) >= WARM_TOLD)
        {
            self.warmed.pop_front();
        }
        let arrivals = self.flows.iter().map(|((service, bound), flow)| {
            (flow_hash(service, bound.as_ref()), tenths(flow.rate(now)))
        });
        let arrivals = arrivals.filter(|&(_, rate)| rate > 0).collect();
        Digest {
            host: self.us.record.id.clone(),
            started: self.us.started,
            number: self.number,
            zone: self.us.record.zone.clone(),
            front: self.us.record.front,
            peer: self.us.record.peer,
            state,
            loads: self
                .endpoints
                .values()
                .filter(|e| e.own > 0)
                .map(|e| (e.hash, u16::try_from(e.own).unwrap_or(u16::MAX)))
                .collect(),
            warm: self
                .warmed
                .iter()
                .map(|&(_, endpoint, object)| (endpoint, object))
                .collect(),
            arrivals,
        }
    }

    /// The hosts that are heard.
    pub fn alive_hosts(&self, now: Instant) -> HashSet<HostId> {
        let alive = self.hosts.alive(now);
        alive.map(|p| p.record.id.clone()).collect()
    }

    /// Who follows the registry for this host's zone.
    pub fn follower(&self, now: Instant) -> Follower {
        let zone = &self.us.record.zone;
        let ready = |p: &&Peer| p.record.zone == *zone && p.state == Some(HostState::Ready);
        let peers: Vec<&Peer> = self.hosts.alive(now).filter(ready).collect();
        if peers.len() + 1 < FOLLOWED {
            return Follower::Each;
        }
        if peers.iter().any(|p| p.record.id < self.us.record.id) {
            return Follower::Other;
        }
        Follower::Us(peers.iter().map(|p| p.record.peer).collect())
    }

    /// Drops hosts that have been silent for long.
    pub fn prune_hosts(&mut self, now: Instant) -> Vec<HostId> {
        self.hosts.prune(&self.settings, now)
    }

    /// The addresses for callers of a zone: hosts of the zone, else of its region, else all.
    pub fn directory(&self, zone: Option<&ZoneId>, ready: bool, now: Instant) -> Vec<SocketAddr> {
        let mut found: Vec<(&ZoneId, &RegionId, SocketAddr)> = self
            .hosts
            .alive(now)
            .filter(|p| p.state == Some(HostState::Ready))
            .map(|p| (&p.record.zone, &p.region, p.record.front))
            .collect();
        if ready {
            found.push((&self.us.record.zone, &self.us.region, self.us.record.front));
        }
        let zone = zone.unwrap_or(&self.us.record.zone);
        let region = self.us.zones.get(zone);
        let pick = |near: &dyn Fn(&ZoneId, &RegionId) -> bool| -> Vec<SocketAddr> {
            found
                .iter()
                .filter(|(z, r, _)| near(z, r))
                .map(|&(.., addr)| addr)
                .collect()
        };
        let in_zone = pick(&|z, _| z == zone);
        if in_zone.len() > 1 {
            return in_zone;
        }
        let in_region = pick(&|_, r| Some(r) == region);
        if in_region.is_empty() {
            pick(&|_, _| true)
        } else {
            in_region
        }
    }

    /// The number of hosts that are alive, with this one.
    pub fn host_count(&self, now: Instant) -> usize {
        self.hosts.alive(now).count() + 1
    }
}
