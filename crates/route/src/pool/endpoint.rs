//! State of one endpoint on this host.

use std::time::{Duration, Instant};

use wagtail_types::{EndpointId, ZoneId};

use crate::message::Effect;
use crate::ownership::{EndpointSlots, Slot};
use crate::settings::PoolSettings;
use crate::topology::EndpointSpec;

/// Weight of the newest sample in the moving average of latency.
const LATENCY_GAIN: f64 = 0.1;
/// Factor applied to the concurrency limit after a refusal.
const REFUSAL_FACTOR: f64 = 0.7;
/// Half-life of the weight of a measured latency.
const LATENCY_HALFLIFE: Duration = Duration::from_secs(2);
/// Cost factor of an endpoint on probation; it is low because only a trial request can end the
/// probation.
const PROBATION_COST: f64 = 0.25;
/// Cost factor of an endpoint with too few latency samples.
const UNKNOWN_COST: f64 = 0.5;
/// Lower bound of the trust in an endpoint's reports.
const MIN_TRUST: f64 = 0.05;

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) held: Vec<SlotState>,
    pub(crate) running: u32,
    pub(crate) phase: Phase,
    /// The moving average of latency, in seconds.
    pub(crate) latency: f64,
    pub(crate) samples: u32,
    /// Consecutive failures.
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    /// The weight given to load reports, at most 1.
    pub(crate) trust: f64,
    pub(crate) report: Option<LoadReport>,
    pub(crate) incarnation: u64,
    /// Whether slots were assigned before.
    pub(crate) assigned: bool,
    pub(crate) config: ConfigState,
    last_answer: Instant,
    /// The adaptive limit on requests in flight; infinite without a recent refusal.
    concurrency_limit: f64,
    /// The time at which the ramp of a cold endpoint started.
    ramp_start: Option<Instant>,
}

/// A slot that this host holds, or that a request of this host still occupies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotState {
    pub(crate) slot: Slot,
    pub(crate) owned: bool,
    pub(crate) busy: bool,
}

/// The state that determines whether an endpoint gets requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    Open,
    Ejected {
        until: Instant,
    },
    /// On probation after an ejection, with one trial request at a time.
    Probing,
    Leaving {
        since: Instant,
        drained: bool,
    },
}

/// The configured state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfigState {
    Serve,
    Drain,
    Withdrawn,
}

/// The latest load report of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) share: f64,
    pub(crate) unhealthy: bool,
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
            phase: Phase::Open,
            latency: 0.0,
            samples: 0,
            failures: 0,
            ejections: 0,
            trust: 1.0,
            report: None,
            incarnation: 0,
            assigned: false,
            config: ConfigState::Serve,
            last_answer: now,
            concurrency_limit: f64::INFINITY,
            ramp_start: cold.then_some(now),
        }
    }

    pub(crate) fn slot_params(&self, max_duration: Duration) -> EndpointSlots<'_> {
        EndpointSlots {
            id: &self.id,
            zone: &self.zone,
            slots: self.slots,
            max_duration,
        }
    }

    /// Returns the slots that this host holds.
    pub(crate) fn owned_slots(&self) -> Vec<Slot> {
        let owned = self.held.iter().filter(|held| held.owned);
        owned.map(|held| held.slot).collect()
    }

    /// Replaces the held slots; a lost slot stays listed until its request ends.
    pub(crate) fn set_held(&mut self, slots: &[Slot]) {
        self.held.retain_mut(|held| {
            held.owned = false;
            held.busy
        });
        for &slot in slots {
            match self.held.iter_mut().find(|h| h.slot.index == slot.index) {
                Some(held) => (held.slot, held.owned) = (slot, true),
                None => self.held.push(SlotState {
                    slot,
                    owned: true,
                    busy: false,
                }),
            }
        }
    }

    /// Returns whether nothing is in flight on a slot that is no longer held.
    pub(crate) fn lost_slots_idle(&self) -> bool {
        self.held.iter().all(|held| held.owned || !held.busy)
    }

    /// Returns the number of held slots, usable or not.
    pub(crate) fn owned_count(&self) -> u32 {
        count(self.held.iter().filter(|held| held.owned))
    }

    /// Returns the number of slots that may be used now, busy or not.
    pub(crate) fn usable(&self, now: Instant) -> u32 {
        count(
            self.held
                .iter()
                .filter(|h| h.owned && h.slot.usable_from <= now),
        )
    }

    /// Returns the number of requests that may start now.
    pub(crate) fn free(&self, now: Instant, settings: &PoolSettings) -> u32 {
        let idle = count(self.held.iter().filter(|h| h.is_free(now)));
        idle.min(self.concurrency(now, settings).saturating_sub(self.running))
    }

    /// Returns the number of requests that may run concurrently.
    pub(crate) fn capacity(&self, now: Instant, settings: &PoolSettings) -> u32 {
        self.usable(now).min(self.concurrency(now, settings))
    }

    fn concurrency(&self, now: Instant, settings: &PoolSettings) -> u32 {
        match self.phase {
            Phase::Ejected { .. } | Phase::Leaving { .. } => 0,
            Phase::Probing => 1,
            Phase::Open => self
                .ramp_limit(now, settings)
                .min(floor(self.concurrency_limit)),
        }
    }

    /// Returns the limit on requests in flight while the endpoint is ramped up.
    fn ramp_limit(&self, now: Instant, settings: &PoolSettings) -> u32 {
        let Some(since) = self.ramp_start else {
            return u32::MAX;
        };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let progress = elapsed / settings.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        if progress >= 1.0 {
            return u32::MAX;
        }
        floor(f64::from(self.owned_count()) * progress).max(1)
    }

    /// Returns the cost of sending one more request here; the endpoint with the lowest cost is
    /// chosen.
    pub(crate) fn cost(&self, now: Instant, settings: &PoolSettings, median: f64) -> f64 {
        let usable = f64::from(self.usable(now).max(1));
        let own = f64::from(self.running + 1) / usable;
        let reported = self.report.map_or(0.0, |load| {
            load.share * self.trust * decay(load.at, now, settings.report_halflife)
        });
        own * (1.0 + reported) * self.latency_factor(now, settings, median)
    }

    /// Returns the latency relative to the median. An unknown latency lowers the cost and an old
    /// one counts less, so that the endpoint is tried again.
    fn latency_factor(&self, now: Instant, settings: &PoolSettings, median: f64) -> f64 {
        if self.phase == Phase::Probing {
            return PROBATION_COST;
        }
        if self.samples < settings.min_samples {
            return UNKNOWN_COST;
        }
        if median == 0.0 {
            return 1.0;
        }
        let excess = (self.latency / median).clamp(0.5, 8.0) - 1.0;
        1.0 + excess * decay(self.last_answer, now, LATENCY_HALFLIFE)
    }

    pub(crate) fn acquire(&mut self, now: Instant) -> Option<u32> {
        let held = self.held.iter_mut().find(|held| held.is_free(now))?;
        held.busy = true;
        self.running += 1;
        Some(held.slot.index)
    }

    pub(crate) fn release(&mut self, index: u32) {
        self.running = self.running.saturating_sub(1);
        self.held.retain_mut(|held| {
            if held.slot.index == index {
                held.busy = false;
            }
            held.owned || held.busy
        });
    }

    /// Records an answer and raises the concurrency limit.
    pub(crate) fn record_answer(&mut self, now: Instant, took: Duration) {
        self.failures = 0;
        self.add_sample(now, took);
        if self.concurrency_limit.is_finite() {
            self.concurrency_limit += 1.0 / self.concurrency_limit.max(1.0);
            if self.concurrency_limit > f64::from(self.slots) {
                self.concurrency_limit = f64::INFINITY;
            }
        }
    }

    /// Adds a latency sample; for a request that timed out, `took` is a lower bound.
    pub(crate) fn add_sample(&mut self, now: Instant, took: Duration) {
        self.last_answer = now;
        let took = took.as_secs_f64();
        let gain = if self.samples == 0 { 1.0 } else { LATENCY_GAIN };
        self.latency += (took - self.latency) * gain;
        self.samples = self.samples.saturating_add(1);
    }

    /// Lowers the concurrency limit after a refusal.
    pub(crate) fn record_refusal(&mut self) {
        let base = self.concurrency_limit.min(f64::from(self.running + 1));
        self.concurrency_limit = (base * REFUSAL_FACTOR).max(1.0);
    }

    /// Adjusts the trust in the load reports: it falls if the endpoint reports little load but
    /// answers slowly.
    pub(crate) fn update_trust(&mut self, median: f64) {
        const HIGH_LOAD: f64 = 0.8;
        const SLOW_FACTOR: f64 = 1.5;
        let Some(load) = self.report else {
            return;
        };
        let is_misleading = load.share < HIGH_LOAD && self.latency > SLOW_FACTOR * median;
        self.trust = if is_misleading {
            (self.trust / 2.0).max(MIN_TRUST)
        } else {
            (self.trust + 0.05).min(1.0)
        };
    }

    /// Resets the statistics and starts a ramp, as after a restart or an ejection.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.phase = Phase::Open;
        self.ramp_start = Some(now);
        self.concurrency_limit = f64::INFINITY;
        self.failures = 0;
        self.samples = 0;
        self.latency = 0.0;
    }

    /// Returns whether the endpoint is ejected or on probation.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. } | Phase::Probing)
    }

    /// Returns whether `spec` describes this endpoint.
    pub(crate) fn matches(&self, spec: &EndpointSpec) -> bool {
        self.id == spec.id && self.zone == spec.zone
    }

    /// Returns whether the endpoint is no longer configured and has nothing in flight.
    pub(crate) fn is_gone(&self) -> bool {
        self.config == ConfigState::Withdrawn && self.running == 0
    }

    /// Stops new requests.
    pub(crate) fn start_leaving(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.is_leaving() {
            self.phase = Phase::Leaving {
                since: now,
                drained: false,
            };
            effects.push(Effect::Leaving(self.id.clone()));
        }
        self.report_drained(now, effects);
    }

    /// Applies the configuration of the endpoint.
    pub(crate) fn configure(&mut self, now: Instant, spec: &EndpointSpec) {
        self.slots = usable_slots(spec);
        self.connections = spec.connections;
        if self.config == ConfigState::Withdrawn {
            self.config = ConfigState::Serve;
            self.reset(now);
        }
    }

    /// Stops new requests, since the endpoint is no longer configured.
    pub(crate) fn withdraw(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.config = ConfigState::Withdrawn;
        self.start_leaving(now, effects);
    }

    /// Starts or ends a drain that an operator has configured.
    pub(crate) fn set_drain(&mut self, now: Instant, drain: bool, effects: &mut Vec<Effect>) {
        match (self.config, drain) {
            (ConfigState::Serve, true) => {
                self.config = ConfigState::Drain;
                self.start_leaving(now, effects);
            }
            (ConfigState::Drain, false) => {
                self.config = ConfigState::Serve;
                self.reset(now);
            }
            _ => {}
        }
    }

    /// Returns whether the endpoint is leaving and gets no new requests.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.phase, Phase::Leaving { .. })
    }

    /// Reports the end of a drain once nothing is in flight.
    pub(crate) fn report_drained(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Phase::Leaving { since, drained } = &mut self.phase
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
    pub(crate) fn is_unhealthy(&self, now: Instant, keep: Duration) -> bool {
        let fresh = |load: LoadReport| now.saturating_duration_since(load.at) < keep;
        self.report
            .is_some_and(|load| load.unhealthy && fresh(load))
    }
}

impl SlotState {
    fn is_free(&self, now: Instant) -> bool {
        self.owned && !self.busy && self.slot.usable_from <= now
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

/// Returns the weight of a value from `at`, which halves every `halflife`.
fn decay(at: Instant, now: Instant, halflife: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / halflife.as_secs_f64().max(f64::MIN_POSITIVE)).exp2()
}
