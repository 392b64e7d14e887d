//! Second attempts at slow reads.

use std::time::{Duration, Instant};

use crate::key::ServiceKey;
use crate::message::{Lease, Request};
use crate::router::Router;

impl Router {
    /// The time after which a second attempt at a read is worth asking for.
    pub fn hedge_after(&self, service: ServiceKey) -> Option<Duration> {
        let service = self.services.get(service)?;
        Some(service.pool.unusual(self.settings.queue.guess))
    }

    /// A place for a second attempt at an idempotent request beside the one that `first` runs;
    /// `None` where the budget is used up, others wait, or no other endpoint is free.
    pub fn hedge(&mut self, now: Instant, request: &Request<'_>, first: &Lease) -> Option<Lease> {
        self.wake(now);
        if !request.idempotent || request.deadline <= now {
            return None;
        }
        let service = self.services.get_mut(first.service)?;
        if !service.queue.is_empty() || !service.hedges.has() {
            return None;
        }
        let lease = service.pool.pick(now, &mut self.rng, Some(first.target))?;
        service.hedges.take();
        Some(lease)
    }
}
