//! The entry hosts: who they are, who is alive, and which of them callers should use.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId, ZoneId};

use crate::digest::{Digest, HostState};
use crate::hash::from_tenths;
use crate::settings::Settings;

/// What a host says of itself in the registry.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRecord {
    /// The name.
    pub id: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for digests.
    pub peer: SocketAddr,
}

/// Another host.
#[derive(Debug)]
pub struct Peer {
    /// The registration, or what its digests say.
    pub record: HostRecord,
    /// Its region.
    pub region: RegionId,
    /// Whether it takes callers; `None` before its first digest.
    pub state: Option<HostState>,
    pub(crate) heard: Option<Instant>,
    known: Instant,
    started: u64,
    number: u32,
    loads: Vec<(u32, u16)>,
    pub(crate) arrivals: HashMap<u32, f64>,
}

/// All other hosts that this host knows of.
#[derive(Debug)]
pub struct Hosts {
    home: RegionId,
    peers: HashMap<HostId, Peer>,
    /// The time after which a host of the region, or of another one, is taken as lost.
    silence: [Duration; 2],
    /// The last digest of any host.
    heard: Option<Instant>,
    /// When this host first knew of another.
    joined: Option<Instant>,
    /// Requests at endpoints from all hosts that are heard, by the hash of the endpoint's name.
    loads: HashMap<u32, u32>,
    /// Endpoints whose sum in `loads` has changed.
    changed: Vec<u32>,
}

/// The time after a start for which registered hosts count as heard: three periods of digests.
const JOIN_TIME: Duration = Duration::from_millis(1_200);

/// Digests of a host that may be missed before it is taken as lost, and some delay.
const MISSED: f64 = 2.2;

impl Hosts {
    /// No other hosts, seen from a region.
    pub fn new(home: RegionId, settings: &Settings) -> Self {
        Self {
            home,
            peers: HashMap::new(),
            silence: [settings.host_silence; 2],
            heard: None,
            joined: None,
            loads: HashMap::new(),
            changed: Vec::new(),
        }
    }

    /// Adapts to the number of hosts: each gets a digest every few periods.
    fn tune(&mut self, settings: &Settings) {
        let near = self
            .peers
            .values()
            .filter(|p| p.region == self.home)
            .count();
        let far = self.peers.len() - near;
        let silence = |count: usize, period: Duration| {
            let rounds = count.div_ceil(settings.fan_out);
            period
                .mul_f64(MISSED * rounds as f64)
                .max(settings.host_silence)
        };
        self.silence = [
            silence(near, settings.near_period),
            silence(far, settings.far_period),
        ];
    }

    fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        let silence = self.silence[usize::from(peer.region != self.home)];
        match peer.heard {
            Some(at) => now.duration_since(at) < silence,
            None => self.just_joined(now),
        }
    }

    /// Whether this host has only just joined the others, so that their digests may be on the way.
    fn just_joined(&self, now: Instant) -> bool {
        self.joined
            .is_some_and(|at| now.duration_since(at) < JOIN_TIME)
    }

    /// Takes a registration.
    pub fn register(
        &mut self,
        record: HostRecord,
        region: RegionId,
        settings: &Settings,
        now: Instant,
    ) {
        match self.peers.get_mut(&record.id) {
            Some(peer) if peer.heard.is_none() => peer.record = record,
            Some(_) => {}
            None => {
                self.joined.get_or_insert(now);
                let id = record.id.clone();
                self.peers.insert(
                    id,
                    Peer {
                        record,
                        region,
                        state: None,
                        heard: None,
                        known: now,
                        started: 0,
                        number: 0,
                        loads: Vec::new(),
                        arrivals: HashMap::new(),
                    },
                );
                self.tune(settings);
            }
        }
    }

    /// Takes a digest; `false` if it is older than one that was heard before.
    pub fn hear(
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
        let Some(peer) = self.peers.get_mut(&digest.host) else {
            return false;
        };
        let newer = (digest.started, digest.number) > (peer.started, peer.number);
        // A wall clock that was set back must not silence a restarted host for good.
        let restarted = digest.started != peer.started && digest.number < peer.number;
        if !newer && !restarted {
            return false;
        }
        peer.record = record;
        peer.state = Some(digest.state);
        peer.heard = Some(now);
        self.heard = Some(now);
        peer.started = digest.started;
        peer.number = digest.number;
        let before = std::mem::replace(&mut peer.loads, digest.loads);
        let told = digest.arrivals.into_iter();
        peer.arrivals = told
            .map(|(name, tenths)| (name, from_tenths(tenths)))
            .collect();
        for &(endpoint, count) in &peer.loads {
            *self.loads.entry(endpoint).or_default() += u32::from(count);
            self.changed.push(endpoint);
        }
        self.forget_loads(&before);
        true
    }

    fn forget_loads(&mut self, loads: &[(u32, u16)]) {
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

    /// Drops the loads of hosts that are no longer heard.
    pub(crate) fn expire(&mut self, now: Instant) {
        let silent = |p: &&Peer| !p.loads.is_empty() && !self.is_alive(p, now);
        let silent: Vec<_> = self.peers.values().filter(silent).collect();
        let ids: Vec<_> = silent.into_iter().map(|p| p.record.id.clone()).collect();
        for id in ids {
            if let Some(peer) = self.peers.get_mut(&id) {
                let before = std::mem::take(&mut peer.loads);
                self.forget_loads(&before);
            }
        }
    }

    /// Requests of the other hosts at an endpoint.
    pub(crate) fn load(&self, endpoint: u32) -> u32 {
        self.loads.get(&endpoint).copied().unwrap_or(0)
    }

    /// The endpoints whose [`load`](Self::load) has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.changed)
    }

    /// What a host last said of itself.
    pub(crate) fn state(&self, id: &HostId) -> Option<HostState> {
        self.peers.get(id).and_then(|p| p.state)
    }

    /// Every other host, alive or not.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Whether other hosts are known but none was heard for a while, although some are due at any
    /// time.
    pub fn is_cut_off(&self, settings: &Settings, now: Instant) -> bool {
        let heard = self
            .heard
            .is_some_and(|at| now.duration_since(at) < settings.host_silence);
        !self.peers.is_empty() && !heard && !self.just_joined(now)
    }

    /// The hosts that are heard.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| self.is_alive(p, now))
    }

    /// Drops hosts that were silent for long, and says which.
    pub fn prune(&mut self, settings: &Settings, now: Instant) -> Vec<HostId> {
        let lost = settings.lost_demand;
        let gone = |p: &Peer| now.duration_since(p.heard.unwrap_or(p.known)) >= lost;
        let ids: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, p)| gone(p))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            if let Some(peer) = self.peers.remove(id) {
                self.forget_loads(&peer.loads);
            }
        }
        self.tune(settings);
        ids
    }
}
