//! Simulation of several hosts, with fake clocks, network and lease table, in virtual time.
//!
//! All times are in nanoseconds unless their type says otherwise.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_quota::{
    Admission, Effect, Input, Message, PeerInfo, Quota, ReadOutcome, Resolution, Row, Settings,
    ShardId, ShardMap, TeamLimit, Ticket, WriteOutcome,
};
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens, ZoneId};

pub(crate) const MS: u64 = 1_000_000;
pub(crate) const SECOND: u64 = 1_000 * MS;
const PPM: i128 = 1_000_000;

/// Faults of the network and the table; probabilities are in thousandths.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    pub(crate) loss: u32,
    pub(crate) duplicate: u32,
    /// Maximum extra delay of a message.
    pub(crate) delay: u64,
    pub(crate) lost_answer: u32,
    pub(crate) stale_read: u32,
    /// Maximum extra delay of a table call; 30 % of the calls are delayed.
    pub(crate) table_delay: u64,
    pub(crate) table_down: bool,
}

#[derive(Debug)]
enum Event {
    Tick {
        host: usize,
        incarnation: u64,
    },
    Deliver {
        to: usize,
        from: usize,
        message: Message,
    },
    Read {
        host: usize,
        incarnation: u64,
        shard: ShardId,
    },
    Write {
        host: usize,
        incarnation: u64,
        shard: ShardId,
        expected: Option<u64>,
        row: Row,
    },
    Answer {
        host: usize,
        incarnation: u64,
        input: Input,
    },
}

pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) quota: Option<Quota>,
    pub(crate) incarnation: u64,
    pub(crate) limits: BTreeMap<TeamId, TeamLimit>,
    pub(crate) released: bool,
    /// Hosts reach one another only within a partition; the table is in partition 0.
    pub(crate) partition: u32,
    pub(crate) paused_until: u64,
    /// Whether the host cannot reach the table.
    pub(crate) table_cut: bool,
    drift_ppm: i128,
    tick_at: u64,
    waiting: BTreeMap<Ticket, (usize, u64)>,
}

/// Decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Decision {
    pub(crate) at: u64,
    pub(crate) host: usize,
    pub(crate) team: usize,
    pub(crate) granted: bool,
    /// How long the request waited.
    pub(crate) waited: u64,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) hosts: Vec<Host>,
    pub(crate) teams: Vec<TeamId>,
    pub(crate) faults: Faults,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    pub(crate) row_bytes: u64,
    pub(crate) rng: SmallRng,
    pub(crate) adjust_settings: Box<dyn Fn(&mut Settings)>,
    pub(crate) config: (Epoch, Vec<TeamLimit>),
    pub(crate) map: ShardMap,
    pub(crate) latency: fn(usize, usize) -> u64,
    pub(crate) table_latency: u64,
    start: Instant,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    table: BTreeMap<ShardId, Vec<Row>>,
}

pub(crate) fn limit(team: &TeamId, rate: u64, burst: u64, since: u64) -> TeamLimit {
    let (rate, burst) = (Rate::per_second(rate), Tokens::whole(burst));
    TeamLimit {
        team: team.clone(),
        rate,
        burst,
        since: Epoch(since),
    }
}

impl Simulation {
    /// Starts one host for each entry of `zones`, with `shards` shards in each zone.
    pub(crate) fn new(
        zones: &[usize],
        shards: u32,
        limits: &[(u64, u64)],
        seed: u64,
        adjust_settings: impl Fn(&mut Settings) + 'static,
    ) -> Self {
        let zone = |z: &usize| -> ZoneId { format!("zone-{z}").parse().unwrap() };
        let mut all: Vec<ZoneId> = zones.iter().map(zone).collect();
        let hosts = zones
            .iter()
            .enumerate()
            .map(|(i, z)| Host::new(i, zone(z)))
            .collect();
        all.dedup();
        let teams: Vec<TeamId> = (0..limits.len())
            .map(|t| format!("team-{t}").parse().unwrap())
            .collect();
        let config = teams
            .iter()
            .zip(limits)
            .map(|(t, (r, b))| limit(t, *r, *b, 1))
            .collect();
        let mut sim = Self {
            now: 0,
            hosts,
            teams,
            faults: Faults::default(),
            decisions: Vec::new(),
            messages: 0,
            bytes: 0,
            writes: 0,
            reads: 0,
            row_bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
            adjust_settings: Box::new(adjust_settings),
            config: (Epoch(1), config),
            map: ShardMap::new(all.into_iter().map(|z| (z, shards)).collect()),
            latency: |_, _| 2 * MS,
            table_latency: 5 * MS,
            start: Instant::now(),
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            table: BTreeMap::new(),
        };
        for host in 0..sim.hosts.len() {
            sim.boot(host);
        }
        sim
    }

    /// Sets how much faster than real time a host's clock runs, in millionths.
    pub(crate) fn set_drift(&mut self, host: usize, ppm: i32) {
        self.hosts[host].drift_ppm = i128::from(ppm);
    }

    /// Restarts a host with its settings and the current configuration, but no other state.
    pub(crate) fn boot(&mut self, host: usize) {
        self.crash(host);
        let h = &mut self.hosts[host];
        (h.incarnation, h.released, h.paused_until, h.tick_at) = (h.incarnation + 1, false, 0, 0);
        let mut settings = Settings::new(h.id.clone(), h.zone.clone(), Incarnation(h.incarnation));
        (self.adjust_settings)(&mut settings);
        let seed = self.rng.random();
        let now = self.clock(host);
        self.hosts[host].quota = Some(Quota::new(settings, seed, now));
        for other in 0..self.hosts.len() {
            self.update_peers(other);
        }
        self.configure(host);
    }

    /// Ends a host's process without a release.
    pub(crate) fn crash(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        h.quota = None;
        h.limits.clear();
        h.waiting.clear();
    }

    /// Hands the current configuration to a host.
    pub(crate) fn configure(&mut self, host: usize) {
        let (epoch, teams) = self.config.clone();
        let limits = teams.iter().map(|l| (l.team.clone(), l.clone())).collect();
        let shards = self.map.clone();
        if self
            .call(host, |q, now| {
                q.handle(
                    now,
                    Input::Config {
                        epoch,
                        teams,
                        shards,
                    },
                );
            })
            .is_some()
        {
            self.hosts[host].limits = limits;
        }
    }

    /// Changes a team's limit; hosts adopt it when [`Simulation::configure`] is called.
    pub(crate) fn change_limit(&mut self, team: usize, rate: u64, burst: u64) {
        let epoch = self.config.0.next();
        self.config.0 = epoch;
        self.config.1[team] = limit(&self.teams[team], rate, burst, epoch.0);
    }

    pub(crate) fn release(&mut self, host: usize) {
        self.call(host, Quota::release);
    }

    /// Requests admission from a host; returns its immediate answer, or `None` if it is down.
    pub(crate) fn admit(&mut self, host: usize, team: usize, timeout: u64) -> Option<Admission> {
        let id = self.teams[team].clone();
        let at = self.now;
        let deadline = Duration::from_nanos(timeout);
        let admission = self.call(host, |q, now| q.admit(now, &id, now + deadline))?;
        match admission {
            Admission::Granted | Admission::Refused { .. } => {
                let granted = admission == Admission::Granted;
                self.decisions.push(Decision {
                    at,
                    host,
                    team,
                    granted,
                    waited: 0,
                });
            }
            Admission::Waiting(ticket) => {
                self.hosts[host].waiting.insert(ticket, (team, at));
            }
        }
        Some(admission)
    }

    /// Processes events up to a time.
    pub(crate) fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&seq) {
                self.process(event);
            }
        }
        self.now = until;
    }

    pub(crate) fn update_peers(&mut self, host: usize) {
        let peers = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(i, h)| *i != host && h.quota.is_some());
        let peers = peers.map(|(i, h)| PeerInfo {
            host: h.id.clone(),
            incarnation: Incarnation(h.incarnation),
            zone: h.zone.clone(),
            latency: Duration::from_nanos((self.latency)(host, i)),
        });
        let peers = peers.collect();
        self.call(host, |q, now| q.handle(now, Input::Peers(peers)));
    }

    fn clock(&self, host: usize) -> Instant {
        let local = i128::from(self.now) * (PPM + self.hosts[host].drift_ppm) / PPM;
        self.start + Duration::from_nanos(u64::try_from(local).unwrap())
    }

    fn true_time(&self, host: usize, at: Instant) -> u64 {
        let local = i128::try_from((at - self.start).as_nanos()).unwrap();
        u64::try_from(local * PPM / (PPM + self.hosts[host].drift_ppm) + 2).unwrap()
    }

    fn call<T>(&mut self, host: usize, f: impl FnOnce(&mut Quota, Instant) -> T) -> Option<T> {
        let now = self.clock(host);
        if self.hosts[host].paused_until > self.now {
            return None;
        }
        let quota = self.hosts[host].quota.as_mut()?;
        let result = f(quota, now);
        let mut effects = Vec::new();
        while let Some(effect) = quota.poll_effect() {
            effects.push(effect);
        }
        let wake = quota.next_wake();
        for effect in effects {
            self.carry_out(host, effect);
        }
        if let Some(wake) = wake {
            let at = self.true_time(host, wake).max(self.now + 1);
            let h = &mut self.hosts[host];
            if h.tick_at <= self.now || at < h.tick_at {
                h.tick_at = at;
                let incarnation = h.incarnation;
                self.schedule(at, Event::Tick { host, incarnation });
            }
        }
        Some(result)
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        let incarnation = self.hosts[host].incarnation;
        match effect {
            Effect::Send { to, message } => self.send(host, &to, &message),
            Effect::Read { shard } => {
                let at = self.table_call_time();
                self.schedule(
                    at,
                    Event::Read {
                        host,
                        incarnation,
                        shard,
                    },
                );
            }
            Effect::Write {
                shard,
                expected,
                row,
            } => {
                let at = self.table_call_time();
                self.schedule(
                    at,
                    Event::Write {
                        host,
                        incarnation,
                        shard,
                        expected,
                        row,
                    },
                );
            }
            Effect::Resolve { ticket, resolution } => {
                if let Some((team, since)) = self.hosts[host].waiting.remove(&ticket) {
                    let granted = resolution == Resolution::Granted;
                    let waited = self.now - since;
                    let at = if granted { self.now } else { since };
                    self.decisions.push(Decision {
                        at,
                        host,
                        team,
                        granted,
                        waited,
                    });
                }
            }
            Effect::Released => self.hosts[host].released = true,
        }
    }

    fn send(&mut self, host: usize, to: &HostId, message: &Message) {
        self.messages += 1;
        self.bytes += encoded_size(message);
        let Some(to) = self.hosts.iter().position(|h| h.id == *to) else {
            return;
        };
        if self.chance(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplicate));
        for _ in 0..copies {
            let mut at = self.now + (self.latency)(host, to);
            if self.faults.delay > 0 {
                at += self.rng.random_range(0..self.faults.delay);
            }
            self.schedule(
                at,
                Event::Deliver {
                    to,
                    from: host,
                    message: message.clone(),
                },
            );
        }
    }

    fn table_call_time(&mut self) -> u64 {
        let mut at = self.now + self.table_latency;
        if self.faults.table_delay > 0 && self.chance(300) {
            at += self.rng.random_range(0..self.faults.table_delay);
        }
        at
    }

    fn process(&mut self, event: Event) {
        if let Some(wake) = self.wake_time(&event) {
            if let Event::Tick { host, .. } = event {
                self.hosts[host].tick_at = wake;
            }
            self.schedule(wake, event);
            return;
        }
        match event {
            Event::Tick { host, incarnation } => {
                if self.hosts[host].incarnation == incarnation
                    && self.hosts[host].tick_at == self.now
                {
                    self.call(host, Quota::tick);
                }
            }
            Event::Deliver { to, from, message } => {
                if self.hosts[from].partition == self.hosts[to].partition {
                    let from = self.hosts[from].id.clone();
                    self.call(to, |q, now| {
                        q.handle(now, Input::Received { from, message });
                    });
                }
            }
            Event::Read {
                host,
                incarnation,
                shard,
            } => self.read(host, incarnation, shard),
            Event::Write {
                host,
                incarnation,
                shard,
                expected,
                row,
            } => {
                self.write(host, incarnation, shard, expected, row);
            }
            Event::Answer {
                host,
                incarnation,
                input,
            } => {
                if self.hosts[host].incarnation == incarnation {
                    self.call(host, |q, now| q.handle(now, input));
                }
            }
        }
    }

    /// Returns when the host of an event resumes, if it is paused now.
    fn wake_time(&self, event: &Event) -> Option<u64> {
        let host = match event {
            Event::Tick { host, .. } | Event::Answer { host, .. } => *host,
            Event::Deliver { to, .. } => *to,
            Event::Read { .. } | Event::Write { .. } => return None,
        };
        let wake = self.hosts[host].paused_until;
        (wake > self.now).then_some(wake)
    }

    fn read(&mut self, host: usize, incarnation: u64, shard: ShardId) {
        self.reads += 1;
        let outcome = if self.cannot_reach_table(host) {
            ReadOutcome::Failed
        } else {
            let rows = self.table.get(&shard).map_or(&[][..], Vec::as_slice);
            let stale = usize::from(self.faults.stale_read > 0 && !rows.is_empty());
            let rows_back = if self.rng.random_range(0..1000) < self.faults.stale_read {
                stale
            } else {
                0
            };
            match rows.len() - rows_back {
                0 => ReadOutcome::Absent,
                n => ReadOutcome::Found {
                    version: n as u64,
                    row: rows[n - 1].clone(),
                },
            }
        };
        self.answer(host, incarnation, Input::Row { shard, outcome });
    }

    fn write(
        &mut self,
        host: usize,
        incarnation: u64,
        shard: ShardId,
        expected: Option<u64>,
        row: Row,
    ) {
        self.writes += 1;
        self.row_bytes += 64 + 24 * row.tokens.len() as u64 + 24 * row.members.len() as u64;
        let attempt: AttemptId = row.attempt;
        let outcome = if self.cannot_reach_table(host) {
            WriteOutcome::Unknown
        } else {
            let rows = self.table.entry(shard.clone()).or_default();
            if expected.unwrap_or(0) == rows.len() as u64 {
                rows.push(row);
                WriteOutcome::Applied {
                    version: rows.len() as u64,
                }
            } else {
                WriteOutcome::Conflict
            }
        };
        let lost = self.chance(self.faults.lost_answer);
        let outcome = if lost { WriteOutcome::Unknown } else { outcome };
        self.answer(
            host,
            incarnation,
            Input::WriteDone {
                shard,
                attempt,
                outcome,
            },
        );
    }

    fn cannot_reach_table(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        self.faults.table_down || h.table_cut || h.partition != 0
    }

    fn answer(&mut self, host: usize, incarnation: u64, input: Input) {
        let at = self.table_call_time();
        self.schedule(
            at,
            Event::Answer {
                host,
                incarnation,
                input,
            },
        );
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1000) < thousandths
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }
}

impl Host {
    fn new(index: usize, zone: ZoneId) -> Self {
        Self {
            id: format!("host-{index}").parse().unwrap(),
            zone,
            quota: None,
            incarnation: 0,
            limits: BTreeMap::new(),
            released: false,
            partition: 0,
            paused_until: 0,
            table_cut: false,
            drift_ppm: 0,
            tick_at: 0,
            waiting: BTreeMap::new(),
        }
    }
}

/// Returns a message's size in a compact encoding.
///
/// A number takes 8 bytes, a name its length and 2 bytes.
fn encoded_size(message: &Message) -> u64 {
    let name = |text: &str| text.len() as u64 + 2;
    4 + match message {
        Message::LoanRequest { team, .. } => 8 * 7 + name(team.as_str()),
        Message::Loan { team, .. } => 8 * 9 + name(team.as_str()),
        Message::Return { team, .. } => 8 * 2 + name(team.as_str()),
        Message::PromiseRequest { shard, .. } | Message::Promise { shard, .. } => {
            8 * 3 + name(shard.zone.as_str())
        }
        Message::Released { shard } => 8 + name(shard.zone.as_str()),
        Message::Gossip { shards, hints, .. } => {
            let shard = |s: &wagtail_quota::ShardNote| {
                8 * 2 + 4 + name(s.shard.zone.as_str()) + name(s.holder.as_str())
            };
            let hint = |h: &wagtail_quota::TeamHint| 8 * 3 + name(h.team.as_str());
            8 + shards.iter().map(shard).sum::<u64>() + hints.iter().map(hint).sum::<u64>()
        }
    }
}
