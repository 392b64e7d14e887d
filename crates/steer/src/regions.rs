//! Which region runs what: slow weights from demand and capacity.
//!
//! Every region keeps what fits its own slots; what does not goes to regions with slots to spare.
//! An object belongs to one region at a time, so that its requests meet endpoints that know it.
//! Weights move slowly, as a move of many requests meets endpoints that know nothing of them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

/// The use of a region's slots up to which its own requests stay.
const FULL_USE: f64 = 0.75;

/// Demand and capacity of one region, in slots.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegionLoad {
    /// Slots that the region's callers would keep busy, where they may run anywhere.
    pub(crate) demand: f64,
    /// Slots that requests keep busy which no other region may run.
    pub(crate) bound: f64,
    /// Slots of usable endpoints.
    pub(crate) slots: f64,
}

/// How fast weights may move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// The time of the first request.
    pub(crate) first: Option<Instant>,
    /// The share that may move in a window.
    pub(crate) most: f64,
    pub(crate) window: Duration,
}

/// The shares of regions in running this region's requests for one service.
#[derive(Debug)]
struct Weights {
    shares: Vec<(RegionId, f64)>,
    at: Instant,
    /// The sum over time, since the first request, of the share that runs in other regions, in seconds.
    away: f64,
}

impl Weights {
    /// The part of a move to `target` that is allowed now. In the first window there is none before to
    /// move slowly from, but its end must not differ from its mean by more than may move in a window:
    /// the second one starts there.
    fn part(
        &self,
        target: &[(RegionId, f64)],
        dead: f64,
        gone: f64,
        pace: Pace,
        now: Instant,
    ) -> f64 {
        let Pace {
            first,
            most,
            window,
        } = pace;
        let window = window.as_secs_f64();
        let age = first.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let moved: f64 = target
            .iter()
            .map(|(r, t)| (t - self.share(r)).max(0.0))
            .sum();
        if moved <= 0.0 || age <= 0.0 {
            return 1.0;
        }
        if age >= window {
            let step = most * (gone / window).min(1.0);
            return (step.max(dead) / moved).min(1.0);
        }
        let (now_away, then) = (away(&self.shares), away(target));
        let within = then.clamp(
            (self.away - most * window) / age,
            (self.away + most * window) / age,
        );
        if (then - now_away).abs() < f64::EPSILON {
            return 1.0;
        }
        ((within - now_away) / (then - now_away)).clamp((dead / moved).min(1.0), 1.0)
    }

    fn share(&self, region: &RegionId) -> f64 {
        let found = self.shares.iter().find(|(r, _)| r == region);
        found.map_or(0.0, |(_, share)| *share)
    }
}

/// The share that runs in other regions; the home region is the first one.
fn away(shares: &[(RegionId, f64)]) -> f64 {
    shares.iter().skip(1).map(|(_, share)| share).sum()
}

/// The weights of all services.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    services: HashMap<ServiceId, Weights>,
}

impl Regions {
    /// Moves the weights of a service towards what demand and capacity ask for.
    ///
    /// A region without any slots is left at once.
    pub(crate) fn update(
        &mut self,
        service: &ServiceId,
        home: &RegionId,
        loads: &HashMap<RegionId, RegionLoad>,
        pace: Pace,
        now: Instant,
    ) {
        let target = target(home, loads);
        let weights = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Weights {
                shares: vec![(home.clone(), 1.0)],
                at: now,
                away: 0.0,
            });
        let gone = now.duration_since(weights.at).as_secs_f64();
        weights.at = now;
        if let Some(first) = pace.first {
            let since = now.duration_since(first).as_secs_f64().min(gone);
            weights.away += away(&weights.shares) * since;
        }
        let dead: f64 = loads
            .iter()
            .filter(|(_, l)| l.slots <= 0.0)
            .map(|(r, _)| weights.share(r))
            .sum();
        let part = weights.part(&target, dead, gone, pace, now);
        let old = |region: &RegionId| weights.share(region);
        let shares: Vec<_> = target
            .iter()
            .map(|(r, t)| (r.clone(), old(r) + (t - old(r)) * part))
            .collect();
        weights.shares = shares;
    }

    /// The region of a point in 0 to 1; as weights move, few points change their region.
    pub(crate) fn pick(&self, service: &ServiceId, point: f64) -> Option<&RegionId> {
        let shares = &self.services.get(service)?.shares;
        let mut sum = 0.0;
        for (region, share) in shares {
            sum += share;
            if point < sum {
                return Some(region);
            }
        }
        shares.first().map(|(r, _)| r)
    }
}

/// The shares that demand and capacity ask for, the home region first.
fn target(home: &RegionId, loads: &HashMap<RegionId, RegionLoad>) -> Vec<(RegionId, f64)> {
    let left = |l: &RegionLoad| (l.slots * FULL_USE - l.bound).max(0.0);
    let room = |l: &RegionLoad| (left(l) - l.demand).max(0.0);
    let excess = |l: &RegionLoad| (l.demand - left(l)).max(0.0);
    let spare: f64 = loads.values().map(room).sum();
    let wanted: f64 = loads.values().map(excess).sum();
    let own = loads.get(home).copied().unwrap_or_default();
    let granted = if wanted > 0.0 {
        (spare / wanted).min(1.0)
    } else {
        0.0
    };
    let mut away = if own.demand > 0.0 {
        excess(&own) * granted / own.demand
    } else {
        0.0
    };
    if own.slots <= 0.0 && loads.values().any(|l| l.slots > 0.0) {
        away = 1.0;
    }
    let slots: f64 = loads
        .iter()
        .filter(|(r, _)| *r != home)
        .map(|(_, l)| l.slots)
        .sum();
    let mut others: Vec<_> = loads.iter().filter(|(r, _)| *r != home).collect();
    others.sort_by(|a, b| a.0.cmp(b.0));
    let part = |l: &RegionLoad| match (spare > 0.0, slots > 0.0) {
        (true, _) => room(l) / (spare - room(&own)).max(f64::MIN_POSITIVE),
        (false, true) => l.slots / slots,
        (false, false) => 0.0,
    };
    let mut shares = vec![(home.clone(), 1.0 - away)];
    shares.extend(
        others
            .into_iter()
            .map(|(r, l)| (r.clone(), away * part(l).min(1.0))),
    );
    shares
}
