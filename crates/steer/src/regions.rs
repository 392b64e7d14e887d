//! Slowly changing weights that distribute the requests of a region over all regions.
//!
//! Every region keeps the requests that fit its own slots; the excess goes to regions with spare
//! slots. An object belongs to one region at a time, so that its requests reach endpoints where it
//! is warm. Weights change slowly, because moving many requests at once sends them to endpoints
//! where none of their objects is warm.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

/// The slot utilization of a region up to which it keeps its own requests.
pub(crate) const MAX_LOCAL_UTILIZATION: f64 = 0.75;

/// Demand and capacity of one region, in slots.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegionLoad {
    /// Slots needed by requests that arrive in the region and may run in any region.
    pub(crate) demand: f64,
    /// Slots needed by requests that no other region may run.
    pub(crate) pinned: f64,
    /// Slots of usable endpoints.
    pub(crate) slots: f64,
}

/// The limit on how fast weights may move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShiftLimit {
    /// The time of the first request.
    pub(crate) first_request: Option<Instant>,
    /// The share that may move in one window.
    pub(crate) max_shift: f64,
    pub(crate) window: Duration,
}

/// The distribution of one service's requests that arrive in the local region.
#[derive(Debug)]
struct Weights {
    shares: Vec<(RegionId, f64)>,
    updated_at: Instant,
    /// The integral over time, since the first request, of the share that runs in other regions, in
    /// seconds.
    remote_seconds: f64,
}

impl Weights {
    /// Returns the fraction of the move to `target` that is allowed now. `lost` is the share of
    /// regions without any slots, which may move at once; `elapsed` is the time in seconds since
    /// the last update.
    ///
    /// In the first window there is no earlier window to compare with; there, the share in other
    /// regions may differ from its mean since the first request by at most `max_shift * window /
    /// age`, because the second window starts from the share at that point and is compared with
    /// that mean.
    fn allowed_fraction(
        &self,
        target: &[(RegionId, f64)],
        lost: f64,
        elapsed: f64,
        limit: ShiftLimit,
        now: Instant,
    ) -> f64 {
        let ShiftLimit {
            first_request,
            max_shift,
            window,
        } = limit;
        let window = window.as_secs_f64();
        let age = first_request.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let moved: f64 = target
            .iter()
            .map(|(r, t)| (t - self.share(r)).max(0.0))
            .sum();
        if moved <= 0.0 || age <= 0.0 {
            return 1.0;
        }
        if age >= window {
            let step = max_shift * (elapsed / window).min(1.0);
            return (step.max(lost) / moved).min(1.0);
        }
        let (current, then) = (remote_share(&self.shares), remote_share(target));
        let bounded = then.clamp(
            (self.remote_seconds - max_shift * window) / age,
            (self.remote_seconds + max_shift * window) / age,
        );
        if (then - current).abs() < f64::EPSILON {
            return 1.0;
        }
        ((bounded - current) / (then - current)).clamp((lost / moved).min(1.0), 1.0)
    }

    fn share(&self, region: &RegionId) -> f64 {
        let found = self.shares.iter().find(|(r, _)| r == region);
        found.map_or(0.0, |(_, share)| *share)
    }
}

/// Returns the share that runs in other regions; the local region comes first in `shares`.
fn remote_share(shares: &[(RegionId, f64)]) -> f64 {
    shares.iter().skip(1).map(|(_, share)| share).sum()
}

/// The region weights of all services.
#[derive(Debug, Default)]
pub(crate) struct RegionWeights {
    services: HashMap<ServiceId, Weights>,
}

impl RegionWeights {
    /// Moves the weights of a service towards the distribution that demand and capacity call for.
    ///
    /// A region without any slots is abandoned at once.
    pub(crate) fn update(
        &mut self,
        service: &ServiceId,
        local: &RegionId,
        loads: &HashMap<RegionId, RegionLoad>,
        limit: ShiftLimit,
        now: Instant,
    ) {
        let target = target(local, loads);
        let weights = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Weights {
                shares: vec![(local.clone(), 1.0)],
                updated_at: now,
                remote_seconds: 0.0,
            });
        let elapsed = now.duration_since(weights.updated_at).as_secs_f64();
        weights.updated_at = now;
        if let Some(first_request) = limit.first_request {
            let since = now.duration_since(first_request).as_secs_f64().min(elapsed);
            weights.remote_seconds += remote_share(&weights.shares) * since;
        }
        let lost: f64 = loads
            .iter()
            .filter(|(_, l)| l.slots <= 0.0)
            .map(|(r, _)| weights.share(r))
            .sum();
        let fraction = weights.allowed_fraction(&target, lost, elapsed, limit, now);
        let old = |region: &RegionId| weights.share(region);
        let shares: Vec<_> = target
            .iter()
            .map(|(r, t)| (r.clone(), old(r) + (t - old(r)) * fraction))
            .collect();
        weights.shares = shares;
    }

    /// Returns the region for a point in 0 to 1. When weights move, only few points change their
    /// region.
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

/// Returns the distribution that demand and capacity call for, with the local region first.
fn target(local: &RegionId, loads: &HashMap<RegionId, RegionLoad>) -> Vec<(RegionId, f64)> {
    let free_slots = |l: &RegionLoad| (l.slots * MAX_LOCAL_UTILIZATION - l.pinned).max(0.0);
    let spare = |l: &RegionLoad| (free_slots(l) - l.demand).max(0.0);
    let excess = |l: &RegionLoad| (l.demand - free_slots(l)).max(0.0);
    let total_spare: f64 = loads.values().map(spare).sum();
    let total_excess: f64 = loads.values().map(excess).sum();
    let own = loads.get(local).copied().unwrap_or_default();
    let accepted = if total_excess > 0.0 {
        (total_spare / total_excess).min(1.0)
    } else {
        0.0
    };
    let mut remote = if own.demand > 0.0 {
        excess(&own) * accepted / own.demand
    } else {
        0.0
    };
    if own.slots <= 0.0 && loads.values().any(|l| l.slots > 0.0) {
        remote = 1.0;
    }
    let slots: f64 = loads
        .iter()
        .filter(|(r, _)| *r != local)
        .map(|(_, l)| l.slots)
        .sum();
    let mut others: Vec<_> = loads.iter().filter(|(r, _)| *r != local).collect();
    others.sort_by(|a, b| a.0.cmp(b.0));
    let portion = |l: &RegionLoad| match (total_spare > 0.0, slots > 0.0) {
        (true, _) => spare(l) / (total_spare - spare(&own)).max(f64::MIN_POSITIVE),
        (false, true) => l.slots / slots,
        (false, false) => 0.0,
    };
    let mut shares = vec![(local.clone(), 1.0 - remote)];
    shares.extend(
        others
            .into_iter()
            .map(|(r, l)| (r.clone(), remote * portion(l).min(1.0))),
    );
    shares
}
