//! Admission of requests and of those that wait.

use std::time::{Duration, Instant};

use wagtail_types::{TeamId, Tokens};

use super::{Admission, Effect, Phase, Quota, Resolution, Team, Ticket, Waiter};

/// What a refusal says where no time can be worked out.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);
const WAITING_MAX: usize = 1024;

impl Quota {
    /// Decides on one request, or starts to ask other hosts for its token.
    ///
    /// A waiting request is answered by an [`Effect::Resolve`] before `deadline`.
    pub fn admit(&mut self, now: Instant, id: &TeamId, deadline: Instant) -> Admission {
        self.expire(now);
        self.serve(now, id);
        let released = self.phase == Phase::Released;
        let Some(team) = self.teams.get_mut(id).filter(|_| !released) else {
            self.counters.refused += 1;
            return Admission::Refused {
                retry: RETRY_DEFAULT,
            };
        };
        team.bucket.demand.note(now);
        if team.waiting.is_empty() && team.bucket.spend() {
            self.counters.granted += 1;
            self.settle(now, id);
            self.prefetch(now, id);
            return Admission::Granted;
        }
        let latest = now + self.settings.gather_timeout;
        let waiter = Waiter {
            ticket: Ticket(self.new_id()),
            deadline: deadline.min(latest),
        };
        self.wait(now, id, waiter)
    }

    fn wait(&mut self, now: Instant, id: &TeamId, waiter: Waiter) -> Admission {
        let ticket = waiter.ticket;
        let hopeless = !self.seek(now, id, Tokens::ONE);
        let Some(team) = self.teams.get_mut(id) else {
            return Admission::Refused {
                retry: RETRY_DEFAULT,
            };
        };
        if hopeless || waiter.deadline <= now || team.waiting.len() >= WAITING_MAX {
            self.counters.refused += 1;
            return Admission::Refused {
                retry: team.retry(),
            };
        }
        team.waiting.push_back(waiter);
        Admission::Waiting(ticket)
    }

    /// Grants tokens to those that wait, and refuses those whose time is over.
    pub(super) fn serve(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.bucket.advance(now);
        let hopeless = team.asking == 0;
        let retry = team.retry();
        let bucket = &mut team.bucket;
        let (counters, effects) = (&mut self.counters, &mut self.effects);
        team.waiting.retain(|waiter| {
            let resolution = if now < waiter.deadline && bucket.spend() {
                counters.gathered += 1;
                Resolution::Granted
            } else if now >= waiter.deadline || hopeless {
                counters.failed += 1;
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
        self.settle(now, id);
    }

    /// Serves every team in which a request waits.
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
    /// When a waiting request is next due for a token or a refusal.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let deadline = self.waiting.iter().map(|w| w.deadline).min()?;
        let token = self.bucket.next_token();
        Some(token.map_or(deadline, |at| at.min(deadline)))
    }

    /// The time to the next token by this host's own share of the rate.
    pub(super) fn retry(&self) -> Duration {
        let missing = Tokens::ONE.saturating_sub(self.bucket.level());
        let own = self.bucket.rate().time_for(missing);
        let fleet = self.limit.rate.time_for(Tokens::ONE);
        own.or(fleet)
            .unwrap_or(RETRY_DEFAULT)
            .clamp(Duration::from_millis(1), RETRY_DEFAULT)
    }
}
