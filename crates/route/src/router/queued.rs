//! Starts and refuses queued requests.

use std::time::{Duration, Instant};

use wagtail_types::{Reason, Verdict};

use crate::key::{ServiceKey, Ticket};
use crate::message::Effect;
use crate::router::Router;

impl Router {
    /// Cancels a queued request; returns false if it has already started or been refused.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(key) = self.tickets.remove(ticket) else {
            return false;
        };
        let service = self.services.get_mut(key);
        service.is_some_and(|service| service.queue.remove(ticket))
    }

    pub(crate) fn start_all_queued(&mut self, now: Instant) {
        let keys: Vec<_> = self.services.keys().collect();
        for key in keys {
            self.start_queued(now, key);
        }
    }

    /// Refuses requests that can no longer start in time, then starts requests on the free slots.
    pub(crate) fn start_queued(&mut self, now: Instant, key: ServiceKey) {
        let Some(service) = self.services.get_mut(key) else {
            return;
        };
        if service.queue.is_empty() {
            return;
        }
        let availability = service
            .pool
            .availability(now, self.settings.queue.assumed_duration);
        while let Some(ticket) = service.queue.expired(now) {
            let retry = availability.wait(service.queue.len());
            let verdict = Verdict::not_run(Reason::Overloaded, retry);
            self.tickets.remove(ticket);
            self.new_effects.push(Effect::Refuse { ticket, verdict });
        }
        while !service.queue.is_empty()
            && let Some(lease) = service.pool.pick(now, &mut self.rng, None)
            && let Some(next) = service.queue.pop()
        {
            let ticket = next.ticket;
            self.tickets.remove(ticket);
            self.new_effects.push(Effect::Start { ticket, lease });
        }
    }

    /// Refuses all queued requests of a service.
    pub(crate) fn refuse_all(&mut self, key: ServiceKey, reason: Reason) {
        let Some(service) = self.services.get_mut(key) else {
            return;
        };
        while let Some(ticket) = service.queue.remove_any() {
            let verdict = Verdict::not_run(reason, Duration::ZERO);
            self.tickets.remove(ticket);
            self.new_effects.push(Effect::Refuse { ticket, verdict });
        }
    }
}
