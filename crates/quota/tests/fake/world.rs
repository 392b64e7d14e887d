//! Several machines with fakes of their clocks, link and lease table, in one virtual time.

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

/// Faults of the link and the table, in parts of a thousand where not said otherwise.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    pub(crate) loss: u32,
    pub(crate) repeat: u32,
    /// Extra delay of some messages.
    pub(crate) delay: u64,
    pub(crate) lost_answer: u32,
    pub(crate) stale_read: u32,
    /// Extra delay of some table calls.
    pub(crate) table_delay: u64,
    pub(crate) table_down: bool,
}

#[derive(Debug)]
enum Event {
    Tick {
        host: usize,
        life: u64,
    },
    Deliver {
        to: usize,
        from: usize,
        message: Message,
    },
    Read {
        host: usize,
        life: u64,
        shard: ShardId,
    },
    Write {
        host: usize,
        life: u64,
        shard: ShardId,
        expected: Option<u64>,
        row: Row,
    },
    Answer {
        host: usize,
        life: u64,
        input: Input,
    },
}

pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) quota: Option<Quota>,
    pub(crate) life: u64,
    pub(crate) limits: BTreeMap<TeamId, TeamLimit>,
    pub(crate) released: bool,
    /// Hosts hear one another only within a group; the table is with group 0.
    pub(crate) group: u32,
    pub(crate) paused: u64,
    /// Whether the host has no way to the table.
    pub(crate) unplugged: bool,
    ppm: i128,
    tick_at: u64,
    waiting: BTreeMap<Ticket, (usize, u64)>,
}

/// One decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Decision {
    pub(crate) at: u64,
    pub(crate) host: usize,
    pub(crate) team: usize,
    pub(crate) granted: bool,
    /// How long it waited.
    pub(crate) waited: u64,
}

pub(crate) struct World {
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
    pub(crate) tune: Box<dyn Fn(&mut Settings)>,
    pub(crate) config: (Epoch, Vec<TeamLimit>),
    pub(crate) map: ShardMap,
    pub(crate) distance: fn(usize, usize) -> u64,
    pub(crate) table_distance: u64,
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

impl World {
    /// A world of one host for each entry of `zones`, with that many shards in every zone.
    pub(crate) fn new(
        zones: &[usize],
        shards: u32,
        limits: &[(u64, u64)],
        seed: u64,
        tune: impl Fn(&mut Settings) + 'static,
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
        let mut world = Self {
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
            tune: Box::new(tune),
            config: (Epoch(1), config),
            map: ShardMap::new(all.into_iter().map(|z| (z, shards)).collect()),
            distance: |_, _| 2 * MS,
            table_distance: 5 * MS,
            start: Instant::now(),
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            table: BTreeMap::new(),
        };
        for host in 0..world.hosts.len() {
            world.boot(host);
        }
        world
    }

    /// Lets a host's clock run fast or slow, in parts of a million.
    pub(crate) fn set_drift(&mut self, host: usize, ppm: i32) {
        self.hosts[host].ppm = i128::from(ppm);
    }

    /// Starts a host anew, with nothing but its settings and the configuration.
    pub(crate) fn boot(&mut self, host: usize) {
        self.crash(host);
        let h = &mut self.hosts[host];
        (h.life, h.released, h.paused, h.tick_at) = (h.life + 1, false, 0, 0);
        let mut settings = Settings::new(h.id.clone(), h.zone.clone(), Incarnation(h.life));
        (self.tune)(&mut settings);
        let seed = self.rng.random();
        let now = self.clock(host);
        self.hosts[host].quota = Some(Quota::new(settings, seed, now));
        for other in 0..self.hosts.len() {
            self.tell_peers(other);
        }
        self.configure(host);
    }

    /// Ends a host's process.
    pub(crate) fn crash(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        h.quota = None;
        h.limits.clear();
        h.waiting.clear();
    }

    /// Hands the present configuration to a host.
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

    /// Changes a team's limit; hosts learn of it by [`World::configure`].
    pub(crate) fn change(&mut self, team: usize, rate: u64, burst: u64) {
        let epoch = self.config.0.next();
        self.config.0 = epoch;
        self.config.1[team] = limit(&self.teams[team], rate, burst, epoch.0);
    }

    pub(crate) fn release(&mut self, host: usize) {
        self.call(host, Quota::release);
    }

    /// Asks a host for admission; whether it was granted at once.
    pub(crate) fn admit(&mut self, host: usize, team: usize, patience: u64) -> Option<Admission> {
        let id = self.teams[team].clone();
        let at = self.now;
        let deadline = Duration::from_nanos(patience);
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

    /// Runs until a time.
    pub(crate) fn run(&mut self, until: u64) {
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&seq) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    pub(crate) fn tell_peers(&mut self, host: usize) {
        let peers = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(i, h)| *i != host && h.quota.is_some());
        let peers = peers.map(|(i, h)| PeerInfo {
            host: h.id.clone(),
            incarnation: Incarnation(h.life),
            zone: h.zone.clone(),
            distance: Duration::from_nanos((self.distance)(host, i)),
        });
        let peers = peers.collect();
        self.call(host, |q, now| q.handle(now, Input::Peers(peers)));
    }

    fn clock(&self, host: usize) -> Instant {
        let local = i128::from(self.now) * (PPM + self.hosts[host].ppm) / PPM;
        self.start + Duration::from_nanos(u64::try_from(local).unwrap())
    }

    fn true_time(&self, host: usize, at: Instant) -> u64 {
        let local = i128::try_from((at - self.start).as_nanos()).unwrap();
        u64::try_from(local * PPM / (PPM + self.hosts[host].ppm) + 2).unwrap()
    }

    fn call<T>(&mut self, host: usize, f: impl FnOnce(&mut Quota, Instant) -> T) -> Option<T> {
        let now = self.clock(host);
        if self.hosts[host].paused > self.now {
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
                let life = h.life;
                self.push(at, Event::Tick { host, life });
            }
        }
        Some(result)
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        let life = self.hosts[host].life;
        match effect {
            Effect::Send { to, message } => self.post(host, &to, &message),
            Effect::Read { shard } => {
                let at = self.table_time();
                self.push(at, Event::Read { host, life, shard });
            }
            Effect::Write {
                shard,
                expected,
                row,
            } => {
                let at = self.table_time();
                self.push(
                    at,
                    Event::Write {
                        host,
                        life,
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

    fn post(&mut self, host: usize, to: &HostId, message: &Message) {
        self.messages += 1;
        self.bytes += size(message);
        let Some(to) = self.hosts.iter().position(|h| h.id == *to) else {
            return;
        };
        if self.chance(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.repeat));
        for _ in 0..copies {
            let mut at = self.now + (self.distance)(host, to);
            if self.faults.delay > 0 {
                at += self.rng.random_range(0..self.faults.delay);
            }
            self.push(
                at,
                Event::Deliver {
                    to,
                    from: host,
                    message: message.clone(),
                },
            );
        }
    }

    fn table_time(&mut self) -> u64 {
        let mut at = self.now + self.table_distance;
        if self.faults.table_delay > 0 && self.chance(300) {
            at += self.rng.random_range(0..self.faults.table_delay);
        }
        at
    }

    fn happen(&mut self, event: Event) {
        if let Some(wake) = self.paused(&event) {
            if let Event::Tick { host, .. } = event {
                self.hosts[host].tick_at = wake;
            }
            self.push(wake, event);
            return;
        }
        match event {
            Event::Tick { host, life } => {
                if self.hosts[host].life == life && self.hosts[host].tick_at == self.now {
                    self.call(host, Quota::tick);
                }
            }
            Event::Deliver { to, from, message } => {
                if self.hosts[from].group == self.hosts[to].group {
                    let from = self.hosts[from].id.clone();
                    self.call(to, |q, now| {
                        q.handle(now, Input::Received { from, message });
                    });
                }
            }
            Event::Read { host, life, shard } => self.read(host, life, shard),
            Event::Write {
                host,
                life,
                shard,
                expected,
                row,
            } => {
                self.write(host, life, shard, expected, row);
            }
            Event::Answer { host, life, input } => {
                if self.hosts[host].life == life {
                    self.call(host, |q, now| q.handle(now, input));
                }
            }
        }
    }

    /// When the host of an event wakes, if it is paused now.
    fn paused(&self, event: &Event) -> Option<u64> {
        let host = match event {
            Event::Tick { host, .. } | Event::Answer { host, .. } => *host,
            Event::Deliver { to, .. } => *to,
            Event::Read { .. } | Event::Write { .. } => return None,
        };
        let wake = self.hosts[host].paused;
        (wake > self.now).then_some(wake)
    }

    fn read(&mut self, host: usize, life: u64, shard: ShardId) {
        self.reads += 1;
        let outcome = if self.unreachable(host) {
            ReadOutcome::Failed
        } else {
            let rows = self.table.get(&shard).map_or(&[][..], Vec::as_slice);
            let stale = usize::from(self.faults.stale_read > 0 && !rows.is_empty());
            let back = if self.rng.random_range(0..1000) < self.faults.stale_read {
                stale
            } else {
                0
            };
            match rows.len() - back {
                0 => ReadOutcome::Absent,
                n => ReadOutcome::Found {
                    version: n as u64,
                    row: rows[n - 1].clone(),
                },
            }
        };
        self.answer(host, life, Input::Row { shard, outcome });
    }

    fn write(&mut self, host: usize, life: u64, shard: ShardId, expected: Option<u64>, row: Row) {
        self.writes += 1;
        self.row_bytes += 64 + 24 * row.tokens.len() as u64 + 24 * row.members.len() as u64;
        let attempt: AttemptId = row.attempt;
        let outcome = if self.unreachable(host) {
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
            life,
            Input::WriteDone {
                shard,
                attempt,
                outcome,
            },
        );
    }

    fn unreachable(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        self.faults.table_down || h.unplugged || h.group != 0
    }

    fn answer(&mut self, host: usize, life: u64, input: Input) {
        let at = self.table_time();
        self.push(at, Event::Answer { host, life, input });
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1000) < thousandths
    }

    fn push(&mut self, at: u64, event: Event) {
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
            life: 0,
            limits: BTreeMap::new(),
            released: false,
            group: 0,
            paused: 0,
            unplugged: false,
            ppm: 0,
            tick_at: 0,
            waiting: BTreeMap::new(),
        }
    }
}

/// A message's size in a compact encoding: 8 bytes a number, a name's length and 2 bytes a name.
fn size(message: &Message) -> u64 {
    let name = |text: &str| text.len() as u64 + 2;
    4 + match message {
        Message::Ask { team, .. } => 8 * 7 + name(team.as_str()),
        Message::Loan { team, .. } => 8 * 9 + name(team.as_str()),
        Message::Return { team, .. } => 8 * 2 + name(team.as_str()),
        Message::Hold { shard, .. } | Message::Held { shard, .. } => {
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
