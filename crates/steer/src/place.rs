//! Which endpoint runs a request, or why none does.

use std::rc::Rc;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use crate::config::Route;
use crate::endpoint::{Endpoint, EndpointKey, Way};
use crate::estimate::Expected;
use crate::hash::score;
use crate::warm::Kept;

/// The part of a request's worth that bytes between zones of a region cost.
const ZONE_COST: f64 = 0.02;
/// The part of a request's worth that bytes between regions cost.
const REGION_COST: f64 = 0.06;
/// The time there and back within a zone, between zones and between regions, before any was
/// measured.
const TRIPS: [f64; 3] = [0.001, 0.004, 0.045];
/// The spread of running times around their estimate, as a part of it.
const SPREAD: f64 = 0.2;
/// The worth of an object's first and second endpoint against others that are equal.
const PREFER: [f64; 2] = [0.05, 0.025];
/// The price of a run at an endpoint that does not know the object, beyond a warm run's: at the
/// object's first and second endpoint, which learn it for later, and elsewhere, where it displaces
/// an object that belongs there.
const COLD_PRICE: [f64; 3] = [0.2, 0.7, 2.0];
/// The wait, in aims, up to which a request joins its first endpoint to make it learn the object.
const LEARN_WAIT: f64 = 0.5;
/// The price of running a request in another region than the one that its object belongs to.
const OFF_PRIMARY: f64 = 0.15;
/// The worth of the first request to an endpoint: what it shows serves all later ones.
const FIRST_USE: f64 = 0.5;
/// The price of the time a request takes, for each aim.
const TIME_PRICE: f64 = 0.1;
/// The use of slots above which slot time has a price.
const FREE_USE: f64 = 0.5;
/// The price of slot time at full use, for each running time of a warm request.
const SLOT_PRICE: f64 = 0.35;
/// The least time to say to a caller that is refused.
const LEAST_WAIT: Duration = Duration::from_millis(150);

/// A request that looks for an endpoint.
#[derive(Debug)]
pub struct Ask<'a> {
    /// Its route.
    pub route: &'a Rc<Route>,
    /// The service that it is for.
    pub service: &'a ServiceId,
    /// The object that it concerns, if the route is sticky.
    pub object: Option<u32>,
    /// The regions that may run it; empty allows all.
    pub homes: &'a [RegionId],
    /// Endpoints that it was sent to before.
    pub tried: &'a [EndpointKey],
    /// The time since it arrived.
    pub gone: Duration,
    /// The time until it must have its answer.
    pub left: Duration,
}

/// Why a request found no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// No endpoint of the service may be used.
    NoEndpoint,
    /// Every endpoint is too busy to answer in time.
    Full,
    /// No endpoint can answer before the deadline.
    TooLate,
}

/// An endpoint for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// The time that the answer is expected to take from now.
    pub expected: Duration,
    /// Whether the endpoint is taken to know the object.
    pub warm: bool,
    /// How many objects the endpoint handled since this one, if it handled it.
    pub rank: Option<usize>,
    /// Requests at the endpoint before this one.
    pub queue: f64,
    /// Whether no wait for a slot is expected.
    pub free: bool,
}

/// The outcome of looking for an endpoint.
#[derive(Debug, Clone)]
pub enum Placement {
    /// Send it there.
    Send(Choice),
    /// Refuse it.
    Refuse {
        /// Why.
        miss: Miss,
        /// When room is expected.
        retry: Duration,
    },
}

/// What placement reads besides the endpoints.
pub(crate) struct View<'a> {
    /// The region that should run the request.
    pub(crate) primary: usize,
    pub(crate) kept: Option<&'a Kept>,
    pub(crate) expected: Expected,
    pub(crate) late_worth: f64,
    /// The usable endpoints' slots, by region.
    pub(crate) used: &'a [Use],
    pub(crate) now: Instant,
}

/// Slots of a region, and those at work.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Use {
    pub(crate) busy: f64,
    pub(crate) slots: f64,
    /// The number of usable endpoints.
    pub(crate) endpoints: usize,
}

impl Use {
    /// The price of slot time: none while slots are free, 1 with all at work.
    fn pressure(&self) -> f64 {
        let part = if self.slots > 0.0 {
            self.busy / self.slots
        } else {
            1.0
        };
        ((part - FREE_USE) / (1.0 - FREE_USE)).clamp(0.0, 1.0)
    }
}

struct Candidate {
    choice: Choice,
    worth: f64,
    /// The worth against other endpoints. A refusal leaves the request to be tried elsewhere, so that
    /// the chance of one is no reason to send it nowhere.
    rank: f64,
    wait: f64,
    /// Whether the request makes the object's first endpoint learn it.
    learns: bool,
}

/// An object's first and second endpoint among the usable ones of its region.
fn preferred<'e>(
    ask: &Ask<'_>,
    view: &View<'_>,
    endpoints: impl Iterator<Item = (EndpointKey, &'e Endpoint)>,
) -> [Option<EndpointKey>; 2] {
    let Some(object) = ask.object else {
        return [None; 2];
    };
    let mut best: [Option<(f64, EndpointKey)>; 2] = [None; 2];
    for (key, endpoint) in endpoints.filter(|(_, e)| e.site.region == view.primary) {
        let score = score(u64::from(object), u64::from(endpoint.hash));
        if best[0].is_none_or(|b| score > b.0) {
            best = [Some((score, key)), best[0]];
        } else if best[1].is_none_or(|b| score > b.0) {
            best[1] = Some((score, key));
        }
    }
    best.map(|b| b.map(|(_, key)| key))
}

/// Picks the best of the usable endpoints.
pub(crate) fn place<'e>(
    ask: &Ask<'_>,
    view: &View<'_>,
    endpoints: impl Iterator<Item = (EndpointKey, &'e Endpoint)> + Clone,
) -> Placement {
    let preferred = preferred(ask, view, endpoints.clone());
    let mut best: Option<Candidate> = None;
    let mut soonest = f64::INFINITY;
    let mut any = false;
    let left = ask.left.as_secs_f64();
    for (key, endpoint) in endpoints {
        any = true;
        let candidate = weigh(ask, view, &preferred, key, endpoint);
        soonest = soonest.min(candidate.wait);
        // A mere guess is no reason to refuse where a slot is free.
        let late = candidate.choice.expected.as_secs_f64() > left;
        let known = view.expected.known || !candidate.choice.free;
        if late && known || !accepts(ask, &candidate) {
            continue;
        }
        if best.as_ref().is_none_or(|b| candidate.rank > b.rank) {
            best = Some(candidate);
        }
    }
    match best {
        Some(candidate) => Placement::Send(candidate.choice),
        None if !any => Placement::Refuse {
            miss: Miss::NoEndpoint,
            retry: Duration::from_secs(1),
        },
        None => {
            let miss = if soonest < left {
                Miss::Full
            } else {
                Miss::TooLate
            };
            let retry = Duration::from_secs_f64(soonest.clamp(0.0, 10.0)).max(LEAST_WAIT);
            Placement::Refuse { miss, retry }
        }
    }
}

/// Whether a request may join an endpoint's queue: it is worth its slot time, or makes the object's
/// first endpoint learn it.
fn accepts(ask: &Ask<'_>, candidate: &Candidate) -> bool {
    let aim = ask.route.aim.as_secs_f64();
    candidate.worth > 0.0 || candidate.learns && candidate.wait < aim * LEARN_WAIT
}

fn weigh(
    ask: &Ask<'_>,
    view: &View<'_>,
    preferred: &[Option<EndpointKey>; 2],
    key: EndpointKey,
    endpoint: &Endpoint,
) -> Candidate {
    let route = ask.route;
    let aim = route.aim.as_secs_f64();
    let rank = ask.object.and_then(|o| endpoint.warm.rank(o));
    let first = Kept::default();
    let known = rank.is_some_and(|r| view.kept.unwrap_or(&first).keeps(r));
    let warm = known || ask.object.is_none();
    let slow = endpoint.slowness(view.now) * if endpoint.is_cold(view.now) { 2.0 } else { 1.0 };
    let Expected {
        plain,
        warm: base,
        each,
        ..
    } = view.expected;
    let run = if warm { base } else { plain } * slow;
    let slots = f64::from(endpoint.record.slots.max(1));
    let queue = endpoint.outstanding(view.now);
    let free = queue + 1.0 <= slots;
    let wait = if free {
        0.0
    } else {
        (queue - slots + 1.0) / slots * each * slow
    };
    let (trip, crossing) = match endpoint.site.way {
        Way::Zone => (TRIPS[0], 0.0),
        Way::Region => (TRIPS[1], ZONE_COST),
        Way::Away => (TRIPS[2], REGION_COST),
    };
    let total = wait + run + trip;
    let slack = aim - ask.gone.as_secs_f64();
    let spread = SPREAD * (run + wait) + 0.01;
    let chance = (0.5 + (slack - total) / (2.0 * spread)).clamp(0.0, 1.0);
    let credit = chance + (1.0 - chance) * view.late_worth;
    let pressure = view.used[endpoint.site.region].pressure();
    let place = preferred.iter().position(|p| *p == Some(key));
    let cold = if warm {
        1.0
    } else {
        COLD_PRICE[place.unwrap_or(2)]
    };
    let away = if endpoint.site.region == view.primary {
        0.0
    } else {
        OFF_PRIMARY
    };
    let untried = endpoint.untried && !endpoint.used;
    let worth = credit * (1.0 - endpoint.failing(view.now))
        - crossing
        - away
        - TIME_PRICE * total / aim
        - SLOT_PRICE * pressure * (1.0 + (run / base - 1.0) * cold)
        + place.map_or(0.0, |p| PREFER[p])
        + if untried { FIRST_USE } else { 0.0 };
    let expected = Duration::from_secs_f64(total.min(3_600.0));
    let choice = Choice {
        key,
        expected,
        warm,
        rank,
        queue,
        free,
    };
    Candidate {
        choice,
        worth,
        rank: worth - credit * endpoint.shedding(view.now),
        wait,
        learns: place == Some(0) && !warm,
    }
}
