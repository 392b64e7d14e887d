//! Completes attempts and resolves the requests that wait for them.

use std::time::Instant;

use wagtail_types::{AttemptId, Cause, Reason, Verdict};

use crate::dedup::Waiter;
use crate::entry::{EntryId, EntryKey, State};
use crate::settings::Mutant;
use crate::{Deduplicator, Effect, Outcome, Resolution, Ticket};

impl Deduplicator {
    /// Records the outcome of an attempt and resolves the requests that wait for it.
    pub(crate) fn complete_attempt(&mut self, now: Instant, id: EntryId, outcome: Outcome) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        let unkeyed = matches!(entry.key, EntryKey::Unkeyed(_));
        self.running -= 1;
        let refusal = |cause| Resolution::Refuse(Verdict::may_have_run(cause));
        match outcome {
            Outcome::Answer(answer) => {
                let retained = !unkeyed && answer.size() <= self.settings.answer_max.as_usize();
                self.resolve_waiters(id, |_| Resolution::Answer(answer.clone()));
                self.store_outcome(
                    now,
                    id,
                    if retained {
                        State::Answered(answer)
                    } else {
                        State::Unknown
                    },
                );
            }
            Outcome::Unbuffered => {
                self.resolve_waiters(id, |_| refusal(Cause::Unknown));
                self.store_outcome(now, id, State::Unknown);
            }
            Outcome::NotRun(Verdict::MayHaveRun { cause }) | Outcome::Unknown(cause) => {
                self.resolve_waiters(id, |_| refusal(cause));
                let rerun = self.settings.has_mutant(Mutant::RerunUnknown) && !unkeyed;
                let state = if rerun {
                    State::NotRun { claim: None }
                } else {
                    State::Unknown
                };
                self.store_outcome(now, id, state);
            }
            Outcome::NotRun(verdict) => {
                self.resolve_waiters(id, |_| Resolution::Refuse(verdict.clone()));
                self.record_verdicts(id, &verdict);
                let state = if unkeyed {
                    State::Refused(verdict)
                } else {
                    State::NotRun { claim: None }
                };
                self.store_outcome(now, id, state);
            }
        }
    }

    /// Sets the state of an entry that is no longer in flight, and schedules its removal.
    pub(crate) fn store_outcome(&mut self, now: Instant, id: EntryId, state: State) {
        let size = if let State::Answered(answer) = &state {
            answer.size()
        } else {
            0
        };
        self.set_answer_bytes(id, size);
        let entry = &mut self.entries[id];
        entry.state = state;
        let retention = match entry.key {
            // An issued key must be remembered at least until its counter has expired, because it
            // could run again otherwise. Merging of batches delays the expiry of a counter past
            // `key_ttl`, but not to twice that time.
            EntryKey::Issued(_) => self.settings.outcome_ttl.max(self.settings.key_ttl * 2),
            EntryKey::Chosen { .. } => self.settings.outcome_ttl,
            EntryKey::Unkeyed(_) => self.settings.relay_ttl * 2,
        };
        self.set_expiry(id, Some(now + retention));
    }

    /// Resolves every request that waits for an entry.
    pub(crate) fn resolve_waiters(&mut self, id: EntryId, to: impl Fn(&Waiter) -> Resolution) {
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let to = to(&waiter);
            self.resolve_waiter(&waiter, to);
        }
    }

    pub(crate) fn resolve_waiter(&mut self, waiter: &Waiter, to: Resolution) {
        let ticket = waiter.ticket;
        self.tickets.remove(&ticket);
        self.effects.push_back(Effect::Resolve { ticket, to });
    }

    pub(crate) fn add_waiter(
        &mut self,
        id: EntryId,
        repeat: bool,
        attempt: Option<AttemptId>,
    ) -> Ticket {
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

    pub(crate) fn cancel(&mut self, now: Instant, ticket: Ticket) {
        if let Some(id) = self.tickets.remove(&ticket) {
            let entry = &mut self.entries[id];
            entry.waiters.retain(|waiter| waiter.ticket != ticket);
            return;
        }
        // The ticket may already be resolved by an effect that the host has not polled yet.
        let is_target =
            |effect: &Effect| matches!(effect, Effect::Resolve { ticket: t, .. } if *t == ticket);
        let Some(index) = self.effects.iter().position(is_target) else {
            return;
        };
        if let Some(Effect::Resolve {
            to: Resolution::Run(permit),
            ..
        }) = self.effects.remove(index)
        {
            let verdict = Verdict::not_run(Reason::Unavailable, None);
            self.complete_attempt(now, permit.into_entry(), Outcome::NotRun(verdict));
        }
    }
}
