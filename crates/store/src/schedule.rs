//! Decides which call to the platform a host may make next.

mod pace;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use pace::Pace;

/// A change of the fleet's size by less than one in this many is not acted on.
const KEPT_PART: u32 = 16;

/// What a call is for; earlier ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Taking, renewing or handing back a lease.
    Lease,
    /// Claiming an idempotency key.
    Claim,
    /// Polling the configuration or the host list. A newer poll takes the place of an older one.
    Poll,
    /// Reading or storing snapshots.
    Bulk,
}

/// Whether a call only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The platform answered, with a conflict too.
    Answered,
    /// It did not answer, or turned the call down for its rate.
    Failed,
}

/// Something that happened.
#[derive(Debug, Clone, Copy)]
pub enum ScheduleInput {
    /// The number of hosts that share the platform.
    Fleet {
        /// The number.
        hosts: u32,
    },
    /// A call is wanted.
    Submit {
        /// The caller's number for it.
        id: u64,
        /// What it is for.
        priority: Priority,
        /// Whether it only reads.
        access: Access,
        /// When it is of no use any more.
        deadline: Instant,
    },
    /// A started call ended.
    Finished {
        /// Its number.
        id: u64,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Something to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScheduleEffect {
    /// Make the call now.
    Start {
        /// Its number.
        id: u64,
    },
    /// The call will not be made: its deadline passed, a newer poll took its place, or the queue
    /// is full.
    Drop {
        /// Its number.
        id: u64,
    },
}

/// Settings of a [`Scheduler`].
#[derive(Debug, Clone)]
pub struct ScheduleSettings {
    /// Reads a second of the whole fleet.
    pub reads: u32,
    /// Writes a second of the whole fleet.
    pub writes: u32,
    /// Up to how many hosts an idle one may read at once.
    pub read_burst: u32,
    /// Up to how many hosts an idle one may write at once.
    pub write_burst: u32,
    /// The size of the fleet until it is known.
    pub hosts: u32,
    /// The most calls that wait.
    pub queue: usize,
    /// The most calls under way.
    pub flight: usize,
    /// The longest wait after the first failure; doubles with each.
    pub backoff: Duration,
    /// The longest wait of all.
    pub longest: Duration,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            reads: 1_800,
            writes: 240,
            read_burst: 150,
            write_burst: 40,
            hosts: 600,
            queue: 1_024,
            flight: 8,
            backoff: Duration::from_millis(200),
            longest: Duration::from_secs(2),
        }
    }
}

type Place = (Priority, u64);

#[derive(Debug)]
struct Job {
    id: u64,
    deadline: Instant,
}

/// One host's calls of one access, by priority and age.
#[derive(Debug)]
struct Lane {
    pace: Pace,
    jobs: BTreeMap<Place, Job>,
}

/// The scheduler of one host's calls.
#[derive(Debug)]
pub struct Scheduler {
    settings: ScheduleSettings,
    rng: SmallRng,
    reads: Lane,
    writes: Lane,
    flight: BTreeSet<u64>,
    failures: u32,
    blocked: Instant,
    last_place: u64,
    effects: VecDeque<ScheduleEffect>,
}

impl Scheduler {
    /// A scheduler without calls. Its first starts are spread by the seed.
    pub fn new(settings: ScheduleSettings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut lane = |rate, small| Lane {
            pace: Pace::new(rate, small, settings.hosts, now, &mut rng),
            jobs: BTreeMap::new(),
        };
        let reads = lane(settings.reads, settings.read_burst);
        let writes = lane(settings.writes, settings.write_burst);
        Self {
            settings,
            rng,
            reads,
            writes,
            flight: BTreeSet::new(),
            failures: 0,
            blocked: now,
            last_place: 0,
            effects: VecDeque::new(),
        }
    }

    /// Takes an input in.
    pub fn handle(&mut self, now: Instant, input: ScheduleInput) {
        match input {
            ScheduleInput::Fleet { hosts } => self.set_hosts(now, hosts),
            ScheduleInput::Submit {
                id,
                priority,
                access,
                deadline,
            } => {
                self.submit(priority, access, Job { id, deadline });
            }
            ScheduleInput::Finished { id, outcome } => self.finished(now, id, outcome),
        }
        self.tick(now);
    }

    /// Starts what may start and drops what came too late.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
        while let Some(access) = self.ready(now) {
            let lane = self.lane(access);
            let at = lane.pace.next(now);
            let Some((_, job)) = lane.jobs.pop_first() else {
                return;
            };
            lane.pace.start(at);
            self.flight.insert(job.id);
            self.effects.push_back(ScheduleEffect::Start { id: job.id });
        }
    }

    /// When to call [`tick`](Self::tick) next.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let lanes = [&self.reads, &self.writes];
        let deadline = lanes
            .iter()
            .flat_map(|l| l.jobs.values())
            .map(|j| j.deadline)
            .min();
        if self.flight.len() >= self.room() {
            return deadline;
        }
        let busy = lanes.iter().filter(|l| !l.jobs.is_empty());
        let start = busy.map(|l| l.pace.next(now).max(self.blocked)).min();
        [deadline, start].into_iter().flatten().min()
    }

    /// The next thing to do.
    pub fn poll_effect(&mut self) -> Option<ScheduleEffect> {
        self.effects.pop_front()
    }

    fn lane(&mut self, access: Access) -> &mut Lane {
        match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        }
    }

    /// After a failure one call at a time tries the platform.
    fn room(&self) -> usize {
        if self.failures > 0 {
            1
        } else {
            self.settings.flight
        }
    }

    /// The access of the most urgent call that may start.
    fn ready(&self, now: Instant) -> Option<Access> {
        if now < self.blocked || self.flight.len() >= self.room() {
            return None;
        }
        let lanes = [(&self.reads, Access::Read), (&self.writes, Access::Write)];
        let due = lanes
            .into_iter()
            .filter(|(lane, _)| lane.pace.next(now) <= now);
        let first = due.filter_map(|(lane, access)| Some((lane.jobs.first_key_value()?.0, access)));
        first.min().map(|(_, access)| access)
    }

    /// A small change keeps the phases, so that a count which flaps delays nothing.
    fn set_hosts(&mut self, now: Instant, hosts: u32) {
        if hosts.abs_diff(self.settings.hosts) <= self.settings.hosts / KEPT_PART {
            return;
        }
        self.settings.hosts = hosts;
        self.reads.pace.set_hosts(hosts, now, &mut self.rng);
        self.writes.pace.set_hosts(hosts, now, &mut self.rng);
    }

    fn submit(&mut self, priority: Priority, access: Access, job: Job) {
        self.last_place += 1;
        let place = (priority, self.last_place);
        let queue = self.settings.queue;
        let lane = self.lane(access);
        let older = lane
            .jobs
            .range((Priority::Poll, 0)..(Priority::Bulk, 0))
            .next();
        let older = older.map(|(place, _)| *place);
        let out = match older {
            Some(older) if priority == Priority::Poll => lane.jobs.remove(&older),
            _ => None,
        };
        lane.jobs.insert(place, job);
        let excess = if lane.jobs.len() > queue {
            lane.jobs.pop_last()
        } else {
            None
        };
        for job in out.into_iter().chain(excess.map(|(_, job)| job)) {
            self.effects.push_back(ScheduleEffect::Drop { id: job.id });
        }
    }

    fn finished(&mut self, now: Instant, id: u64, outcome: Outcome) {
        if !self.flight.remove(&id) {
            return;
        }
        if outcome == Outcome::Answered {
            self.failures = 0;
            return;
        }
        let doubled = self.settings.backoff * 2u32.saturating_pow(self.failures.min(16));
        let longest = doubled.min(self.settings.longest);
        self.failures += 1;
        self.blocked = now + longest.mul_f64(self.rng.random_range(0.5..=1.0));
    }

    fn expire(&mut self, now: Instant) {
        for lane in [&mut self.reads, &mut self.writes] {
            lane.jobs.retain(|_, job| {
                let kept = job.deadline > now;
                if !kept {
                    self.effects.push_back(ScheduleEffect::Drop { id: job.id });
                }
                kept
            });
        }
    }
}
