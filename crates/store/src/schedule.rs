//! Schedules the calls of a host to the platform.

mod pacer;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use pacer::Pacer;

/// A change of the fleet's size by at most one part in this many is ignored.
const SIZE_TOLERANCE_DIVISOR: u32 = 16;

/// Tells what a call is for. Earlier variants have priority over later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Taking, renewing or handing back a lease.
    Lease,
    /// Claiming an idempotency key.
    Claim,
    /// Polling the configuration or the host list. A newer poll replaces an older one that waits.
    Poll,
    /// Reading or storing snapshots.
    Bulk,
}

/// Tells whether a call only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// Tells how a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The platform answered, possibly with a conflict.
    Answered,
    /// The platform did not answer, or rejected the call because of its rate.
    Failed,
    /// The call was not made, which says nothing of the platform.
    NotMade,
}

/// Lists the events that [`Scheduler`] handles.
#[derive(Debug, Clone, Copy)]
pub enum ScheduleInput {
    /// The number of hosts that share the platform has changed.
    Fleet {
        /// The new number of hosts.
        hosts: u32,
    },
    /// A call was requested.
    Submit {
        /// The id of the call, chosen by the caller.
        id: u64,
        /// What the call is for.
        priority: Priority,
        /// Whether the call only reads.
        access: Access,
        /// When the call is dropped if it has not started.
        deadline: Instant,
    },
    /// A started call ended.
    Finished {
        /// The id of the call.
        id: u64,
        /// How the call ended.
        outcome: Outcome,
    },
}

/// Lists the effects that the caller of [`Scheduler`] performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScheduleEffect {
    /// Make the call now.
    Start {
        /// The id of the call.
        id: u64,
    },
    /// Give the call up: its deadline passed, a newer poll replaced it, or the queue is full.
    Drop {
        /// The id of the call.
        id: u64,
    },
}

/// Holds the settings of a [`Scheduler`].
#[derive(Debug, Clone)]
pub struct ScheduleSettings {
    /// The reads a second that all hosts together may start.
    pub read_rate: u32,
    /// The writes a second that all hosts together may start.
    pub write_rate: u32,
    /// The number of hosts up to which an idle host may read immediately instead of at its next
    /// start time.
    pub immediate_reads: u32,
    /// The number of hosts up to which an idle host may write immediately instead of at its next
    /// start time.
    pub immediate_writes: u32,
    /// The number of hosts that is assumed until the fleet's size is known.
    pub hosts: u32,
    /// The most calls that wait, for reads and writes each.
    pub max_queued: usize,
    /// The most calls in flight that have not lasted for `slow_after` yet.
    pub max_flight: usize,
    /// How long a call may last before it no longer holds back others. Calls that last longer
    /// transfer what is large for the link.
    pub slow_after: Duration,
    /// The longest wait after the first failure; doubles with each further one.
    pub first_backoff: Duration,
    /// The upper limit of all waits.
    pub max_backoff: Duration,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            read_rate: 1_800,
            write_rate: 240,
            immediate_reads: 150,
            immediate_writes: 40,
            hosts: 600,
            max_queued: 1_024,
            max_flight: 8,
            slow_after: Duration::from_secs(2),
            first_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Priority and order of arrival.
type QueueKey = (Priority, u64);

#[derive(Debug)]
struct WaitingCall {
    id: u64,
    deadline: Instant,
}

/// Holds the waiting reads or the waiting writes of a host, by priority and age.
#[derive(Debug)]
struct CallQueue {
    pacer: Pacer,
    calls: BTreeMap<QueueKey, WaitingCall>,
}

/// Decides when a host makes its calls to the platform.
///
/// All hosts together keep to the read and write rates of the settings. After a failure a host
/// makes one call at a time until one is answered. Calls that last long hold no others back. The
/// state machine does no I/O.
#[derive(Debug)]
pub struct Scheduler {
    settings: ScheduleSettings,
    rng: SmallRng,
    reads: CallQueue,
    writes: CallQueue,
    /// The calls in flight and when they started.
    flight: BTreeMap<u64, Instant>,
    failures: u32,
    /// When calls may start again after a failure.
    blocked_until: Instant,
    last_arrival: u64,
    effects: VecDeque<ScheduleEffect>,
}

impl Scheduler {
    /// Creates a scheduler without calls. The seed spreads the first start times of the hosts.
    pub fn new(settings: ScheduleSettings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = |rate, immediate_hosts| CallQueue {
            pacer: Pacer::new(rate, immediate_hosts, settings.hosts, now, &mut rng),
            calls: BTreeMap::new(),
        };
        let reads = queue(settings.read_rate, settings.immediate_reads);
        let writes = queue(settings.write_rate, settings.immediate_writes);
        Self {
            settings,
            rng,
            reads,
            writes,
            flight: BTreeMap::new(),
            failures: 0,
            blocked_until: now,
            last_arrival: 0,
            effects: VecDeque::new(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, input: ScheduleInput) {
        match input {
            ScheduleInput::Fleet { hosts } => self.set_hosts(now, hosts),
            ScheduleInput::Submit {
                id,
                priority,
                access,
                deadline,
            } => {
                self.submit(priority, access, WaitingCall { id, deadline });
            }
            ScheduleInput::Finished { id, outcome } => self.handle_finished(now, id, outcome),
        }
        self.tick(now);
    }

    /// Drops the calls whose deadline has passed and starts those that may start.
    pub fn tick(&mut self, now: Instant) {
        self.drop_expired(now);
        while let Some(access) = self.next_access(now) {
            let queue = self.queue(access);
            let at = queue.pacer.next(now);
            let Some((_, call)) = queue.calls.pop_first() else {
                return;
            };
            queue.pacer.start(at);
            self.flight.insert(call.id, now);
            self.effects
                .push_back(ScheduleEffect::Start { id: call.id });
        }
    }

    /// Returns when to call [`tick`](Self::tick) next; `None` if no call waits.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let queues = [&self.reads, &self.writes];
        let deadline = queues
            .iter()
            .flat_map(|q| q.calls.values())
            .map(|c| c.deadline)
            .min();
        if let Some(slow_at) = self.full_until(now) {
            return deadline.map(|at| at.min(slow_at));
        }
        let busy = queues.iter().filter(|q| !q.calls.is_empty());
        let start = busy
            .map(|q| q.pacer.next(now).max(self.blocked_until))
            .min();
        [deadline, start].into_iter().flatten().min()
    }

    /// Returns the next effect to perform.
    pub fn poll_effect(&mut self) -> Option<ScheduleEffect> {
        self.effects.pop_front()
    }

    fn queue(&mut self, access: Access) -> &mut CallQueue {
        match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        }
    }

    /// Returns how many calls may be in flight; after a failure only one.
    fn flight_limit(&self) -> usize {
        if self.failures > 0 {
            1
        } else {
            self.settings.max_flight
        }
    }

    /// Returns when the next call in flight stops to hold back others; `None` if none is held back
    /// now.
    fn full_until(&self, now: Instant) -> Option<Instant> {
        let ends = self
            .flight
            .values()
            .map(|at| *at + self.settings.slow_after);
        let mut ends: Vec<Instant> = ends.filter(|at| *at > now).collect();
        ends.sort_unstable();
        let excess = ends.len().checked_sub(self.flight_limit())?;
        ends.get(excess).copied()
    }

    /// Returns whether the most urgent call that may start now is a read or a write.
    fn next_access(&self, now: Instant) -> Option<Access> {
        if now < self.blocked_until || self.full_until(now).is_some() {
            return None;
        }
        let queues = [(&self.reads, Access::Read), (&self.writes, Access::Write)];
        let due = queues
            .into_iter()
            .filter(|(queue, _)| queue.pacer.next(now) <= now);
        let first =
            due.filter_map(|(queue, access)| Some((queue.calls.first_key_value()?.0, access)));
        first.min().map(|(_, access)| access)
    }

    /// Sets the fleet's size. A small change keeps the start times, so that a size that fluctuates
    /// does not delay calls.
    fn set_hosts(&mut self, now: Instant, hosts: u32) {
        if hosts.abs_diff(self.settings.hosts) <= self.settings.hosts / SIZE_TOLERANCE_DIVISOR {
            return;
        }
        self.settings.hosts = hosts;
        self.reads.pacer.set_hosts(hosts, now, &mut self.rng);
        self.writes.pacer.set_hosts(hosts, now, &mut self.rng);
    }

    fn submit(&mut self, priority: Priority, access: Access, call: WaitingCall) {
        self.last_arrival += 1;
        let key = (priority, self.last_arrival);
        let max_queued = self.settings.max_queued;
        let queue = self.queue(access);
        let older_poll = queue
            .calls
            .range((Priority::Poll, 0)..(Priority::Bulk, 0))
            .next();
        let older_poll = older_poll.map(|(key, _)| *key);
        let replaced = match older_poll {
            Some(older_poll) if priority == Priority::Poll => queue.calls.remove(&older_poll),
            _ => None,
        };
        queue.calls.insert(key, call);
        let excess = if queue.calls.len() > max_queued {
            queue.calls.pop_last()
        } else {
            None
        };
        for call in replaced.into_iter().chain(excess.map(|(_, call)| call)) {
            self.effects.push_back(ScheduleEffect::Drop { id: call.id });
        }
    }

    fn handle_finished(&mut self, now: Instant, id: u64, outcome: Outcome) {
        if self.flight.remove(&id).is_none() {
            return;
        }
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                return;
            }
            Outcome::NotMade => return,
            Outcome::Failed => {}
        }
        let doubled = self.settings.first_backoff * 2u32.saturating_pow(self.failures.min(16));
        let limit = doubled.min(self.settings.max_backoff);
        self.failures += 1;
        self.blocked_until = now + limit.mul_f64(self.rng.random_range(0.5..=1.0));
    }

    fn drop_expired(&mut self, now: Instant) {
        for queue in [&mut self.reads, &mut self.writes] {
            queue.calls.retain(|_, call| {
                let keep = call.deadline > now;
                if !keep {
                    self.effects.push_back(ScheduleEffect::Drop { id: call.id });
                }
                keep
            });
        }
    }
}
