//! What the router tells others and the operators.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId};

use crate::message::{Advert, Headroom};
use crate::router::{Router, Service};

impl Router {
    /// The free slots to offer to other hosts.
    pub fn advert(&self, now: Instant) -> Advert {
        let free = |service: &Service| {
            let counts = service.pool.counts(now);
            (service.pool.capacity(now) > 0).then(|| (service.id.clone(), counts.free))
        };
        Advert {
            host: self.settings.host.clone(),
            free: self.services.values().filter_map(free).collect(),
            age: Duration::ZERO,
        }
    }

    /// Other hosts that the next advert should go to, near ones more often, so that what is sent
    /// does not grow with the fleet.
    pub fn audience(&mut self, count: usize) -> Vec<HostId> {
        self.spill.audience(count, &mut self.rng)
    }

    /// Slots of each service on this host and beyond.
    pub fn headroom(&self, now: Instant) -> Vec<Headroom> {
        let row = |service: &Service| self.row(now, service);
        self.services.values().map(row).collect()
    }

    /// The share of this region's traffic that may now go to each other region.
    pub fn open_shares(&mut self, now: Instant) -> Vec<(RegionId, f64)> {
        self.plan.open(now)
    }

    fn row(&self, now: Instant, service: &Service) -> Headroom {
        let counts = service.pool.counts(now);
        let (region, beyond) = self.spill.offered(now, &service.id);
        Headroom {
            service: service.id.clone(),
            held: counts.held,
            slots: counts.slots,
            free: counts.free,
            ejected: counts.ejected,
            queued: u32::try_from(service.queue.len()).unwrap_or(u32::MAX),
            region,
            beyond,
        }
    }
}
