//! The endpoint pool of one service: load balancing, ejection and drains.

mod ejection;
mod endpoint;

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtail_types::{EndpointId, ZoneId};

use crate::key::{EndpointKey, LeaseKey, ServiceKey};
use crate::message::{Effect, Health, Lease, Outcome, Report};
use crate::mutant::{Fault, Mutant};
use crate::ownership::SlotOwnership;
use crate::pool::endpoint::{ConfigState, Endpoint, LoadReport, Phase};
use crate::queue::Availability;
use crate::settings::PoolSettings;
use crate::topology::EndpointSpec;

/// Number of endpoints with a free slot that are compared for one request.
const MAX_COMPARED: usize = 16;
/// Weight of the newest sample in the moving averages of the service's latency and deviation.
const MEAN_GAIN: f64 = 0.05;

#[derive(Debug)]
pub(crate) struct Pool {
    settings: PoolSettings,
    key: ServiceKey,
    max_duration: Duration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// The endpoints on which this host holds slots.
    candidates: Vec<EndpointKey>,
    leases: SlotMap<LeaseKey, ActiveLease>,
    /// The median of the endpoints' latencies, in seconds.
    median: f64,
    /// The moving averages of latency and its absolute deviation, in seconds.
    mean: f64,
    deviation: f64,
    last_review: Instant,
    /// Whether a configuration was applied; endpoints that are added later start cold.
    configured: bool,
    fault: Fault,
}

#[derive(Debug)]
struct ActiveLease {
    target: EndpointKey,
    slot: u32,
    since: Instant,
}

impl Pool {
    pub(crate) fn new(settings: PoolSettings, key: ServiceKey, now: Instant, fault: Fault) -> Self {
        Self {
            settings,
            key,
            max_duration: Duration::ZERO,
            endpoints: SlotMap::with_key(),
            candidates: Vec::new(),
            leases: SlotMap::with_key(),
            median: 0.0,
            mean: 0.0,
            deviation: 0.0,
            last_review: now,
            configured: false,
            fault,
        }
    }

    /// Applies the configured endpoints; removed ones finish their requests in flight.
    pub(crate) fn set_endpoints<'a>(
        &mut self,
        now: Instant,
        max_duration: Duration,
        specs: impl Iterator<Item = &'a EndpointSpec> + Clone,
        effects: &mut Vec<Effect>,
    ) {
        self.max_duration = max_duration;
        for (_, endpoint) in &mut self.endpoints {
            if !specs.clone().any(|spec| endpoint.matches(spec)) {
                endpoint.withdraw(now, effects);
            }
        }
        for spec in specs {
            let known = self.endpoints.values_mut().find(|e| e.matches(spec));
            if let Some(endpoint) = known {
                endpoint.configure(now, spec);
            } else {
                let endpoint = Endpoint::new(now, spec, self.configured);
                self.endpoints.insert(endpoint);
            }
        }
        self.configured = true;
        self.endpoints.retain(|_, e| !e.is_gone());
        let endpoints = &self.endpoints;
        self.candidates.retain(|key| endpoints.contains_key(*key));
    }

    /// Applies the drains that an operator has configured.
    pub(crate) fn set_drains(
        &mut self,
        now: Instant,
        drained: impl Fn(&EndpointId) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        for (_, endpoint) in &mut self.endpoints {
            endpoint.set_drain(now, drained(&endpoint.id), effects);
        }
    }

    /// Recomputes which slots this host holds; `restart_wait` restarts the handover wait of all of
    /// them.
    pub(crate) fn update_slots(
        &mut self,
        now: Instant,
        ownership: &SlotOwnership,
        restart_wait: bool,
    ) {
        for (_, endpoint) in &mut self.endpoints {
            let held = endpoint.owned_slots();
            let known = (!restart_wait && endpoint.assigned).then_some(held.as_slice());
            let slots = ownership.slots(&endpoint.slot_params(self.max_duration), known);
            endpoint.set_held(&slots);
            endpoint.assigned = true;
        }
        let held = self.endpoints.iter().filter(|(_, e)| e.owned_count() > 0);
        self.candidates = held.map(|(key, _)| key).collect();
        self.enforce_ejection_limit(now);
    }

    /// Acquires a slot at the endpoint with the lowest cost.
    pub(crate) fn pick(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        avoid: Option<EndpointKey>,
    ) -> Option<Lease> {
        let key = self.cheapest(now, rng, avoid)?;
        let endpoint = self.endpoints.get_mut(key)?;
        let slot = endpoint.acquire(now)?;
        let since = now;
        Some(Lease {
            endpoint: endpoint.id.clone(),
            until: now + self.max_duration,
            service: self.key,
            target: key,
            key: self.leases.insert(ActiveLease {
                target: key,
                slot,
                since,
            }),
        })
    }

    fn cheapest(
        &self,
        now: Instant,
        rng: &mut SmallRng,
        avoid: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let count = self.candidates.len();
        let start = rng.random_range(0..count.max(1));
        let keys = self.candidates.iter().cycle().skip(start).take(count);
        let keys = keys.filter(|key| avoid != Some(**key));
        let available = keys.filter(|key| self.endpoints[**key].free(now, &self.settings) > 0);
        let cost = |key: &EndpointKey| self.endpoints[*key].cost(now, &self.settings, self.median);
        available
            .take(MAX_COMPARED)
            .map(|key| (cost(key), *key))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }

    /// Releases the slot of a lease and records the outcome.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        lease: &Lease,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.leases.remove(lease.key) else {
            return;
        };
        let unusual = self.latency_bound(Duration::ZERO);
        let Some(endpoint) = self.endpoints.get_mut(lease.target) else {
            return;
        };
        endpoint.release(active.slot);
        let took = now.saturating_duration_since(active.since);
        match outcome {
            Outcome::Answered => {
                endpoint.record_answer(now, took);
                self.record_latency(took.as_secs_f64());
            }
            Outcome::Refused => endpoint.record_refusal(),
            Outcome::Failed => endpoint.failures += 1,
            Outcome::TimedOut if took > unusual => {
                endpoint.add_sample(now, took);
                endpoint.failures += 1;
            }
            Outcome::TimedOut | Outcome::Cancelled => {}
        }
        self.after_finish(now, lease.target, outcome, effects);
    }

    fn record_latency(&mut self, took: f64) {
        if self.mean == 0.0 {
            self.mean = took;
        }
        let diff = took - self.mean;
        self.mean += diff * MEAN_GAIN;
        self.deviation += (diff.abs() - self.deviation) * MEAN_GAIN;
    }

    fn after_finish(
        &mut self,
        now: Instant,
        key: EndpointKey,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let endpoint = &mut self.endpoints[key];
        endpoint.report_drained(now, effects);
        match (endpoint.phase, outcome) {
            (Phase::Probing, Outcome::Answered) => {
                endpoint.reset(now);
                effects.push(Effect::Restored(endpoint.id.clone()));
            }
            (Phase::Probing, Outcome::Failed | Outcome::TimedOut) => {
                self.eject(now, key, effects);
            }
            (Phase::Open, Outcome::Failed | Outcome::TimedOut)
                if endpoint.failures >= self.settings.max_failures =>
            {
                self.eject(now, key, effects);
            }
            _ => {}
        }
        if self.endpoints[key].is_gone() {
            self.endpoints.remove(key);
            self.candidates.retain(|other| *other != key);
            self.enforce_ejection_limit(now);
        }
    }

    /// Applies an endpoint's report; returns false if the endpoint is unknown.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        report: &Report,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(key) = self.find(&report.endpoint) else {
            return false;
        };
        let endpoint = &mut self.endpoints[key];
        if report.incarnation < endpoint.incarnation {
            return true;
        }
        let restarted = report.incarnation > endpoint.incarnation && endpoint.incarnation > 0;
        if restarted && report.health == Health::Serving && endpoint.config == ConfigState::Serve {
            endpoint.reset(now);
        }
        endpoint.incarnation = report.incarnation;
        let at = now.checked_sub(report.age);
        let newer = |at: &Instant| endpoint.report.is_none_or(|known| known.at < *at);
        if let Some(at) = at.filter(newer) {
            let share = report.load.as_f64();
            let unhealthy = report.health == Health::Unhealthy;
            endpoint.report = Some(LoadReport {
                share,
                unhealthy,
                at,
            });
        }
        match report.health {
            Health::Leaving => endpoint.start_leaving(now, effects),
            Health::Unhealthy if endpoint.is_unhealthy(now, self.settings.base_ejection) => {
                self.eject(now, key, effects);
            }
            Health::Unhealthy | Health::Serving => {}
        }
        self.enforce_ejection_limit(now);
        true
    }

    /// Stops new requests to an endpoint; returns false if it is unknown.
    pub(crate) fn set_leaving(
        &mut self,
        now: Instant,
        id: &EndpointId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let keep_using = self.fault.is(Mutant::UseLeaving);
        let Some(endpoint) = self.find_mut(id) else {
            return false;
        };
        if !keep_using || endpoint.running == 0 {
            endpoint.start_leaving(now, effects);
        }
        self.enforce_ejection_limit(now);
        true
    }

    /// Returns the slot counts of this host.
    pub(crate) fn counts(&self, now: Instant) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for key in &self.candidates {
            let endpoint = &self.endpoints[*key];
            if !endpoint.is_leaving() {
                counts.held += endpoint.owned_count();
            }
            counts.usable += endpoint.usable(now);
            counts.free += endpoint.free(now, &self.settings);
            if endpoint.is_ejected() {
                counts.ejected += endpoint.owned_count();
            }
        }
        counts
    }

    /// Estimates when the usable slots will be free.
    pub(crate) fn availability(&self, now: Instant, fallback: Duration) -> Availability {
        let mean = if self.mean > 0.0 {
            Duration::from_secs_f64(self.mean)
        } else {
            fallback
        };
        let usable = |run: &&ActiveLease| {
            let endpoint = self.endpoints.get(run.target);
            endpoint.is_some_and(|e| e.capacity(now, &self.settings) > 0)
        };
        let mut free_in: Vec<_> = self
            .leases
            .values()
            .filter(usable)
            .map(|run| mean.saturating_sub(now.saturating_duration_since(run.since)))
            .collect();
        free_in.sort_unstable();
        let slots = self.capacity(now);
        free_in.drain(..free_in.len().saturating_sub(slots));
        let idle = slots - free_in.len();
        free_in.splice(..0, std::iter::repeat_n(Duration::ZERO, idle));
        Availability { free_in, mean }
    }

    /// Returns the number of requests that may run concurrently.
    pub(crate) fn capacity(&self, now: Instant) -> usize {
        let endpoints = self.candidates.iter().map(|key| &self.endpoints[*key]);
        let slots: u32 = endpoints.map(|e| e.capacity(now, &self.settings)).sum();
        slots as usize
    }

    /// Returns the latency above which a request is unusually slow, at least `fallback`.
    pub(crate) fn latency_bound(&self, fallback: Duration) -> Duration {
        const MAX_DEVIATIONS: f64 = 4.0;
        let bound = self.mean + MAX_DEVIATIONS * self.deviation;
        Duration::try_from_secs_f64(bound)
            .unwrap_or(fallback)
            .max(fallback)
    }

    /// Returns whether this host holds a slot of the zone that it may not use yet.
    pub(crate) fn has_pending_slots(&self, now: Instant, zone: &ZoneId) -> bool {
        let mut near = self.endpoints.values().filter(|e| e.zone == *zone);
        near.any(|e| e.usable(now) < e.owned_count())
    }

    /// Returns whether nothing is in flight on a slot that this host no longer holds.
    pub(crate) fn lost_slots_idle(&self) -> bool {
        self.endpoints.values().all(Endpoint::lost_slots_idle)
    }

    /// Returns whether any request is in flight.
    pub(crate) fn is_running(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns this host's part of the connections that an endpoint accepts.
    pub(crate) fn connections(&self, id: &EndpointId) -> Option<u32> {
        let endpoint = &self.endpoints[self.find(id)?];
        let part = u64::from(endpoint.connections) * u64::from(endpoint.owned_count());
        let part = part.checked_div(u64::from(endpoint.slots)).unwrap_or(0);
        u32::try_from(part).ok()
    }

    fn find(&self, id: &EndpointId) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .find(|(_, e)| e.id == *id && e.config != ConfigState::Withdrawn)
            .map(|(key, _)| key)
    }

    fn find_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        let key = self.find(id)?;
        self.endpoints.get_mut(key)
    }
}

/// Slot counts of a service on this host.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct SlotCounts {
    pub(crate) held: u32,
    pub(crate) usable: u32,
    pub(crate) free: u32,
    pub(crate) ejected: u32,
}
