//! Status of the router for peers and operators.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, RegionId};

use crate::message::{Advert, Headroom};
use crate::router::{Router, Service};

impl Router {
    /// Returns the free slots to advertise to peers.
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

    /// Returns up to `count` peers for the next advert, near ones more often, so that the volume of
    /// adverts does not grow with the fleet.
    pub fn advert_targets(&mut self, count: usize) -> Vec<HostId> {
        self.spillover.advert_targets(count, &mut self.rng)
    }

    /// Returns the slot counts of each service on this host and on its peers.
    pub fn headroom(&self, now: Instant) -> Vec<Headroom> {
        let row = |service: &Service| self.headroom_of(now, service);
        self.services.values().map(row).collect()
    }

    /// Returns the share of this region's traffic that may be shifted to each other region now.
    pub fn allowed_shares(&mut self, now: Instant) -> Vec<(RegionId, f64)> {
        self.plan.allowed_shares(now)
    }

    fn headroom_of(&self, now: Instant, service: &Service) -> Headroom {
        let counts = service.pool.counts(now);
        let (region_free, other_free) = self.spillover.free_slots(now, &service.id);
        Headroom {
            service: service.id.clone(),
            held: counts.held,
            slots: counts.usable,
            free: counts.free,
            ejected: counts.ejected,
            queued: u32::try_from(service.queue.len()).unwrap_or(u32::MAX),
            region_free,
            other_free,
        }
    }
}
