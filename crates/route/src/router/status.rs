//! What the router tells others and the operators.

use std::time::{Duration, Instant};

use crate::message::{Advert, Headroom};
use crate::router::{Router, Service};

impl Router {
    /// The free slots to offer to other hosts.
    pub fn advert(&self, now: Instant) -> Advert {
        let free = |service: &Service| (service.id.clone(), service.pool.counts(now).free);
        Advert {
            host: self.settings.host.clone(),
            free: self.services.values().map(free).collect(),
            age: Duration::ZERO,
        }
    }

    /// Slots of each service on this host and beyond.
    pub fn headroom(&self, now: Instant) -> Vec<Headroom> {
        let row = |service: &Service| self.row(now, service);
        self.services.values().map(row).collect()
    }

    fn row(&self, now: Instant, service: &Service) -> Headroom {
        let counts = service.pool.counts(now);
        let (region, beyond) = self.spill.offered(now, &service.id);
        Headroom {
            service: service.id.clone(),
            slots: counts.slots,
            free: counts.free,
            ejected: counts.ejected,
            queued: 0,
            region,
            beyond,
        }
    }
}
