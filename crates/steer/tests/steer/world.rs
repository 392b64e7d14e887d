//! Endpoints with slots, queues and a bounded memory of objects, played in steps of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wagtail_steer::{
    Ask, Choice, End, EndpointKey, EndpointRecord, Load, Outcome, Placement, Route, Steer,
};
use wagtail_types::{Clock, EndpointId, ManualClock, RegionId};

use crate::support::{AIM, SERVICE, config, endpoint, exchange, name, steer};

/// The time of a run at an endpoint that does not know the object.
const PLAIN: Duration = Duration::from_millis(640);
/// The time of a run at an endpoint that does.
const WARM: Duration = Duration::from_millis(192);
/// Objects that an endpoint keeps.
const KEEPS: usize = 25;
/// A step of the world.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Steps between two digests, unless a test sets others.
const DIGEST_STEPS: u32 = 80;

/// Steps between two balances.
const BALANCE_STEPS: u32 = 60;

#[derive(Debug)]
struct Job {
    host: usize,
    choice: Choice,
    object: u32,
    arrived: Instant,
    sent: Instant,
    ends: Option<Instant>,
}

#[derive(Debug)]
struct Server {
    record: EndpointRecord,
    slots: usize,
    jobs: Vec<Job>,
    kept: VecDeque<u32>,
    /// The part of its requests that it refuses, whether it has room or not.
    refuses: f64,
}

impl Server {
    fn load(&self) -> Load {
        let running = self.jobs.iter().filter(|j| j.ends.is_some()).count();
        Load {
            running: u32::try_from(running).expect("few jobs"),
            waiting: u32::try_from(self.jobs.len() - running).expect("few jobs"),
            slots: u32::try_from(self.slots).expect("few slots"),
        }
    }

    /// Starts waiting jobs on free slots.
    fn start(&mut self, now: Instant) {
        let running = self.jobs.iter().filter(|j| j.ends.is_some()).count();
        let waiting = self.jobs.iter_mut().filter(|j| j.ends.is_none());
        for job in waiting.take(self.slots - running) {
            let known = self.kept.iter().position(|o| *o == job.object);
            if let Some(at) = known {
                self.kept.remove(at);
            }
            self.kept.push_back(job.object);
            if self.kept.len() > KEEPS {
                self.kept.pop_front();
            }
            job.ends = Some(now + if known.is_some() { WARM } else { PLAIN });
        }
    }
}

/// What became of requests.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Attempts that an endpoint refused.
    pub(crate) shed: u32,
}

/// Hosts, endpoints and a clock.
pub(crate) struct World {
    pub(crate) clock: ManualClock,
    zones: Vec<String>,
    pub(crate) hosts: Vec<Steer>,
    servers: Vec<Server>,
    route: Route,
    /// The regions that may serve each host's callers; none at all allows every region.
    pub(crate) homes: Vec<Vec<RegionId>>,
    steps: u32,
    /// Steps between two digests.
    pub(crate) digest_steps: u32,
    /// When each request of a host was sent, and to which region.
    pub(crate) sent: Vec<(Instant, usize, RegionId)>,
    /// The state of the draws.
    pub(crate) draws: u64,
    pub(crate) tally: Tally,
}

impl World {
    /// A host in each of `zones`, and endpoints with three slots in zones.
    pub(crate) fn new(zones: &[&str], endpoints: &[(&str, usize)]) -> Self {
        let clock = ManualClock::new();
        let mut servers = Vec::new();
        for (zone, count) in endpoints {
            for i in 0..*count {
                let record = endpoint(&format!("e-{zone}-{i}"), zone, 3);
                servers.push(Server {
                    record,
                    slots: 3,
                    jobs: Vec::new(),
                    kept: VecDeque::new(),
                    refuses: 0.0,
                });
            }
        }
        let route = config(1).routes.remove(0);
        let homes = vec![Vec::new(); zones.len()];
        let mut world = Self {
            clock,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            hosts: Vec::new(),
            servers,
            route,
            homes,
            steps: 0,
            digest_steps: DIGEST_STEPS,
            sent: Vec::new(),
            draws: 1,
            tally: Tally::default(),
        };
        world.restart_hosts();
        world
    }

    /// Starts all hosts, which lose what they knew and the requests that they had.
    pub(crate) fn restart_hosts(&mut self) {
        let now = self.clock.now();
        for server in &mut self.servers {
            server.jobs.clear();
        }
        self.hosts.clear();
        for (i, zone) in self.zones.iter().enumerate() {
            let port = 100 + 10 * u16::try_from(i).expect("few hosts");
            let mut host = steer(&format!("host-{i}"), zone, port);
            for server in &self.servers {
                host.register(server.record.clone(), now);
            }
            host.configure(config(1)).expect("a valid configuration");
            self.hosts.push(host);
        }
        exchange(&mut self.hosts, &self.clock);
    }

    /// A repeatable draw in 0 to 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A repeatable number below `count`.
    fn pick(&mut self, count: u32) -> u32 {
        let draw = self.draw();
        (0..count)
            .rfind(|i| f64::from(*i) <= draw * f64::from(count))
            .unwrap_or(0)
    }

    /// Plays for `time`; `rate` gives the requests a second at each host now.
    pub(crate) fn play(&mut self, time: Duration, objects: u32, rate: impl Fn(usize, f64) -> f64) {
        let start = self.clock.now();
        while self.clock.now().duration_since(start) < time {
            let at = self.clock.now().duration_since(start).as_secs_f64();
            for host in 0..self.hosts.len() {
                if self.draw() < rate(host, at) * STEP.as_secs_f64() {
                    // Each region has objects of its own.
                    let region = u32::from(self.hosts[host].us().region.as_str().as_bytes()[0]);
                    let object = self.pick(objects) + region * 1_000;
                    self.ask(host, Steer::object_hash(&object.to_string()));
                }
            }
            self.step();
        }
    }

    /// Makes the first endpoints refuse a part of their requests.
    pub(crate) fn refuse(&mut self, count: usize, part: f64) {
        for server in &mut self.servers[..count] {
            server.refuses = part;
        }
    }

    fn ask(&mut self, host: usize, object: u32) {
        let now = self.clock.now();
        self.tally.asked += 1;
        let route = std::rc::Rc::new(self.route.clone());
        let service = name(SERVICE);
        self.hosts[host].count_request(&service, &self.homes[host], now);
        let mut tried = Vec::new();
        for _ in 0..self.route.attempts {
            let ask = Ask {
                route: &route,
                service: &service,
                object: Some(object),
                homes: &self.homes[host],
                tried: &tried,
                gone: Duration::ZERO,
                left: self.route.timeout,
            };
            let Placement::Send(choice) = self.hosts[host].place(&ask, now) else {
                break;
            };
            let id = self.id(host, choice.key);
            let at = self.servers.iter().position(|s| s.record.id == id);
            let at = at.expect("a server");
            if self.draw() < self.servers[at].refuses {
                self.tally.shed += 1;
                tried.push(choice.key);
                let end = End {
                    choice: &choice,
                    route: &route,
                    object: Some(object),
                    outcome: Outcome::Shed,
                    taken: None,
                    load: Some(self.servers[at].load()),
                };
                self.hosts[host].finish(&end, now);
                continue;
            }
            let endpoint = self.hosts[host].endpoint(choice.key);
            let region = endpoint.expect("a known endpoint").region.clone();
            self.sent.push((now, host, region));
            let server = &mut self.servers[at];
            server.jobs.push(Job {
                host,
                choice,
                object,
                arrived: now,
                sent: now,
                ends: None,
            });
            return server.start(now);
        }
        self.tally.refused += 1;
    }

    fn id(&self, host: usize, key: EndpointKey) -> EndpointId {
        self.hosts[host]
            .endpoint(key)
            .expect("a known endpoint")
            .record
            .id
            .clone()
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        self.steps += 1;
        let now = self.clock.now();
        for server in &mut self.servers {
            let done = |job: &mut Job| job.ends.is_some_and(|at| at <= now);
            let ended: Vec<Job> = server.jobs.extract_if(.., done).collect();
            server.start(now);
            for job in ended {
                if now.duration_since(job.arrived) <= AIM {
                    self.tally.in_aim += 1;
                } else {
                    self.tally.late += 1;
                }
                let end = End {
                    choice: &job.choice,
                    route: &self.route,
                    object: Some(job.object),
                    outcome: Outcome::Answered,
                    taken: Some(now.duration_since(job.sent)),
                    load: Some(server.load()),
                };
                self.hosts[job.host].finish(&end, now);
            }
        }
        if self.steps.is_multiple_of(self.digest_steps) {
            exchange(&mut self.hosts, &self.clock);
        }
        if self.steps.is_multiple_of(BALANCE_STEPS) {
            for host in &mut self.hosts {
                host.balance(now);
            }
        }
    }
}
