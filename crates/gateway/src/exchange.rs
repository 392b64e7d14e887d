//! UDP messages between hosts (digests, demand reports, tokens and relayed registry changes) and
//! the registration of this host.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{debug, error, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wagtail_steer::{
    Datagram, Digest, HostState, LimitReport, Message, Observation, Steer, Team, TokenOutcome,
    TokenSource,
};
use wagtail_types::HostId;

use crate::host::{Core, RelayedPage};
use crate::records::read_records;
use crate::registry::{Entry, Fetched, Registry, Topic};
use crate::work::{Work, contain_sync};

/// The size in bytes of the largest datagram that is received; digests of large fleets stay well
/// below it.
const DATAGRAM_MAX_BYTES: usize = 60_000;
/// The size in bytes of the largest registry response that is relayed to other hosts, so that it
/// fits a datagram.
const RELAY_MAX_BYTES: usize = 50_000;
/// The wait for the quota owner's reply: several one-way delays within a region, and short compared
/// with the timeout of any request.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(40);
/// Marks the number of a token request that a host has forwarded.
const FORWARDED: u32 = 1 << 31;
/// The time for which news of suspect requests is collected before it is sent, as all requests at an
/// endpoint break at the same time.
const NEWS_DELAY: Duration = Duration::from_millis(10);
/// How often such news is sent in one digest period at most.
const NEWS_PER_PERIOD: usize = 4;
/// The pause after a failed registration of this host or a failed read of the other hosts.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The time that a starting host gives the others to reply to its first digest; a round trip between
/// regions.
const INTRODUCTION_TIME: Duration = Duration::from_millis(50);
/// The period of renewing the registration of this host.
const RENEWAL_PERIOD: Duration = Duration::from_secs(10 * 60);
/// How long a host shares the limits without renewing its registration. It may be cut off from the registry
/// for so long.
const REGISTRATION_TIME: Duration = Duration::from_secs(2 * 60 * 60);
/// The period of reading the hosts' registrations, which finds hosts whose digests do not arrive.
const HOSTS_READ_PERIOD: Duration = Duration::from_secs(20);

/// Exchanges messages with the other hosts over UDP.
#[derive(Debug)]
pub(crate) struct Exchange {
    core: Rc<Core>,
    socket: UdpSocket,
    /// The next positions in the lists of hosts within the region and in other regions.
    rotation: RefCell<[usize; 2]>,
    /// The hosts that were live when last checked, so that each change is logged once.
    known_live: RefCell<HashSet<HostId>>,
    /// The requests that wait for a token from a quota owner, by the number of the token request.
    token_requests: RefCell<HashMap<u32, oneshot::Sender<TokenOutcome>>>,
    /// The number of the last token request.
    last_number: Cell<u32>,
}

impl Exchange {
    pub(crate) fn new(core: Rc<Core>, socket: UdpSocket) -> Self {
        Self {
            core,
            socket,
            rotation: RefCell::default(),
            known_live: RefCell::default(),
            token_requests: RefCell::default(),
            last_number: Cell::new(0),
        }
    }

    /// Receives and handles messages for the life of the process.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    debug!(self.core.log, "receiving from the peer socket failed"; "error" => %e);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            contain_sync(&self.core, Work::PeerMessage, || {
                match Datagram::decode(&buffer[..size]) {
                    Ok(datagram) => self.handle(datagram, from),
                    Err(e) => {
                        warn!(self.core.log, "peer message could not be decoded; dropping it";
                            "from" => %from, "error" => %e);
                    }
                }
            });
        }
    }

    fn handle(self: &Rc<Self>, datagram: Datagram, from: SocketAddr) {
        let now = self.core.now();
        if let Some(view) = datagram.registry {
            self.core.learn(view);
        }
        for report in datagram.leaving {
            if self.core.steer.borrow_mut().hint_leaving(report, now) {
                self.core.metrics.count("endpoint_signals", "leaving-hint");
            }
        }
        for report in &datagram.limits {
            self.learn_limit(report, now);
        }
        match datagram.message {
            Message::Digest(digest) => self.apply_digest(digest, from),
            Message::Demand { zone, teams } => {
                self.core
                    .steer
                    .borrow_mut()
                    .record_demand(&zone, &teams, now);
            }
            Message::TokenRequest { number, team } => {
                let forwarded = number & FORWARDED != 0;
                let mut steer = self.core.steer.borrow_mut();
                let source = steer.take_token_for_peer(team, forwarded, now);
                drop(steer);
                match source {
                    Some(TokenSource::Local(taken)) => self.reply_token(number, taken, from),
                    Some(TokenSource::Remote { owner, team }) => {
                        let exchange = self.clone();
                        tokio::task::spawn_local(async move {
                            exchange.forward_request(number, team, owner, from).await;
                        });
                    }
                    // Without a reply the other host falls back to its isolated limit.
                    None => {}
                }
            }
            Message::TokenReply { number, wait_ms } => {
                let waiting = self.token_requests.borrow_mut().remove(&number);
                if let Some(waiting) = waiting {
                    // The receiver is gone if the request no longer waits; it then needs no token.
                    let _ = waiting.send(wait_ms.map_or(TokenOutcome::Granted, Steer::denied_for));
                }
            }
            Message::RegistryChanges { topic, after, page } => {
                if let Some(feed) = self.core.feeds.get(usize::from(topic)) {
                    feed.push(RelayedPage {
                        after,
                        generation: datagram.registry.and_then(|view| view.generation),
                        page: page.into(),
                        seen: false,
                    });
                }
            }
            Message::TokenReturn { team } => self.core.steer.borrow_mut().return_token(team),
            Message::TokenHandover { teams } => {
                let mut steer = self.core.steer.borrow_mut();
                steer.accept_tokens(&teams, now);
            }
            Message::Suspects { host, reports } => self
                .core
                .steer
                .borrow_mut()
                .learn_suspects(&host, &reports, now),
        }
    }

    fn learn_limit(&self, report: &LimitReport, now: Instant) {
        let wall = self.core.wall_millis();
        let mut steer = self.core.steer.borrow_mut();
        let change = steer.learn_limit(report, wall, now);
        drop(steer);
        if change.is_some() {
            self.core.metrics.count("endpoint_signals", "limit-hint");
        }
    }

    /// Relays registry changes to other hosts, or announces only their version if they do not fit a
    /// datagram.
    pub(crate) fn relay(&self, topic: Topic, after: u64, fetched: &Fetched, to: &[SocketAddr]) {
        if to.is_empty() {
            return;
        }
        if fetched.page.len() > RELAY_MAX_BYTES {
            info!(self.core.log, "changes are too large to relay; other hosts ask the registry";
                "topic" => %topic, "bytes" => fetched.page.len(), "at" => after);
            return self.announce(topic, fetched.version, to);
        }
        self.core.metrics.count("registry_relays", "sent");
        self.send_changes(topic, after, fetched.page.to_vec(), to);
    }

    /// Tells other hosts that the registry has reached a version, so that they ask it.
    pub(crate) fn announce(&self, topic: Topic, version: u64, to: &[SocketAddr]) {
        if !to.is_empty() {
            self.core.metrics.count("registry_relays", "too-large");
            self.send_changes(topic, version, Vec::new(), to);
        }
    }

    fn send_changes(&self, topic: Topic, after: u64, page: Vec<u8>, to: &[SocketAddr]) {
        let message = Message::RegistryChanges {
            topic: topic.number(),
            after,
            page,
        };
        for peer in to {
            self.try_send(message.clone(), *peer);
        }
    }

    /// Adds what this host knows of the registry to a message, and to a digest what endpoints have
    /// said of themselves.
    fn datagram(&self, message: Message) -> Datagram {
        let now = self.core.now();
        let (leaving, limits) = match message {
            Message::Digest(_) => {
                let mut steer = self.core.steer.borrow_mut();
                (steer.leaving_reports(now), steer.limit_reports(now))
            }
            _ => Default::default(),
        };
        Datagram {
            message,
            registry: Some(self.core.registry_view()),
            leaving,
            limits,
        }
    }

    /// Sends a message, or drops it if the socket is not ready, because every message may be lost
    /// anyway.
    fn try_send(&self, message: Message, to: SocketAddr) {
        let sent = match self.datagram(message).encode() {
            Ok(bytes) => self
                .socket
                .try_send_to(&bytes, to)
                .map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        if let Err(e) = sent {
            debug!(self.core.log, "message to a peer could not be sent"; "to" => %to, "error" => e);
        }
    }

    /// Takes a token of a team's rate limit, locally or from the team's quota owner. If the owner
    /// does not reply in time, the host uses its isolated limit.
    pub(crate) async fn take_token(&self, team: &Team) -> TokenOutcome {
        let source = self
            .core
            .steer
            .borrow_mut()
            .take_token(team, self.core.now());
        let (owner, hash) = match source {
            TokenSource::Local(taken) => return taken,
            TokenSource::Remote { owner, team } => (owner, team),
        };
        if let Some(taken) = self.request_token(hash, owner, 0).await {
            return taken;
        }
        self.core.metrics.count("tokens", "unanswered");
        self.core
            .steer
            .borrow_mut()
            .take_isolated_token(team, self.core.now())
    }

    /// Requests a token from a quota owner; the number of the request has the bits of `mark`. Returns `None`
    /// if the owner does not reply in time.
    async fn request_token(&self, team: u32, owner: SocketAddr, mark: u32) -> Option<TokenOutcome> {
        let last = self.last_number.get().wrapping_add(1) & !FORWARDED;
        self.last_number.set(last);
        let number = last | mark;
        let (sender, reply) = oneshot::channel();
        self.token_requests.borrow_mut().insert(number, sender);
        self.try_send(Message::TokenRequest { number, team }, owner);
        let reply = tokio::time::timeout(TOKEN_TIMEOUT, reply).await;
        self.token_requests.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }

    /// Requests a token from the quota owner for a host that does not know yet that it is the owner.
    async fn forward_request(&self, number: u32, team: u32, owner: SocketAddr, from: SocketAddr) {
        self.core.metrics.count("tokens", "forwarded");
        if let Some(taken) = self.request_token(team, owner, FORWARDED).await {
            self.reply_token(number, taken, from);
        }
    }

    fn reply_token(&self, number: u32, taken: TokenOutcome, to: SocketAddr) {
        let wait_ms = match taken {
            TokenOutcome::Granted => None,
            TokenOutcome::Denied(wait) => Some(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
        };
        self.try_send(Message::TokenReply { number, wait_ms }, to);
    }

    /// Hands the tokens of teams that the local host no longer owns over to their owners.
    pub(crate) fn hand_over_tokens(&self) {
        let now = self.core.now();
        let handed = self.core.steer.borrow_mut().hand_over_tokens(now);
        for (owner, teams) in handed {
            self.try_send(Message::TokenHandover { teams }, owner);
        }
    }

    /// Returns the token of a request that no endpoint has run.
    pub(crate) fn return_token(&self, team: &Team) {
        let now = self.core.now();
        let hash = Steer::short_hash(team.id.as_str());
        let owner = self.core.steer.borrow().token_owner(team, now);
        match owner {
            Some(owner) => self.try_send(Message::TokenReturn { team: hash }, owner),
            None => self.core.steer.borrow_mut().return_token(hash),
        }
    }

    fn apply_digest(&self, digest: Digest, from: SocketAddr) {
        let id = digest.host.clone();
        let state = digest.state;
        let now = self.core.now();
        let is_new = self.core.steer.borrow().peers().is_new_process(&digest);
        if !self.core.steer.borrow_mut().apply_digest(digest, now) {
            return;
        }
        if is_new {
            // A host that has just started learns at once what the others know.
            let state = self.core.state();
            let own = self.core.steer.borrow_mut().next_digest(state, now);
            self.try_send(Message::Digest(own), from);
            self.send_suspects(&[from]);
            let relayed = self.core.steer.borrow().relayed_suspects(now);
            for (host, reports) in relayed {
                self.try_send(Message::Suspects { host, reports }, from);
            }
        }
        if self.known_live.borrow_mut().insert(id.clone()) {
            info!(self.core.log, "host is live: its digest arrived";
                "host" => %id, "state" => ?state);
        }
    }

    /// Sends digests periodically, more often within the region than to other regions.
    pub(crate) async fn gossip(self: Rc<Self>) {
        let settings = self.core.steer.borrow().settings().clone();
        let mut next_far = self.core.now();
        loop {
            let now = self.core.now();
            let far = now >= next_far;
            if far {
                next_far = now + settings.far_period;
                self.send_demand(now);
            }
            self.update_membership(now);
            self.core.report_age();
            self.send_digest(far).await;
            self.hand_over_tokens();
            let pause = tokio::time::sleep(settings.near_period);
            tokio::pin!(pause);
            for _ in 0..NEWS_PER_PERIOD {
                tokio::select! {
                    () = &mut pause => break,
                    () = self.core.suspect_news.notified() => self.send_news().await,
                }
            }
            pause.await;
        }
    }

    /// Tells all other hosts at once under which requests endpoints ended, or which ended well again.
    async fn send_news(&self) {
        tokio::time::sleep(NEWS_DELAY).await;
        let now = self.core.now();
        let reports = self.core.steer.borrow_mut().take_suspect_news(now);
        if reports.is_empty() {
            return;
        }
        let steer = self.core.steer.borrow();
        let host = steer.local_host().record.id.clone();
        let to: Vec<_> = steer.peers().all().map(|p| p.record.peer).collect();
        drop(steer);
        let message = Message::Suspects { host, reports };
        for addr in to {
            self.try_send(message.clone(), addr);
        }
    }

    /// Repeats under which requests endpoints ended, for hosts that have not heard of it.
    fn send_suspects(&self, to: &[SocketAddr]) {
        let steer = self.core.steer.borrow();
        let reports = steer.suspect_reports(self.core.now());
        let host = steer.local_host().record.id.clone();
        drop(steer);
        if reports.is_empty() {
            return;
        }
        let message = Message::Suspects { host, reports };
        for addr in to {
            self.try_send(message.clone(), *addr);
        }
    }

    /// Logs hosts that are no longer live, and removes those that have been silent for long.
    fn update_membership(&self, now: Instant) {
        let live = self.core.steer.borrow().live_peers(now);
        let mut known_live = self.known_live.borrow_mut();
        for id in known_live.difference(&live) {
            info!(self.core.log, "no digest from host within the failure-detection timeout";
                "host" => %id);
        }
        known_live.retain(|id| live.contains(id));
        for id in self.core.steer.borrow_mut().prune_peers(now) {
            info!(self.core.log, "host removed from the peer table after long silence";
                "host" => %id);
        }
    }

    /// Reports the demand for the teams that this host owns to their quota owners in other regions.
    fn send_demand(&self, now: Instant) {
        let zone = self.core.steer.borrow().local_host().record.zone.clone();
        let demands = self.core.steer.borrow_mut().demand_reports(now);
        for (owner, teams) in demands {
            self.try_send(
                Message::Demand {
                    zone: zone.clone(),
                    teams,
                },
                owner,
            );
        }
    }

    /// Sends a digest to the next hosts of the region in rotation and, if `far`, of other regions.
    pub(crate) async fn send_digest(&self, far: bool) {
        let state = self.core.state();
        let digest = self
            .core
            .steer
            .borrow_mut()
            .next_digest(state, self.core.now());
        let bytes = match self.datagram(Message::Digest(digest)).encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                error!(self.core.log, "digest could not be encoded"; "error" => %e);
                return;
            }
        };
        let targets = self.targets(far);
        self.send_suspects(&targets);
        for addr in targets {
            if let Err(e) = self.socket.send_to(&bytes, addr).await {
                debug!(self.core.log, "digest to a peer could not be sent";
                    "to" => %addr, "error" => %e);
            }
        }
    }

    /// Returns the addresses that receive the next digest.
    fn targets(&self, far: bool) -> Vec<SocketAddr> {
        let steer = self.core.steer.borrow();
        let region = &steer.local_host().region;
        let fan_out = steer.settings().fan_out;
        let (mut near, mut remote): (Vec<_>, Vec<_>) =
            steer.peers().all().partition(|p| p.region == *region);
        near.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        remote.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        let mut rotation = self.rotation.borrow_mut();
        let mut pick = |list: &[&wagtail_steer::Peer], index: usize| -> Vec<SocketAddr> {
            let count = list.len().min(fan_out);
            let start = rotation[index];
            rotation[index] = start.wrapping_add(count);
            (0..count)
                .map(|i| list[(start.wrapping_add(i)) % list.len()].record.peer)
                .collect()
        };
        let mut targets = pick(&near, 0);
        if far {
            targets.extend(pick(&remote, 1));
        }
        targets
    }
}

/// Registers this host and reads the registrations of the other hosts periodically, until this host
/// leaves. Both are repeated after each restore of the registry.
pub(crate) async fn register<R: Registry>(core: Rc<Core>, exchange: Rc<Exchange>, registry: Rc<R>) {
    let mut restores = core.restores();
    let mut introduced = false;
    let record = core.steer.borrow().local_host().record.clone();
    while core.state() != HostState::Leaving {
        let announced = registry.announce(&record, core.wall_millis()).await;
        let renew_at = core.now() + RENEWAL_PERIOD;
        core.observe(&announced.generation);
        core.registration
            .set(announced.result.as_ref().ok().copied());
        if let Err(e) = announced.result {
            warn!(core.log, "host registration failed; retrying"; "error" => %e);
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        info!(core.log, "host registered"; "host" => %record.id);
        loop {
            let listed = read_hosts(&core, &*registry).await;
            if listed.as_ref().is_some_and(|l| !l.contains(&record.id)) {
                // A write of an earlier process may be performed late.
                warn!(core.log, "registry does not list this host; registering it again"; "host" => %record.id);
                tokio::time::sleep(RETRY_PAUSE).await;
                break;
            }
            let read = listed.is_some() && (introduced || read_records(&core, &*registry).await);
            if read && !std::mem::replace(&mut introduced, true) {
                introduce(&core, &exchange).await;
            }
            let pause = if read { HOSTS_READ_PERIOD } else { RETRY_PAUSE };
            if core.state() == HostState::Leaving {
                return;
            }
            if core.now() >= renew_at {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = restores.changed() => break,
            }
        }
        tokio::time::sleep(core.restore_delay()).await;
    }
}

/// Sends a digest to the other hosts, and gives them time to reply with what they know before this
/// host serves callers.
async fn introduce(core: &Core, exchange: &Exchange) {
    if core.steer.borrow().peers().all().next().is_some() {
        exchange.send_digest(true).await;
        tokio::time::sleep(INTRODUCTION_TIME).await;
    }
    core.steer.borrow_mut().mark_hosts_read();
}

/// Returns whether a registration is that of a host which may still run. Earlier builds do not tell when they
/// renewed it.
fn is_current(renewed: Option<u64>, wall: u64) -> bool {
    renewed.is_none_or(|at| Duration::from_millis(wall.saturating_sub(at)) < REGISTRATION_TIME)
}

/// Reads the registrations of the other hosts. Returns the hosts that the registry lists, or `None` if that
/// failed.
async fn read_hosts<R: Registry>(core: &Core, registry: &R) -> Option<HashSet<HostId>> {
    let answer = registry.read(Topic::Hosts).await;
    let outdated = core.observe(&answer.generation) == Observation::Outdated;
    let fetched = match answer.result {
        Ok(fetched) if !outdated => fetched,
        Ok(_) => return None,
        Err(e) => {
            warn!(core.log, "reading the host registrations failed; retrying"; "error" => %e);
            return None;
        }
    };
    let (wall, now) = (core.wall_millis(), core.now());
    let mut listed = HashSet::new();
    for entry in fetched.entries {
        match entry {
            Entry::Host(record, renewed) if is_current(renewed, wall) => {
                listed.insert(record.id.clone());
                core.steer.borrow_mut().register_host(record, now);
            }
            Entry::Unusable { key, reason } => {
                warn!(core.log, "host registration is unusable; ignoring it";
                    "key" => key, "reason" => reason);
            }
            _ => {}
        }
    }
    core.steer.borrow_mut().list_hosts(listed.clone());
    Some(listed)
}
