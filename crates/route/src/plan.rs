//! Planned moves, drains and caps that apply to this host.

use std::time::Instant;

use wagtail_types::{RegionId, ServiceId, ZoneId};

use crate::moves::Gate;
use crate::mutant::Fault;
use crate::topology::{Cap, CapSpec, Drain, MoveSpec, Topology};

/// Holds the planned moves, drains and caps that apply to this host.
#[derive(Debug)]
pub(crate) struct Plan {
    zone: ZoneId,
    region: RegionId,
    gates: Vec<Gate>,
    moves: Vec<Steer>,
    drained: Vec<Drain>,
    leave: bool,
    fault: Fault,
}

/// A planned move of this region's traffic.
#[derive(Debug, Clone)]
struct Steer {
    spec: MoveSpec,
    credit: f64,
    /// The share that was reached when the move was added or last changed.
    base: f64,
    since: Instant,
}

impl Plan {
    pub(crate) fn new(zone: ZoneId, region: RegionId, fault: Fault) -> Self {
        Self {
            zone,
            region,
            gates: Vec::new(),
            moves: Vec::new(),
            drained: Vec::new(),
            leave: false,
            fault,
        }
    }

    /// Applies a configuration; the credit of regions that stay is kept.
    pub(crate) fn configure(&mut self, now: Instant, topology: &Topology) {
        self.set_gates(now, topology);
        let known = std::mem::take(&mut self.moves);
        let moves = topology.moves.iter().filter(|m| m.from == self.region);
        self.moves = moves.map(|spec| Steer::new(now, spec, &known)).collect();
        self.drained.clone_from(&topology.drains);
        self.leave = self.is_drained(&self.zone, &self.region);
    }

    fn set_gates(&mut self, now: Instant, topology: &Topology) {
        let mut regions: Vec<_> = topology.zones.iter().map(|zone| &zone.region).collect();
        regions.sort();
        regions.dedup();
        self.gates.retain(|gate| regions.contains(&&gate.region));
        for region in regions {
            let cap = cap(&topology.caps, &self.region, region);
            match self.gates.iter_mut().find(|gate| gate.region == *region) {
                Some(gate) => gate.set_cap(now, cap),
                None => self
                    .gates
                    .push(Gate::new(region.clone(), cap, now, self.fault)),
            }
        }
    }

    /// Counts a request of a caller of this host.
    pub(crate) fn count(&mut self, now: Instant, service: &ServiceId) {
        for gate in &mut self.gates {
            gate.count(now);
        }
        for steer in &mut self.moves {
            if steer.is_for(service) {
                steer.credit = steer.credit.min(1.0) + steer.share(now);
            }
        }
    }

    /// Returns the region that a planned move sends this request to.
    pub(crate) fn target(&mut self, now: Instant, service: &ServiceId) -> Option<RegionId> {
        for steer in self.moves.iter().filter(|s| s.is_for(service)) {
            if let Some(gate) = self.gates.iter_mut().find(|g| g.region == steer.spec.to) {
                gate.want(now);
            }
        }
        let due = |steer: &&Steer| steer.is_for(service) && steer.credit >= 1.0;
        self.moves.iter().find(due).map(|s| s.spec.to.clone())
    }

    /// Records that a request was sent to the region of a planned move.
    pub(crate) fn steered(&mut self, service: &ServiceId, region: &RegionId) {
        let is = |s: &&mut Steer| s.is_for(service) && s.spec.to == *region && s.credit >= 1.0;
        if let Some(steer) = self.moves.iter_mut().find(is) {
            steer.credit -= 1.0;
        }
    }

    /// Returns whether this host's zone or region is drained.
    pub(crate) fn leaves(&self) -> bool {
        self.leave
    }

    /// Returns whether this host's zone is drained and the caps allow all of its traffic to be
    /// sent elsewhere.
    pub(crate) fn has_left(&mut self, now: Instant) -> bool {
        const ALL: f64 = 1.0 - 1e-9;
        if !self.leave {
            return false;
        }
        let own = &self.region;
        let whole = self.drained.contains(&Drain::Region(own.clone()));
        let gates = self.gates.iter_mut();
        let gates = gates.filter(|gate| !whole || gate.region != *own);
        gates.map(|gate| gate.open(now)).sum::<f64>() >= ALL
    }

    /// Records demand for planned moves and drains, so that their caps keep growing while no
    /// request arrives.
    pub(crate) fn tick(&mut self, now: Instant) {
        for gate in &mut self.gates {
            let needed = |steer: &Steer| steer.spec.to == gate.region;
            if self.leave || self.moves.iter().any(needed) {
                gate.want(now);
            }
        }
    }

    /// Returns whether a zone or its region is drained.
    pub(crate) fn is_drained(&self, zone: &ZoneId, region: &RegionId) -> bool {
        self.drained.iter().any(|drain| match drain {
            Drain::Zone(id) => id == zone,
            Drain::Region(id) => id == region,
            Drain::Endpoint(_) => false,
        })
    }

    /// Returns whether one more request may be shifted to a region, and records the demand.
    pub(crate) fn may(&mut self, now: Instant, region: &RegionId) -> bool {
        let gate = self.gates.iter_mut().find(|gate| gate.region == *region);
        gate.is_some_and(|gate| gate.may(now))
    }

    /// Spends the credit for shifting a request to a region.
    pub(crate) fn take(&mut self, now: Instant, region: &RegionId) -> bool {
        let gate = self.gates.iter_mut().find(|gate| gate.region == *region);
        gate.is_some_and(|gate| gate.take(now))
    }

    /// Returns the share of this region's traffic that may be shifted to each other region now.
    pub(crate) fn open(&mut self, now: Instant) -> Vec<(RegionId, f64)> {
        let region = &self.region;
        let far = self.gates.iter_mut().filter(|gate| gate.region != *region);
        far.map(|gate| (gate.region.clone(), gate.open(now)))
            .collect()
    }
}

impl Steer {
    fn new(now: Instant, spec: &MoveSpec, known: &[Self]) -> Self {
        let old = known
            .iter()
            .find(|steer| steer.spec.to == spec.to && steer.spec.service == spec.service);
        match old {
            Some(old) if old.spec == *spec => old.clone(),
            _ => Self {
                spec: spec.clone(),
                credit: 0.0,
                base: old.map_or(0.0, |old| old.share(now)),
                since: now,
            },
        }
    }

    /// Returns the share that should move now.
    fn share(&self, now: Instant) -> f64 {
        let gone = now.saturating_duration_since(self.since).as_secs_f64();
        let ramp = self.spec.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        let target = self.spec.share.as_f64();
        self.base + (target - self.base) * (gone / ramp).min(1.0)
    }

    fn is_for(&self, service: &ServiceId) -> bool {
        self.spec
            .service
            .as_ref()
            .is_none_or(|only| only == service)
    }
}

/// Returns the tightest cap on traffic between two regions; fallback caps count only without
/// any other.
fn cap(caps: &[CapSpec], from: &RegionId, to: &RegionId) -> Cap {
    let bears = |end: &Option<RegionId>, id| end.as_ref().is_none_or(|region| region == id);
    let tightest = |fallback| {
        caps.iter()
            .filter(|spec| spec.fallback == fallback)
            .filter(|spec| bears(&spec.from, from) && bears(&spec.to, to))
            .map(|spec| spec.cap)
            .reduce(Cap::tighter)
    };
    tightest(false)
        .or_else(|| tightest(true))
        .unwrap_or_default()
}
