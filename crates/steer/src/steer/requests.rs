//! Decisions during the lifetime of a request: service, endpoint, retries, and the estimates that
//! its completion updates.

use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use super::Steer;
use crate::budget::{RetryBudget, RetryLimits};
use crate::config::{Route, WeightedService};
use crate::endpoint::{Distance, Endpoint, EndpointKey, Load, Outcome};
use crate::estimate::RunKind;
use crate::placement::{
    Choice, Placement, PlacementContext, PlacementCounts, PlacementRequest, RegionUsage,
    RejectionReason, place,
};
use crate::suspect::{Fingerprint, SuspectRun};

/// The shortest run time that is learned. Run times are compared by their ratios, and an answer may
/// arrive sooner than the learned round trip.
const RUN_TIME_MIN: Duration = Duration::from_millis(1);

/// The end of a request at an endpoint.
#[derive(Debug)]
pub struct Completion<'a> {
    /// The placement that the request was sent with.
    pub choice: &'a Choice,
    /// The route of the request.
    pub route: &'a Route,
    /// The hash of the object that the request concerns, if any.
    pub object: Option<u32>,
    /// Identifies what the request asks.
    pub fingerprint: Fingerprint,
    /// How the request ended.
    pub outcome: Outcome,
    /// The time from sending the request to its answer; `None` if there is no answer whose time
    /// reflects how long the request ran.
    pub response_time: Option<Duration>,
    /// The request counts that the endpoint reported with its answer.
    pub load: Option<Load>,
}

impl Steer {
    /// Picks the service for the next request of a route, in proportion to the weights. Returns
    /// `None` if the route or the service cannot be used.
    pub fn pick_service(&mut self, route: &Route) -> Option<ServiceId> {
        if route.disabled {
            return None;
        }
        let service = if let [WeightedService { service, .. }] = &*route.services {
            Some(service.clone())
        } else {
            let split = self.splits.entry(route.id.clone()).or_default();
            split.next(&route.services)
        };
        let catalog = self.catalog.as_ref()?;
        service.filter(|s| catalog.service(s).is_some())
    }

    /// Counts a request for a service towards its retry budget and towards the demand on the
    /// regions that may run it.
    pub fn count_request(
        &mut self,
        service: &ServiceId,
        permitted_regions: &[RegionId],
        now: Instant,
    ) {
        let pinned = match permitted_regions {
            [region] => Some(region.clone()),
            _ => None,
        };
        self.arrivals
            .entry((service.clone(), pinned))
            .or_default()
            .record(now);
        let limits = RetryLimits {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
        };
        let hosts = self.sharing_hosts();
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits, hosts, now))
            .request(hosts, now);
    }

    /// Takes one retry from the service's budget. Returns `false` if the budget is used up.
    pub fn take_retry(&mut self, service: &ServiceId, now: Instant) -> bool {
        let hosts = self.sharing_hosts();
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|b| b.take(hosts, now))
    }

    /// Returns whether [`take_retry`](Self::take_retry) would succeed.
    pub fn may_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let budget = self.budgets.get(service);
        budget.is_some_and(|b| b.allows(self.sharing_hosts(), now))
    }

    /// Selects an endpoint for a request and, if there is one, counts the request as in flight
    /// there.
    pub fn place(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Placement {
        if self.senders_stale {
            self.choose_senders(now);
        }
        let ended = match self.check_suspect(request.fingerprint, request.repeated, now) {
            Ok(ended) => ended,
            Err(rejection) => {
                return Placement::Reject {
                    reason: RejectionReason::Suspect,
                    retry_after: rejection.wait,
                };
            }
        };
        let mut usable = self.usable(request, now);
        if ended.is_some() {
            self.separate_suspects(&mut usable);
        }
        let mut usage = vec![RegionUsage::default(); self.regions.len()];
        for endpoint in usable.iter().map(|&k| &self.endpoints[k]) {
            let slots = f64::from(endpoint.record.slots);
            let region = &mut usage[endpoint.location.region];
            region.busy += endpoint.outstanding(now).min(slots);
            region.slots += slots;
            region.endpoints += 1;
        }
        for (i, region) in usage.iter_mut().enumerate() {
            region.overloaded = self.overload.is_overloaded(request.service, i);
        }
        let point = self.point(request);
        let primary = self.primary(request, &usage, point);
        let context = PlacementContext {
            primary,
            warm_capacity: self.warm_capacity.get(request.service),
            expected: self.estimates.expected(
                &request.route.id,
                request.route.target_latency,
                request.service,
            ),
            late_utility: self.settings.late_utility,
            round_trips: &self.round_trips,
            usage: &usage,
            now,
        };
        let max_shift = self.settings.max_shift;
        let open = |(i, r): (usize, &RegionId)| {
            i == primary || self.shift_limiter.allows(r, max_shift, now)
        };
        let open: Vec<bool> = self.regions.iter().enumerate().map(open).collect();
        let endpoints = |open_only: bool| {
            let (endpoints, open) = (&self.endpoints, &open);
            usable
                .iter()
                .map(move |&k| (k, &endpoints[k]))
                .filter(move |(_, e)| !open_only || open[e.location.region])
        };
        let mut placement = place(request, &context, endpoints(true));
        // The limit on shifts is ignored if it excludes every usable endpoint.
        let none_open = || endpoints(true).next().is_none();
        if matches!(placement, Placement::Reject { .. }) && none_open() {
            placement = place(request, &context, endpoints(false));
        }
        match &mut placement {
            Placement::Send(choice) if ended.is_some() => {
                choice.ended = ended;
                self.suspects.start(request.fingerprint, choice.key);
                self.record_sent(choice, request, now);
            }
            Placement::Send(choice) => self.record_sent(choice, request, now),
            Placement::Reject {
                reason: RejectionReason::NoEndpoint,
                retry_after,
            } => {
                let wait = self.wait_for_endpoints(request, now);
                *retry_after = wait.unwrap_or(*retry_after);
            }
            Placement::Reject { .. } => {}
        }
        if ended.is_some() && matches!(placement, Placement::Reject { .. }) {
            self.suspects
                .finish(request.fingerprint, ended, SuspectRun::Unsent, now);
        }
        if request.tried.is_empty() {
            self.count_placement(&placement);
        }
        placement
    }

    fn count_placement(&mut self, placement: &Placement) {
        let counts = &mut self.placement_counts;
        let count = match placement {
            Placement::Reject { .. } => &mut counts.rejected,
            Placement::Send(choice) => match self.endpoints[choice.key].location.distance {
                Distance::SameZone | Distance::SameRegion => &mut counts.local,
                Distance::OtherRegion => &mut counts.remote,
            },
        };
        *count += 1;
    }

    /// Returns the counts of placements since the last call.
    pub fn take_placement_counts(&mut self) -> PlacementCounts {
        std::mem::take(&mut self.placement_counts)
    }

    /// Returns the region that should run a request: the one that the weights select if it has
    /// usable endpoints, otherwise the local region, otherwise one of the remaining regions with
    /// usable endpoints.
    fn primary(&self, request: &PlacementRequest<'_>, usage: &[RegionUsage], point: f64) -> usize {
        let local = &self.local.region;
        let weighted = self.weights.pick(request.service, point).unwrap_or(local);
        let index = |region: &RegionId| self.regions.iter().position(|r| r == region).unwrap_or(0);
        let (weighted, local) = (index(weighted), index(local));
        let usable: Vec<usize> = (0..usage.len())
            .filter(|&i| usage[i].endpoints > 0)
            .collect();
        if usable.is_empty() || usable.contains(&weighted) {
            return weighted;
        }
        if usable.contains(&local) {
            return local;
        }
        let step = 1.0 / usable.len() as f64;
        let mut points = (1..usable.len()).map(|i| i as f64 * step);
        let at = points.position(|end| point < end);
        usable[at.unwrap_or(usable.len() - 1)]
    }

    /// Returns the point in 0 to 1 that selects the region of a request by the weights. It is the
    /// same for all requests of an object, so that they go to the same region; requests without an
    /// object are spread evenly.
    fn point(&mut self, request: &PlacementRequest<'_>) -> f64 {
        /// Multiples of the golden ratio modulo 1 are spread evenly over the unit interval.
        const GOLDEN: f64 = 0.618_033_988_749_895;
        if let Some(object) = request.object {
            return f64::from(object) / f64::from(u32::MAX);
        }
        self.unkeyed_count = self.unkeyed_count.wrapping_add(1);
        (f64::from(self.unkeyed_count) * GOLDEN).fract()
    }

    fn record_sent(&mut self, choice: &Choice, request: &PlacementRequest<'_>, now: Instant) {
        let endpoint = &mut self.endpoints[choice.key];
        endpoint.in_flight += 1;
        endpoint.contacted = true;
        if endpoint.is_cold(now) {
            endpoint.cold_limit.take();
        }
        endpoint.limit.take();
        if request.tried.is_empty() {
            self.shift_limiter.record(&endpoint.region, now);
        }
        // The object is warm from the start of its run, so that further requests should follow.
        if let Some(object) = request.object
            && endpoint.warm.record(object, now)
        {
            self.newly_warm.push_back((now, endpoint.hash, object));
        }
    }

    /// Returns the endpoints of the service that may receive the request now.
    fn usable(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Vec<EndpointKey> {
        let Some(keys) = self.by_service.get(request.service) else {
            return Vec::new();
        };
        let cold_rate = self
            .catalog
            .as_ref()
            .and_then(|c| c.service(request.service))
            .map_or(1.0, |s| s.cold_rate);
        let mut usable = Vec::with_capacity(keys.len());
        for &key in keys {
            let open = !request.tried.contains(&key) && self.is_open(&self.endpoints[key], request);
            if open && self.endpoints[key].accepts(cold_rate, now) {
                usable.push(key);
            }
        }
        usable
    }

    /// Returns whether an endpoint may run a request, apart from its own limits on requests.
    pub(super) fn is_open(&self, endpoint: &Endpoint, request: &PlacementRequest<'_>) -> bool {
        !endpoint.is_leaving()
            && !endpoint.is_unavailable()
            && !self.evacuated.contains(&endpoint.record.zone)
            && (request.permitted_regions.is_empty()
                || request.permitted_regions.contains(&endpoint.region))
    }

    /// Records how long a connection to an endpoint took to open.
    pub fn record_connection(&mut self, key: EndpointKey, time: Duration) {
        if let Some(endpoint) = self.endpoints.get(key) {
            self.round_trips.learn(endpoint.location, time);
        }
    }

    /// Records the end of a request at an endpoint. Returns whether endpoints had ended under equal
    /// requests and no longer count, as this one ended well.
    pub fn finish(&mut self, completion: &Completion<'_>, now: Instant) -> bool {
        let run = match completion.outcome {
            Outcome::Answered => SuspectRun::Survived,
            Outcome::Unreachable => SuspectRun::Unsent,
            _ => SuspectRun::Unclear,
        };
        let Choice { ended, key, .. } = *completion.choice;
        let cleared = self
            .suspects
            .finish(completion.fingerprint, ended, run, now);
        if ended.is_some() {
            self.suspects.stop(completion.fingerprint, key);
        }
        self.record_completion(completion, now);
        cleared
    }

    fn record_completion(&mut self, completion: &Completion<'_>, now: Instant) {
        let &Completion {
            choice,
            object,
            outcome,
            response_time,
            load,
            ..
        } = completion;
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let had_slot = load.map_or(choice.slot_free, |l| l.running < l.slots);
        endpoint.record_outcome(outcome, had_slot, now);
        if let Some(load) = load {
            endpoint.record_load(load, now);
        }
        if !outcome.may_have_run()
            && choice.reuse_distance.is_none()
            && let Some(object) = object
        {
            endpoint.warm.forget(object);
        }
        if outcome == Outcome::Replaced {
            self.remove_endpoint(choice.key, now);
            return;
        }
        if outcome == Outcome::Answered
            && let Some(object) = object
            && endpoint.warm.record(object, now)
        {
            self.newly_warm.push_back((now, endpoint.hash, object));
        }
        if outcome == Outcome::Answered
            && let Some(response_time) = response_time
        {
            self.learn(completion, response_time.as_secs_f64(), now);
        }
    }

    /// Updates the run time estimates from a response time. If the request had to queue, the
    /// response time is only an upper bound of the run time, and is ignored unless it is below the
    /// estimate.
    fn learn(&mut self, completion: &Completion<'_>, response_time: f64, now: Instant) {
        let (choice, route) = (completion.choice, completion.route);
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        let round_trip = self.round_trips.learned(endpoint.location).unwrap_or(0.0);
        let way = route.round_trips() * round_trip;
        let run_time = (response_time - way).max(RUN_TIME_MIN.as_secs_f64());
        let service = endpoint.record.service.clone();
        let observed = self
            .estimates
            .looks_warm(&route.id, route.target_latency, run_time);
        let warm = observed.unwrap_or(choice.warm);
        let expected = self
            .estimates
            .expected_run(&route.id, route.target_latency, warm);
        if !choice.slot_free && run_time >= expected {
            return;
        }
        if let (Some(distance), Some(warm)) = (choice.reuse_distance, observed) {
            self.warm_capacity
                .entry(service.clone())
                .or_default()
                .observe(distance, warm);
        }
        if !endpoint.is_cold(now) {
            let kind = match (completion.object, choice.warm) {
                (None, _) => RunKind::NoObject,
                (Some(_), true) => RunKind::Warm,
                (Some(_), false) => RunKind::Cold,
            };
            self.estimates
                .learn(&route.id, &service, route.target_latency, kind, run_time);
        }
    }
}
