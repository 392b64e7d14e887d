//! Messages between hosts: digests, demand and tokens, and the upkeep of the table of hosts.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{debug, error, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wagtail_steer::{Digest, HostState, Message, Steer, Team, TokenOutcome, TokenSource};
use wagtail_types::HostId;

use crate::host::Core;
use crate::registry::{Entry, Registry, Topic};

/// The largest datagram; digests of large fleets stay well below.
const DATAGRAM_MAX: usize = 60_000;
/// The largest answer of the registry that is passed on.
const FEED_MAX: usize = 50_000;
/// The wait for the quota owner's reply: several ways within a region, and little of any request's
/// time.
const TOKEN_WAIT: Duration = Duration::from_millis(40);
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
    /// Requests that wait for a token.
    asked: RefCell<HashMap<u32, oneshot::Sender<TokenOutcome>>>,
    numbers: Cell<u32>,
}

impl Exchange {
    pub(crate) fn new(core: Rc<Core>, socket: UdpSocket) -> Self {
        Self {
            core,
            socket,
            next: RefCell::default(),
            alive: RefCell::default(),
            asked: RefCell::default(),
            numbers: Cell::new(0),
        }
    }

    /// Receives digests.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    debug!(self.core.log, "cannot receive a digest"; "error" => %e);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            match Message::decode(&buffer[..size]) {
                Ok(message) => self.take(message, from),
                Err(e) => warn!(self.core.log, "bad message"; "from" => %from, "error" => %e),
            }
        }
    }

    fn take(&self, message: Message, from: SocketAddr) {
        let now = self.core.now();
        match message {
            Message::Digest(digest) => self.hear(digest),
            Message::Demand { zone, teams } => {
                self.core
                    .steer
                    .borrow_mut()
                    .record_demand(&zone, &teams, now);
            }
            Message::TokenRequest { number, team } => {
                let taken = self.core.steer.borrow_mut().take_token_for_peer(team, now);
                let wait_ms = match taken {
                    Some(TokenOutcome::Granted) => None,
                    Some(TokenOutcome::Denied(wait)) => {
                        Some(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
                    }
                    // Without an answer the other host decides by itself.
                    None => return,
                };
                self.post(&Message::TokenReply { number, wait_ms }, from);
            }
            Message::TokenReply { number, wait_ms } => {
                let waiting = self.asked.borrow_mut().remove(&number);
                if let Some(waiting) = waiting {
                    // A request that no longer waits needs no token.
                    let _ = waiting.send(wait_ms.map_or(TokenOutcome::Granted, Steer::denied_for));
                }
            }
            Message::RegistryChanges { topic, after, page } => {
                if let Some(feed) = self.core.feeds.get(usize::from(topic)) {
                    feed.push(after, page.into());
                }
            }
            Message::TokenReturn { team } => self.core.steer.borrow_mut().return_token(team),
        }
    }

    /// Passes changes in the registry on. What does not fit a datagram the others ask for.
    pub(crate) fn pass_on(&self, topic: Topic, after: u64, page: &Bytes, to: &[SocketAddr]) {
        if page.len() > FEED_MAX {
            return;
        }
        let message = Message::RegistryChanges {
            topic: topic.number(),
            after,
            page: page.to_vec(),
        };
        for peer in to {
            self.post(&message, *peer);
        }
    }

    /// Sends a message if that needs no wait; all of them may be lost anyway.
    fn post(&self, message: &Message, to: SocketAddr) {
        let sent = match message.encode() {
            Ok(bytes) => self
                .socket
                .try_send_to(&bytes, to)
                .map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        if let Err(e) = sent {
            debug!(self.core.log, "message not sent"; "to" => %to, "error" => e);
        }
    }

    /// Takes a token of a team's limit, here or from its quota owner.
    pub(crate) async fn token(&self, team: &Team) -> TokenOutcome {
        let way = self
            .core
            .steer
            .borrow_mut()
            .take_token(team, self.core.now());
        let (owner, hash) = match way {
            TokenSource::Local(taken) => return taken,
            TokenSource::Remote { owner, team } => (owner, team),
        };
        let number = self.numbers.get().wrapping_add(1);
        self.numbers.set(number);
        let (sender, answer) = oneshot::channel();
        self.asked.borrow_mut().insert(number, sender);
        self.post(&Message::TokenRequest { number, team: hash }, owner);
        if let Ok(Ok(taken)) = tokio::time::timeout(TOKEN_WAIT, answer).await {
            return taken;
        }
        self.asked.borrow_mut().remove(&number);
        self.core.metrics.count("tokens", "unanswered");
        self.core
            .steer
            .borrow_mut()
            .take_isolated_token(team, self.core.now())
    }

    /// Gives a token back for a request that no endpoint ran.
    pub(crate) fn give_back(&self, team: &Team) {
        let now = self.core.now();
        let hash = Steer::object_hash(team.id.as_str());
        let owner = self.core.steer.borrow().token_owner(team, now);
        match owner {
            Some(owner) => self.post(&Message::TokenReturn { team: hash }, owner),
            None => self.core.steer.borrow_mut().return_token(hash),
        }
    }

    fn hear(&self, digest: Digest) {
        let id = digest.host.clone();
        let state = digest.state;
        let now = self.core.now();
        if !self.core.steer.borrow_mut().apply_digest(digest, now) {
            return;
        }
        if self.alive.borrow_mut().insert(id.clone()) {
            info!(self.core.log, "host heard"; "host" => %id, "state" => ?state);
        }
    }

    /// Sends digests each period: often within the region, seldom to other regions.
    pub(crate) async fn send(self: Rc<Self>) {
        let settings = self.core.steer.borrow().settings().clone();
        let mut far_at = self.core.now();
        loop {
            let now = self.core.now();
            let far = now >= far_at;
            if far {
                far_at = now + settings.far_period;
                self.spread_demand(now);
            }
            self.note_silent(now);
            self.spread(far).await;
            tokio::time::sleep(settings.near_period).await;
        }
    }

    fn note_silent(&self, now: Instant) {
        let heard = self.core.steer.borrow().live_peers(now);
        let mut alive = self.alive.borrow_mut();
        for id in alive.difference(&heard) {
            info!(self.core.log, "host silent"; "host" => %id);
        }
        alive.retain(|id| heard.contains(id));
        for id in self.core.steer.borrow_mut().prune_peers(now) {
            info!(self.core.log, "host forgotten"; "host" => %id);
        }
    }

    /// Tells the other regions' quota owners what is asked of this one.
    fn spread_demand(&self, now: Instant) {
        let zone = self.core.steer.borrow().local_host().record.zone.clone();
        let demands = self.core.steer.borrow_mut().demand_reports(now);
        for (owner, teams) in demands {
            self.post(
                &Message::Demand {
                    zone: zone.clone(),
                    teams,
                },
                owner,
            );
        }
    }

    /// Sends a digest to the next hosts of the region and, if asked, of other regions.
    pub(crate) async fn spread(&self, far: bool) {
        let state = self.core.state();
        let digest = self
            .core
            .steer
            .borrow_mut()
            .next_digest(state, self.core.now());
        let bytes = match Message::Digest(digest).encode() {
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
        let region = &steer.local_host().region;
        let fan_out = steer.settings().fan_out;
        let (mut near, mut away): (Vec<_>, Vec<_>) =
            steer.peers().all().partition(|p| p.region == *region);
        near.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        away.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        let mut next = self.next.borrow_mut();
        let mut pick = |list: &[&wagtail_steer::Peer], at: usize| -> Vec<SocketAddr> {
            let count = list.len().min(fan_out);
            let start = next[at];
            next[at] = start.wrapping_add(count);
            (0..count)
                .map(|i| list[(start.wrapping_add(i)) % list.len()].record.peer)
                .collect()
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
    let us = core.steer.borrow().local_host().record.clone();
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
                core.steer.borrow_mut().mark_hosts_read();
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
