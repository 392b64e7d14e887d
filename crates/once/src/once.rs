//! The machine: one per host.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::entry::{Entry, EntryId, Name};
use crate::issue::Issuer;
use crate::permit::Dropped;
use crate::relay::Seen;
use crate::settings::Mutant;
use crate::{
    Begin, ClaimResult, ClaimRow, IssuedKey, Outcome, Permit, Request, Resolution, Settings, Ticket,
};

/// Something that the machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// What membership knows of another host.
    Host {
        /// The host.
        host: HostId,
        /// Its present life, or `None` where it is dead or no longer listed.
        incarnation: Option<Incarnation>,
    },
    /// The table service has answered, or has failed to answer, about a claim.
    Claimed {
        /// The claim, as in the effect that asked for it.
        claim: AttemptId,
        /// What came of it.
        result: ClaimResult,
    },
    /// The request that waits with this ticket has gone away.
    Cancelled {
        /// The ticket.
        ticket: Ticket,
    },
}

/// Something that the machine asks its host to do.
#[derive(Debug)]
pub enum Effect {
    /// Insert the row unless a row with its key exists; the same `claim` may be written again.
    Claim {
        /// Names the claim in the answer and in the row.
        claim: AttemptId,
        /// The row.
        row: ClaimRow,
    },
    /// Read the row with this key, to learn what came of a claim.
    ReadClaim {
        /// Names the claim in the answer.
        claim: AttemptId,
        /// The row as it was to be written.
        row: ClaimRow,
    },
    /// A waiting request goes on.
    Resolve {
        /// The ticket that the request waits with.
        ticket: Ticket,
        /// How it goes on.
        to: Resolution,
    },
}

/// One request that waits in an entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) repeat: bool,
    pub(crate) attempt: Option<AttemptId>,
}

/// Duplicate suppression for one life of one host.
#[derive(Debug)]
pub struct Once {
    pub(crate) settings: Settings,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) rng: SmallRng,
    pub(crate) peers: HashMap<HostId, Incarnation>,
    pub(crate) issuer: Issuer,
    pub(crate) entries: SlotMap<EntryId, Entry>,
    pub(crate) names: HashMap<Name, EntryId>,
    pub(crate) due: BTreeSet<(Instant, EntryId)>,
    pub(crate) claims: HashMap<AttemptId, EntryId>,
    pub(crate) seen: HashMap<AttemptId, Seen>,
    pub(crate) seen_due: VecDeque<(Instant, AttemptId)>,
    pub(crate) tickets: HashMap<Ticket, EntryId>,
    pub(crate) next_ticket: u64,
    pub(crate) dropped: Dropped,
    pub(crate) running: usize,
    pub(crate) used: usize,
    pub(crate) effects: VecDeque<Effect>,
    pub(crate) now: Instant,
}

impl Once {
    /// Builds the machine of `host`, whose `incarnation` no earlier life of it has had.
    pub fn new(
        settings: Settings,
        host: HostId,
        incarnation: Incarnation,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            host,
            incarnation,
            rng: SmallRng::seed_from_u64(seed),
            peers: HashMap::new(),
            issuer: Issuer::default(),
            entries: SlotMap::with_key(),
            names: HashMap::new(),
            due: BTreeSet::new(),
            claims: HashMap::new(),
            seen: HashMap::new(),
            seen_due: VecDeque::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            dropped: Dropped::default(),
            running: 0,
            used: 0,
            effects: VecDeque::new(),
            now,
        }
    }

    /// Issues up to `count` keys that only this host runs.
    pub fn issue(&mut self, now: Instant, count: usize) -> Vec<IssuedKey> {
        self.tick(now);
        let count = count.min(self.settings.batch_max) as u64;
        let numbers = self.issuer.issue(now, count, &self.settings);
        let seed = self.settings.check_seed;
        numbers
            .map(|counter| IssuedKey::new(self.host.clone(), self.incarnation, counter, seed))
            .collect()
    }

    /// Decides on a request that a caller has sent to this host.
    pub fn begin(&mut self, now: Instant, request: &Request) -> Begin {
        self.tick(now);
        self.decide(now, request, None)
    }

    /// Ends the attempt that `permit` allowed.
    pub fn finish(&mut self, now: Instant, permit: Permit, outcome: Outcome) {
        let id = permit.spend();
        self.conclude(now, id, outcome);
        self.tick(now);
    }

    /// Takes in news of hosts, claims and waiting requests.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.tick(now);
        match input {
            Input::Host { host, incarnation } => match incarnation {
                Some(incarnation) => {
                    self.peers.insert(host, incarnation);
                }
                None => {
                    self.peers.remove(&host);
                }
            },
            Input::Claimed { claim, result } => self.claimed(now, claim, result),
            Input::Cancelled { ticket } => self.cancel(now, ticket),
        }
    }

    /// Forgets what has expired and notices dropped permits.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        for id in self.dropped.take() {
            let outcome = if self.settings.broken(Mutant::DropFrees) {
                Outcome::NotRun(Verdict::not_run(Reason::Unavailable, None))
            } else {
                Outcome::Unknown(Cause::Broken)
            };
            self.conclude(now, id, outcome);
        }
        self.issuer.expire(now);
        self.forget_seen(now);
        while let Some(&(at, id)) = self.due.first()
            && at <= now
        {
            self.forget(id);
        }
    }

    /// When `tick` has something to do, if no call comes before.
    pub fn next_wake(&self) -> Option<Instant> {
        let permits = (self.running > 0).then(|| self.now + self.settings.permit_check);
        let due = self.due.first().map(|&(at, _)| at);
        let seen = self.seen_due.front().map(|&(at, _)| at);
        [permits, due, seen, self.issuer.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// The next thing to do.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The memory that attempts and outcomes take, reservations included.
    pub fn used(&self) -> wagtail_types::Bytes {
        wagtail_types::Bytes(self.used as u64)
    }

    /// How many keys and relayed attempts are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
