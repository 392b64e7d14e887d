//! Exchange of digests with the other hosts, and the directory of hosts for callers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId, ZoneId};

use super::Steer;
use crate::cold::COLD_SENDERS;
use crate::digest::{Digest, HostState};
use crate::endpoint::{Distance, Endpoint};
use crate::hash::{name_hash, tenths};
use crate::peers::{HostRecord, Peer};
use crate::rate::arrival_hash;
use crate::senders::is_sender;

/// How long digests repeat that an object became warm; two digest periods between regions.
const WARM_REPORT_TIME: Duration = Duration::from_millis(2_200);

/// The smallest number of hosts in a zone for which one host follows the registry on behalf of all;
/// with fewer hosts the saved calls are not worth it.
const MIN_FOLLOWED: usize = 3;

/// Which host follows the registry for a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Follower {
    /// Every host follows it for itself.
    Each,
    /// The local host, which forwards changes to these peer addresses.
    Local(Vec<SocketAddr>),
    /// Another host of the zone.
    Other,
}

impl Steer {
    /// Records that the registrations of all hosts have been read.
    pub fn mark_hosts_read(&mut self) {
        self.hosts_known = true;
    }

    /// Records the registration of another host; the local host and hosts of unknown zones are
    /// ignored.
    pub fn register_host(&mut self, record: HostRecord, now: Instant) {
        if record.id == self.local.record.id {
            return;
        }
        if let Some(region) = self.local.zones.get(&record.zone).cloned() {
            self.peers.register(record, region, &self.settings, now);
        }
    }

    /// Applies a digest. Returns `false` if it is outdated, from the local host or from an unknown
    /// zone.
    pub fn apply_digest(&mut self, mut digest: Digest, now: Instant) -> bool {
        if digest.host == self.local.record.id {
            return false;
        }
        let Some(region) = self.local.zones.get(&digest.zone).cloned() else {
            return false;
        };
        let warm = std::mem::take(&mut digest.warm);
        let previous = self.peers.last_state(&digest.host);
        let state = digest.state;
        if !self.peers.apply_digest(digest, region, &self.settings, now) {
            return false;
        }
        if previous != Some(state) {
            self.senders_stale = true;
        }
        for (endpoint, object) in warm {
            if let Some(&key) = self.by_hash.get(&endpoint) {
                self.endpoints[key].warm.record(object, now);
            }
        }
        self.apply_peer_loads(now);
        true
    }

    /// Passes changed sums of the peers' in-flight requests on to the endpoints.
    pub(super) fn apply_peer_loads(&mut self, now: Instant) {
        for endpoint in self.peers.take_changed() {
            if let Some(&key) = self.by_hash.get(&endpoint) {
                self.endpoints[key].record_peer_load(self.peers.peer_load(endpoint), now);
            }
        }
    }

    /// Recomputes for which endpoints the local host is a designated sender.
    pub(super) fn choose_senders(&mut self, now: Instant) {
        self.senders_stale = false;
        let near = self.ready_peers(Some(&self.local.region), now);
        let local = name_hash(self.local.record.id.as_str());
        let limited = self.endpoints.iter().filter(|(_, e)| e.limit.is_named());
        let shares: Vec<_> = limited
            .map(|(key, e)| (key, self.limit_share(e, now)))
            .collect();
        for endpoint in self.endpoints.values_mut() {
            let id = name_hash(endpoint.record.id.as_str());
            endpoint.sender = endpoint.location.distance != Distance::OtherRegion
                && is_sender(id, local, &near, COLD_SENDERS);
        }
        for (key, share) in shares {
            self.endpoints[key].limit.set_share(share);
        }
    }

    /// Returns the name hashes of the other hosts that are ready, in a region or in all.
    pub(super) fn ready_peers(&self, region: Option<&RegionId>, now: Instant) -> Vec<u64> {
        let ready = |p: &&Peer| {
            p.state == Some(HostState::Ready) && region.is_none_or(|region| p.region == *region)
        };
        let peers = self.peers.alive(now).filter(ready);
        peers.map(|p| name_hash(p.record.id.as_str())).collect()
    }

    /// Returns the local host's part of the limit of an endpoint.
    ///
    /// The designated senders are hosts of the endpoint's region, and of others if it has fewer that are
    /// ready. They leave the parts of hosts that are not heard, as these may send too if they are only cut
    /// off.
    fn limit_share(&self, endpoint: &Endpoint, now: Instant) -> f64 {
        let Some(senders) = endpoint.limit.senders() else {
            return 0.0;
        };
        if self.state == HostState::Leaving {
            return 0.0;
        }
        let id = name_hash(endpoint.record.id.as_str());
        let local = name_hash(self.local.record.id.as_str());
        let is_near = endpoint.region == self.local.region;
        let near = self.ready_peers(Some(&endpoint.region), now);
        let near_present = near.len() + usize::from(is_near);
        let near_known = self.peers.most_known_in(&endpoint.region) + usize::from(is_near);
        let (present, known) = if near_present > 0 && senders <= near_known {
            if !is_near || !is_sender(id, local, &near, senders) {
                return 0.0;
            }
            (near_present, near_known)
        } else {
            let mut far = self.ready_peers(None, now);
            let present = far.len() + 1;
            far.retain(|peer| !near.contains(peer));
            if !is_near && !is_sender(id, local, &far, senders.saturating_sub(near_present)) {
                return 0.0;
            }
            (present, self.sharing_hosts())
        };
        let heard = present as f64 / known.max(present) as f64;
        heard / present.min(senders) as f64
    }

    /// Builds the next digest of the local host.
    pub fn next_digest(&mut self, state: HostState, now: Instant) -> Digest {
        self.sequence += 1;
        if self.state != state {
            self.state = state;
            self.leaving_since = (state == HostState::Leaving).then_some(now);
            self.senders_stale = true;
        }
        while self
            .newly_warm
            .front()
            .is_some_and(|w| now.duration_since(w.0) >= WARM_REPORT_TIME)
        {
            self.newly_warm.pop_front();
        }
        let arrivals = self.arrivals.iter().map(|((service, pinned), meter)| {
            (
                arrival_hash(service, pinned.as_ref()),
                tenths(meter.rate(now)),
            )
        });
        let arrivals = arrivals.filter(|&(_, rate)| rate > 0).collect();
        Digest {
            host: self.local.record.id.clone(),
            started: self.local.started,
            sequence: self.sequence,
            zone: self.local.record.zone.clone(),
            front: self.local.record.front,
            peer: self.local.record.peer,
            state,
            loads: self
                .endpoints
                .values()
                .filter(|e| e.in_flight > 0)
                .map(|e| (e.hash, u16::try_from(e.in_flight).unwrap_or(u16::MAX)))
                .collect(),
            warm: self
                .newly_warm
                .iter()
                .map(|&(_, endpoint, object)| (endpoint, object))
                .collect(),
            arrivals,
        }
    }

    /// Returns the hosts that have not timed out, without the local host.
    pub fn live_peers(&self, now: Instant) -> HashSet<HostId> {
        let alive = self.peers.alive(now);
        alive.map(|p| p.record.id.clone()).collect()
    }

    /// Returns which host follows the registry for the local host's zone.
    pub fn follower(&self, now: Instant) -> Follower {
        let zone = &self.local.record.zone;
        let ready = |p: &&Peer| p.record.zone == *zone && p.state == Some(HostState::Ready);
        let peers: Vec<&Peer> = self.peers.alive(now).filter(ready).collect();
        if peers.len() + 1 < MIN_FOLLOWED {
            return Follower::Each;
        }
        if peers.iter().any(|p| p.record.id < self.local.record.id) {
            return Follower::Other;
        }
        Follower::Local(peers.iter().map(|p| p.record.peer).collect())
    }

    /// Returns the number of hosts that share the limits of the deployment, alive or not.
    pub(crate) fn sharing_hosts(&self) -> usize {
        self.peers.sharing() + 1
    }

    /// Sets the hosts that the registry lists; they share the limits, also while they are silent.
    pub fn list_hosts(&mut self, listed: HashSet<HostId>) {
        self.peers.set_listed(listed);
    }

    /// Removes hosts that have been silent for `Settings::forget_after` and are not listed, and returns
    /// their ids.
    pub fn prune_peers(&mut self, now: Instant) -> Vec<HostId> {
        self.peers.prune(&self.settings, now)
    }

    /// Returns the addresses at which callers in a zone should connect: the ready hosts of the zone
    /// if there are at least two, otherwise those of its region, otherwise all. `ready` tells
    /// whether the local host is ready.
    pub fn directory(&self, zone: Option<&ZoneId>, ready: bool, now: Instant) -> Vec<SocketAddr> {
        let mut found: Vec<(&ZoneId, &RegionId, SocketAddr)> = self
            .peers
            .alive(now)
            .filter(|p| p.state == Some(HostState::Ready))
            .map(|p| (&p.record.zone, &p.region, p.record.front))
            .collect();
        if ready {
            found.push((
                &self.local.record.zone,
                &self.local.region,
                self.local.record.front,
            ));
        }
        let zone = zone.unwrap_or(&self.local.record.zone);
        let region = self.local.zones.get(zone);
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

    /// Returns whether another host takes requests of callers.
    pub fn has_ready_peer(&self, now: Instant) -> bool {
        let mut alive = self.peers.alive(now);
        alive.any(|p| p.state == Some(HostState::Ready))
    }

    /// Returns the number of live hosts, the local host included.
    pub fn host_count(&self, now: Instant) -> usize {
        self.peers.alive(now).count() + 1
    }
}
