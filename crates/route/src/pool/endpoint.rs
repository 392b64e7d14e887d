//! State of one endpoint on this host.

use std::time::{Duration, Instant};

use wagtail_types::{EndpointId, ZoneId};

use crate::message::Effect;
use crate::owner::{Place, Slot};
use crate::settings::PoolSettings;
use crate::topology::EndpointSpec;

/// Weight of the newest sample in the moving average of latency.
const LATENCY_GAIN: f64 = 0.1;
/// Factor applied to the concurrency limit after a refusal.
const REFUSAL_CUT: f64 = 0.7;
/// Half-life of the weight of a measured latency.
const LATENCY_HALF: Duration = Duration::from_secs(2);
/// Cost factor of an endpoint on probation; it is low because only a trial request can end the
/// probation.
const PROBE_COST: f64 = 0.25;
/// Cost factor of an endpoint with too few latency samples.
const UNKNOWN_COST: f64 = 0.5;
/// Lower bound of the trust in an endpoint's reports.
const TRUST_MIN: f64 = 0.05;

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) held: Vec<Held>,
    pub(crate) running: u32,
    pub(crate) life: Life,
    pub(crate) latency: f64,
    pub(crate) samples: u32,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    pub(crate) trust: f64,
    pub(crate) report: Option<Load>,
    pub(crate) number: u64,
    pub(crate) split: bool,
    pub(crate) order: Order,
    answered: Instant,
    limit: f64,
    warm: Option<Instant>,
}

/// A slot that this host holds, or that a request of this host still occupies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) slot: Slot,
    pub(crate) mine: bool,
    pub(crate) busy: bool,
}

/// The state that determines whether an endpoint gets requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Life {
    Open,
    Ejected { until: Instant },
    Probing,
    Leaving { since: Instant, drained: bool },
}

/// The configured state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    Serve,
    Drain,
    Withdrawn,
}

/// The latest load report of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) share: f64,
    pub(crate) sick: bool,
    pub(crate) at: Instant,
}

impl Endpoint {
    pub(crate) fn new(now: Instant, spec: &EndpointSpec, cold: bool) -> Self {
        Self {
            id: spec.id.clone(),
            zone: spec.zone.clone(),
            slots: usable_slots(spec),
            connections: spec.connections,
            held: Vec::new(),
            running: 0,
            life: Life::Open,
            latency: 0.0,
            samples: 0,
            failures: 0,
            ejections: 0,
            trust: 1.0,
            report: None,
            number: 0,
            split: false,
            order: Order::Serve,
            answered: now,
            limit: f64::INFINITY,
            warm: cold.then_some(now),
        }
    }

    pub(crate) fn place(&self, longest: Duration) -> Place<'_> {
        Place {
            id: &self.id,
            zone: &self.zone,
            slots: self.slots,
            longest,
        }
    }

    /// Returns the slots that this host holds.
    pub(crate) fn mine(&self) -> Vec<Slot> {
        let mine = self.held.iter().filter(|held| held.mine);
        mine.map(|held| held.slot).collect()
    }

    /// Replaces the held slots; a lost slot stays listed until its request ends.
    pub(crate) fn hold(&mut self, slots: &[Slot]) {
        self.held.retain_mut(|held| {
            held.mine = false;
            held.busy
        });
        for &slot in slots {
            match self.held.iter_mut().find(|h| h.slot.index == slot.index) {
                Some(held) => (held.slot, held.mine) = (slot, true),
                None => self.held.push(Held {
                    slot,
                    mine: true,
                    busy: false,
                }),
            }
        }
    }

    /// Returns whether nothing is in flight on a slot that is no longer held.
    pub(crate) fn is_clean(&self) -> bool {
        self.held.iter().all(|held| held.mine || !held.busy)
    }

    /// Returns the number of held slots, usable or not.
    pub(crate) fn owned(&self) -> u32 {
        count(self.held.iter().filter(|held| held.mine))
    }

    /// Returns the number of slots that may be used now, busy or not.
    pub(crate) fn usable(&self, now: Instant) -> u32 {
        count(self.held.iter().filter(|h| h.mine && h.slot.from <= now))
    }

    /// Returns the number of requests that may start now.
    pub(crate) fn free(&self, now: Instant, settings: &PoolSettings) -> u32 {
        let idle = count(self.held.iter().filter(|h| h.idle(now)));
        idle.min(self.allowed(now, settings).saturating_sub(self.running))
    }

    /// Returns the number of requests that may run concurrently.
    pub(crate) fn capacity(&self, now: Instant, settings: &PoolSettings) -> u32 {
        self.usable(now).min(self.allowed(now, settings))
    }

    fn allowed(&self, now: Instant, settings: &PoolSettings) -> u32 {
        match self.life {
            Life::Ejected { .. } | Life::Leaving { .. } => 0,
            Life::Probing => 1,
            Life::Open => self.ramp(now, settings).min(floor(self.limit)),
        }
    }

    fn ramp(&self, now: Instant, settings: &PoolSettings) -> u32 {
        let Some(since) = self.warm else {
            return u32::MAX;
        };
        let gone = now.saturating_duration_since(since).as_secs_f64();
        let part = gone / settings.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        if part >= 1.0 {
            return u32::MAX;
        }
        floor(f64::from(self.owned()) * part).max(1)
    }

    /// Returns the cost of sending one more request here; the endpoint with the lowest cost is
    /// chosen.
    pub(crate) fn cost(&self, now: Instant, settings: &PoolSettings, median: f64) -> f64 {
        let usable = f64::from(self.usable(now).max(1));
        let own = f64::from(self.running + 1) / usable;
        let told = self.report.map_or(0.0, |load| {
            load.share * self.trust * fade(load.at, now, settings.report_half)
        });
        own * (1.0 + told) * self.slowness(now, settings, median)
    }

    /// Returns the latency relative to the median. An unknown latency lowers the cost and an old
    /// one counts less, so that the endpoint is tried again.
    fn slowness(&self, now: Instant, settings: &PoolSettings, median: f64) -> f64 {
        if self.life == Life::Probing {
            return PROBE_COST;
        }
        if self.samples < settings.samples {
            return UNKNOWN_COST;
        }
        if median == 0.0 {
            return 1.0;
        }
        let off = (self.latency / median).clamp(0.5, 8.0) - 1.0;
        1.0 + off * fade(self.answered, now, LATENCY_HALF)
    }

    pub(crate) fn take(&mut self, now: Instant) -> Option<u32> {
        let held = self.held.iter_mut().find(|held| held.idle(now))?;
        held.busy = true;
        self.running += 1;
        Some(held.slot.index)
    }

    pub(crate) fn give_back(&mut self, index: u32) {
        self.running = self.running.saturating_sub(1);
        self.held.retain_mut(|held| {
            if held.slot.index == index {
                held.busy = false;
            }
            held.mine || held.busy
        });
    }

    pub(crate) fn answered(&mut self, now: Instant, took: Duration) {
        self.failures = 0;
        self.learn(now, took);
        if self.limit.is_finite() {
            self.limit += 1.0 / self.limit.max(1.0);
            if self.limit > f64::from(self.slots) {
                self.limit = f64::INFINITY;
            }
        }
    }

    /// Adds a latency sample; for a request that timed out, `took` is a lower bound.
    pub(crate) fn learn(&mut self, now: Instant, took: Duration) {
        self.answered = now;
        let took = took.as_secs_f64();
        let gain = if self.samples == 0 { 1.0 } else { LATENCY_GAIN };
        self.latency += (took - self.latency) * gain;
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) fn refused(&mut self) {
        let base = self.limit.min(f64::from(self.running + 1));
        self.limit = (base * REFUSAL_CUT).max(1.0);
    }

    /// Adjusts the trust in the load reports: it falls if the endpoint reports little load but
    /// answers slowly.
    pub(crate) fn judge_reports(&mut self, median: f64) {
        const BUSY: f64 = 0.8;
        const SLOW: f64 = 1.5;
        let Some(load) = self.report else {
            return;
        };
        let misleads = load.share < BUSY && self.latency > SLOW * median;
        self.trust = if misleads {
            (self.trust / 2.0).max(TRUST_MIN)
        } else {
            (self.trust + 0.05).min(1.0)
        };
    }

    /// Resets the statistics and starts a ramp, as after a restart or an ejection.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.life = Life::Open;
        self.warm = Some(now);
        self.limit = f64::INFINITY;
        self.failures = 0;
        self.samples = 0;
        self.latency = 0.0;
    }

    /// Returns whether the endpoint is ejected or on probation.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.life, Life::Ejected { .. } | Life::Probing)
    }

    /// Returns whether `spec` describes this endpoint.
    pub(crate) fn is(&self, spec: &EndpointSpec) -> bool {
        self.id == spec.id && self.zone == spec.zone
    }

    /// Returns whether the endpoint is no longer configured and has nothing in flight.
    pub(crate) fn is_gone(&self) -> bool {
        self.order == Order::Withdrawn && self.running == 0
    }

    /// Stops new requests.
    pub(crate) fn leave(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.is_leaving() {
            self.life = Life::Leaving {
                since: now,
                drained: false,
            };
            effects.push(Effect::Leaving(self.id.clone()));
        }
        self.settle(now, effects);
    }

    /// Applies the configuration of the endpoint.
    pub(crate) fn configure(&mut self, now: Instant, spec: &EndpointSpec) {
        self.slots = usable_slots(spec);
        self.connections = spec.connections;
        if self.order == Order::Withdrawn {
            self.order = Order::Serve;
            self.renew(now);
        }
    }

    /// Stops new requests, since the endpoint is no longer configured.
    pub(crate) fn withdraw(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.order = Order::Withdrawn;
        self.leave(now, effects);
    }

    /// Starts or ends a drain that an operator has configured.
    pub(crate) fn drain(&mut self, now: Instant, drain: bool, effects: &mut Vec<Effect>) {
        match (self.order, drain) {
            (Order::Serve, true) => {
                self.order = Order::Drain;
                self.leave(now, effects);
            }
            (Order::Drain, false) => {
                self.order = Order::Serve;
                self.renew(now);
            }
            _ => {}
        }
    }

    /// Returns whether the endpoint is leaving and gets no new requests.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.life, Life::Leaving { .. })
    }

    /// Reports the end of a drain once nothing is in flight.
    pub(crate) fn settle(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Life::Leaving { since, drained } = &mut self.life
            && !*drained
            && self.running == 0
        {
            *drained = true;
            effects.push(Effect::Drained {
                endpoint: self.id.clone(),
                after: now.saturating_duration_since(*since),
            });
        }
    }

    /// Returns whether its last report is younger than `keep` and states that it cannot serve.
    pub(crate) fn is_sick(&self, now: Instant, keep: Duration) -> bool {
        let fresh = |load: Load| now.saturating_duration_since(load.at) < keep;
        self.report.is_some_and(|load| load.sick && fresh(load))
    }
}

impl Held {
    fn idle(&self, now: Instant) -> bool {
        self.mine && !self.busy && self.slot.from <= now
    }
}

/// Returns the slots of an endpoint, limited by its connections since each slot needs one.
pub(crate) fn usable_slots(spec: &EndpointSpec) -> u32 {
    spec.slots.min(spec.connections)
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

fn floor(value: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates"
    )]
    let whole = value as u32;
    whole
}

fn fade(at: Instant, now: Instant, half: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half.as_secs_f64().max(f64::MIN_POSITIVE)).exp2()
}
