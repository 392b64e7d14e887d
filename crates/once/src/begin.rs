//! Decides on requests that this host receives.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, Verdict};

use crate::entry::{Entry, EntryId, EntryKey, State};
use crate::issue::KeyStatus;
use crate::key::Origin;
use crate::settings::Mutant;
use crate::{ChosenKey, Decision, Deduplicator, IssuedKey, Key, Permit, Request};

impl Deduplicator {
    pub(crate) fn decide(
        &mut self,
        now: Instant,
        request: &Request,
        attempt: Option<AttemptId>,
    ) -> Decision {
        match &request.key {
            Key::Issued(key) => self.begin_issued(now, request, key, attempt),
            Key::Chosen(key) => self.begin_chosen(now, request, key, attempt),
        }
    }

    /// Returns the entry of a request's key, if there is one.
    pub(crate) fn find_entry(&self, request: &Request) -> Option<EntryId> {
        let entry_key = match &request.key {
            Key::Issued(key) => EntryKey::Issued(key.counter),
            Key::Chosen(key) => EntryKey::Chosen {
                team: request.team.clone(),
                service: request.service.clone(),
                key: key.clone(),
            },
        };
        self.entry_ids.get(&entry_key).copied()
    }

    fn begin_issued(
        &mut self,
        now: Instant,
        request: &Request,
        key: &IssuedKey,
        attempt: Option<AttemptId>,
    ) -> Decision {
        let is_own = key.host == self.host && self.is_own_incarnation(key.incarnation);
        match key.origin(self.settings.checksum_seed) {
            Origin::Fleet => {}
            // An own key without a tag was issued by an incarnation with an earlier build.
            Origin::Untagged if !is_own => {}
            Origin::Elsewhere if !is_own => {
                return Decision::Refuse(self.issuer_gone_verdict(request.repeat));
            }
            // This incarnation has never issued it, so that nothing has run under it.
            Origin::Untagged | Origin::Elsewhere | Origin::Nowhere => {
                return Decision::Refuse(Verdict::not_run(Reason::KeyExpired, None));
            }
        }
        if !is_own && !self.settings.has_mutant(Mutant::RunForeignKeys) {
            return if key.host != self.host && self.may_be_alive(&key.host, key.incarnation) {
                Decision::Relay {
                    host: key.host.clone(),
                }
            } else {
                Decision::Refuse(self.issuer_gone_verdict(request.repeat))
            };
        }
        let entry_key = EntryKey::Issued(key.counter);
        if let Some(&id) = self.entry_ids.get(&entry_key) {
            return self.decide_existing(now, id, request, attempt);
        }
        let refuse = |reason| Decision::Refuse(Verdict::not_run(reason, None));
        match self.issuer.status(key.counter) {
            KeyStatus::Unused => self.admit(entry_key, request, attempt, State::Running),
            _ if self.settings.has_mutant(Mutant::RerunExpired)
                || self.settings.has_mutant(Mutant::RunForeignKeys)
                || self.settings.has_mutant(Mutant::RunOldIncarnation) =>
            {
                self.admit(entry_key, request, attempt, State::Running)
            }
            KeyStatus::Unissued | KeyStatus::Expired => refuse(Reason::KeyExpired),
            KeyStatus::Executed => Decision::Refuse(Verdict::may_have_run(Cause::Unknown)),
            KeyStatus::Forgotten => {
                Decision::Refuse(unresolved_verdict(request.repeat, Reason::KeyExpired, None))
            }
        }
    }

    fn begin_chosen(
        &mut self,
        now: Instant,
        request: &Request,
        key: &ChosenKey,
        attempt: Option<AttemptId>,
    ) -> Decision {
        let entry_key = EntryKey::Chosen {
            team: request.team.clone(),
            service: request.service.clone(),
            key: key.clone(),
        };
        if let Some(&id) = self.entry_ids.get(&entry_key) {
            return self.decide_existing(now, id, request, attempt);
        }
        let claim = AttemptId::random(&mut self.rng);
        self.admit(
            entry_key,
            request,
            attempt,
            State::Claiming { claim, retries: 0 },
        )
    }

    /// Decides on a request whose key has an entry.
    fn decide_existing(
        &mut self,
        now: Instant,
        id: EntryId,
        request: &Request,
        attempt: Option<AttemptId>,
    ) -> Decision {
        let entry = &self.entries[id];
        if entry.fingerprint != request.fingerprint
            && !self.settings.has_mutant(Mutant::IgnoreFingerprint)
        {
            return Decision::Refuse(Verdict::not_run(Reason::BadRequest, None));
        }
        let next = match &entry.state {
            State::Running if self.settings.has_mutant(Mutant::RunDuplicates) => {
                return Decision::Run(Permit::new(id, self.dropped.clone()));
            }
            State::Claiming { .. } | State::Running => {
                return Decision::Wait(self.add_waiter(id, request.repeat, attempt));
            }
            State::Answered(answer) => return Decision::Replay(answer.clone()),
            State::Unknown => return Decision::Refuse(Verdict::may_have_run(Cause::Unknown)),
            State::Refused(verdict) => return Decision::Refuse(verdict.clone()),
            State::NotRun { claim: None } => State::Running,
            State::NotRun { claim: Some(claim) } => State::Claiming {
                claim: *claim,
                retries: 0,
            },
        };
        if matches!(entry.key, EntryKey::Issued(counter) if self.issuer.is_expired(counter)) {
            return Decision::Refuse(Verdict::not_run(Reason::KeyExpired, None));
        }
        if !self.has_room(self.settings.answer_max.as_usize()) {
            // Unless the claim is confirmed, another host may have run the request.
            let repeat = request.repeat && matches!(next, State::Claiming { .. });
            return Decision::Refuse(unresolved_verdict(
                repeat,
                Reason::Overloaded,
                self.time_to_expiry(now),
            ));
        }
        self.activate(id, next, request.repeat, attempt)
    }

    /// Creates an entry for a key that has none, if there is memory for it.
    fn admit(
        &mut self,
        entry_key: EntryKey,
        request: &Request,
        attempt: Option<AttemptId>,
        state: State,
    ) -> Decision {
        let bytes = Entry::OVERHEAD_BYTES + self.settings.answer_max.as_usize();
        if !self.has_room(bytes) && self.settings.has_mutant(Mutant::EvictOutcomes) {
            self.evict_entry();
        }
        if !self.has_room(bytes) {
            let repeat = request.repeat && matches!(entry_key, EntryKey::Chosen { .. });
            let retry_after = self.time_to_expiry(self.now);
            return Decision::Refuse(unresolved_verdict(repeat, Reason::Overloaded, retry_after));
        }
        let id = self.insert_entry(entry_key, request.fingerprint);
        self.activate(id, state, request.repeat, attempt)
    }

    /// Starts a claim or an attempt and reserves memory for the largest answer.
    fn activate(
        &mut self,
        id: EntryId,
        state: State,
        repeat: bool,
        attempt: Option<AttemptId>,
    ) -> Decision {
        self.set_answer_bytes(id, self.settings.answer_max.as_usize());
        self.set_expiry(id, None);
        let entry = &mut self.entries[id];
        entry.relayed.extend(attempt);
        if let State::Claiming { claim, .. } = state {
            entry.state = state;
            self.claims.insert(claim, id);
            let ticket = self.add_waiter(id, repeat, attempt);
            self.push_claim(id, claim);
            Decision::Claiming(ticket)
        } else {
            entry.state = state;
            self.running += 1;
            Decision::Run(Permit::new(id, self.dropped.clone()))
        }
    }

    fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        incarnation == self.incarnation || self.settings.has_mutant(Mutant::RunOldIncarnation)
    }

    /// Returns whether this incarnation of another host may still be alive.
    ///
    /// Membership can lag behind a host that has just restarted, so a newer incarnation than the known
    /// one counts as alive.
    pub(crate) fn may_be_alive(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.peers
            .get(host)
            .is_some_and(|known| *known <= incarnation)
    }

    /// Returns the verdict for a key whose issuer is gone.
    fn issuer_gone_verdict(&self, repeat: bool) -> Verdict {
        if repeat && !self.settings.has_mutant(Mutant::LostHostNotRun) {
            Verdict::may_have_run(Cause::IssuerGone)
        } else {
            Verdict::not_run(Reason::KeyExpired, None)
        }
    }
}

/// Returns the verdict if the outcome of earlier attempts cannot be determined.
pub(crate) fn unresolved_verdict(
    repeat: bool,
    reason: Reason,
    retry_after: Option<Duration>,
) -> Verdict {
    if repeat {
        Verdict::may_have_run(Cause::Unknown)
    } else {
        Verdict::not_run(reason, retry_after)
    }
}
