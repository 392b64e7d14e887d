//! Hedging: second attempts at slow idempotent requests.

use std::time::{Duration, Instant};

use crate::key::ServiceKey;
use crate::message::{Lease, Request};
use crate::router::Router;

impl Router {
    /// Returns the time in flight after which an idempotent request should be hedged.
    pub fn hedge_after(&self, service: ServiceKey) -> Option<Duration> {
        let service = self.services.get(service)?;
        Some(
            service
                .pool
                .latency_bound(self.settings.queue.assumed_duration),
        )
    }

    /// Returns a lease for a second attempt at an idempotent request while `first` is in flight;
    /// `None` if the budget is exhausted, requests are queued, or no other endpoint is free.
    pub fn hedge(&mut self, now: Instant, request: &Request<'_>, first: &Lease) -> Option<Lease> {
        self.check_pause(now);
        if !request.idempotent || request.deadline <= now {
            return None;
        }
        let service = self.services.get_mut(first.service)?;
        if !service.queue.is_empty() || !service.hedges.is_available() {
            return None;
        }
        let lease = service.pool.pick(now, &mut self.rng, Some(first.target))?;
        service.hedges.withdraw();
        Some(lease)
    }
}
