//! The endpoint pool of one service: load balancing, ejection and drains.

mod endpoint;
mod review;

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use wagtail_types::{EndpointId, ZoneId};

use crate::key::{EndpointKey, LeaseKey, ServiceKey};
use crate::message::{Effect, Health, Lease, Outcome, Report};
use crate::mutant::{Fault, Mutant};
use crate::owner::Owner;
use crate::pool::endpoint::{Endpoint, Life, Load, Order};
use crate::queue::Pace;
use crate::settings::PoolSettings;
use crate::topology::EndpointSpec;

/// Number of endpoints with a free slot that are compared for one request.
const COMPARED: usize = 16;
/// Weight of the newest sample in the moving averages of the service's latency and deviation.
const MEAN_GAIN: f64 = 0.05;

#[derive(Debug)]
pub(crate) struct Pool {
    settings: PoolSettings,
    key: ServiceKey,
    longest: Duration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    order: Vec<EndpointKey>,
    leases: SlotMap<LeaseKey, Running>,
    median: f64,
    mean: f64,
    deviation: f64,
    reviewed: Instant,
    seen: bool,
    fault: Fault,
}

#[derive(Debug)]
struct Running {
    target: EndpointKey,
    slot: u32,
    since: Instant,
}

impl Pool {
    pub(crate) fn new(settings: PoolSettings, key: ServiceKey, now: Instant, fault: Fault) -> Self {
        Self {
            settings,
            key,
            longest: Duration::ZERO,
            endpoints: SlotMap::with_key(),
            order: Vec::new(),
            leases: SlotMap::with_key(),
            median: 0.0,
            mean: 0.0,
            deviation: 0.0,
            reviewed: now,
            seen: false,
            fault,
        }
    }

    /// Applies the configured endpoints; removed ones finish their requests in flight.
    pub(crate) fn set_endpoints<'a>(
        &mut self,
        now: Instant,
        longest: Duration,
        specs: impl Iterator<Item = &'a EndpointSpec> + Clone,
        effects: &mut Vec<Effect>,
    ) {
        self.longest = longest;
        for (_, endpoint) in &mut self.endpoints {
            if !specs.clone().any(|spec| endpoint.is(spec)) {
                endpoint.withdraw(now, effects);
            }
        }
        for spec in specs {
            let known = self.endpoints.values_mut().find(|e| e.is(spec));
            if let Some(endpoint) = known {
                endpoint.configure(now, spec);
            } else {
                let endpoint = Endpoint::new(now, spec, self.seen);
                self.endpoints.insert(endpoint);
            }
        }
        self.seen = true;
        self.endpoints.retain(|_, e| !e.is_gone());
        let endpoints = &self.endpoints;
        self.order.retain(|key| endpoints.contains_key(*key));
    }

    /// Applies the drains that an operator has configured.
    pub(crate) fn set_drains(
        &mut self,
        now: Instant,
        drained: impl Fn(&EndpointId) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        for (_, endpoint) in &mut self.endpoints {
            endpoint.drain(now, drained(&endpoint.id), effects);
        }
    }

    /// Recomputes which slots this host holds; `fresh` restarts the handover wait of all of
    /// them.
    pub(crate) fn split(&mut self, now: Instant, owner: &Owner, fresh: bool) {
        for (_, endpoint) in &mut self.endpoints {
            let held = endpoint.mine();
            let known = (!fresh && endpoint.split).then_some(held.as_slice());
            let slots = owner.slots(&endpoint.place(self.longest), known);
            endpoint.hold(&slots);
            endpoint.split = true;
        }
        let mine = self.endpoints.iter().filter(|(_, e)| e.owned() > 0);
        self.order = mine.map(|(key, _)| key).collect();
        self.cap_ejected(now);
    }

    /// Acquires a slot at the endpoint with the lowest cost.
    pub(crate) fn pick(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        avoid: Option<EndpointKey>,
    ) -> Option<Lease> {
        let key = self.best(now, rng, avoid)?;
        let endpoint = self.endpoints.get_mut(key)?;
        let slot = endpoint.take(now)?;
        let since = now;
        Some(Lease {
            endpoint: endpoint.id.clone(),
            until: now + self.longest,
            service: self.key,
            target: key,
            key: self.leases.insert(Running {
                target: key,
                slot,
                since,
            }),
        })
    }

    fn best(
        &self,
        now: Instant,
        rng: &mut SmallRng,
        avoid: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let count = self.order.len();
        let start = rng.random_range(0..count.max(1));
        let keys = self.order.iter().cycle().skip(start).take(count);
        let keys = keys.filter(|key| avoid != Some(**key));
        let open = keys.filter(|key| self.endpoints[**key].free(now, &self.settings) > 0);
        let cost = |key: &EndpointKey| self.endpoints[*key].cost(now, &self.settings, self.median);
        open.take(COMPARED)
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
        let Some(running) = self.leases.remove(lease.key) else {
            return;
        };
        let late = self.unusual(Duration::ZERO);
        let Some(endpoint) = self.endpoints.get_mut(lease.target) else {
            return;
        };
        endpoint.give_back(running.slot);
        let took = now.saturating_duration_since(running.since);
        match outcome {
            Outcome::Answered => {
                endpoint.answered(now, took);
                self.learn(took.as_secs_f64());
            }
            Outcome::Refused => endpoint.refused(),
            Outcome::Failed => endpoint.failures += 1,
            Outcome::TimedOut if took > late => {
                endpoint.learn(now, took);
                endpoint.failures += 1;
            }
            Outcome::TimedOut | Outcome::Cancelled => {}
        }
        self.after(now, lease.target, outcome, effects);
    }

    fn learn(&mut self, took: f64) {
        if self.mean == 0.0 {
            self.mean = took;
        }
        let off = took - self.mean;
        self.mean += off * MEAN_GAIN;
        self.deviation += (off.abs() - self.deviation) * MEAN_GAIN;
    }

    fn after(
        &mut self,
        now: Instant,
        key: EndpointKey,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let endpoint = &mut self.endpoints[key];
        endpoint.settle(now, effects);
        match (endpoint.life, outcome) {
            (Life::Probing, Outcome::Answered) => {
                endpoint.renew(now);
                effects.push(Effect::Restored(endpoint.id.clone()));
            }
            (Life::Probing, Outcome::Failed | Outcome::TimedOut) => {
                self.eject(now, key, effects);
            }
            (Life::Open, Outcome::Failed | Outcome::TimedOut)
                if endpoint.failures >= self.settings.failures =>
            {
                self.eject(now, key, effects);
            }
            _ => {}
        }
        if self.endpoints[key].is_gone() {
            self.endpoints.remove(key);
            self.order.retain(|other| *other != key);
            self.cap_ejected(now);
        }
    }

    /// Applies an endpoint's report; returns false if the endpoint is unknown.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        report: &Report,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(key) = self.find(&report.endpoint) else {
            return false;
        };
        let endpoint = &mut self.endpoints[key];
        if report.life < endpoint.number {
            return true;
        }
        let restarted = report.life > endpoint.number && endpoint.number > 0;
        if restarted && report.health == Health::Serving && endpoint.order == Order::Serve {
            endpoint.renew(now);
        }
        endpoint.number = report.life;
        let at = now.checked_sub(report.age);
        let newer = |at: &Instant| endpoint.report.is_none_or(|known| known.at < *at);
        if let Some(at) = at.filter(newer) {
            let share = report.load.as_f64();
            let sick = report.health == Health::Sick;
            endpoint.report = Some(Load { share, sick, at });
        }
        match report.health {
            Health::Leaving => endpoint.leave(now, effects),
            Health::Sick if endpoint.is_sick(now, self.settings.eject) => {
                self.eject(now, key, effects);
            }
            Health::Sick | Health::Serving => {}
        }
        self.cap_ejected(now);
        true
    }

    /// Stops new requests to an endpoint; returns false if it is unknown.
    pub(crate) fn leaving(
        &mut self,
        now: Instant,
        id: &EndpointId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let late = self.fault.is(Mutant::WorkWhileLeaving);
        let Some(endpoint) = self.find_mut(id) else {
            return false;
        };
        if !late || endpoint.running == 0 {
            endpoint.leave(now, effects);
        }
        self.cap_ejected(now);
        true
    }

    /// Returns the slot counts of this host.
    pub(crate) fn counts(&self, now: Instant) -> Counts {
        let mut counts = Counts::default();
        for key in &self.order {
            let endpoint = &self.endpoints[*key];
            if !endpoint.is_leaving() {
                counts.held += endpoint.owned();
            }
            counts.slots += endpoint.usable(now);
            counts.free += endpoint.free(now, &self.settings);
            if endpoint.is_ejected() {
                counts.ejected += endpoint.owned();
            }
        }
        counts
    }

    /// Estimates when the usable slots will be free.
    pub(crate) fn pace(&self, now: Instant, guess: Duration) -> Pace {
        let mean = if self.mean > 0.0 {
            Duration::from_secs_f64(self.mean)
        } else {
            guess
        };
        let open = |run: &&Running| {
            let endpoint = self.endpoints.get(run.target);
            endpoint.is_some_and(|e| e.capacity(now, &self.settings) > 0)
        };
        let mut left: Vec<_> = self
            .leases
            .values()
            .filter(open)
            .map(|run| mean.saturating_sub(now.saturating_duration_since(run.since)))
            .collect();
        left.sort_unstable();
        let slots = self.capacity(now);
        left.drain(..left.len().saturating_sub(slots));
        let idle = slots - left.len();
        left.splice(..0, std::iter::repeat_n(Duration::ZERO, idle));
        Pace { left, mean }
    }

    /// Returns the number of requests that may run concurrently.
    pub(crate) fn capacity(&self, now: Instant) -> usize {
        let open = self.order.iter().map(|key| &self.endpoints[*key]);
        let slots: u32 = open.map(|e| e.capacity(now, &self.settings)).sum();
        slots as usize
    }

    /// Returns the latency above which a request is unusually slow, at least `guess`.
    pub(crate) fn unusual(&self, guess: Duration) -> Duration {
        const DEVIATIONS: f64 = 4.0;
        let late = self.mean + DEVIATIONS * self.deviation;
        Duration::try_from_secs_f64(late)
            .unwrap_or(guess)
            .max(guess)
    }

    /// Returns whether this host holds a slot of the zone that it may not use yet.
    pub(crate) fn is_waiting(&self, now: Instant, zone: &ZoneId) -> bool {
        let mut near = self.endpoints.values().filter(|e| e.zone == *zone);
        near.any(|e| e.usable(now) < e.owned())
    }

    /// Returns whether nothing is in flight on a slot that this host no longer holds.
    pub(crate) fn is_clean(&self) -> bool {
        self.endpoints.values().all(Endpoint::is_clean)
    }

    /// Returns whether any request is in flight.
    pub(crate) fn is_running(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns this host's part of the connections that an endpoint accepts.
    pub(crate) fn connections(&self, id: &EndpointId) -> Option<u32> {
        let endpoint = &self.endpoints[self.find(id)?];
        let part = u64::from(endpoint.connections) * u64::from(endpoint.owned());
        let part = part.checked_div(u64::from(endpoint.slots)).unwrap_or(0);
        u32::try_from(part).ok()
    }

    fn find(&self, id: &EndpointId) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .find(|(_, e)| e.id == *id && e.order != Order::Withdrawn)
            .map(|(key, _)| key)
    }

    fn find_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints
            .iter_mut()
            .find(|(_, e)| e.id == *id)
            .map(|(_, e)| e)
    }
}

/// Slot counts of a service on this host.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) held: u32,
    pub(crate) slots: u32,
    pub(crate) free: u32,
    pub(crate) ejected: u32,
}
