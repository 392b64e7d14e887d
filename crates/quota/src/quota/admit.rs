//! Admission of new and waiting requests.

use std::time::{Duration, Instant};

use wagtail_types::{TeamId, Tokens};

use super::{Admission, Effect, Phase, Quota, Resolution, Team, Ticket, Waiter};

/// Retry time, and its upper bound, for refusals whose wait cannot be computed.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
const MAX_WAITING: usize = 1024;

impl Quota {
    /// Admits or refuses one request, or requests a loan for it from peers.
    ///
    /// A waiting request is answered by an [`Effect::Resolve`] before `deadline`.
    pub fn admit(&mut self, now: Instant, id: &TeamId, deadline: Instant) -> Admission {
        self.expire(now);
        self.serve(now, id);
        let released = self.phase == Phase::Released;
        let Some(team) = self.teams.get_mut(id).filter(|_| !released) else {
            self.counters.refused += 1;
            return Admission::Refused {
                retry: DEFAULT_RETRY,
            };
        };
        team.bucket.demand.record(now);
        if team.waiting.is_empty() && team.bucket.spend() {
            self.counters.granted += 1;
            self.return_idle_loans(now, id);
            self.prefetch(now, id);
            return Admission::Granted;
        }
        let latest = now + self.settings.borrow_timeout;
        let waiter = Waiter {
            ticket: Ticket(self.new_id()),
            deadline: deadline.min(latest),
        };
        self.wait(now, id, waiter)
    }

    /// Queues a request if peers can probably provide its token, and refuses it otherwise.
    fn wait(&mut self, now: Instant, id: &TeamId, waiter: Waiter) -> Admission {
        let ticket = waiter.ticket;
        let unavailable = !self.request_tokens(now, id, Tokens::ONE);
        let Some(team) = self.teams.get_mut(id) else {
            return Admission::Refused {
                retry: DEFAULT_RETRY,
            };
        };
        if unavailable || waiter.deadline <= now || team.waiting.len() >= MAX_WAITING {
            self.counters.refused += 1;
            return Admission::Refused {
                retry: team.retry(),
            };
        }
        team.waiting.push_back(waiter);
        Admission::Waiting(ticket)
    }

    /// Grants tokens to waiting requests, and refuses those whose deadline has passed.
    pub(super) fn serve(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.bucket.advance(now);
        let none_pending = team.pending_loans == 0;
        let retry = team.retry();
        let bucket = &mut team.bucket;
        let (counters, effects) = (&mut self.counters, &mut self.effects);
        team.waiting.retain(|waiter| {
            let resolution = if now < waiter.deadline && bucket.spend() {
                counters.delayed_grants += 1;
                Resolution::Granted
            } else if now >= waiter.deadline || none_pending {
                counters.delayed_refusals += 1;
                Resolution::Refused { retry }
            } else {
                return true;
            };
            effects.push_back(Effect::Resolve {
                ticket: waiter.ticket,
                resolution,
            });
            false
        });
        self.return_idle_loans(now, id);
    }

    /// Serves every team that has waiting requests.
    pub(super) fn serve_due(&mut self, now: Instant) {
        let waiting = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty());
        let ids: Vec<TeamId> = waiting.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.serve(now, &id);
        }
    }
}

impl Team {
    /// Returns when a waiting request is next due for a token or a refusal.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let deadline = self.waiting.iter().map(|w| w.deadline).min()?;
        let token = self.bucket.next_token();
        Some(token.map_or(deadline, |at| at.min(deadline)))
    }

    /// Returns the time until the next token at the local bucket's rate.
    pub(super) fn retry(&self) -> Duration {
        let missing = Tokens::ONE.saturating_sub(self.bucket.level());
        let own = self.bucket.rate().time_for(missing);
        let fleet = self.limit.rate.time_for(Tokens::ONE);
        own.or(fleet)
            .unwrap_or(DEFAULT_RETRY)
            .clamp(Duration::from_millis(1), DEFAULT_RETRY)
    }
}
