//! The decision on a request that has come in.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::entry::{Entry, EntryId, Name, State};
use crate::issue::Standing;
use crate::settings::Mutant;
use crate::{Begin, ChosenKey, IssuedKey, Key, Once, Permit, Request};

impl Once {
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
            // Without a claim that is known to be made, another host may have run it.
            let repeat = request.repeat && matches!(next, State::Claiming { .. });
            return Begin::Refuse(blind(repeat, Reason::Overloaded, self.room_after(now)));
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
}

/// The verdict where the fate of earlier attempts cannot be learned.
pub(crate) fn blind(repeat: bool, reason: Reason, retry: Option<Duration>) -> Verdict {
    if repeat {
        Verdict::may_have_run(Cause::Unknown)
    } else {
        Verdict::not_run(reason, retry)
    }
}
