//! Hosts, endpoints and callers over simulated time, for tests of requests that crash endpoints.

use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_steer::{
    Choice, Completion, Datagram, EndpointKey, Fingerprint, Message, Outcome, Placement,
    PlacementRequest, RejectionReason, Route, Steer, SuspectCall, SuspectRecord, SuspectReport,
};
use wagtail_types::{Clock, EndpointId, HostId, ManualClock, ServiceId, millis};

use crate::support::{SERVICE, config, endpoint, exchange, name, steer};

pub(super) const SECOND: Duration = Duration::from_secs(1);
pub(super) const STEP: Duration = Duration::from_millis(10);
/// How long a sound request runs, and a deadly one until its endpoint ends.
pub(super) const RUN_TIME: Duration = Duration::from_millis(250);
pub(super) const CRASH_TIME: Duration = Duration::from_millis(100);
/// The time until another endpoint takes the place of one that has ended.
pub(super) const REPLACEMENT_TIME: Duration = Duration::from_secs(4);
/// The time that news takes to the other hosts.
pub(super) const NEWS_TIME: Duration = Duration::from_millis(30);
pub(super) const DIGEST_STEPS: usize = 50;
/// The number of hosts that receive one digest, in the region and elsewhere.
pub(super) const DIGEST_TARGETS: usize = 16;
pub(super) const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
pub(super) const ENDPOINTS: usize = 12;
/// The number of sound requests that callers ask; the first ones are the most popular.
pub(super) const SOUND: u32 = 100;

/// The steps after which hosts read the records of the registry again.
const READ_STEPS: usize = 2_000;

/// The records of the registry, each with its version.
#[derive(Debug, Default)]
pub(super) struct Records {
    rows: HashMap<Fingerprint, (SuspectRecord, u64)>,
    last_version: u64,
}

impl Records {
    /// Makes a change if the version is the expected one. Returns the version of a written record.
    pub(super) fn apply(&mut self, call: &SuspectCall) -> Option<u64> {
        let current = self.rows.get(&call.request()).map_or(0, |(_, v)| *v);
        match call {
            SuspectCall::Write {
                record, version, ..
            } if *version == current => {
                self.last_version += 1;
                let row = (record.clone(), self.last_version);
                self.rows.insert(record.request, row);
                Some(self.last_version)
            }
            SuspectCall::Remove { request, version } if *version == current => {
                self.rows.remove(request);
                Some(0)
            }
            _ => None,
        }
    }

    /// Returns the version of the last change.
    pub(super) fn version(&self) -> u64 {
        self.last_version
    }

    pub(super) fn list(&self) -> Vec<(SuspectRecord, u64)> {
        self.rows.values().cloned().collect()
    }

    /// Makes the changes of a host until it has none.
    pub(super) fn serve(&mut self, host: &mut Steer, clock: &ManualClock) {
        let now = clock.now();
        if host.lacks_suspect_records() {
            host.learn_suspect_records(self.list(), self.last_version, wall(clock), now);
        }
        while let Some(call) = host.next_suspect_call(wall(clock), now) {
            if let Some(version) = self.apply(&call) {
                host.complete_suspect_call(&call, version, now);
            } else {
                host.fail_suspect_call(&call);
                host.learn_suspect_records(self.list(), self.last_version, wall(clock), now);
            }
        }
    }
}

pub(super) fn wall(clock: &ManualClock) -> u64 {
    let wall = clock.wall().duration_since(UNIX_EPOCH);
    millis(wall.expect("after 1970"))
}

/// A request of a caller at an endpoint.
#[derive(Debug)]
pub(super) struct Job {
    host: usize,
    request: u32,
    choice: Choice,
    endpoint: EndpointId,
    began: Instant,
    ends: Instant,
    tried: Vec<EndpointKey>,
}

/// Hosts, and endpoints that end under some requests or for other reasons.
pub(super) struct Fleet {
    pub(super) hosts: Vec<Steer>,
    pub(super) clock: ManualClock,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceId,
    /// Requests that end the endpoints which run them.
    pub(super) deadly: HashSet<u32>,
    pub(super) jobs: Vec<Job>,
    pub(super) records: Records,
    /// Reports on their way: arrival, sender, reports.
    pub(super) news: Vec<(Instant, HostId, Vec<SuspectReport>)>,
    /// When the places of ended endpoints are taken: time, zone.
    pub(super) replacements: Vec<(Instant, &'static str)>,
    pub(super) started: usize,
    /// When endpoints ended under each deadly request.
    pub(super) ended: HashMap<u32, Vec<Instant>>,
    /// The number of its sends once all hosts could have heard of three ends.
    pub(super) sent_after_three: HashMap<u32, usize>,
    pub(super) sound_sent: usize,
    pub(super) sound_rejected: usize,
    /// The bytes of all datagrams with reports.
    pub(super) bytes: usize,
    pub(super) rng: SmallRng,
    pub(super) steps: usize,
}

pub(super) fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::new(&[&request.to_le_bytes()])
}

fn new_host(index: usize) -> Steer {
    let port = u16::try_from(1_000 + 2 * index).expect("few hosts");
    let mut host = steer(&format!("h-{index}"), ZONES[index % ZONES.len()], port);
    assert_eq!(host.configure(config(1)), Some(Vec::new()));
    host.mark_hosts_read();
    host
}

/// Returns the size of a datagram with reports, in bytes.
pub(super) fn size(host: &HostId, reports: &[SuspectReport]) -> usize {
    let datagram = Datagram {
        message: Message::Suspects {
            host: host.clone(),
            reports: reports.to_vec(),
        },
        registry: None,
        leaving: Vec::new(),
        limits: Vec::new(),
    };
    datagram.encode().expect("it can be encoded").len()
}

pub(super) fn completion<'a>(job: &'a Job, route: &'a Route, outcome: Outcome) -> Completion<'a> {
    Completion {
        choice: &job.choice,
        route,
        object: None,
        fingerprint: fingerprint(job.request),
        outcome,
        response_time: (outcome == Outcome::Answered).then_some(RUN_TIME),
        load: None,
    }
}

impl Fleet {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            clock: ManualClock::new(),
            route: Rc::new(config(1).routes.remove(0)),
            service: name(SERVICE),
            deadly: HashSet::new(),
            jobs: Vec::new(),
            records: Records::default(),
            news: Vec::new(),
            replacements: Vec::new(),
            started: 0,
            ended: HashMap::new(),
            sent_after_three: HashMap::new(),
            sound_sent: 0,
            sound_rejected: 0,
            bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
            steps: 0,
        };
        for i in 0..hosts {
            fleet.hosts.push(new_host(i));
        }
        for i in 0..ENDPOINTS {
            fleet.start_endpoint(ZONES[i % ZONES.len()]);
        }
        exchange(&mut fleet.hosts, &fleet.clock);
        fleet
    }

    pub(super) fn start_endpoint(&mut self, zone: &str) {
        let id = format!("e-{}", self.started);
        self.started += 1;
        for host in &mut self.hosts {
            host.register(endpoint(&id, zone, 3), self.clock.now());
        }
    }

    /// Lets endpoints end at the same moment. Their requests break, and hosts find that they refuse
    /// connections.
    pub(super) fn end_endpoints(&mut self, ids: &[EndpointId]) {
        let now = self.clock.now();
        let (broken, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.jobs)
            .into_iter()
            .partition(|j| ids.contains(&j.endpoint));
        self.jobs = kept;
        for job in &broken {
            let host = &mut self.hosts[job.host];
            host.finish(&completion(job, &self.route, Outcome::Failed), now);
            let request = fingerprint(job.request);
            host.record_break(request, job.choice.key, Some(1), job.began, 2, now);
        }
        for job in &broken {
            self.hosts[job.host].record_refusal(job.choice.key, Some(1), now);
        }
        for id in ids {
            let zone = ZONES[self.rng.random_range(0..ZONES.len())];
            self.replacements.push((now + REPLACEMENT_TIME, zone));
            for host in &mut self.hosts {
                host.unregister(id, now);
            }
        }
        for job in broken {
            let repeats = job.tried.len() < 2;
            if repeats {
                self.place(job.host, job.request, job.tried);
            }
        }
    }

    /// Sends a request to an endpoint unless it is rejected.
    pub(super) fn place(&mut self, host: usize, request: u32, mut tried: Vec<EndpointKey>) {
        let now = self.clock.now();
        let is_deadly = self.deadly.contains(&request);
        let placement = self.hosts[host].place(
            &PlacementRequest {
                route: &self.route,
                service: &self.service,
                object: None,
                permitted_regions: &[],
                fingerprint: fingerprint(request),
                tried: &tried,
                repeated: !tried.is_empty(),
                elapsed: Duration::ZERO,
                remaining: self.route.timeout,
            },
            now,
        );
        match placement {
            Placement::Send(choice) => {
                if is_deadly {
                    let third = self.ended.get(&request).and_then(|ends| ends.get(2));
                    if third.is_some_and(|&at| now > at + NEWS_TIME + STEP) {
                        *self.sent_after_three.entry(request).or_default() += 1;
                    }
                } else {
                    self.sound_sent += 1;
                }
                let endpoint = self.hosts[host].endpoint(choice.key).expect("registered");
                let endpoint = endpoint.record.id.clone();
                tried.push(choice.key);
                let time = if is_deadly { CRASH_TIME } else { RUN_TIME };
                self.jobs.push(Job {
                    host,
                    request,
                    choice,
                    endpoint,
                    began: now,
                    ends: now + time,
                    tried,
                });
            }
            Placement::Reject {
                reason: RejectionReason::Suspect,
                ..
            } if !is_deadly && tried.is_empty() => self.sound_rejected += 1,
            Placement::Reject { .. } => {}
        }
    }

    /// Runs for a time with `rate` requests per second, of which the share `deadly` are deadly.
    pub(super) fn run(&mut self, rate: f64, deadly: f64, time: Duration) {
        let end = self.clock.now() + time;
        let mut owed = 0.0;
        while self.clock.now() < end {
            self.step();
            owed += rate * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                let host = self.rng.random_range(0..self.hosts.len());
                let request = if !self.deadly.is_empty() && self.rng.random_bool(deadly) {
                    let index = self.rng.random_range(0..self.deadly.len());
                    let mut deadly: Vec<_> = self.deadly.iter().copied().collect();
                    deadly.sort_unstable();
                    deadly[index]
                } else {
                    // The first requests are asked most often.
                    let (a, b) = (
                        self.rng.random_range(0..SOUND),
                        self.rng.random_range(0..SOUND),
                    );
                    a * b / SOUND
                };
                self.place(host, request, Vec::new());
            }
        }
    }

    pub(super) fn step(&mut self) {
        let now = self.clock.now();
        while let Some(at) = self.jobs.iter().position(|j| j.ends <= now) {
            if self.deadly.contains(&self.jobs[at].request) {
                let (id, request) = (self.jobs[at].endpoint.clone(), self.jobs[at].request);
                self.ended.entry(request).or_default().push(now);
                self.end_endpoints(&[id]);
                continue;
            }
            let job = self.jobs.swap_remove(at);
            let completion = completion(&job, &self.route, Outcome::Answered);
            self.hosts[job.host].finish(&completion, now);
        }
        let (due, waiting) = std::mem::take(&mut self.replacements)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.replacements = waiting;
        let due: Vec<(Instant, &str)> = due;
        for (_, zone) in due {
            self.start_endpoint(zone);
        }
        self.exchange_news();
        if self.steps.is_multiple_of(DIGEST_STEPS) {
            for host in &mut self.hosts {
                host.update_weights(now);
                host.review_suspects(now);
                self.records.serve(host, &self.clock);
                if self.steps.is_multiple_of(READ_STEPS) && host.has_suspect_records() {
                    let version = self.records.version();
                    host.learn_suspect_records(
                        self.records.list(),
                        version,
                        wall(&self.clock),
                        now,
                    );
                }
            }
            exchange(&mut self.hosts, &self.clock);
        }
        self.steps += 1;
        self.clock.advance(STEP);
    }

    pub(super) fn exchange_news(&mut self) {
        let now = self.clock.now();
        let (due, waiting) = std::mem::take(&mut self.news)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.news = waiting;
        let due: Vec<(Instant, HostId, Vec<SuspectReport>)> = due;
        for (_, sender, reports) in due {
            for host in &mut self.hosts {
                host.learn_suspects(&sender, &reports, now);
            }
        }
        let peers = self.hosts.len() - 1;
        for host in &mut self.hosts {
            let sender = host.local_host().record.id.clone();
            if self.steps.is_multiple_of(DIGEST_STEPS) {
                let reports = host.suspect_reports(now);
                if !reports.is_empty() {
                    self.bytes += size(&sender, &reports) * DIGEST_TARGETS;
                }
            }
            let reports = host.take_suspect_news(now);
            if !reports.is_empty() {
                self.bytes += size(&sender, &reports) * peers;
                self.news.push((now + NEWS_TIME, sender, reports));
            }
        }
    }

    pub(super) fn most_ended(&self) -> usize {
        self.ended.values().map(Vec::len).max().unwrap_or(0)
    }

    pub(super) fn most_sent_after_three(&self) -> usize {
        self.sent_after_three.values().copied().max().unwrap_or(0)
    }

    /// Lets time pass without requests.
    pub(super) fn wait(&mut self, time: Duration) {
        self.clock.advance(time);
        let now = self.clock.now();
        for host in &mut self.hosts {
            host.review_suspects(now);
            self.records.serve(host, &self.clock);
        }
        exchange(&mut self.hosts, &self.clock);
    }

    /// Lets endpoints end together, as when a rack loses power.
    pub(super) fn crash_endpoints(&mut self, count: usize) {
        let endpoints = self.hosts[0].endpoints();
        let ids: Vec<_> = endpoints.map(|e| e.record.id.clone()).collect();
        self.end_endpoints(&ids[..count.min(ids.len())]);
    }

    /// Starts the processes of hosts again. Their requests are lost, and they hear what the other hosts know.
    pub(super) fn restart(&mut self, hosts: Range<usize>) {
        let now = self.clock.now();
        let endpoints = self.hosts[0].endpoints();
        let records: Vec<_> = endpoints.map(|e| e.record.clone()).collect();
        let deadly = self.deadly.clone();
        self.jobs
            .retain(|job| !hosts.contains(&job.host) || deadly.contains(&job.request));
        for i in hosts.clone() {
            let mut started = new_host(i);
            for record in &records {
                started.register(record.clone(), now);
            }
            let version = self.records.version();
            started.learn_suspect_records(self.records.list(), version, wall(&self.clock), now);
            self.hosts[i] = started;
        }
        for i in 0..self.hosts.len() {
            if hosts.contains(&i) {
                continue;
            }
            let id = self.hosts[i].local_host().record.id.clone();
            let own = self.hosts[i].suspect_reports(now);
            let relayed = self.hosts[i].relayed_suspects(now);
            for host in hosts.clone() {
                self.hosts[host].learn_suspects(&id, &own, now);
                for (origin, reports) in &relayed {
                    self.hosts[host].learn_suspects(origin, reports, now);
                }
            }
        }
        exchange(&mut self.hosts, &self.clock);
    }
}
