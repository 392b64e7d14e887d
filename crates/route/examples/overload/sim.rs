//! A discrete-event simulation of one policy.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_route::{
    Effect, EndpointSpec, Health, HostState, HostView, Input, Lease, Mutant, Origin, Outcome,
    Placement, Report, Request, Router, ServiceSpec, Settings, TeamKey, TeamSpec, Ticket, Topology,
    ZoneSpec,
};
use wagtail_types::Share;

pub(crate) const ENDPOINTS: usize = 12;
pub(crate) const SLOTS: u32 = 3;
const MEAN: Duration = Duration::from_millis(20);
pub(crate) const LENGTH: Duration = Duration::from_secs(120);
const WARM_UP: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(500);

/// The policy that chooses endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Router,
    RoundRobin,
    ReportsOnly,
}

/// The faults of the endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// The factor by which endpoint 0 is slower than the others.
    pub(crate) slow: u32,
    /// Whether endpoint 0 always reports that it is idle.
    pub(crate) reports_idle: bool,
    /// The age of reports on arrival; `None` if there are no reports.
    pub(crate) report_age: Option<Duration>,
}

/// The load of one simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// The load of each team as a share of all slots.
    pub(crate) teams: &'static [f64],
    pub(crate) seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { team: usize },
    Finish { endpoint: usize, job: u64 },
    Tick,
}

#[derive(Debug)]
struct Job {
    team: usize,
    at: Instant,
    lease: Option<Lease>,
}

#[derive(Debug, Default)]
struct Endpoint {
    busy: u32,
    queue: VecDeque<u64>,
    reports: VecDeque<(Instant, u32)>,
    reported_load: u32,
}

pub(crate) struct Simulation {
    now: Instant,
    start: Instant,
    rng: SmallRng,
    policy: Policy,
    scenario: Scenario,
    load: Load,
    router: Router,
    teams: Vec<TeamKey>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    order: u64,
    jobs: HashMap<u64, Job>,
    tickets: HashMap<Ticket, u64>,
    endpoints: Vec<Endpoint>,
    round_robin: usize,
    pub(crate) took: Vec<Vec<Duration>>,
    pub(crate) refused: Vec<usize>,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn topology(teams: usize) -> Topology {
    let endpoint = |n| EndpointSpec {
        id: name(&format!("e{n}")),
        service: name("s"),
        zone: name("a"),
        slots: SLOTS,
        connections: 300,
    };
    let team = |n| TeamSpec {
        id: name(&format!("t{n}")),
        weight: 1,
        regions: None,
    };
    Topology {
        zones: vec![ZoneSpec {
            id: name("a"),
            region: name("r"),
        }],
        services: vec![ServiceSpec {
            id: name("s"),
            max_duration: Duration::from_secs(1),
        }],
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        teams: (0..teams).map(team).collect(),
        ..Topology::default()
    }
}

impl Simulation {
    pub(crate) fn new(
        policy: Policy,
        mutant: Option<Mutant>,
        scenario: Scenario,
        load: Load,
    ) -> Self {
        let start = Instant::now();
        let settings = Settings::new(name("one"), name("a"), name("r")).with_mutant(mutant);
        let mut router = Router::new(settings, load.seed, start);
        router.handle(start, Input::Topology(topology(load.teams.len())));
        let view = HostView {
            id: name("one"),
            zone: name("a"),
            state: HostState::Serving,
        };
        router.handle(start, Input::Hosts(vec![view]));
        let key = |n| router.team(&name(&format!("t{n}"))).expect("configured");
        let teams = (0..load.teams.len()).map(key).collect();
        let mut sim = Self {
            now: start,
            start,
            rng: SmallRng::seed_from_u64(load.seed),
            policy,
            scenario,
            load,
            router,
            teams,
            events: BinaryHeap::new(),
            order: 0,
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            round_robin: 0,
            took: vec![Vec::new(); load.teams.len()],
            refused: vec![0; load.teams.len()],
        };
        sim.schedule(TICK, Event::Tick);
        for team in 0..load.teams.len() {
            sim.schedule(WARM_UP / 2, Event::Arrive { team });
        }
        sim
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.order += 1;
        let entry = (self.now + after, self.order, event);
        self.events.push(Reverse(entry));
    }

    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < self.start + LENGTH
        {
            self.now = at;
            match event {
                Event::Arrive { team } => self.arrive(team),
                Event::Finish { endpoint, job } => self.finish(endpoint, job),
                Event::Tick => self.tick(),
            }
            self.effects();
        }
        self
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let unit: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - unit).ln())
    }

    fn arrive(&mut self, team: usize) {
        let share = self.load.teams[team] * ENDPOINTS as f64 * f64::from(SLOTS);
        let gap = self.exponential(MEAN.div_f64(share));
        self.schedule(gap, Event::Arrive { team });
        let id = self.order;
        let mut job = Job {
            team,
            at: self.now,
            lease: None,
        };
        let endpoint = match self.policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                self.round_robin % ENDPOINTS
            }
            Policy::ReportsOnly => {
                let turn = self.rng.random_range(0..ENDPOINTS);
                let order = (0..ENDPOINTS).map(|n| (n + turn) % ENDPOINTS);
                order
                    .min_by_key(|n| self.endpoints[*n].reported_load)
                    .expect("some")
            }
            Policy::Router => match self.place(team) {
                Placement::Dispatch(lease) => {
                    let endpoint = index(&lease);
                    job.lease = Some(lease);
                    endpoint
                }
                Placement::Queued(ticket) => {
                    self.tickets.insert(ticket, id);
                    self.jobs.insert(id, job);
                    return;
                }
                Placement::Refuse(_) | Placement::Relay(_) => return self.refuse(team),
            },
        };
        self.jobs.insert(id, job);
        self.send(endpoint, id);
    }

    fn place(&mut self, team: usize) -> Placement {
        let request = Request {
            service: self.router.service(&name("s")).expect("configured"),
            team: Some(self.teams[team]),
            weight: 1,
            deadline: self.now + DEADLINE,
            idempotent: true,
            origin: Origin::Local,
            attempt: 0,
            tried: &[],
        };
        self.router.place(self.now, &request)
    }

    fn refuse(&mut self, team: usize) {
        if self.now > self.start + WARM_UP {
            self.refused[team] += 1;
        }
    }

    fn send(&mut self, endpoint: usize, job: u64) {
        if self.endpoints[endpoint].busy < SLOTS {
            self.begin(endpoint, job);
        } else {
            self.endpoints[endpoint].queue.push_back(job);
        }
    }

    fn begin(&mut self, endpoint: usize, job: u64) {
        self.endpoints[endpoint].busy += 1;
        let slow = if endpoint == 0 { self.scenario.slow } else { 1 };
        let took = self.exponential(MEAN * slow);
        self.schedule(took, Event::Finish { endpoint, job });
    }

    fn finish(&mut self, endpoint: usize, id: u64) {
        self.endpoints[endpoint].busy -= 1;
        let job = self.jobs.remove(&id).expect("it runs");
        if self.now > self.start + WARM_UP {
            let took = self.now - job.at;
            if took > DEADLINE {
                self.refused[job.team] += 1;
            } else {
                self.took[job.team].push(took);
            }
        }
        if let Some(lease) = job.lease {
            self.router.finish(self.now, lease, Outcome::Answered);
        }
        if let Some(next) = self.endpoints[endpoint].queue.pop_front() {
            self.begin(endpoint, next);
        }
    }

    fn effects(&mut self) {
        while let Some(effect) = self.router.poll_effect() {
            match effect {
                Effect::Start { ticket, lease } => {
                    let id = self.tickets.remove(&ticket).expect("it waits");
                    let endpoint = index(&lease);
                    self.jobs.get_mut(&id).expect("it waits").lease = Some(lease);
                    self.send(endpoint, id);
                }
                Effect::Refuse { ticket, .. } => {
                    let id = self.tickets.remove(&ticket).expect("it waits");
                    let job = self.jobs.remove(&id).expect("it waits");
                    self.refuse(job.team);
                }
                _ => {}
            }
        }
    }

    /// Ticks the router and delivers the load reports that are due.
    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        self.router.tick(self.now);
        let Some(report_age) = self.scenario.report_age else {
            return;
        };
        for n in 0..ENDPOINTS {
            let idle = n == 0 && self.scenario.reports_idle;
            let waiting = u32::try_from(self.endpoints[n].queue.len()).unwrap_or(u32::MAX);
            let load = self.endpoints[n].busy + waiting;
            let load = if idle { 0 } else { load };
            self.endpoints[n].reports.push_back((self.now, load));
            while let Some((at, load)) = self.endpoints[n].reports.front().copied()
                && at + report_age <= self.now
            {
                self.endpoints[n].reports.pop_front();
                self.endpoints[n].reported_load = load;
                self.report(n, load, self.now - at);
            }
        }
    }

    fn report(&mut self, n: usize, load: u32, age: Duration) {
        let ppm = load.saturating_mul(1_000_000) / SLOTS;
        let report = Report {
            endpoint: name(&format!("e{n}")),
            health: Health::Serving,
            load: Share::from_ppm(ppm.min(1_000_000)).expect("at most all"),
            incarnation: 1,
            age,
        };
        self.router.handle(self.now, Input::Report(report));
    }
}

fn index(lease: &Lease) -> usize {
    let digits = lease.endpoint.as_str().trim_start_matches('e');
    digits.parse().expect("a number")
}
