//! A simulated fleet: several routers whose membership views differ for at most the
//! failure-detection timeout, and the requests that are in flight at each endpoint.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use wagtail_route::{
    Effect, HostState, HostView, Input, Lease, Mutant, Outcome, Placement, Router, Topology,
};
use wagtail_types::EndpointId;

use crate::support::{host, id, ms, one_zone, request, settings, zone};

pub(crate) const DETECTION: Duration = Duration::from_millis(200);
pub(crate) const MAX_DURATION: Duration = Duration::from_millis(400);
pub(crate) const STEP: Duration = Duration::from_millis(10);
const PAUSE_THRESHOLD: Duration = Duration::from_millis(60);

/// Two zones of one region with their hosts.
pub(crate) const HOSTS: [(&str, &str); 5] = [
    ("h0", "a"),
    ("h1", "a"),
    ("h2", "a"),
    ("h3", "b"),
    ("h4", "b"),
];

/// An event in the simulated fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Op {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize, u8),
    Wait(u8),
    Load(usize, u8),
    Finish(u8),
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    updates: Vec<ViewUpdate>,
    messages: Vec<Message>,
    in_flight: Vec<ActiveRequest>,
    rng_state: u64,
    mutant: Option<Mutant>,
    topology: Topology,
}

struct Node {
    router: Option<Router>,
    view: BTreeMap<usize, (u64, HostState)>,
    state: HostState,
    version: u64,
    paused: Option<Instant>,
    declared_dead: bool,
    incarnation: u64,
}

struct ViewUpdate {
    at: Instant,
    to: usize,
    about: usize,
    version: u64,
    state: HostState,
}

/// A handover request or consent between hosts; it may be late or lost.
struct Message {
    at: Instant,
    to: usize,
    input: Input,
}

struct ActiveRequest {
    owner: (usize, u64),
    lease: Option<Lease>,
    endpoint: EndpointId,
    until: Instant,
}

impl Fleet {
    pub(crate) fn new(seed: u64, mutant: Option<Mutant>) -> Self {
        let mut topology = one_zone(2, 3);
        topology.zones.push(zone("b", "r"));
        let short = seed.is_multiple_of(2);
        topology.services[0].max_duration = if short {
            MAX_DURATION / 4
        } else {
            MAX_DURATION
        };
        topology
            .endpoints
            .push(crate::support::endpoint("e9", "s", "b", 3));
        let node = |_| Node {
            router: None,
            view: BTreeMap::new(),
            state: HostState::Dead,
            version: 0,
            paused: None,
            declared_dead: true,
            incarnation: 0,
        };
        let mut fleet = Self {
            now: Instant::now(),
            nodes: HOSTS.iter().map(node).collect(),
            updates: Vec::new(),
            messages: Vec::new(),
            in_flight: Vec::new(),
            rng_state: seed | 1,
            mutant,
            topology,
        };
        for n in 0..HOSTS.len() {
            fleet.start(n);
        }
        fleet
    }

    pub(crate) fn apply(&mut self, op: Op) -> Result<(), String> {
        match op {
            Op::Kill(n) => self.kill(n),
            Op::Start(n) => self.start(n),
            Op::Leave(n) => self.leave(n),
            Op::Pause(n, steps) => self.pause(n, steps),
            Op::Wait(steps) => (0..steps).try_for_each(|_| self.step())?,
            Op::Load(n, count) => (0..count).try_for_each(|_| self.send_request(n))?,
            Op::Finish(n) => self.finish(usize::from(n))?,
        }
        self.check()
    }

    /// Returns the next pseudo-random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u32 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        u32::try_from(self.rng_state % bound).expect("small")
    }

    /// Returns the delay of the next view update, below the failure-detection timeout.
    fn delay(&mut self) -> Duration {
        STEP * self.random_below(20)
    }

    /// Sends a handover message: most arrive at once, some late, some never.
    fn send(&mut self, to: &str, input: Input) {
        let late = match self.random_below(10) {
            0 => return,
            1 => self.random_below(80),
            _ => self.random_below(3),
        };
        let to = HOSTS
            .iter()
            .position(|(name, _)| *name == to)
            .expect("a host");
        let at = self.now + STEP * late;
        self.messages.push(Message { at, to, input });
    }

    fn announce(&mut self, about: usize, state: HostState) {
        self.nodes[about].version += 1;
        let version = self.nodes[about].version;
        for to in (0..HOSTS.len()).filter(|to| *to != about) {
            let at = self.now + self.delay();
            self.updates.push(ViewUpdate {
                at,
                to,
                about,
                version,
                state,
            });
        }
    }

    fn kill(&mut self, n: usize) {
        if self.nodes[n].router.take().is_some() {
            self.nodes[n].state = HostState::Dead;
            self.nodes[n].paused = None;
            self.announce(n, HostState::Dead);
        }
    }

    fn start(&mut self, n: usize) {
        if self.nodes[n].router.is_some() {
            return;
        }
        let (name, zone) = HOSTS[n];
        let mut settings = settings(name, zone, "r").with_mutant(self.mutant);
        settings.ownership.detection_timeout = DETECTION;
        settings.ownership.pause_threshold = PAUSE_THRESHOLD;
        settings.queue.max_wait = ms(30);
        let seed = u64::from(self.random_below(1 << 20));
        let mut router = Router::new(settings, seed, self.now);
        router.handle(self.now, Input::Topology(self.topology.clone()));
        let node = &mut self.nodes[n];
        node.router = Some(router);
        node.state = HostState::Serving;
        node.declared_dead = false;
        node.incarnation += 1;
        node.view.clear();
        self.announce(n, HostState::Serving);
        for about in (0..HOSTS.len()).filter(|about| *about != n) {
            let (version, state) = (self.nodes[about].version, self.nodes[about].state);
            let at = self.now + self.delay();
            self.updates.push(ViewUpdate {
                at,
                to: n,
                about,
                version,
                state,
            });
        }
        self.update_view(n);
    }

    fn leave(&mut self, n: usize) {
        if self.nodes[n].state == HostState::Serving && self.nodes[n].paused.is_none() {
            self.nodes[n].state = HostState::Leaving;
            self.announce(n, HostState::Leaving);
            self.update_view(n);
        }
    }

    fn pause(&mut self, n: usize, steps: u8) {
        let node = &mut self.nodes[n];
        if node.router.is_some() && node.paused.is_none() {
            node.paused = Some(self.now + STEP * u32::from(steps));
            node.declared_dead = false;
        }
    }

    /// Passes a host its membership view, including itself.
    fn update_view(&mut self, n: usize) {
        let (name, zone) = HOSTS[n];
        let mut hosts: Vec<HostView> = vec![host(name, zone, self.nodes[n].state)];
        for (other, (_, state)) in &self.nodes[n].view {
            hosts.push(host(HOSTS[*other].0, HOSTS[*other].1, *state));
        }
        if let Some(router) = &mut self.nodes[n].router {
            router.handle(self.now, Input::Hosts(hosts));
        }
    }

    /// Advances by one step: pauses end, messages arrive, requests end, hosts tick.
    pub(crate) fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        self.end_pauses();
        self.deliver();
        self.end_expired()?;
        for n in 0..HOSTS.len() {
            if self.nodes[n].paused.is_none()
                && let Some(router) = &mut self.nodes[n].router
            {
                router.tick(self.now);
                self.drain_effects(n);
            }
        }
        self.check()
    }

    fn end_pauses(&mut self) {
        let now = self.now;
        for n in 0..HOSTS.len() {
            let Some(until) = self.nodes[n].paused else {
                continue;
            };
            if !self.nodes[n].declared_dead && until > now + PAUSE_THRESHOLD {
                self.nodes[n].declared_dead = true;
                self.announce(n, HostState::Dead);
            }
            if until <= now {
                self.nodes[n].paused = None;
                if self.nodes[n].declared_dead {
                    self.announce(n, self.nodes[n].state);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let paused: Vec<_> = self.nodes.iter().map(|n| n.paused.is_some()).collect();
        let due = |update: &ViewUpdate| update.at <= now && !paused[update.to];
        let (due, later) = std::mem::take(&mut self.updates).into_iter().partition(due);
        self.updates = later;
        let due: Vec<ViewUpdate> = due;
        self.deliver_messages(&paused);
        for update in due {
            let view = &mut self.nodes[update.to].view;
            let known = view.get(&update.about).map_or(0, |(version, _)| *version);
            if update.version > known {
                view.insert(update.about, (update.version, update.state));
                self.update_view(update.to);
            }
        }
    }

    fn deliver_messages(&mut self, paused: &[bool]) {
        let now = self.now;
        let due = |message: &Message| message.at <= now && !paused[message.to];
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(due);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            if let Some(router) = &mut self.nodes[message.to].router {
                router.handle(now, message.input);
            }
        }
    }

    /// Ends the requests whose lease has expired, whatever state their host is in.
    fn end_expired(&mut self) -> Result<(), String> {
        while let Some(at) = self.in_flight.iter().position(|run| run.until <= self.now) {
            self.finish(at)?;
        }
        Ok(())
    }

    fn finish(&mut self, n: usize) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let run = self.in_flight.swap_remove(n % self.in_flight.len());
        let node = &mut self.nodes[run.owner.0];
        if node.incarnation == run.owner.1
            && node.paused.is_none()
            && let (Some(router), Some(lease)) = (&mut node.router, run.lease)
        {
            router.finish(self.now, lease, Outcome::Answered);
            self.drain_effects(run.owner.0);
        }
        self.check()
    }

    pub(crate) fn send_request(&mut self, n: usize) -> Result<(), String> {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.paused.is_some() {
            return Ok(());
        }
        let Some(router) = &mut node.router else {
            return Ok(());
        };
        let service = router.service(&id("s")).expect("configured");
        if let Placement::Dispatch(lease) = router.place(now, &request(service, now + ms(80))) {
            self.start_request(n, lease);
        }
        self.drain_effects(n);
        self.check()
    }

    fn start_request(&mut self, n: usize, lease: Lease) {
        self.in_flight.push(ActiveRequest {
            owner: (n, self.nodes[n].incarnation),
            endpoint: lease.endpoint.clone(),
            until: lease.until,
            lease: Some(lease),
        });
    }

    fn drain_effects(&mut self, n: usize) {
        while let Some(effect) = self.nodes[n].router.as_mut().and_then(Router::poll_effect) {
            let from = id(HOSTS[n].0);
            match effect {
                Effect::Start { lease, .. } => self.start_request(n, lease),
                Effect::HandoverRequest { to, request } => {
                    self.send(to.as_str(), Input::HandoverRequest { from, request });
                }
                Effect::HandoverConsent { to, consent } => {
                    self.send(to.as_str(), Input::HandoverConsent { from, consent });
                }
                _ => {}
            }
        }
    }

    /// The oracle: no endpoint ever runs more requests than it has slots.
    fn check(&self) -> Result<(), String> {
        let mut counts: HashMap<&EndpointId, u32> = HashMap::new();
        for run in &self.in_flight {
            *counts.entry(&run.endpoint).or_default() += 1;
        }
        for spec in &self.topology.endpoints {
            let count = counts.get(&spec.id).copied().unwrap_or(0);
            if count > spec.slots {
                return Err(format!("{} runs {count} of {}", spec.id, spec.slots));
            }
        }
        Ok(())
    }

    /// Returns the number of slots that some host may use, and of all slots.
    pub(crate) fn usable(&self) -> (u32, u32) {
        let routers = self.nodes.iter().filter_map(|node| node.router.as_ref());
        let rows = routers.flat_map(|router| router.headroom(self.now));
        let all = self.topology.endpoints.iter().map(|spec| spec.slots).sum();
        (rows.map(|row| row.slots).sum(), all)
    }

    pub(crate) fn is_any_serving(&self) -> bool {
        let serves = |node: &Node| node.state == HostState::Serving;
        self.nodes.iter().any(serves)
    }
}
