//! How attempts end and what waits for them goes on.

use std::time::Instant;

use wagtail_types::{AttemptId, Cause, Reason, Verdict};

use crate::entry::{EntryId, Name, State};
use crate::once::Waiter;
use crate::settings::Mutant;
use crate::{Effect, Once, Outcome, Resolution, Ticket};

impl Once {
    /// Records how an attempt ended, and answers those that waited for it.
    pub(crate) fn conclude(&mut self, now: Instant, id: EntryId, outcome: Outcome) {
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

    pub(crate) fn cancel(&mut self, now: Instant, ticket: Ticket) {
        if let Some(id) = self.tickets.remove(&ticket) {
            let entry = &mut self.entries[id];
            entry.waiters.retain(|waiter| waiter.ticket != ticket);
            return;
        }
        // It may have been resolved without the host having seen so.
        let mine =
            |effect: &Effect| matches!(effect, Effect::Resolve { ticket: t, .. } if *t == ticket);
        let Some(at) = self.effects.iter().position(mine) else {
            return;
        };
        if let Some(Effect::Resolve {
            to: Resolution::Run(permit),
            ..
        }) = self.effects.remove(at)
        {
            let verdict = Verdict::not_run(Reason::Unavailable, None);
            self.conclude(now, permit.spend(), Outcome::NotRun(verdict));
        }
    }
}
