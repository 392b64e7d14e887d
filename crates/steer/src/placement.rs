//! Selects the endpoint for a request, or the reason to reject it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use crate::config::Route;
use crate::endpoint::{Distance, Endpoint, EndpointKey};
use crate::estimate::Expected;
use crate::hash::rendezvous_score;
use crate::round_trip::RoundTrips;
use crate::suspect::Fingerprint;
use crate::warm::WarmCapacity;

/// The cost of traffic between zones of a region, as a fraction of a request's value.
const ZONE_COST: f64 = 0.02;
/// The cost of traffic between regions, as a fraction of a request's value.
const REGION_COST: f64 = 0.06;
/// The spread of run times around their estimate, as a fraction of it.
const RUN_TIME_SPREAD: f64 = 0.2;
/// The bonus for an object's first and second preferred endpoint over others that are otherwise
/// equal.
const PREFERENCE_BONUS: [f64; 2] = [0.05, 0.025];
/// How much the extra slot time of a run without a warm object weighs: at the object's first and
/// second preferred endpoint, where the run warms the object for later requests, and elsewhere,
/// where it evicts an object that is preferred there.
const COLD_OBJECT_FACTOR: [f64; 3] = [0.2, 0.7, 2.0];
/// The queueing time, as a fraction of the target latency, up to which a request may wait at the
/// object's first preferred endpoint in order to warm the object there.
const WARM_UP_WAIT: f64 = 0.5;
/// The cost of running a request outside the region that its object belongs to.
const OFF_PRIMARY_COST: f64 = 0.15;
/// The bonus for a designated sender's first request to an endpoint, since its outcome helps to
/// place all later ones. Only requests that belong to the endpoint's region have it, so that probes
/// move no requests between regions.
const PROBE_BONUS: f64 = 0.5;
/// The cost of the total response time, per target latency.
const LATENCY_COST: f64 = 0.1;
/// The slot utilization above which slot time has a cost.
const FREE_UTILIZATION: f64 = 0.5;
/// The cost of slot time at full utilization, per run time of a request with a warm object.
const SLOT_TIME_COST: f64 = 0.35;
/// The shortest retry time that is given to a rejected caller, as a fraction of the target latency;
/// short, so that the caller can come back and still be answered in time.
const MIN_RETRY_AFTER: f64 = 0.1;

/// A request that needs an endpoint.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// The route of the request.
    pub route: &'a Rc<Route>,
    /// The service that should run the request.
    pub service: &'a ServiceId,
    /// The hash of the object that the request concerns, if the route is sticky.
    pub object: Option<u32>,
    /// The regions that may run the request; empty allows all.
    pub permitted_regions: &'a [RegionId],
    /// Identifies what the request asks.
    pub fingerprint: Fingerprint,
    /// Endpoints that have been tried before and are excluded.
    pub tried: &'a [EndpointKey],
    /// Whether the request has been sent to one of them.
    pub repeated: bool,
    /// The time since the request arrived.
    pub elapsed: Duration,
    /// The time remaining until the deadline.
    pub remaining: Duration,
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// The service has no usable endpoint.
    NoEndpoint,
    /// A slot becomes free before the deadline, but at each endpoint the answer would come too late
    /// or the utility of running the request there is not positive.
    Full,
    /// No endpoint has a free slot before the deadline.
    TooLate,
    /// Endpoints ended under equal requests.
    Suspect,
}

/// The endpoint selected for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The key of the endpoint.
    pub key: EndpointKey,
    /// The expected response time, queueing and network included.
    pub expected_time: Duration,
    /// Whether the object is expected to be warm at the endpoint.
    pub warm: bool,
    /// The number of other objects that the endpoint served since it last served this one; `None`
    /// if it is not known to have served it.
    pub reuse_distance: Option<usize>,
    /// The number of requests from all hosts at the endpoint before this one.
    pub in_flight: f64,
    /// Whether a slot is expected to be free, so that the request does not queue.
    pub slot_free: bool,
    /// The number of endpoints that ended under equal requests; `None` if none has, nor may have.
    pub ended: Option<usize>,
}

/// The result of selecting an endpoint.
#[derive(Debug, Clone)]
pub enum Placement {
    /// The request should be sent to this endpoint.
    Send(Choice),
    /// The request should be rejected.
    Reject {
        /// The reason for the rejection.
        reason: RejectionReason,
        /// The time after which capacity is expected.
        retry_after: Duration,
    },
}

/// How many requests were placed in the local region and in others, and how many were rejected;
/// repeated attempts of a request do not count.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Requests placed at endpoints of the local region.
    pub local: u32,
    /// Requests placed at endpoints of other regions.
    pub remote: u32,
    /// Requests that were not placed.
    pub rejected: u32,
}

/// The inputs of placement besides the request and the endpoints.
pub(crate) struct PlacementContext<'a> {
    /// The index of the region that should run the request.
    pub(crate) primary: usize,
    pub(crate) warm_capacity: Option<&'a WarmCapacity>,
    pub(crate) expected: Expected,
    pub(crate) late_utility: f64,
    pub(crate) round_trips: &'a RoundTrips,
    /// The slot usage of the usable endpoints, by region index.
    pub(crate) usage: &'a [RegionUsage],
    pub(crate) now: Instant,
}

/// The slots of a region's usable endpoints, and how many of them are busy.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RegionUsage {
    pub(crate) busy: f64,
    pub(crate) slots: f64,
    /// The number of usable endpoints.
    pub(crate) endpoints: usize,
    /// Whether all endpoints of the region together have had more requests than slots.
    pub(crate) overloaded: bool,
}

impl RegionUsage {
    /// Returns the cost factor of slot time: 0 while utilization is low, 1 at full utilization.
    fn pressure(&self) -> f64 {
        let utilization = if self.slots > 0.0 {
            self.busy / self.slots
        } else {
            1.0
        };
        ((utilization - FREE_UTILIZATION) / (1.0 - FREE_UTILIZATION)).clamp(0.0, 1.0)
    }
}

/// An endpoint with its evaluation for the request.
struct Candidate {
    choice: Choice,
    utility: f64,
    /// The utility for comparison with other endpoints. It includes the risk of a refusal, which
    /// `utility` leaves out: a refused request can be retried elsewhere, so that this risk is no
    /// reason to reject it.
    ranking: f64,
    /// The expected queueing time in seconds.
    wait: f64,
    /// Whether the request would warm the object at its first preferred endpoint.
    warms_up: bool,
}

/// Returns the object's first and second preferred endpoint, by rendezvous hashing, among the
/// usable endpoints of the primary region.
fn preferred<'e>(
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'_>,
    endpoints: impl Iterator<Item = (EndpointKey, &'e Endpoint)>,
) -> [Option<EndpointKey>; 2] {
    let Some(object) = request.object else {
        return [None; 2];
    };
    let mut best: [Option<(f64, EndpointKey)>; 2] = [None; 2];
    for (key, endpoint) in endpoints.filter(|(_, e)| e.location.region == context.primary) {
        let score = rendezvous_score(u64::from(object), u64::from(endpoint.hash));
        if best[0].is_none_or(|b| score > b.0) {
            best = [Some((score, key)), best[0]];
        } else if best[1].is_none_or(|b| score > b.0) {
            best[1] = Some((score, key));
        }
    }
    best.map(|b| b.map(|(_, key)| key))
}

/// Selects the endpoint with the highest utility among the usable ones.
pub(crate) fn place<'e>(
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'_>,
    endpoints: impl Iterator<Item = (EndpointKey, &'e Endpoint)> + Clone,
) -> Placement {
    let preferred = preferred(request, context, endpoints.clone());
    let mut best: Option<Candidate> = None;
    let mut shortest_wait = f64::INFINITY;
    let mut any_usable = false;
    let remaining = request.remaining.as_secs_f64();
    for (key, endpoint) in endpoints {
        any_usable = true;
        let candidate = evaluate(request, context, &preferred, key, endpoint);
        shortest_wait = shortest_wait.min(candidate.wait);
        // Before the first answer of the route, the run time is only a guess, which is no reason to
        // reject a request while a slot is free.
        let late = candidate.choice.expected_time.as_secs_f64() > remaining;
        let reliable = context.expected.measured || !candidate.choice.slot_free;
        if late && reliable || !accepts(request, &candidate) {
            continue;
        }
        if best.as_ref().is_none_or(|b| candidate.ranking > b.ranking) {
            best = Some(candidate);
        }
    }
    match best {
        Some(candidate) => Placement::Send(candidate.choice),
        None if !any_usable => Placement::Reject {
            reason: RejectionReason::NoEndpoint,
            retry_after: Duration::from_secs(1),
        },
        None => {
            let reason = if shortest_wait < remaining {
                RejectionReason::Full
            } else {
                RejectionReason::TooLate
            };
            let min_retry_after = request.route.target_latency.mul_f64(MIN_RETRY_AFTER);
            let retry_after =
                Duration::from_secs_f64(shortest_wait.clamp(0.0, 10.0)).max(min_retry_after);
            Placement::Reject {
                reason,
                retry_after,
            }
        }
    }
}

/// Returns whether a request may be sent to an endpoint: either its utility is positive, or it
/// warms the object at its first preferred endpoint without queueing for long.
fn accepts(request: &PlacementRequest<'_>, candidate: &Candidate) -> bool {
    let target_latency = request.route.target_latency.as_secs_f64();
    candidate.utility > 0.0 || candidate.warms_up && candidate.wait < target_latency * WARM_UP_WAIT
}

/// Estimates the response time of a request at an endpoint and the utility of placing it there.
fn evaluate(
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'_>,
    preferred: &[Option<EndpointKey>; 2],
    key: EndpointKey,
    endpoint: &Endpoint,
) -> Candidate {
    let route = request.route;
    let target_latency = route.target_latency.as_secs_f64();
    let reuse_distance = request.object.and_then(|o| endpoint.warm.reuse_distance(o));
    let default = WarmCapacity::default();
    let expected_warm =
        reuse_distance.is_some_and(|r| context.warm_capacity.unwrap_or(&default).holds(r));
    let warm = expected_warm || request.object.is_none();
    // Runs are assumed to take twice as long during a cold start.
    let slowdown = if endpoint.is_cold(context.now) {
        2.0
    } else {
        1.0
    };
    let Expected {
        cold_run,
        warm_run,
        mean_run,
        ..
    } = context.expected;
    let run_time = if warm { warm_run } else { cold_run } * slowdown;
    let slots = f64::from(endpoint.record.slots.max(1));
    let in_flight = endpoint.outstanding(context.now);
    let slot_free = in_flight + 1.0 <= slots;
    let wait = if slot_free {
        0.0
    } else {
        (in_flight - slots + 1.0) / slots * mean_run * slowdown
    };
    let traffic_cost = match endpoint.location.distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => ZONE_COST,
        Distance::OtherRegion => REGION_COST,
    };
    let way = route.round_trips() * context.round_trips.get(endpoint.location);
    let total = wait + run_time + way;
    let slack = target_latency - request.elapsed.as_secs_f64();
    let spread = RUN_TIME_SPREAD * (run_time + wait) + 0.01;
    // The probability of an answer within the target latency, if response times are distributed
    // uniformly within `spread` seconds of the estimate.
    let on_time = (0.5 + (slack - total) / (2.0 * spread)).clamp(0.0, 1.0);
    let value = on_time + (1.0 - on_time) * context.late_utility;
    let pressure = context.usage[endpoint.location.region].pressure();
    let preference = preferred.iter().position(|p| *p == Some(key));
    let cold_factor = if warm {
        1.0
    } else {
        COLD_OBJECT_FACTOR[preference.unwrap_or(2)]
    };
    let in_primary = endpoint.location.region == context.primary;
    let off_primary = if in_primary { 0.0 } else { OFF_PRIMARY_COST };
    let probes = in_primary && endpoint.should_probe && !endpoint.contacted;
    let utility = value * (1.0 - endpoint.failure_rate(context.now))
        - traffic_cost
        - off_primary
        - LATENCY_COST * total / target_latency
        - SLOT_TIME_COST * pressure * (1.0 + (run_time / warm_run - 1.0) * cold_factor)
        + preference.map_or(0.0, |p| PREFERENCE_BONUS[p])
        + if probes { PROBE_BONUS } else { 0.0 };
    let expected_time = Duration::from_secs_f64(total.min(3_600.0));
    let choice = Choice {
        key,
        expected_time,
        warm,
        reuse_distance,
        in_flight,
        slot_free,
        ended: None,
    };
    Candidate {
        choice,
        utility,
        ranking: utility - value * endpoint.refusal_rate(context.now),
        wait,
        // Warming an object takes the slots of several runs with warm objects.
        warms_up: preference == Some(0)
            && !warm
            && !context.usage[endpoint.location.region].overloaded,
    }
}
