//! Requests that one host relays to another, on the receiving and on the sending side.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::begin::unresolved_verdict;
use crate::entry::{Entry, EntryId, EntryKey, State};
use crate::settings::Mutant;
use crate::{Decision, Deduplicator, Fingerprint, Permit, Request};

/// Records a relayed attempt, so that a repeated message runs nothing again.
#[derive(Debug)]
pub(crate) struct RelayRecord {
    entry: Option<EntryId>,
    /// The refusal that every further copy of the message gets.
    verdict: Option<Verdict>,
}

impl Deduplicator {
    /// Decides on a request that another host has relayed to incarnation `to` of this host.
    ///
    /// A repeated message of the same `attempt` runs nothing again.
    pub fn receive(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        to: Incarnation,
        request: &Request,
    ) -> Decision {
        self.tick(now);
        if let Some(refusal) = self.check_incarnation(to) {
            return refusal;
        }
        if let Some(decision) = self.decide_repeated(attempt, request.repeat) {
            return decision;
        }
        if !self.has_record_room() {
            // Without a record, a later copy of this message would look like the first one, so it
            // must not be answered `not-run`.
            return Decision::Refuse(Verdict::may_have_run(Cause::RelayLost));
        }
        let decision = match self.decide(now, request, Some(attempt)) {
            // A relayed request is never relayed again.
            Decision::Relay { .. } => Decision::Refuse(self.wrong_host_verdict(request.repeat)),
            decision => decision,
        };
        self.record_relay(now, attempt, &decision, request);
        decision
    }

    /// Decides on a relayed request that has no idempotency key.
    ///
    /// Suppresses repeated messages of the same `attempt`.
    pub fn receive_unkeyed(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        to: Incarnation,
    ) -> Decision {
        self.tick(now);
        if let Some(refusal) = self.check_incarnation(to) {
            return refusal;
        }
        if let Some(RelayRecord {
            verdict: Some(verdict),
            ..
        }) = self.relay_records.get(&attempt)
        {
            return Decision::Refuse(verdict.clone());
        }
        let entry_key = EntryKey::Unkeyed(attempt);
        if let Some(&id) = self.entry_ids.get(&entry_key) {
            return match &self.entries[id].state {
                _ if self.settings.has_mutant(Mutant::RerunRelay) => {
                    Decision::Run(Permit::new(id, self.dropped.clone()))
                }
                State::Refused(verdict) => Decision::Refuse(verdict.clone()),
                State::Running => Decision::Wait(self.add_waiter(id, true, None)),
                _ => Decision::Refuse(Verdict::may_have_run(Cause::Unknown)),
            };
        }
        if !self.has_room(Entry::OVERHEAD_BYTES) {
            if !self.has_record_room() {
                return Decision::Refuse(Verdict::may_have_run(Cause::RelayLost));
            }
            let verdict = Verdict::not_run(Reason::Overloaded, self.time_to_expiry(now));
            self.insert_record(now, attempt, None, Some(verdict.clone()));
            return Decision::Refuse(verdict);
        }
        let id = self.insert_entry(entry_key, Fingerprint(0));
        self.entries[id].state = State::Running;
        self.running += 1;
        Decision::Run(Permit::new(id, self.dropped.clone()))
    }

    /// Refuses a message for another incarnation: an earlier copy may have reached that one.
    fn check_incarnation(&self, to: Incarnation) -> Option<Decision> {
        let is_other = to != self.incarnation && !self.settings.has_mutant(Mutant::AnyIncarnation);
        is_other.then(|| Decision::Refuse(Verdict::may_have_run(Cause::RelayLost)))
    }

    /// Decides on a message whose attempt is already recorded.
    fn decide_repeated(&mut self, attempt: AttemptId, repeat: bool) -> Option<Decision> {
        if self.settings.has_mutant(Mutant::RerunRelay) {
            return None;
        }
        let record = self.relay_records.get(&attempt)?;
        if let Some(verdict) = &record.verdict {
            return Some(Decision::Refuse(verdict.clone()));
        }
        let id = record.entry.filter(|id| self.entries.contains_key(*id));
        let unknown = Decision::Refuse(Verdict::may_have_run(Cause::Unknown));
        let Some(id) = id else {
            return Some(unknown);
        };
        Some(match &self.entries[id].state {
            State::Answered(answer) => Decision::Replay(answer.clone()),
            State::Claiming { .. } | State::Running => {
                Decision::Wait(self.add_waiter(id, repeat, Some(attempt)))
            }
            _ => unknown,
        })
    }

    fn record_relay(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        decision: &Decision,
        request: &Request,
    ) {
        let verdict = match decision {
            Decision::Refuse(verdict) => Some(verdict.clone()),
            _ => None,
        };
        let entry = self.find_entry(request).filter(|_| verdict.is_none());
        if let Some(id) = entry.filter(|_| matches!(decision, Decision::Wait(_))) {
            self.entries[id].relayed.push(attempt);
        }
        self.insert_record(now, attempt, entry, verdict);
    }

    fn insert_record(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        entry: Option<EntryId>,
        verdict: Option<Verdict>,
    ) {
        self.relay_records
            .insert(attempt, RelayRecord { entry, verdict });
        self.used_bytes += Self::RELAY_RECORD_BYTES;
        // The sender resends a message for up to one `relay_ttl`, and each copy is in flight for up
        // to one more.
        let expires = now + self.settings.relay_ttl * 2;
        self.relay_expiries.push_back((expires, attempt));
    }

    fn has_record_room(&self) -> bool {
        self.used_bytes + Self::RELAY_RECORD_BYTES <= self.settings.memory.as_usize()
    }

    /// Estimated memory of one relay record.
    const RELAY_RECORD_BYTES: usize = 192;

    pub(crate) fn expire_relays(&mut self, now: Instant) {
        while let Some(&(at, attempt)) = self.relay_expiries.front()
            && at <= now
        {
            self.relay_expiries.pop_front();
            if self.relay_records.remove(&attempt).is_some() {
                self.used_bytes -= Self::RELAY_RECORD_BYTES;
            }
        }
    }

    /// Records the final refusal of a relayed attempt.
    pub(crate) fn record_verdict(&mut self, attempt: AttemptId, verdict: &Verdict) {
        if let Some(record) = self.relay_records.get_mut(&attempt) {
            record.verdict = Some(verdict.clone());
        }
    }

    /// Records the final refusal of every relayed attempt of an entry.
    pub(crate) fn record_verdicts(&mut self, id: EntryId, verdict: &Verdict) {
        for attempt in std::mem::take(&mut self.entries[id].relayed) {
            self.record_verdict(attempt, verdict);
        }
    }

    fn wrong_host_verdict(&self, repeat: bool) -> Verdict {
        unresolved_verdict(repeat, Reason::Unavailable, Some(self.settings.retry_after))
    }
}

/// Tells whether an answer is the first one to a relayed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The first answer to the attempt: pass it on.
    First,
    /// The attempt has already ended: drop the answer.
    Late,
}

/// Tracks the attempts that this host has relayed to other hosts and that are still unanswered.
#[derive(Debug)]
pub struct PendingRelays {
    rng: SmallRng,
    relay_ttl: Duration,
    pending: HashMap<AttemptId, PendingRelay>,
}

#[derive(Debug)]
struct PendingRelay {
    host: HostId,
    incarnation: Incarnation,
    started: Instant,
    repeat: bool,
    /// Copies of the message that may have left this host.
    copies: u32,
}

impl PendingRelays {
    /// Creates an empty set in which a message may be resent for at most `relay_ttl`.
    pub fn new(relay_ttl: Duration, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            relay_ttl,
            pending: HashMap::new(),
        }
    }

    /// Registers an attempt relayed to this incarnation of `host`; `repeat` is as in
    /// [`Request::repeat`].
    ///
    /// Learn the incarnation when the connection is made: a message that reaches another
    /// incarnation is answered `may-have-run`.
    pub fn open(
        &mut self,
        now: Instant,
        host: HostId,
        incarnation: Incarnation,
        repeat: bool,
    ) -> AttemptId {
        let attempt = AttemptId::random(&mut self.rng);
        let relay = PendingRelay {
            host,
            incarnation,
            started: now,
            repeat,
            copies: 0,
        };
        self.pending.insert(attempt, relay);
        attempt
    }

    /// Counts one more copy of the message and returns its destination.
    ///
    /// Call it before sending each copy. `None` means that the attempt has ended or that the
    /// message may no longer be resent.
    pub fn begin_send(
        &mut self,
        now: Instant,
        attempt: AttemptId,
    ) -> Option<(&HostId, Incarnation)> {
        let relay = self.pending.get_mut(&attempt)?;
        if now.saturating_duration_since(relay.started) >= self.relay_ttl {
            return None;
        }
        relay.copies += 1;
        Some((&relay.host, relay.incarnation))
    }

    /// Takes back the count of the latest copy, which failed before any byte of it was sent.
    pub fn cancel_send(&mut self, attempt: AttemptId) {
        if let Some(relay) = self.pending.get_mut(&attempt) {
            relay.copies = relay.copies.saturating_sub(1);
        }
    }

    /// Ends an attempt for which an answer or a verdict of the other host has arrived.
    pub fn answered(&mut self, attempt: AttemptId) -> ReplyStatus {
        match self.pending.remove(&attempt) {
            Some(_) => ReplyStatus::First,
            None => ReplyStatus::Late,
        }
    }

    /// Ends an attempt that gets no answer and returns its verdict, or `None` if it has already
    /// ended.
    pub fn give_up(&mut self, attempt: AttemptId) -> Option<Verdict> {
        let relay = self.pending.remove(&attempt)?;
        Some(if relay.copies > 0 {
            Verdict::may_have_run(Cause::RelayLost)
        } else {
            unresolved_verdict(relay.repeat, Reason::ConnectFailed, None)
        })
    }
}
