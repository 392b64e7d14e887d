//! The demand and slots of the regions, from which their weights follow.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use super::Steer;
use crate::endpoint::EndpointState;
use crate::estimate::{COLD_GUESS, WARM_GUESS};
use crate::flow::flow_hash;
use crate::regions::{Pace, RegionLoad};

/// The time after the first request from which a digest can tell of such requests.
const TOLD_AFTER: Duration = Duration::from_millis(300);
/// The part of the allowed shift that weights use; spills use the rest.
const WEIGHTS_PART: f64 = 0.6;

impl Steer {
    /// The slot time of a request for a service, in seconds. At first it is that of endpoints which do
    /// not know the objects yet, later that of those which do.
    fn each(&self, service: &ServiceId, first: Option<Instant>, now: Instant) -> f64 {
        let window = self.settings.shift_window;
        let young = first.is_none_or(|at| now.duration_since(at) < window);
        let (known, guess) = if young {
            (self.estimates.service(service), COLD_GUESS)
        } else {
            (self.estimates.settled(service), WARM_GUESS)
        };
        known.unwrap_or_else(|| {
            let aim = self.catalog.as_ref().and_then(|c| c.aim(service));
            aim.map_or(0.0, |aim| aim.as_secs_f64() * guess)
        })
    }

    /// Requests a second for a service that arrive at the hosts of a region, and that only the region
    /// `bound` may run, if one is given. Hosts that were not heard since the first request are taken to
    /// get what the others get, as callers spread over all.
    fn demand(
        &self,
        service: &ServiceId,
        bound: Option<&RegionId>,
        region: &RegionId,
        first: Option<Instant>,
        now: Instant,
    ) -> f64 {
        let hash = flow_hash(service, bound);
        let flow = self.flows.get(&(service.clone(), bound.cloned()));
        let (mut all, mut told, mut sum, mut stale) = (0.0, 0.0, 0.0, 0.0);
        if *region == self.us.region {
            (all, told) = (1.0, 1.0);
            sum = flow.map_or(0.0, |f| f.rate(now));
        }
        for peer in self.hosts.alive(now).filter(|p| p.region == *region) {
            all += 1.0;
            let rate = peer.arrivals.get(&hash).copied().unwrap_or(0.0);
            if first.is_none_or(|at| peer.heard > Some(at + TOLD_AFTER)) {
                told += 1.0;
                sum += rate;
            } else {
                stale += rate;
            }
        }
        if told > 0.0 { sum / told * all } else { stale }
    }

    /// As [`demand`](Self::demand), of what arrives anywhere and only one region may run.
    fn bound(
        &self,
        service: &ServiceId,
        region: &RegionId,
        first: Option<Instant>,
        now: Instant,
    ) -> f64 {
        let regions = self.places.iter();
        let rates = regions.map(|r| self.demand(service, Some(region), r, first, now));
        rates.sum()
    }

    /// Moves the weights of the regions towards demand and capacity.
    pub fn balance(&mut self, now: Instant) {
        self.hosts.expire(now);
        self.take_loads(now);
        // Hosts may have fallen silent.
        self.choose_senders(now);
        let most = self.settings.max_shift * WEIGHTS_PART;
        for (service, keys) in &self.services {
            let mut loads: HashMap<RegionId, RegionLoad> = HashMap::new();
            for region in self.us.zones.values() {
                loads.entry(region.clone()).or_default();
            }
            let flows = self.flows.iter().filter(|((s, _), _)| s == service);
            let first = flows.filter_map(|(_, f)| f.first()).min();
            let each = self.each(service, first, now);
            for (region, load) in &mut loads {
                load.demand = self.demand(service, None, region, first, now) * each;
                load.bound = self.bound(service, region, first, now) * each;
            }
            for endpoint in keys.iter().map(|&k| &self.endpoints[k]) {
                let record = &endpoint.record;
                let out = self.evacuated.contains(&record.zone) || endpoint.is_down();
                if record.state == EndpointState::Ready && !out {
                    let slots = f64::from(record.slots) / endpoint.slowness(now).max(1.0);
                    loads.entry(endpoint.region.clone()).or_default().slots += slots;
                }
            }
            let pace = Pace {
                first,
                most,
                window: self.settings.shift_window,
            };
            self.regions
                .update(service, &self.us.region, &loads, pace, now);
        }
    }
}
