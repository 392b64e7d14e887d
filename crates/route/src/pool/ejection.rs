//! Ejection of unhealthy and slow endpoints, up to a share of the slots.

use std::time::Instant;

use crate::key::EndpointKey;
use crate::message::Effect;
use crate::mutant::Mutant;
use crate::pool::Pool;
use crate::pool::endpoint::{Endpoint, Phase};

/// Greatest number of times that the length of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 6;

impl Pool {
    /// Puts ejected endpoints on probation when their time is over, and compares latencies once per
    /// interval.
    pub(crate) fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (_, endpoint) in &mut self.endpoints {
            if let Phase::Ejected { until } = endpoint.phase
                && until <= now
                && !endpoint.is_unhealthy(now, self.settings.base_ejection)
            {
                endpoint.phase = Phase::Probing;
            }
        }
        if now.saturating_duration_since(self.last_review) >= self.settings.review_interval {
            self.last_review = now;
            self.detect_outliers(now, effects);
        }
    }

    fn detect_outliers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_comparable = |e: &Endpoint, min| e.samples >= min && e.phase == Phase::Open;
        let min = self.settings.min_samples;
        let mut latencies: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| is_comparable(e, min))
            .map(|e| e.latency)
            .collect();
        latencies.sort_by(f64::total_cmp);
        self.median = latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0);
        if latencies.len() < 2 {
            return;
        }
        let mut slow = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            if is_comparable(endpoint, min) {
                endpoint.update_trust(self.median);
                if endpoint.latency > self.settings.outlier_factor * self.median {
                    slow.push(key);
                }
            }
        }
        for key in slow {
            if self.others_can_absorb(now, key) {
                self.eject(now, key, effects);
            }
        }
    }

    /// Returns whether the other endpoints have enough free slots for the requests in flight at a
    /// slow one. Otherwise it stays in use, because slow answers are better than refusals.
    fn others_can_absorb(&self, now: Instant, key: EndpointKey) -> bool {
        let others = self.endpoints.iter().filter(|(other, _)| *other != key);
        let free: u32 = others.map(|(_, e)| e.free(now, &self.settings)).sum();
        free > self.endpoints[key].running
    }

    /// Ejects an endpoint if the maximum ejected share allows it.
    pub(crate) fn eject(&mut self, now: Instant, key: EndpointKey, effects: &mut Vec<Effect>) {
        let headroom = self.ejection_headroom();
        let settings = &self.settings;
        let endpoint = &mut self.endpoints[key];
        let was_ejected = endpoint.is_ejected();
        if matches!(
            endpoint.phase,
            Phase::Leaving { .. } | Phase::Ejected { .. }
        ) || (!was_ejected
            && endpoint.owned_count() > headroom
            && !self.fault.is(Mutant::EjectAll))
        {
            return;
        }
        let length = settings.base_ejection * (1 << endpoint.ejections.min(MAX_DOUBLINGS));
        endpoint.ejections += 1;
        endpoint.phase = Phase::Ejected {
            until: now + length.min(settings.max_ejection),
        };
        if !was_ejected {
            effects.push(Effect::Ejected(endpoint.id.clone()));
        }
    }

    /// Restores the endpoints whose ejection ends first while more than the maximum share is
    /// ejected, as after a change of the slots that this host holds.
    pub(crate) fn enforce_ejection_limit(&mut self, now: Instant) {
        while self.ejected_slots() > self.ejection_limit() && !self.fault.is(Mutant::EjectAll) {
            let first = self
                .endpoints
                .values_mut()
                .filter(|e| e.is_ejected())
                .min_by_key(|e| match e.phase {
                    Phase::Ejected { until } => until,
                    _ => now,
                });
            let Some(endpoint) = first else {
                return;
            };
            endpoint.reset(now);
        }
    }

    fn ejection_headroom(&self) -> u32 {
        self.ejection_limit().saturating_sub(self.ejected_slots())
    }

    fn ejection_limit(&self) -> u32 {
        let staying = self.endpoints.values().filter(|e| !e.is_leaving());
        let owned = staying.map(Endpoint::owned_count).sum::<u32>();
        u32::try_from(self.settings.max_ejected.of(u64::from(owned))).unwrap_or(u32::MAX)
    }

    fn ejected_slots(&self) -> u32 {
        let ejected = self.endpoints.values().filter(|e| e.is_ejected());
        ejected.map(Endpoint::owned_count).sum()
    }
}
