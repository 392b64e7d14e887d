//! The entry hosts: who they are, who is alive, and which of them callers should use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId, ZoneId};

use crate::digest::{Digest, HostState};

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
    pub(crate) loads: HashMap<u32, u16>,
    pub(crate) demand: HashMap<u32, f64>,
    pub(crate) arrivals: HashMap<u32, f64>,
}

impl Peer {
    fn alive(&self, silence: Duration, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.duration_since(at) < silence)
    }
}

/// All other hosts that this host knows of.
#[derive(Debug, Default)]
pub struct Hosts {
    peers: HashMap<HostId, Peer>,
}

impl Hosts {
    /// Takes a registration.
    pub fn register(&mut self, record: HostRecord, region: RegionId, now: Instant) {
        match self.peers.get_mut(&record.id) {
            Some(peer) if peer.heard.is_none() => peer.record = record,
            Some(_) => {}
            None => {
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
                        loads: HashMap::new(),
                        demand: HashMap::new(),
                        arrivals: HashMap::new(),
                    },
                );
            }
        }
    }

    /// Takes a digest; `false` if it is older than one that was heard before.
    pub fn hear(&mut self, digest: Digest, region: RegionId, now: Instant) -> bool {
        let record = HostRecord {
            id: digest.host.clone(),
            zone: digest.zone,
            front: digest.front,
            peer: digest.peer,
        };
        self.register(record.clone(), region, now);
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
        peer.started = digest.started;
        peer.number = digest.number;
        peer.loads = digest.loads.into_iter().collect();
        let rates = |list: Vec<(u32, u16)>| -> HashMap<u32, f64> {
            list.into_iter().map(|(name, tenths)| (name, f64::from(tenths) / 10.0)).collect()
        };
        peer.demand = rates(digest.demand);
        peer.arrivals = rates(digest.arrivals);
        true
    }

    /// Every other host, alive or not.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The hosts heard within `silence`.
    pub fn alive(&self, silence: Duration, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.alive(silence, now))
    }

    /// Drops hosts that were silent for `lost`, and says which.
    pub fn prune(&mut self, lost: Duration, now: Instant) -> Vec<HostId> {
        let gone = |p: &Peer| now.duration_since(p.heard.unwrap_or(p.known)) >= lost;
        let ids: Vec<_> =
            self.peers.iter().filter(|(_, p)| gone(p)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.peers.remove(id);
        }
        ids
    }
}
