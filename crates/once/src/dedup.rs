//! The state machine of duplicate suppression, one per host.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::entry::{Entry, EntryId, EntryKey};
use crate::issue::Issuer;
use crate::permit::DroppedPermits;
use crate::relay::RelayRecord;
use crate::settings::Mutant;
use crate::{
    ClaimResult, ClaimRow, Decision, IssuedKey, Outcome, Permit, Request, Resolution, Settings,
    Ticket,
};

/// An event passed to [`Deduplicator::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Membership has news of another host.
    Host {
        /// The host whose incarnation is reported; the report replaces any earlier one.
        host: HostId,
        /// Its current incarnation, or `None` if it is dead or no longer listed.
        incarnation: Option<Incarnation>,
    },
    /// A call to the table service about a claim has returned or failed.
    Claimed {
        /// The claim, as in the effect that requested the call.
        claim: AttemptId,
        /// The result of the call.
        result: ClaimResult,
    },
    /// The caller of a waiting request has gone away.
    Cancelled {
        /// The ticket of the waiting request.
        ticket: Ticket,
    },
}

/// An action that the host must carry out, returned by [`Deduplicator::poll_effect`].
#[derive(Debug)]
pub enum Effect {
    /// Insert the row unless a row with its key exists.
    ///
    /// The same `claim` may be written several times.
    Claim {
        /// Identifies the claim in the result and in the row.
        claim: AttemptId,
        /// The row to insert.
        row: ClaimRow,
    },
    /// Read the row with this key to find out whether a claim was applied.
    ReadClaim {
        /// Identifies the claim in the result.
        claim: AttemptId,
        /// The row that the claim tried to insert.
        row: ClaimRow,
    },
    /// Continue a waiting request.
    Resolve {
        /// The ticket of the waiting request.
        ticket: Ticket,
        /// The decision on it.
        to: Resolution,
    },
}

/// A request that waits for the outcome of an entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) repeat: bool,
    /// The attempt by which another host relayed the request.
    pub(crate) attempt: Option<AttemptId>,
}

/// Suppresses duplicates of keyed requests and of relay messages for one incarnation of one host.
#[derive(Debug)]
pub struct Deduplicator {
    pub(crate) settings: Settings,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// Generates claim ids.
    pub(crate) rng: SmallRng,
    /// The current incarnations of other hosts.
    pub(crate) peers: HashMap<HostId, Incarnation>,
    pub(crate) issuer: Issuer,
    pub(crate) entries: SlotMap<EntryId, Entry>,
    pub(crate) entry_ids: HashMap<EntryKey, EntryId>,
    pub(crate) expiries: BTreeSet<(Instant, EntryId)>,
    /// The entries of claims that are in flight or abandoned.
    pub(crate) claims: HashMap<AttemptId, EntryId>,
    pub(crate) relay_records: HashMap<AttemptId, RelayRecord>,
    pub(crate) relay_expiries: VecDeque<(Instant, AttemptId)>,
    pub(crate) tickets: HashMap<Ticket, EntryId>,
    pub(crate) next_ticket: u64,
    pub(crate) dropped: DroppedPermits,
    /// Permits granted and not returned.
    pub(crate) running: usize,
    pub(crate) used_bytes: usize,
    pub(crate) effects: VecDeque<Effect>,
    /// The latest time passed to [`Deduplicator::tick`].
    pub(crate) now: Instant,
}

impl Deduplicator {
    /// Creates the state machine of `host`; `incarnation` must be new for this host.
    ///
    /// `seed` seeds the generator of claim ids.
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
            entry_ids: HashMap::new(),
            expiries: BTreeSet::new(),
            claims: HashMap::new(),
            relay_records: HashMap::new(),
            relay_expiries: VecDeque::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            dropped: DroppedPermits::default(),
            running: 0,
            used_bytes: 0,
            effects: VecDeque::new(),
            now,
        }
    }

    /// Issues up to `count` keys, but at most [`Settings::batch_max`]; only this host runs them.
    pub fn issue(&mut self, now: Instant, count: usize) -> Vec<IssuedKey> {
        self.tick(now);
        let count = count.min(self.settings.batch_max) as u64;
        let counters = self.issuer.issue(now, count, &self.settings);
        let seed = self.settings.checksum_seed;
        counters
            .map(|counter| IssuedKey::new(self.host.clone(), self.incarnation, counter, seed))
            .collect()
    }

    /// Decides on a request that this host has received from a caller.
    pub fn begin(&mut self, now: Instant, request: &Request) -> Decision {
        self.tick(now);
        self.decide(now, request, None)
    }

    /// Records the outcome of the attempt that `permit` allowed.
    pub fn finish(&mut self, now: Instant, permit: Permit, outcome: Outcome) {
        let id = permit.into_entry();
        self.complete_attempt(now, id, outcome);
        self.tick(now);
    }

    /// Processes an event.
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
            Input::Claimed { claim, result } => self.handle_claim_result(now, claim, result),
            Input::Cancelled { ticket } => self.cancel(now, ticket),
        }
    }

    /// Removes expired entries and records dropped permits as unknown outcomes.
    ///
    /// Call it at [`Deduplicator::next_wake`] at the latest.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        for id in self.dropped.take() {
            let outcome = if self.settings.has_mutant(Mutant::RerunDropped) {
                Outcome::NotRun(Verdict::not_run(Reason::Unavailable, None))
            } else {
                Outcome::Unknown(Cause::Broken)
            };
            self.complete_attempt(now, id, outcome);
        }
        self.issuer.expire(now);
        self.expire_relays(now);
        while let Some(&(at, id)) = self.expiries.first()
            && at <= now
        {
            self.expire_entry(id);
        }
    }

    /// Returns when [`Deduplicator::tick`] must be called, if no other call comes first.
    pub fn next_wake(&self) -> Option<Instant> {
        let permits = (self.running > 0).then(|| self.now + self.settings.permit_interval);
        let expiry = self.expiries.first().map(|&(at, _)| at);
        let relays = self.relay_expiries.front().map(|&(at, _)| at);
        [permits, expiry, relays, self.issuer.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the next action to carry out.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns the memory charged for attempts, outcomes and relay records, including reservations.
    pub fn used(&self) -> wagtail_types::Bytes {
        wagtail_types::Bytes(self.used_bytes as u64)
    }

    /// Returns the number of entries in the duplicate table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the duplicate table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
