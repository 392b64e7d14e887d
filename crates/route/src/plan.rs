//! Planned moves, drains and caps that apply to this host.

use std::time::Instant;

use wagtail_types::{RegionId, ServiceId, ZoneId};

use crate::mutant::Fault;
use crate::shift::ShiftLimiter;
use crate::topology::{Cap, CapSpec, Drain, MoveSpec, Topology};

/// Holds the planned moves, drains and caps that apply to this host.
#[derive(Debug)]
pub(crate) struct ShiftPlan {
    zone: ZoneId,
    region: RegionId,
    limiters: Vec<ShiftLimiter>,
    moves: Vec<ActiveMove>,
    drains: Vec<Drain>,
    draining: bool,
    fault: Fault,
}

/// A planned move of this region's traffic.
#[derive(Debug, Clone)]
struct ActiveMove {
    spec: MoveSpec,
    /// Requests that the move may take now.
    credit: f64,
    /// The share that was reached when the move was added or last changed.
    base_share: f64,
    started: Instant,
}

impl ShiftPlan {
    pub(crate) fn new(zone: ZoneId, region: RegionId, fault: Fault) -> Self {
        Self {
            zone,
            region,
            limiters: Vec::new(),
            moves: Vec::new(),
            drains: Vec::new(),
            draining: false,
            fault,
        }
    }

    /// Applies a configuration; the credit of regions that stay is kept.
    pub(crate) fn configure(&mut self, now: Instant, topology: &Topology) {
        self.set_limiters(now, topology);
        let known = std::mem::take(&mut self.moves);
        let moves = topology.moves.iter().filter(|m| m.from == self.region);
        self.moves = moves
            .map(|spec| ActiveMove::new(now, spec, &known))
            .collect();
        self.drains.clone_from(&topology.drains);
        self.draining = self.is_drained(&self.zone, &self.region);
    }

    fn set_limiters(&mut self, now: Instant, topology: &Topology) {
        let mut regions: Vec<_> = topology.zones.iter().map(|zone| &zone.region).collect();
        regions.sort();
        regions.dedup();
        self.limiters
            .retain(|limiter| regions.contains(&&limiter.region));
        for region in regions {
            let cap = tightest_cap(&topology.caps, &self.region, region);
            match self
                .limiters
                .iter_mut()
                .find(|limiter| limiter.region == *region)
            {
                Some(limiter) => limiter.set_cap(now, cap),
                None => self
                    .limiters
                    .push(ShiftLimiter::new(region.clone(), cap, now, self.fault)),
            }
        }
    }

    /// Counts a request of a caller of this host.
    pub(crate) fn count_request(&mut self, now: Instant, service: &ServiceId) {
        for limiter in &mut self.limiters {
            limiter.count_request(now);
        }
        for active in &mut self.moves {
            if active.applies_to(service) {
                active.credit = active.credit.min(1.0) + active.share(now);
            }
        }
    }

    /// Returns the region that a planned move sends this request to.
    pub(crate) fn move_target(&mut self, now: Instant, service: &ServiceId) -> Option<RegionId> {
        for active in self.moves.iter().filter(|m| m.applies_to(service)) {
            if let Some(limiter) = self
                .limiters
                .iter_mut()
                .find(|l| l.region == active.spec.to)
            {
                limiter.record_demand(now);
            }
        }
        let ready = |active: &&ActiveMove| active.applies_to(service) && active.credit >= 1.0;
        self.moves.iter().find(ready).map(|m| m.spec.to.clone())
    }

    /// Records that a request was sent to the region of a planned move.
    pub(crate) fn record_move(&mut self, service: &ServiceId, region: &RegionId) {
        let matches =
            |m: &&mut ActiveMove| m.applies_to(service) && m.spec.to == *region && m.credit >= 1.0;
        if let Some(active) = self.moves.iter_mut().find(matches) {
            active.credit -= 1.0;
        }
    }

    /// Returns whether this host's zone or region is drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether this host's zone or region is drained and the caps allow all of its traffic
    /// to be sent elsewhere.
    pub(crate) fn is_vacated(&mut self, now: Instant) -> bool {
        const ALL: f64 = 1.0 - 1e-9;
        if !self.draining {
            return false;
        }
        let own = &self.region;
        let region_drained = self.drains.contains(&Drain::Region(own.clone()));
        let limiters = self.limiters.iter_mut();
        let limiters = limiters.filter(|limiter| !region_drained || limiter.region != *own);
        limiters
            .map(|limiter| limiter.allowed_share(now))
            .sum::<f64>()
            >= ALL
    }

    /// Records demand for planned moves and drains, so that their caps keep growing while no
    /// request arrives.
    pub(crate) fn tick(&mut self, now: Instant) {
        for limiter in &mut self.limiters {
            let needed = |active: &ActiveMove| active.spec.to == limiter.region;
            if self.draining || self.moves.iter().any(needed) {
                limiter.record_demand(now);
            }
        }
    }

    /// Returns whether a zone or its region is drained.
    pub(crate) fn is_drained(&self, zone: &ZoneId, region: &RegionId) -> bool {
        self.drains.iter().any(|drain| match drain {
            Drain::Zone(id) => id == zone,
            Drain::Region(id) => id == region,
            Drain::Endpoint(_) => false,
        })
    }

    /// Returns whether one more request may be shifted to a region, and records the demand.
    pub(crate) fn can_shift(&mut self, now: Instant, region: &RegionId) -> bool {
        let limiter = self
            .limiters
            .iter_mut()
            .find(|limiter| limiter.region == *region);
        limiter.is_some_and(|limiter| limiter.can_shift(now))
    }

    /// Spends the credit for shifting a request to a region.
    pub(crate) fn try_shift(&mut self, now: Instant, region: &RegionId) -> bool {
        let limiter = self
            .limiters
            .iter_mut()
            .find(|limiter| limiter.region == *region);
        limiter.is_some_and(|limiter| limiter.try_shift(now))
    }

    /// Returns the share of this region's traffic that may be shifted to each other region now.
    pub(crate) fn allowed_shares(&mut self, now: Instant) -> Vec<(RegionId, f64)> {
        let region = &self.region;
        let far = self
            .limiters
            .iter_mut()
            .filter(|limiter| limiter.region != *region);
        far.map(|limiter| (limiter.region.clone(), limiter.allowed_share(now)))
            .collect()
    }
}

impl ActiveMove {
    fn new(now: Instant, spec: &MoveSpec, known: &[Self]) -> Self {
        let old = known
            .iter()
            .find(|active| active.spec.to == spec.to && active.spec.service == spec.service);
        match old {
            Some(old) if old.spec == *spec => old.clone(),
            _ => Self {
                spec: spec.clone(),
                credit: 0.0,
                base_share: old.map_or(0.0, |old| old.share(now)),
                started: now,
            },
        }
    }

    /// Returns the share that should move now.
    fn share(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        let ramp = self.spec.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        let target = self.spec.share.as_f64();
        self.base_share + (target - self.base_share) * (elapsed / ramp).min(1.0)
    }

    fn applies_to(&self, service: &ServiceId) -> bool {
        self.spec
            .service
            .as_ref()
            .is_none_or(|only| only == service)
    }
}

/// Returns the tightest cap on traffic between two regions; fallback caps count only without
/// any other.
fn tightest_cap(caps: &[CapSpec], from: &RegionId, to: &RegionId) -> Cap {
    let matches = |end: &Option<RegionId>, id| end.as_ref().is_none_or(|region| region == id);
    let tightest = |fallback| {
        caps.iter()
            .filter(|spec| spec.fallback == fallback)
            .filter(|spec| matches(&spec.from, from) && matches(&spec.to, to))
            .map(|spec| spec.cap)
            .reduce(Cap::tighter)
    };
    tightest(false)
        .or_else(|| tightest(true))
        .unwrap_or_default()
}
