//! The demand and slots of the regions, from which their weights follow.

use std::collections::HashMap;
use std::time::Instant;

use wagtail_types::{RegionId, ServiceId};

use super::Steer;
use crate::endpoint::EndpointState;
use crate::estimate::WARM_GUESS;
use crate::flow::flow_hash;
use crate::regions::RegionLoad;

/// The part of the allowed shift that weights use; spills use the rest.
const WEIGHTS_PART: f64 = 0.6;

impl Steer {
    /// The slot time of a request for a service, in seconds.
    fn each(&self, service: &ServiceId) -> f64 {
        self.estimates.settled(service).unwrap_or_else(|| {
            let aim = self.catalog.as_ref().and_then(|c| c.aim(service));
            aim.map_or(0.0, |aim| aim.as_secs_f64() * WARM_GUESS)
        })
    }

    /// Moves the weights of the regions towards demand and capacity.
    pub fn balance(&mut self, now: Instant) {
        self.hosts.expire(now);
        self.take_loads(now);
        // Hosts may have fallen silent.
        self.choose_senders(now);
        let most = self.settings.max_shift * WEIGHTS_PART;
        for (service, keys) in &self.services {
            let each = self.each(service);
            let mut loads: HashMap<RegionId, RegionLoad> = HashMap::new();
            for region in self.us.zones.values() {
                loads.entry(region.clone()).or_default();
            }
            let free = flow_hash(service, None);
            for peer in self.hosts.alive(now) {
                let rate = peer.arrivals.get(&free).copied().unwrap_or(0.0);
                loads.entry(peer.region.clone()).or_default().demand += rate * each;
            }
            let rate = |bound| {
                self.flows
                    .get(&(service.clone(), bound))
                    .map_or(0.0, |f| f.rate(now))
            };
            loads.entry(self.us.region.clone()).or_default().demand += rate(None) * each;
            for (region, load) in &mut loads {
                let bound = flow_hash(service, Some(region));
                let others = self.hosts.alive(now).filter_map(|p| p.arrivals.get(&bound));
                load.bound = (rate(Some(region.clone())) + others.sum::<f64>()) * each;
            }
            for endpoint in keys.iter().map(|&k| &self.endpoints[k]) {
                let record = &endpoint.record;
                let out = self.evacuated.contains(&record.zone) || endpoint.is_down();
                if record.state == EndpointState::Ready && !out {
                    let slots = f64::from(record.slots) / endpoint.slowness(now).max(1.0);
                    loads.entry(endpoint.region.clone()).or_default().slots += slots;
                }
            }
            let window = self.settings.shift_window;
            self.regions
                .update(service, &self.us.region, &loads, most, window, now);
        }
    }
}
