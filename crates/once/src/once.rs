//! The machine: one per host.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::entry::{Entry, EntryId, Name, State};
use crate::issue::{Issuer, Standing};
use crate::permit::Dropped;
use crate::relay::Seen;
use crate::settings::Mutant;
use crate::{
    Answer, Begin, ChosenKey, ClaimResult, ClaimRow, IssuedKey, Key, Outcome, Permit, Request,
    Resolution, Settings, Ticket,
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
            Input::Cancelled { ticket } => self.cancel(ticket),
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

    pub(crate) fn decide(
        &mut self,
        now: Instant,
        request: &Request,
        attempt: Option<AttemptId>,
    ) -> Begin {
        match &request.key {
            Key::Issued(key) => self.begin_issued(now, request, key, attempt),
            Key::Chosen(key) => self.begin_chosen(now, request, key, attempt),
        }
    }

    /// The entry of a request, if it has one here.
    pub(crate) fn find(&self, request: &Request) -> Option<EntryId> {
        let name = match &request.key {
            Key::Issued(key) => Name::Issued(key.counter),
            Key::Chosen(key) => Name::Chosen {
                team: request.team.clone(),
                service: request.service.clone(),
                key: key.clone(),
            },
        };
        self.names.get(&name).copied()
    }

    fn begin_issued(
        &mut self,
        now: Instant,
        request: &Request,
        key: &IssuedKey,
        attempt: Option<AttemptId>,
    ) -> Begin {
        if !key.verify(self.settings.check_seed) {
            return Begin::Refuse(Verdict::not_run(Reason::KeyExpired, None));
        }
        let own = key.host == self.host && self.is_own_life(key.incarnation);
        if !own && !self.settings.broken(Mutant::RunElsewhere) {
            return if key.host != self.host && self.is_live(&key.host, key.incarnation) {
                Begin::Relay {
                    host: key.host.clone(),
                }
            } else {
                Begin::Refuse(self.gone(request.repeat))
            };
        }
        let name = Name::Issued(key.counter);
        if let Some(&id) = self.names.get(&name) {
            return self.again(now, id, request, attempt);
        }
        let refuse = |reason| Begin::Refuse(Verdict::not_run(reason, None));
        match self.issuer.standing(key.counter) {
            Standing::Fresh => self.admit(name, request, attempt, State::Running),
            _ if self.settings.broken(Mutant::ForgetExpired)
                || self.settings.broken(Mutant::RunElsewhere)
                || self.settings.broken(Mutant::OldIncarnation) =>
            {
                self.admit(name, request, attempt, State::Running)
            }
            Standing::Unissued | Standing::Expired => refuse(Reason::KeyExpired),
            Standing::Spent => Begin::Refuse(Verdict::may_have_run(Cause::Unknown)),
            Standing::Forgotten => Begin::Refuse(blind(request.repeat, Reason::KeyExpired, None)),
        }
    }

    fn begin_chosen(
        &mut self,
        now: Instant,
        request: &Request,
        key: &ChosenKey,
        attempt: Option<AttemptId>,
    ) -> Begin {
        let name = Name::Chosen {
            team: request.team.clone(),
            service: request.service.clone(),
            key: key.clone(),
        };
        if let Some(&id) = self.names.get(&name) {
            return self.again(now, id, request, attempt);
        }
        let claim = AttemptId::random(&mut self.rng);
        self.admit(name, request, attempt, State::Claiming { claim, tries: 0 })
    }

    /// Decides on a request whose key has an entry.
    fn again(
        &mut self,
        now: Instant,
        id: EntryId,
        request: &Request,
        attempt: Option<AttemptId>,
    ) -> Begin {
        let entry = &self.entries[id];
        if entry.print != request.print && !self.settings.broken(Mutant::AnyPrint) {
            return Begin::Refuse(Verdict::not_run(Reason::BadRequest, None));
        }
        let next = match &entry.state {
            State::Running if self.settings.broken(Mutant::NoWait) => {
                return Begin::Run(Permit::new(id, self.dropped.clone()));
            }
            State::Claiming { .. } | State::Running => {
                return Begin::Wait(self.wait(id, request.repeat, attempt));
            }
            State::Done(answer) => return Begin::Replay(answer.clone()),
            State::Unknown => return Begin::Refuse(Verdict::may_have_run(Cause::Unknown)),
            State::Refused(verdict) => return Begin::Refuse(verdict.clone()),
            State::Free { claim: None } => State::Running,
            State::Free { claim: Some(claim) } => State::Claiming {
                claim: *claim,
                tries: 0,
            },
        };
        if matches!(entry.name, Name::Issued(counter) if self.issuer.is_expired(counter)) {
            return Begin::Refuse(Verdict::not_run(Reason::KeyExpired, None));
        }
        if !self.has_room(self.settings.answer_max.as_usize()) {
            return Begin::Refuse(Verdict::not_run(Reason::Overloaded, self.room_after(now)));
        }
        self.start(id, next, request.repeat, attempt)
    }

    /// Makes an entry for a key that has none, where memory allows.
    fn admit(
        &mut self,
        name: Name,
        request: &Request,
        attempt: Option<AttemptId>,
        state: State,
    ) -> Begin {
        let need = Entry::BYTES + self.settings.answer_max.as_usize();
        if !self.has_room(need) && self.settings.broken(Mutant::ForgetAtBound) {
            self.evict_one();
        }
        if !self.has_room(need) {
            let repeat = request.repeat && matches!(name, Name::Chosen { .. });
            let retry = self.room_after(self.now);
            return Begin::Refuse(blind(repeat, Reason::Overloaded, retry));
        }
        let id = self.insert(name, request.print);
        self.start(id, state, request.repeat, attempt)
    }

    /// Puts an entry into an active state, with memory reserved for its answer.
    fn start(
        &mut self,
        id: EntryId,
        state: State,
        repeat: bool,
        attempt: Option<AttemptId>,
    ) -> Begin {
        self.recost(id, self.settings.answer_max.as_usize());
        self.set_due(id, None);
        let entry = &mut self.entries[id];
        entry.relayed.extend(attempt);
        if let State::Claiming { claim, .. } = state {
            entry.state = state;
            self.claims.insert(claim, id);
            let ticket = self.wait(id, repeat, attempt);
            self.push_claim(id, claim);
            Begin::Claiming(ticket)
        } else {
            entry.state = state;
            self.running += 1;
            Begin::Run(Permit::new(id, self.dropped.clone()))
        }
    }

    /// Records how an attempt ended, and answers those that waited for it.
    fn conclude(&mut self, now: Instant, id: EntryId, outcome: Outcome) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        let bare = matches!(entry.name, Name::Bare(_));
        self.running -= 1;
        let unknown = |cause| Resolution::Refuse(Verdict::may_have_run(cause));
        match outcome {
            Outcome::Answer(answer) => {
                let kept = !bare && answer.size() <= self.settings.answer_max.as_usize();
                self.resolve(id, |_| Resolution::Answer(answer.clone()));
                self.settle(
                    now,
                    id,
                    if kept {
                        State::Done(answer)
                    } else {
                        State::Unknown
                    },
                );
            }
            Outcome::Unkept => {
                self.resolve(id, |_| unknown(Cause::Unknown));
                self.settle(now, id, State::Unknown);
            }
            Outcome::NotRun(Verdict::MayHaveRun { cause }) | Outcome::Unknown(cause) => {
                self.resolve(id, |_| unknown(cause));
                let free = self.settings.broken(Mutant::RerunUnknown) && !bare;
                let state = if free {
                    State::Free { claim: None }
                } else {
                    State::Unknown
                };
                self.settle(now, id, state);
            }
            Outcome::NotRun(verdict) => {
                self.resolve(id, |_| Resolution::Refuse(verdict.clone()));
                self.refuse_relayed(id, &verdict);
                let state = if bare {
                    State::Refused(verdict)
                } else {
                    State::Free { claim: None }
                };
                self.settle(now, id, state);
            }
        }
    }

    /// Puts an entry to rest until it is forgotten.
    pub(crate) fn settle(&mut self, now: Instant, id: EntryId, state: State) {
        let size = if let State::Done(answer) = &state {
            answer.size()
        } else {
            0
        };
        self.recost(id, size);
        let entry = &mut self.entries[id];
        entry.state = state;
        let life = match entry.name {
            // An issued key is remembered at least until its number has expired.
            Name::Issued(_) => self.settings.keep.max(self.settings.key_life * 2),
            Name::Chosen { .. } => self.settings.keep,
            Name::Bare(_) => self.settings.relay_life * 2,
        };
        self.set_due(id, Some(now + life));
    }

    /// Answers all that wait in an entry.
    pub(crate) fn resolve(&mut self, id: EntryId, to: impl Fn(&Waiter) -> Resolution) {
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let to = to(&waiter);
            self.resolve_one(&waiter, to);
        }
    }

    pub(crate) fn resolve_one(&mut self, waiter: &Waiter, to: Resolution) {
        let ticket = waiter.ticket;
        self.tickets.remove(&ticket);
        self.effects.push_back(Effect::Resolve { ticket, to });
    }

    pub(crate) fn wait(&mut self, id: EntryId, repeat: bool, attempt: Option<AttemptId>) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(ticket, id);
        let entry = &mut self.entries[id];
        entry.waiters.push(Waiter {
            ticket,
            repeat,
            attempt,
        });
        ticket
    }

    fn cancel(&mut self, ticket: Ticket) {
        if let Some(id) = self.tickets.remove(&ticket) {
            let entry = &mut self.entries[id];
            entry.waiters.retain(|waiter| waiter.ticket != ticket);
        }
    }

    pub(crate) fn insert(&mut self, name: Name, print: crate::Fingerprint) -> EntryId {
        let id = self.entries.insert(Entry {
            name: name.clone(),
            print,
            state: State::Free { claim: None },
            waiters: Vec::new(),
            relayed: Vec::new(),
            cost: Entry::BYTES,
            due: None,
        });
        self.used += Entry::BYTES;
        self.names.insert(name, id);
        id
    }

    /// Drops an entry whose time is over.
    fn forget(&mut self, id: EntryId) {
        let Some(entry) = self.remove(id) else {
            return;
        };
        if let (Name::Issued(counter), State::Done(_) | State::Unknown) = (entry.name, entry.state)
        {
            self.issuer.spend(counter, self.settings.spent_max);
        }
    }

    /// Removes an entry that has no waiters left.
    pub(crate) fn remove(&mut self, id: EntryId) -> Option<Entry> {
        self.set_due(id, None);
        let entry = self.entries.remove(id)?;
        self.names.remove(&entry.name);
        if let State::Claiming { claim, .. } | State::Free { claim: Some(claim) } = entry.state {
            self.claims.remove(&claim);
        }
        self.used -= entry.cost;
        Some(entry)
    }

    fn set_due(&mut self, id: EntryId, at: Option<Instant>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut entry.due, at) {
            self.due.remove(&(old, id));
        }
        if let Some(at) = at {
            self.due.insert((at, id));
        }
    }

    /// Sets the memory that an entry takes for its answer.
    fn recost(&mut self, id: EntryId, size: usize) {
        let entry = &mut self.entries[id];
        self.used -= entry.cost;
        entry.cost = Entry::BYTES + size;
        self.used += entry.cost;
    }

    pub(crate) fn has_room(&self, need: usize) -> bool {
        self.used + need <= self.settings.memory.as_usize()
    }

    /// When the next outcome is forgotten.
    pub(crate) fn room_after(&self, now: Instant) -> Option<Duration> {
        let first = self.due.first()?;
        Some(first.0.saturating_duration_since(now))
    }

    fn evict_one(&mut self) {
        if let Some(&(_, id)) = self.due.first() {
            self.remove(id);
        }
    }

    fn is_own_life(&self, incarnation: Incarnation) -> bool {
        incarnation == self.incarnation || self.settings.broken(Mutant::OldIncarnation)
    }

    /// Whether that life of another host may still be there.
    pub(crate) fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.peers
            .get(host)
            .is_some_and(|known| *known <= incarnation)
    }

    /// The verdict where the issuer of a key is gone.
    fn gone(&self, repeat: bool) -> Verdict {
        if repeat && !self.settings.broken(Mutant::GoneIsNotRun) {
            Verdict::may_have_run(Cause::IssuerGone)
        } else {
            Verdict::not_run(Reason::KeyExpired, None)
        }
    }

    /// The answer of a key that is kept, for inspection.
    pub fn kept(&self, key: &IssuedKey) -> Option<&Answer> {
        let id = self.names.get(&Name::Issued(key.counter))?;
        match &self.entries[*id].state {
            State::Done(answer) => Some(answer),
            _ => None,
        }
    }
}

/// The verdict where the fate of earlier attempts cannot be learned.
pub(crate) fn blind(repeat: bool, reason: Reason, retry: Option<Duration>) -> Verdict {
    if repeat {
        Verdict::may_have_run(Cause::Unknown)
    } else {
        Verdict::not_run(reason, retry)
    }
}
