//! Requests that one host relays to another.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::begin::blind;
use crate::entry::{Entry, EntryId, Name, State};
use crate::settings::Mutant;
use crate::{Begin, Fingerprint, Once, Permit, Request};

/// What came of a relayed attempt.
#[derive(Debug)]
pub(crate) struct Seen {
    entry: Option<EntryId>,
    verdict: Option<Verdict>,
}

impl Once {
    /// Decides on a request that another host has relayed to the life `to` of this host; a repeated
    /// message runs nothing again.
    pub fn receive(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        to: Incarnation,
        request: &Request,
    ) -> Begin {
        self.tick(now);
        if let Some(refusal) = self.misaddressed(to) {
            return refusal;
        }
        if let Some(begin) = self.repeated(attempt, request.repeat) {
            return begin;
        }
        if !self.has_note_room() {
            // A later copy of a refused message could not be told from a first one.
            return Begin::Refuse(Verdict::may_have_run(Cause::RelayLost));
        }
        let begin = match self.decide(now, request, Some(attempt)) {
            // A relayed request goes no further.
            Begin::Relay { .. } => Begin::Refuse(self.misdirected(request.repeat)),
            begin => begin,
        };
        self.note_seen(now, attempt, &begin, request);
        begin
    }

    /// Decides on a relayed request that has no idempotency key.
    pub fn receive_bare(&mut self, now: Instant, attempt: AttemptId, to: Incarnation) -> Begin {
        self.tick(now);
        if let Some(refusal) = self.misaddressed(to) {
            return refusal;
        }
        if let Some(Seen {
            verdict: Some(verdict),
            ..
        }) = self.seen.get(&attempt)
        {
            return Begin::Refuse(verdict.clone());
        }
        let name = Name::Bare(attempt);
        if let Some(&id) = self.names.get(&name) {
            return match &self.entries[id].state {
                _ if self.settings.broken(Mutant::ForgetRelay) => {
                    Begin::Run(Permit::new(id, self.dropped.clone()))
                }
                State::Refused(verdict) => Begin::Refuse(verdict.clone()),
                State::Running => Begin::Wait(self.wait(id, true, None)),
                _ => Begin::Refuse(Verdict::may_have_run(Cause::Unknown)),
            };
        }
        if !self.has_room(Entry::BYTES) {
            if !self.has_note_room() {
                return Begin::Refuse(Verdict::may_have_run(Cause::RelayLost));
            }
            let verdict = Verdict::not_run(Reason::Overloaded, self.room_after(now));
            self.note(now, attempt, None, Some(verdict.clone()));
            return Begin::Refuse(verdict);
        }
        let id = self.insert(name, Fingerprint(0));
        self.entries[id].state = State::Running;
        self.running += 1;
        Begin::Run(Permit::new(id, self.dropped.clone()))
    }

    /// An earlier copy of a message for another life may have reached that life.
    fn misaddressed(&self, to: Incarnation) -> Option<Begin> {
        let other = to != self.incarnation && !self.settings.broken(Mutant::AnyLife);
        other.then(|| Begin::Refuse(Verdict::may_have_run(Cause::RelayLost)))
    }

    /// What a message gets whose attempt has been seen before.
    fn repeated(&mut self, attempt: AttemptId, repeat: bool) -> Option<Begin> {
        if self.settings.broken(Mutant::ForgetRelay) {
            return None;
        }
        let seen = self.seen.get(&attempt)?;
        if let Some(verdict) = &seen.verdict {
            return Some(Begin::Refuse(verdict.clone()));
        }
        let id = seen.entry.filter(|id| self.entries.contains_key(*id));
        let unknown = Begin::Refuse(Verdict::may_have_run(Cause::Unknown));
        let Some(id) = id else {
            return Some(unknown);
        };
        Some(match &self.entries[id].state {
            State::Done(answer) => Begin::Replay(answer.clone()),
            State::Claiming { .. } | State::Running => {
                Begin::Wait(self.wait(id, repeat, Some(attempt)))
            }
            _ => unknown,
        })
    }

    fn note_seen(&mut self, now: Instant, attempt: AttemptId, begin: &Begin, request: &Request) {
        let verdict = match begin {
            Begin::Refuse(verdict) => Some(verdict.clone()),
            _ => None,
        };
        let entry = self.find(request).filter(|_| verdict.is_none());
        if let Some(id) = entry.filter(|_| matches!(begin, Begin::Wait(_))) {
            self.entries[id].relayed.push(attempt);
        }
        self.note(now, attempt, entry, verdict);
    }

    fn note(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        entry: Option<EntryId>,
        verdict: Option<Verdict>,
    ) {
        self.seen.insert(attempt, Seen { entry, verdict });
        self.used += Self::SEEN_BYTES;
        // The sender repeats a message for one relay life, and each copy is under way for one more.
        let until = now + self.settings.relay_life * 2;
        self.seen_due.push_back((until, attempt));
    }

    fn has_note_room(&self) -> bool {
        self.used + Self::SEEN_BYTES <= self.settings.memory.as_usize()
    }

    const SEEN_BYTES: usize = 192;

    pub(crate) fn forget_seen(&mut self, now: Instant) {
        while let Some(&(at, attempt)) = self.seen_due.front()
            && at <= now
        {
            self.seen_due.pop_front();
            if self.seen.remove(&attempt).is_some() {
                self.used -= Self::SEEN_BYTES;
            }
        }
    }

    /// Notes that a relayed attempt has been refused for good.
    pub(crate) fn note_verdict(&mut self, attempt: AttemptId, verdict: &Verdict) {
        if let Some(seen) = self.seen.get_mut(&attempt) {
            seen.verdict = Some(verdict.clone());
        }
    }

    /// Notes for every relayed attempt of an entry that it has been refused for good.
    pub(crate) fn refuse_relayed(&mut self, id: EntryId, verdict: &Verdict) {
        for attempt in std::mem::take(&mut self.entries[id].relayed) {
            self.note_verdict(attempt, verdict);
        }
    }

    fn misdirected(&self, repeat: bool) -> Verdict {
        blind(repeat, Reason::Unavailable, Some(self.settings.claim_retry))
    }
}

/// What came back for a relayed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The first answer to the attempt: pass it on.
    First,
    /// The attempt has ended before: drop the answer.
    Late,
}

/// The attempts that this host has relayed to others and that are not answered yet.
#[derive(Debug)]
pub struct Relays {
    rng: SmallRng,
    life: Duration,
    open: HashMap<AttemptId, Open>,
}

#[derive(Debug)]
struct Open {
    host: HostId,
    life: Incarnation,
    started: Instant,
    repeat: bool,
    copies: u32,
}

impl Relays {
    /// Builds an empty set; a message is repeated for `relay_life` at most.
    pub fn new(relay_life: Duration, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            life: relay_life,
            open: HashMap::new(),
        }
    }

    /// Opens an attempt at that life of `host`; `repeat` is as in [`Request::repeat`].
    ///
    /// The life is best learned when the connection is made: a message that reaches another life
    /// is answered `may-have-run`.
    pub fn open(
        &mut self,
        now: Instant,
        host: HostId,
        life: Incarnation,
        repeat: bool,
    ) -> AttemptId {
        let attempt = AttemptId::random(&mut self.rng);
        let open = Open {
            host,
            life,
            started: now,
            repeat,
            copies: 0,
        };
        self.open.insert(attempt, open);
        attempt
    }

    /// Whether the message may be sent now, and to which life of which host; call it before every copy.
    pub fn send(&mut self, now: Instant, attempt: AttemptId) -> Option<(&HostId, Incarnation)> {
        let open = self.open.get_mut(&attempt)?;
        if now.saturating_duration_since(open.started) >= self.life {
            return None;
        }
        open.copies += 1;
        Some((&open.host, open.life))
    }

    /// Notes that the latest copy failed before any byte of it left.
    pub fn unsent(&mut self, attempt: AttemptId) {
        if let Some(open) = self.open.get_mut(&attempt) {
            open.copies = open.copies.saturating_sub(1);
        }
    }

    /// Takes in an answer, or the verdict of the other host.
    pub fn answered(&mut self, attempt: AttemptId) -> Reply {
        match self.open.remove(&attempt) {
            Some(_) => Reply::First,
            None => Reply::Late,
        }
    }

    /// Ends an attempt that gets no answer; `None` where it has ended before.
    pub fn lost(&mut self, attempt: AttemptId) -> Option<Verdict> {
        let open = self.open.remove(&attempt)?;
        Some(if open.copies > 0 {
            Verdict::may_have_run(Cause::RelayLost)
        } else {
            blind(open.repeat, Reason::ConnectFailed, None)
        })
    }
}
