//! A simulation in fixed time steps of hosts and of endpoints with slots, queues and a bounded
//! object cache.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wagtail_steer::{
    Choice, Completion, EndpointKey, EndpointRecord, Fingerprint, HostState, Load, Outcome,
    Placement, PlacementRequest, Route, Steer,
};
use wagtail_types::{Clock, EndpointId, ManualClock, RegionId};

use crate::support::{SERVICE, TARGET_LATENCY, config, endpoint, exchange, name, steer};

/// The run time if the object is not cached at the endpoint.
const COLD_RUN: Duration = Duration::from_millis(640);
/// The run time if the object is cached.
pub(crate) const WARM_RUN: Duration = Duration::from_millis(192);
/// The number of objects that an endpoint caches.
const CACHE_SIZE: usize = 25;
/// The time step of the simulation.
pub(crate) const TIME_STEP: Duration = Duration::from_millis(5);
/// Time steps between two digests, unless a test sets others.
const DIGEST_STEPS: u32 = 80;

/// Time steps between two updates of the region weights.
const BALANCE_STEPS: u32 = 60;

/// A request at an endpoint.
#[derive(Debug)]
struct Job {
    host: usize,
    choice: Choice,
    object: u32,
    arrived: Instant,
    sent: Instant,
    /// When the run ends; `None` while the request waits for a slot.
    ends: Option<Instant>,
}

/// An endpoint with slots, a queue and a cache of objects.
#[derive(Debug)]
struct Server {
    record: EndpointRecord,
    slots: usize,
    jobs: Vec<Job>,
    cached: VecDeque<u32>,
    /// The fraction of its requests that the endpoint refuses, whether it has a free slot or not.
    refusal_rate: f64,
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

    /// Starts queued jobs on free slots.
    fn start(&mut self, now: Instant) {
        let running = self.jobs.iter().filter(|j| j.ends.is_some()).count();
        let waiting = self.jobs.iter_mut().filter(|j| j.ends.is_none());
        for job in waiting.take(self.slots - running) {
            let hit = self.cached.iter().position(|o| *o == job.object);
            if let Some(at) = hit {
                self.cached.remove(at);
            }
            self.cached.push_back(job.object);
            if self.cached.len() > CACHE_SIZE {
                self.cached.pop_front();
            }
            job.ends = Some(now + if hit.is_some() { WARM_RUN } else { COLD_RUN });
        }
    }
}

/// Counts of requests by result.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Totals {
    pub(crate) requests: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) rejected: u32,
    /// Attempts that an endpoint refused.
    pub(crate) shed: u32,
}

/// Hosts and endpoints on a manual clock.
pub(crate) struct Simulation {
    pub(crate) clock: ManualClock,
    zones: Vec<String>,
    pub(crate) hosts: Vec<Steer>,
    servers: Vec<Server>,
    route: Route,
    /// The regions that may run the requests of each host's callers; empty allows all.
    pub(crate) permitted_regions: Vec<Vec<RegionId>>,
    steps: u32,
    /// Time steps between two digests.
    pub(crate) digest_steps: u32,
    /// The number of hosts that receive one digest, in rotation; `None` delivers it to all.
    pub(crate) fan_out: Option<usize>,
    /// When each request was sent, by which host and to which region.
    pub(crate) sent: Vec<(Instant, usize, RegionId)>,
    /// The seed, and later the state, of the random number generator.
    pub(crate) seed: u64,
    pub(crate) totals: Totals,
    /// The retry times that rejected callers were given.
    pub(crate) waits: Vec<Duration>,
}

impl Simulation {
    /// Creates one host in each of `zones`, and the given numbers of endpoints with three slots per
    /// zone.
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
                    cached: VecDeque::new(),
                    refusal_rate: 0.0,
                });
            }
        }
        let route = config(1).routes.remove(0);
        let permitted_regions = vec![Vec::new(); zones.len()];
        let mut simulation = Self {
            clock,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            hosts: Vec::new(),
            servers,
            route,
            permitted_regions,
            steps: 0,
            digest_steps: DIGEST_STEPS,
            fan_out: None,
            sent: Vec::new(),
            seed: 1,
            totals: Totals::default(),
            waits: Vec::new(),
        };
        simulation.restart_hosts();
        simulation
    }

    /// Restarts all hosts, which lose their state and their requests.
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
            assert_eq!(host.configure(config(1)), Some(Vec::new()));
            self.hosts.push(host);
        }
        exchange(&mut self.hosts, &self.clock);
    }

    /// Returns a reproducible random number in 0 to 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a reproducible random number below `count`.
    fn random_below(&mut self, count: u32) -> u32 {
        let random = self.random();
        (0..count)
            .rfind(|i| f64::from(*i) <= random * f64::from(count))
            .unwrap_or(0)
    }

    /// Runs the simulation for `time`; `rate` gives the current requests per second at a host.
    pub(crate) fn run(&mut self, time: Duration, objects: u32, rate: impl Fn(usize, f64) -> f64) {
        let start = self.clock.now();
        while self.clock.now().duration_since(start) < time {
            let at = self.clock.now().duration_since(start).as_secs_f64();
            for host in 0..self.hosts.len() {
                if self.random() < rate(host, at) * TIME_STEP.as_secs_f64() {
                    // Objects are distinct between regions.
                    let region =
                        u32::from(self.hosts[host].local_host().region.as_str().as_bytes()[0]);
                    let object = self.random_below(objects) + region * 1_000;
                    self.send_request(host, Steer::short_hash(&object.to_string()));
                }
            }
            self.advance();
        }
    }

    /// Makes the first `count` endpoints refuse a fraction of their requests.
    pub(crate) fn set_refusal_rate(&mut self, count: usize, rate: f64) {
        for server in &mut self.servers[..count] {
            server.refusal_rate = rate;
        }
    }

    /// Makes the first `count` endpoints ask all hosts for a pause.
    pub(crate) fn pause(&mut self, count: usize, time: Duration) {
        let now = self.clock.now();
        for host in &mut self.hosts {
            for server in &self.servers[..count] {
                let record = server.record.clone();
                let started = record.started;
                let key = host.register(record, now).expect("a known zone");
                assert!(host.record_pause(key, started, time, 0, now));
            }
        }
    }

    fn send_request(&mut self, host: usize, object: u32) {
        let now = self.clock.now();
        self.totals.requests += 1;
        let route = std::rc::Rc::new(self.route.clone());
        let service = name(SERVICE);
        self.hosts[host].count_request(&service, &self.permitted_regions[host], now);
        let mut tried = Vec::new();
        for _ in 0..self.route.attempts {
            let request = PlacementRequest {
                route: &route,
                service: &service,
                object: Some(object),
                permitted_regions: &self.permitted_regions[host],
                fingerprint: Fingerprint::default(),
                tried: &tried,
                repeated: false,
                elapsed: Duration::ZERO,
                remaining: self.route.timeout,
            };
            let choice = match self.hosts[host].place(&request, now) {
                Placement::Send(choice) => choice,
                Placement::Reject { retry_after, .. } => {
                    self.waits.push(retry_after);
                    break;
                }
            };
            let id = self.id(host, choice.key);
            let at = self.servers.iter().position(|s| s.record.id == id);
            let at = at.expect("a server");
            if self.random() < self.servers[at].refusal_rate {
                self.totals.shed += 1;
                tried.push(choice.key);
                let completion = Completion {
                    choice: &choice,
                    route: &route,
                    object: Some(object),
                    fingerprint: Fingerprint::default(),
                    outcome: Outcome::Shed,
                    response_time: None,
                    load: Some(self.servers[at].load()),
                };
                self.hosts[host].finish(&completion, now);
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
        self.totals.rejected += 1;
    }

    fn id(&self, host: usize, key: EndpointKey) -> EndpointId {
        self.hosts[host]
            .endpoint(key)
            .expect("a known endpoint")
            .record
            .id
            .clone()
    }

    fn advance(&mut self) {
        self.clock.advance(TIME_STEP);
        self.steps += 1;
        let now = self.clock.now();
        for server in &mut self.servers {
            let done = |job: &mut Job| job.ends.is_some_and(|at| at <= now);
            let ended: Vec<Job> = server.jobs.extract_if(.., done).collect();
            server.start(now);
            for job in ended {
                if now.duration_since(job.arrived) <= TARGET_LATENCY {
                    self.totals.in_time += 1;
                } else {
                    self.totals.late += 1;
                }
                let completion = Completion {
                    choice: &job.choice,
                    route: &self.route,
                    object: Some(job.object),
                    fingerprint: Fingerprint::default(),
                    outcome: Outcome::Answered,
                    response_time: Some(now.duration_since(job.sent)),
                    load: Some(server.load()),
                };
                self.hosts[job.host].finish(&completion, now);
            }
        }
        if self.steps.is_multiple_of(self.digest_steps) {
            match self.fan_out {
                Some(fan_out) => self.exchange_in_rotation(fan_out),
                None => exchange(&mut self.hosts, &self.clock),
            }
        }
        if self.steps.is_multiple_of(BALANCE_STEPS) {
            for host in &mut self.hosts {
                host.update_weights(now);
            }
        }
    }

    /// Delivers every host's digest to the next `fan_out` of the others.
    fn exchange_in_rotation(&mut self, fan_out: usize) {
        let now = self.clock.now();
        let count = self.hosts.len();
        let round = usize::try_from(self.steps / self.digest_steps).expect("few rounds");
        for from in 0..count {
            let digest = self.hosts[from].next_digest(HostState::Ready, now);
            for i in 0..fan_out {
                let step = 1 + (round * fan_out + i) % (count - 1);
                self.hosts[(from + step) % count].apply_digest(digest.clone(), now);
            }
        }
    }
}
