//! Several routers whose views of each other differ within a bound, and the count of what
//! really runs at each endpoint.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use wagtail_route::{
    Effect, HostState, HostView, Input, Lease, Mutant, Outcome, Placement, Router, Topology,
};
use wagtail_types::EndpointId;

use crate::support::{host, id, ms, one_zone, request, settings, zone};

pub(crate) const DETECTION: Duration = Duration::from_millis(200);
pub(crate) const LONGEST: Duration = Duration::from_millis(400);
pub(crate) const STEP: Duration = Duration::from_millis(10);
const PAUSE: Duration = Duration::from_millis(60);

/// Two zones of one region with their hosts.
pub(crate) const HOSTS: [(&str, &str); 5] = [
    ("h0", "a"),
    ("h1", "a"),
    ("h2", "a"),
    ("h3", "b"),
    ("h4", "b"),
];

/// What happens to the fleet.
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
    news: Vec<News>,
    letters: Vec<Letter>,
    running: Vec<Run>,
    delays: u64,
    mutant: Option<Mutant>,
    topology: Topology,
}

struct Node {
    router: Option<Router>,
    view: BTreeMap<usize, (u64, HostState)>,
    state: HostState,
    version: u64,
    paused: Option<Instant>,
    thought_dead: bool,
    life: u64,
}

struct News {
    at: Instant,
    to: usize,
    about: usize,
    version: u64,
    state: HostState,
}

/// A question or answer between hosts, late by any time or lost.
struct Letter {
    at: Instant,
    to: usize,
    input: Input,
}

struct Run {
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
        topology.services[0].longest = if short { LONGEST / 4 } else { LONGEST };
        topology
            .endpoints
            .push(crate::support::endpoint("e9", "s", "b", 3));
        let node = |_| Node {
            router: None,
            view: BTreeMap::new(),
            state: HostState::Dead,
            version: 0,
            paused: None,
            thought_dead: true,
            life: 0,
        };
        let mut fleet = Self {
            now: Instant::now(),
            nodes: HOSTS.iter().map(node).collect(),
            news: Vec::new(),
            letters: Vec::new(),
            running: Vec::new(),
            delays: seed | 1,
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
            Op::Load(n, count) => (0..count).try_for_each(|_| self.load(n))?,
            Op::Finish(n) => self.finish(usize::from(n))?,
        }
        self.check()
    }

    /// The next number of steps below a bound.
    fn draw(&mut self, bound: u64) -> u32 {
        self.delays ^= self.delays << 13;
        self.delays ^= self.delays >> 7;
        self.delays ^= self.delays << 17;
        u32::try_from(self.delays % bound).expect("small")
    }

    /// Delay of the next piece of news, at most the detection time.
    fn delay(&mut self) -> Duration {
        STEP * self.draw(20)
    }

    /// Sends a question or answer: most come at once, some late, some never.
    fn post(&mut self, to: &str, input: Input) {
        let late = match self.draw(10) {
            0 => return,
            1 => self.draw(80),
            _ => self.draw(3),
        };
        let to = HOSTS
            .iter()
            .position(|(name, _)| *name == to)
            .expect("a host");
        let at = self.now + STEP * late;
        self.letters.push(Letter { at, to, input });
    }

    fn announce(&mut self, about: usize, state: HostState) {
        self.nodes[about].version += 1;
        let version = self.nodes[about].version;
        for to in (0..HOSTS.len()).filter(|to| *to != about) {
            let at = self.now + self.delay();
            self.news.push(News {
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
        settings.owner.detection = DETECTION;
        settings.owner.pause_threshold = PAUSE;
        settings.queue.max_wait = ms(30);
        let seed = u64::from(self.draw(1 << 20));
        let mut router = Router::new(settings, seed, self.now);
        router.handle(self.now, Input::Topology(self.topology.clone()));
        let node = &mut self.nodes[n];
        node.router = Some(router);
        node.state = HostState::Serving;
        node.thought_dead = false;
        node.life += 1;
        node.view.clear();
        self.announce(n, HostState::Serving);
        for about in (0..HOSTS.len()).filter(|about| *about != n) {
            let (version, state) = (self.nodes[about].version, self.nodes[about].state);
            let at = self.now + self.delay();
            self.news.push(News {
                at,
                to: n,
                about,
                version,
                state,
            });
        }
        self.show(n);
    }

    fn leave(&mut self, n: usize) {
        if self.nodes[n].state == HostState::Serving && self.nodes[n].paused.is_none() {
            self.nodes[n].state = HostState::Leaving;
            self.announce(n, HostState::Leaving);
            self.show(n);
        }
    }

    fn pause(&mut self, n: usize, steps: u8) {
        let node = &mut self.nodes[n];
        if node.router.is_some() && node.paused.is_none() {
            node.paused = Some(self.now + STEP * u32::from(steps));
            node.thought_dead = false;
        }
    }

    /// Shows a host its view, itself included.
    fn show(&mut self, n: usize) {
        let (name, zone) = HOSTS[n];
        let mut hosts: Vec<HostView> = vec![host(name, zone, self.nodes[n].state)];
        for (other, (_, state)) in &self.nodes[n].view {
            hosts.push(host(HOSTS[*other].0, HOSTS[*other].1, *state));
        }
        if let Some(router) = &mut self.nodes[n].router {
            router.handle(self.now, Input::Hosts(hosts));
        }
    }

    /// Goes on by one step: news arrive, pauses end, runs end, hosts tick.
    pub(crate) fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        self.end_pauses();
        self.deliver();
        self.end_runs()?;
        for n in 0..HOSTS.len() {
            if self.nodes[n].paused.is_none()
                && let Some(router) = &mut self.nodes[n].router
            {
                router.tick(self.now);
                self.effects(n);
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
            if !self.nodes[n].thought_dead && until > now + PAUSE {
                self.nodes[n].thought_dead = true;
                self.announce(n, HostState::Dead);
            }
            if until <= now {
                self.nodes[n].paused = None;
                if self.nodes[n].thought_dead {
                    self.announce(n, self.nodes[n].state);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let paused: Vec<_> = self.nodes.iter().map(|n| n.paused.is_some()).collect();
        let due = |news: &News| news.at <= now && !paused[news.to];
        let (due, later) = std::mem::take(&mut self.news).into_iter().partition(due);
        self.news = later;
        let due: Vec<News> = due;
        self.deliver_letters(&paused);
        for news in due {
            let view = &mut self.nodes[news.to].view;
            let known = view.get(&news.about).map_or(0, |(version, _)| *version);
            if news.version > known {
                view.insert(news.about, (news.version, news.state));
                self.show(news.to);
            }
        }
    }

    fn deliver_letters(&mut self, paused: &[bool]) {
        let now = self.now;
        let due = |letter: &Letter| letter.at <= now && !paused[letter.to];
        let (due, later) = std::mem::take(&mut self.letters).into_iter().partition(due);
        self.letters = later;
        let due: Vec<Letter> = due;
        for letter in due {
            if let Some(router) = &mut self.nodes[letter.to].router {
                router.handle(now, letter.input);
            }
        }
    }

    /// A request ends at the latest when its lease says so, whatever its host does.
    fn end_runs(&mut self) -> Result<(), String> {
        while let Some(at) = self.running.iter().position(|run| run.until <= self.now) {
            self.finish(at)?;
        }
        Ok(())
    }

    fn finish(&mut self, n: usize) -> Result<(), String> {
        if self.running.is_empty() {
            return Ok(());
        }
        let run = self.running.swap_remove(n % self.running.len());
        let node = &mut self.nodes[run.owner.0];
        if node.life == run.owner.1
            && node.paused.is_none()
            && let (Some(router), Some(lease)) = (&mut node.router, run.lease)
        {
            router.finish(self.now, lease, Outcome::Answered);
            self.effects(run.owner.0);
        }
        self.check()
    }

    pub(crate) fn load(&mut self, n: usize) -> Result<(), String> {
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
            self.run(n, lease);
        }
        self.effects(n);
        self.check()
    }

    fn run(&mut self, n: usize, lease: Lease) {
        self.running.push(Run {
            owner: (n, self.nodes[n].life),
            endpoint: lease.endpoint.clone(),
            until: lease.until,
            lease: Some(lease),
        });
    }

    fn effects(&mut self, n: usize) {
        while let Some(effect) = self.nodes[n].router.as_mut().and_then(Router::poll_effect) {
            let from = id(HOSTS[n].0);
            match effect {
                Effect::Start { lease, .. } => self.run(n, lease),
                Effect::Ask { to, ask } => self.post(to.as_str(), Input::Ask { from, ask }),
                Effect::Agree { to, agree } => {
                    self.post(to.as_str(), Input::Agree { from, agree });
                }
                _ => {}
            }
        }
    }

    /// The oracle: no endpoint ever runs more than its slots.
    fn check(&self) -> Result<(), String> {
        let mut counts: HashMap<&EndpointId, u32> = HashMap::new();
        for run in &self.running {
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

    /// Slots that some host may use, and slots that there are.
    pub(crate) fn usable(&self) -> (u32, u32) {
        let routers = self.nodes.iter().filter_map(|node| node.router.as_ref());
        let rows = routers.flat_map(|router| router.headroom(self.now));
        let all = self.topology.endpoints.iter().map(|spec| spec.slots).sum();
        (rows.map(|row| row.slots).sum(), all)
    }

    pub(crate) fn anyone_serves(&self) -> bool {
        let serves = |node: &Node| node.state == HostState::Serving;
        self.nodes.iter().any(serves)
    }
}
