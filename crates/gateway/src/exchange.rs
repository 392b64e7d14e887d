//! Digests between hosts, and the upkeep of the table of hosts.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{debug, error, info, warn};
use tokio::net::UdpSocket;
use wagtail_steer::{Digest, HostState};
use wagtail_types::HostId;

use crate::host::Core;
use crate::registry::{Entry, Registry, Topic};
use crate::settings::Settings;

/// The largest datagram; digests of large fleets stay well below.
const DATAGRAM_MAX: usize = 60_000;
/// The most hosts of the region, and as many of the others, that get one digest.
const FAN_OUT: usize = 8;
/// The pause after a failed registration of this host.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(400);
/// Time between two reads of the hosts' registrations, for hosts whose digests do not arrive.
const READ_PERIOD: Duration = Duration::from_secs(20);

/// Sends and receives digests.
#[derive(Debug)]
pub(crate) struct Exchange {
    core: Rc<Core>,
    socket: UdpSocket,
    next: RefCell<[usize; 2]>,
    alive: RefCell<HashSet<HostId>>,
}

impl Exchange {
    pub(crate) fn new(core: Rc<Core>, socket: UdpSocket) -> Self {
        Self { core, socket, next: RefCell::default(), alive: RefCell::default() }
    }

    /// Receives digests.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; 2_048];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    debug!(self.core.log, "cannot receive a digest"; "error" => %e);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            if size == buffer.len() && size < DATAGRAM_MAX {
                buffer.resize(DATAGRAM_MAX, 0);
                continue;
            }
            match Digest::decode(&buffer[..size]) {
                Ok(digest) => self.hear(digest),
                Err(e) => warn!(self.core.log, "bad digest"; "from" => %from, "error" => %e),
            }
        }
    }

    fn hear(&self, digest: Digest) {
        let id = digest.host.clone();
        let state = digest.state;
        let now = self.core.now();
        if !self.core.steer.borrow_mut().hear(digest, now) {
            return;
        }
        if self.alive.borrow_mut().insert(id.clone()) {
            info!(self.core.log, "host heard"; "host" => %id, "state" => ?state);
        }
    }

    /// Sends digests each period: often within the region, seldom to other regions.
    pub(crate) async fn send(self: Rc<Self>, settings: Settings) {
        let mut far_at = self.core.now();
        loop {
            let now = self.core.now();
            let far = now >= far_at;
            if far {
                far_at = now + settings.far_period;
            }
            self.note_silent(now);
            self.spread(far).await;
            tokio::time::sleep(settings.near_period).await;
        }
    }

    fn note_silent(&self, now: Instant) {
        let heard = self.core.steer.borrow().alive_hosts(now);
        let mut alive = self.alive.borrow_mut();
        for id in alive.difference(&heard) {
            info!(self.core.log, "host silent"; "host" => %id);
        }
        alive.retain(|id| heard.contains(id));
        for id in self.core.steer.borrow_mut().prune_hosts(now) {
            info!(self.core.log, "host forgotten"; "host" => %id);
        }
    }

    /// Sends a digest to the next hosts of the region and, if asked, of other regions.
    pub(crate) async fn spread(&self, far: bool) {
        let state = self.core.state();
        let digest = self.core.steer.borrow_mut().digest(state, self.core.now());
        let bytes = match digest.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                error!(self.core.log, "digest not encoded"; "error" => %e);
                return;
            }
        };
        for addr in self.targets(far) {
            if let Err(e) = self.socket.send_to(&bytes, addr).await {
                debug!(self.core.log, "digest not sent"; "to" => %addr, "error" => %e);
            }
        }
    }

    fn targets(&self, far: bool) -> Vec<SocketAddr> {
        let steer = self.core.steer.borrow();
        let region = &steer.us().region;
        let (mut near, mut away): (Vec<_>, Vec<_>) =
            steer.hosts().all().partition(|p| p.region == *region);
        near.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        away.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        let mut next = self.next.borrow_mut();
        let mut pick = |list: &[&wagtail_steer::Peer], at: usize| -> Vec<SocketAddr> {
            let count = list.len().min(FAN_OUT);
            let start = next[at];
            next[at] = start.wrapping_add(count);
            (0..count).map(|i| list[(start.wrapping_add(i)) % list.len()].record.peer).collect()
        };
        let mut targets = pick(&near, 0);
        if far {
            targets.extend(pick(&away, 1));
        }
        targets
    }
}

/// Registers this host, and reads now and then who else is registered.
pub(crate) async fn register<R: Registry>(core: Rc<Core>, registry: Rc<R>) {
    let us = core.steer.borrow().us().record.clone();
    while let Err(e) = registry.announce(&us).await {
        warn!(core.log, "host not registered"; "error" => %e);
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
    info!(core.log, "host registered"; "host" => %us.id);
    loop {
        match registry.read(Topic::Hosts).await {
            Ok(fetched) => {
                let now = core.now();
                for entry in fetched.entries {
                    match entry {
                        Entry::Host(record) => core.steer.borrow_mut().register_host(record, now),
                        Entry::Unusable { key, reason } => {
                            warn!(core.log, "host entry cannot be used"; "key" => key, "reason" => reason);
                        }
                        _ => {}
                    }
                }
                core.steer.borrow_mut().hosts_read();
                tokio::time::sleep(READ_PERIOD).await;
            }
            Err(e) => {
                warn!(core.log, "hosts not read"; "error" => %e);
                tokio::time::sleep(ANNOUNCE_PAUSE).await;
            }
        }
        if core.state() == HostState::Leaving {
            return;
        }
    }
}
