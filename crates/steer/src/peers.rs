//! Membership: the other entry hosts, their last digests, and which of them are alive.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId, ZoneId};

use crate::digest::{Digest, HostState};
use crate::hash::from_tenths;
use crate::settings::Settings;

/// The registration of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRecord {
    /// The name of the host.
    pub id: HostId,
    /// The zone of the host.
    pub zone: ZoneId,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for messages between hosts.
    pub peer: SocketAddr,
}

/// Another entry host and what its last digest said.
#[derive(Debug)]
pub struct Peer {
    /// The registration, updated from digests.
    pub record: HostRecord,
    /// The region that contains the host's zone.
    pub region: RegionId,
    /// The state in its last digest; `None` before the first one.
    pub state: Option<HostState>,
    /// When it was first heard that it leaves.
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) last_digest: Option<Instant>,
    known_since: Instant,
    started: u64,
    sequence: u32,
    loads: Vec<(u32, u16)>,
    pub(crate) arrivals: HashMap<u32, f64>,
}

/// All other entry hosts that are known.
#[derive(Debug)]
pub struct Peers {
    local_region: RegionId,
    by_id: HashMap<HostId, Peer>,
    /// The largest number of hosts that were known at the same time.
    most_known: usize,
    /// The same for each region.
    most_known_in: HashMap<RegionId, usize>,
    /// The failure-detection timeouts for hosts of the local region and of other regions.
    timeouts: [Duration; 2],
    /// The time of the last digest from any host.
    last_digest: Option<Instant>,
    /// When the first other host became known.
    joined_at: Option<Instant>,
    /// The sum over live hosts of their in-flight requests, by the hash of the endpoint's name.
    loads: HashMap<u32, u32>,
    /// Endpoints whose sum in `loads` changed since the last [`take_changed`](Self::take_changed).
    changed: Vec<u32>,
    /// The hosts that the registry listed when it was last read.
    listed: HashSet<HostId>,
}

/// How long registered hosts count as alive before their first digest is due; three digest periods.
const JOIN_GRACE: Duration = Duration::from_millis(1_200);

/// The number of digest rounds after which a silent host counts as failed: two lost digests and
/// some delay.
const MISSED_ROUNDS: f64 = 2.2;

impl Peers {
    /// Creates an empty table for a host in `local_region`.
    pub fn new(local_region: RegionId, settings: &Settings) -> Self {
        Self {
            local_region,
            by_id: HashMap::new(),
            most_known: 0,
            most_known_in: HashMap::new(),
            timeouts: [settings.failure_timeout; 2],
            last_digest: None,
            joined_at: None,
            loads: HashMap::new(),
            changed: Vec::new(),
            listed: HashSet::new(),
        }
    }

    /// Adapts the timeouts to the number of hosts, as each host receives a digest only every few
    /// periods.
    fn update_timeouts(&mut self, settings: &Settings) {
        let near = self
            .by_id
            .values()
            .filter(|p| p.region == self.local_region)
            .count();
        let far = self.by_id.len() - near;
        let timeout = |count: usize, period: Duration| {
            let rounds = count.div_ceil(settings.fan_out);
            period
                .mul_f64(MISSED_ROUNDS * rounds as f64)
                .max(settings.failure_timeout)
        };
        self.timeouts = [
            timeout(near, settings.near_period),
            timeout(far, settings.far_period),
        ];
    }

    fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        let timeout = self.timeouts[usize::from(peer.region != self.local_region)];
        match peer.last_digest {
            Some(at) => now.duration_since(at) < timeout,
            None => self.just_joined(now),
        }
    }

    /// Returns whether the local host has just learned of the others, so that their first digests
    /// may still be on their way.
    fn just_joined(&self, now: Instant) -> bool {
        self.joined_at
            .is_some_and(|at| now.duration_since(at) < JOIN_GRACE)
    }

    /// Adds or updates the registration of a host; a host that has sent digests keeps what they
    /// said.
    pub fn register(
        &mut self,
        record: HostRecord,
        region: RegionId,
        settings: &Settings,
        now: Instant,
    ) {
        match self.by_id.get_mut(&record.id) {
            Some(peer) if peer.last_digest.is_none() => peer.record = record,
            Some(_) => {}
            None => {
                self.joined_at.get_or_insert(now);
                let id = record.id.clone();
                let near = self.by_id.values().filter(|p| p.region == region);
                let known_in = near.count() + 1;
                let most = self.most_known_in.entry(region.clone()).or_default();
                *most = known_in.max(*most);
                self.by_id.insert(
                    id,
                    Peer {
                        record,
                        region,
                        state: None,
                        leaving_since: None,
                        last_digest: None,
                        known_since: now,
                        started: 0,
                        sequence: 0,
                        loads: Vec::new(),
                        arrivals: HashMap::new(),
                    },
                );
                self.most_known = self.most_known.max(self.by_id.len());
                self.update_timeouts(settings);
            }
        }
    }

    /// Applies a digest. Returns `false` if it is older than the last one from the same host.
    pub fn apply_digest(
        &mut self,
        digest: Digest,
        region: RegionId,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        let record = HostRecord {
            id: digest.host.clone(),
            zone: digest.zone,
            front: digest.front,
            peer: digest.peer,
        };
        self.register(record.clone(), region, settings, now);
        let Some(peer) = self.by_id.get_mut(&digest.host) else {
            return false;
        };
        let newer = (digest.started, digest.sequence) > (peer.started, peer.sequence);
        // A restarted host whose wall clock was set back has a lower start time but also a lower
        // sequence number; it must not be ignored forever.
        let restarted = digest.started != peer.started && digest.sequence < peer.sequence;
        if !newer && !restarted {
            return false;
        }
        peer.record = record;
        peer.state = Some(digest.state);
        peer.leaving_since = match digest.state {
            HostState::Leaving => peer.leaving_since.or(Some(now)),
            HostState::Starting | HostState::Ready => None,
        };
        peer.last_digest = Some(now);
        self.last_digest = Some(now);
        peer.started = digest.started;
        peer.sequence = digest.sequence;
        let previous = std::mem::replace(&mut peer.loads, digest.loads);
        let rates = digest.arrivals.into_iter();
        peer.arrivals = rates
            .map(|(name, tenths)| (name, from_tenths(tenths)))
            .collect();
        for &(endpoint, count) in &peer.loads {
            *self.loads.entry(endpoint).or_default() += u32::from(count);
            self.changed.push(endpoint);
        }
        self.subtract_loads(&previous);
        true
    }

    fn subtract_loads(&mut self, loads: &[(u32, u16)]) {
        for &(endpoint, count) in loads {
            if let Entry::Occupied(mut entry) = self.loads.entry(endpoint) {
                *entry.get_mut() = entry.get().saturating_sub(u32::from(count));
                if *entry.get() == 0 {
                    entry.remove();
                }
            }
            self.changed.push(endpoint);
        }
    }

    /// Removes the loads of hosts that have timed out.
    pub(crate) fn expire_loads(&mut self, now: Instant) {
        let silent = |p: &&Peer| !p.loads.is_empty() && !self.is_alive(p, now);
        let silent: Vec<_> = self.by_id.values().filter(silent).collect();
        let ids: Vec<_> = silent.into_iter().map(|p| p.record.id.clone()).collect();
        for id in ids {
            if let Some(peer) = self.by_id.get_mut(&id) {
                let previous = std::mem::take(&mut peer.loads);
                self.subtract_loads(&previous);
            }
        }
    }

    /// Returns the in-flight requests of the other hosts at an endpoint.
    pub(crate) fn peer_load(&self, endpoint: u32) -> u32 {
        self.loads.get(&endpoint).copied().unwrap_or(0)
    }

    /// Returns the endpoints whose [`peer_load`](Self::peer_load) changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether a digest is of a process of its host that no digest has come from yet.
    pub fn is_new_process(&self, digest: &Digest) -> bool {
        let peer = self.by_id.get(&digest.host);
        peer.is_none_or(|p| p.last_digest.is_none() || p.started != digest.started)
    }

    /// Returns the state in a host's last digest.
    pub(crate) fn last_state(&self, id: &HostId) -> Option<HostState> {
        self.by_id.get(id).and_then(|p| p.state)
    }

    /// Returns every other host, alive or not.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    /// Returns the fraction of the hosts, the local one included, that are heard or said that they leave. The
    /// others may be cut off, and grant their part of each limit to callers who still reach them. As silence
    /// in the region is noticed first, it stands for that of all hosts until theirs would be noticed.
    pub(crate) fn heard_fraction(&self, now: Instant) -> f64 {
        let (mut known, mut silent) = ([1_u32; 2], [0_u32; 2]);
        let mut is_early = false;
        for peer in self.by_id.values() {
            let is_far = usize::from(peer.region != self.local_region);
            let age = now.duration_since(peer.last_digest.unwrap_or(peer.known_since));
            let is_silent = age >= self.timeouts[is_far] && peer.state != Some(HostState::Leaving);
            known[is_far] += 1;
            silent[is_far] += u32::from(is_silent);
            is_early |= is_silent && age < self.timeouts[1];
        }
        let heard = |known: u32, silent: u32| f64::from(known - silent) / f64::from(known);
        let all = heard(known[0] + known[1] - 1, silent[0] + silent[1]);
        if is_early {
            all.min(heard(known[0], silent[0]))
        } else {
            all
        }
    }

    /// Returns the number of other hosts that may share the limits of the deployment: the most that
    /// were known at the same time, as hosts that are no longer heard may only be cut off.
    pub fn sharing(&self) -> usize {
        self.most_known
    }

    /// Like [`sharing`](Self::sharing), of one region.
    pub(crate) fn most_known_in(&self, region: &RegionId) -> usize {
        self.most_known_in.get(region).copied().unwrap_or(0)
    }

    /// Returns whether the local host is cut off: other hosts are known, but no digest arrived
    /// within the shortest failure-detection timeout although some are due at any time.
    pub fn is_cut_off(&self, settings: &Settings, now: Instant) -> bool {
        let has_recent_digest = self
            .last_digest
            .is_some_and(|at| now.duration_since(at) < settings.failure_timeout);
        !self.by_id.is_empty() && !has_recent_digest && !self.just_joined(now)
    }

    /// Returns the hosts that have not timed out.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.by_id.values().filter(move |p| self.is_alive(p, now))
    }

    /// Sets the hosts that the registry lists. They are not removed however long they are silent, as they
    /// may only be cut off, and share the limits then.
    pub(crate) fn set_listed(&mut self, listed: HashSet<HostId>) {
        self.listed = listed;
    }

    /// Removes hosts that have been silent for [`Settings::forget_after`] and that the registry does not
    /// list, and returns their ids.
    pub fn prune(&mut self, settings: &Settings, now: Instant) -> Vec<HostId> {
        let limit = settings.forget_after;
        let silent = |p: &Peer| now.duration_since(p.last_digest.unwrap_or(p.known_since)) >= limit;
        let gone = |p: &Peer| silent(p) && !self.listed.contains(&p.record.id);
        let ids: Vec<_> = self
            .by_id
            .iter()
            .filter(|(_, p)| gone(p))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            if let Some(peer) = self.by_id.remove(id) {
                self.subtract_loads(&peer.loads);
            }
        }
        self.update_timeouts(settings);
        ids
    }
}
