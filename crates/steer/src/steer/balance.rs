//! Computes the demand and slots of each region, from which the region weights follow.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use super::Steer;
use crate::estimate::{COLD_RUN_GUESS, WARM_RUN_GUESS};
use crate::placement::RegionUsage;
use crate::rate::arrival_hash;
use crate::regions::{MAX_LOCAL_UTILIZATION, RegionLoad, ShiftLimit};

/// The time after the first request from which a peer's digest can include such requests.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// The fraction of the allowed shift that weights may use; spillover of single requests uses the
/// rest.
const WEIGHTS_FRACTION: f64 = 0.6;
/// The time after the first request at which observed and assumed demand weigh the same; a few
/// requests of a host.
const ASSUMPTION_TIME: Duration = Duration::from_millis(300);

impl Steer {
    /// Returns the expected slot time of a request for a service, in seconds. In the first shift
    /// window this is the mean over all runs, as most objects are not warm yet; later it is the
    /// mean over runs with a warm object.
    fn slot_time(&self, service: &ServiceId, first_request: Option<Instant>, now: Instant) -> f64 {
        let window = self.settings.shift_window;
        let in_first_window = first_request.is_none_or(|at| now.duration_since(at) < window);
        let (estimate, guess) = if in_first_window {
            (self.estimates.service(service), COLD_RUN_GUESS)
        } else {
            (self.estimates.warm_service(service), WARM_RUN_GUESS)
        };
        estimate.unwrap_or_else(|| {
            let target_latency = self
                .catalog
                .as_ref()
                .and_then(|c| c.target_latency(service));
            target_latency.map_or(0.0, |target_latency| target_latency.as_secs_f64() * guess)
        })
    }

    /// Returns the requests per second for a service that arrive at the hosts of a region, counting
    /// only those that just the region `pinned` may run if one is given. Hosts without a digest
    /// since the first request are assumed to receive the average of the others, since callers
    /// spread over all hosts.
    fn demand(
        &self,
        service: &ServiceId,
        pinned: Option<&RegionId>,
        region: &RegionId,
        first_request: Option<Instant>,
        now: Instant,
    ) -> f64 {
        let hash = arrival_hash(service, pinned);
        let arrivals = self.arrivals.get(&(service.clone(), pinned.cloned()));
        let (mut hosts, mut reporting, mut sum, mut stale) = (0.0, 0.0, 0.0, 0.0);
        if *region == self.local.region {
            (hosts, reporting) = (1.0, 1.0);
            sum = arrivals.map_or(0.0, |m| m.rate(now));
        }
        for peer in self.peers.alive(now).filter(|p| p.region == *region) {
            hosts += 1.0;
            let rate = peer.arrivals.get(&hash).copied().unwrap_or(0.0);
            if first_request.is_none_or(|at| peer.last_digest > Some(at + REPORT_DELAY)) {
                reporting += 1.0;
                sum += rate;
            } else {
                stale += rate;
            }
        }
        if reporting > 0.0 {
            sum / reporting * hosts
        } else {
            stale
        }
    }

    /// Like [`demand`](Self::demand), summed over the arrivals in all regions that only `region`
    /// may run.
    fn pinned_demand(
        &self,
        service: &ServiceId,
        region: &RegionId,
        first_request: Option<Instant>,
        now: Instant,
    ) -> f64 {
        let regions = self.regions.iter();
        let rates = regions.map(|r| self.demand(service, Some(region), r, first_request, now));
        rates.sum()
    }

    /// Mixes the observed demand with an assumed one until the end of the first shift window: callers
    /// spread evenly over all hosts, and regions with the average number of slots per host keep
    /// their requests. A region with fewer slots would otherwise fill up before its demand is known,
    /// and then reject its callers.
    fn add_assumed_demand(
        &self,
        loads: &mut HashMap<RegionId, RegionLoad>,
        first_request: Option<Instant>,
        now: Instant,
    ) {
        let age = first_request.map_or(Duration::ZERO, |at| now.duration_since(at));
        if age >= self.settings.shift_window {
            return;
        }
        let weight = ASSUMPTION_TIME.as_secs_f64() / (ASSUMPTION_TIME + age).as_secs_f64();
        let slots: f64 = loads.values().map(|l| l.slots).sum();
        let slots_per_host = slots / self.host_count(now) as f64;
        for (region, load) in loads {
            let peers = self.peers.alive(now).filter(|p| p.region == *region);
            let hosts = peers.count() + usize::from(*region == self.local.region);
            let assumed = slots_per_host * hosts as f64 * MAX_LOCAL_UTILIZATION;
            load.demand += weight * (assumed - load.demand);
            load.pinned *= 1.0 - weight;
        }
    }

    /// Moves the region weights of every service towards its current demand and capacity.
    pub fn update_weights(&mut self, now: Instant) {
        self.peers.expire_loads(now);
        self.apply_peer_loads(now);
        // Peers may have timed out since senders were last chosen.
        self.choose_senders(now);
        let max_shift = self.settings.max_shift * WEIGHTS_FRACTION;
        for (service, keys) in &self.by_service {
            let mut loads: HashMap<RegionId, RegionLoad> = HashMap::new();
            for region in self.local.zones.values() {
                loads.entry(region.clone()).or_default();
            }
            let meters = self.arrivals.iter().filter(|((s, _), _)| s == service);
            let first_request = meters.filter_map(|(_, m)| m.first_event()).min();
            let slot_time = self.slot_time(service, first_request, now);
            for (region, load) in &mut loads {
                load.demand = self.demand(service, None, region, first_request, now) * slot_time;
                load.pinned = self.pinned_demand(service, region, first_request, now) * slot_time;
            }
            let mut usage = vec![RegionUsage::default(); self.regions.len()];
            for endpoint in keys.iter().map(|&k| &self.endpoints[k]) {
                let record = &endpoint.record;
                let excluded = self.evacuated.contains(&record.zone)
                    || endpoint.is_unavailable()
                    || endpoint.is_leaving()
                    || endpoint.is_paused(now);
                if !excluded {
                    let slots = endpoint.usable_slots(slot_time);
                    loads.entry(endpoint.region.clone()).or_default().slots += slots;
                    let region = &mut usage[endpoint.location.region];
                    region.busy += endpoint.outstanding(now);
                    region.slots += slots;
                }
            }
            self.add_assumed_demand(&mut loads, first_request, now);
            for (i, region) in usage.iter().enumerate().filter(|(_, r)| r.slots > 0.0) {
                let utilization = region.busy / region.slots;
                self.overload.record(service, i, utilization, now);
            }
            let limit = ShiftLimit {
                first_request,
                max_shift,
                window: self.settings.shift_window,
            };
            self.weights
                .update(service, &self.local.region, &loads, limit, now);
        }
    }
}
