//! Ejection of unhealthy and slow endpoints, up to a share of the slots.

use std::time::Instant;

use crate::key::EndpointKey;
use crate::message::Effect;
use crate::mutant::Mutant;
use crate::pool::Pool;
use crate::pool::endpoint::{Endpoint, Life};

/// Greatest number of times that the length of an ejection is doubled.
const DOUBLINGS: u32 = 6;

impl Pool {
    /// Puts ejected endpoints on probation when their time is over, and compares latencies once per
    /// interval.
    pub(crate) fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (_, endpoint) in &mut self.endpoints {
            if let Life::Ejected { until } = endpoint.life
                && until <= now
                && !endpoint.is_sick(now, self.settings.eject)
            {
                endpoint.life = Life::Probing;
            }
        }
        if now.saturating_duration_since(self.reviewed) >= self.settings.review {
            self.reviewed = now;
            self.review(now, effects);
        }
    }

    fn review(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let judged = |e: &Endpoint, min| e.samples >= min && e.life == Life::Open;
        let min = self.settings.samples;
        let mut known: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| judged(e, min))
            .map(|e| e.latency)
            .collect();
        known.sort_by(f64::total_cmp);
        self.median = known
            .get(known.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0);
        if known.len() < 2 {
            return;
        }
        let mut slow = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            if judged(endpoint, min) {
                endpoint.judge_reports(self.median);
                if endpoint.latency > self.settings.outlier * self.median {
                    slow.push(key);
                }
            }
        }
        for key in slow {
            if self.can_spare(now, key) {
                self.eject(now, key, effects);
            }
        }
    }

    /// Returns whether the other endpoints have enough free slots for the requests in flight at a
    /// slow one. Otherwise it stays in use, because slow answers are better than refusals.
    fn can_spare(&self, now: Instant, key: EndpointKey) -> bool {
        let others = self.endpoints.iter().filter(|(other, _)| *other != key);
        let free: u32 = others.map(|(_, e)| e.free(now, &self.settings)).sum();
        free > self.endpoints[key].running
    }

    /// Ejects an endpoint if the maximum ejected share allows it.
    pub(crate) fn eject(&mut self, now: Instant, key: EndpointKey, effects: &mut Vec<Effect>) {
        let room = self.ejectable();
        let settings = &self.settings;
        let endpoint = &mut self.endpoints[key];
        let counted = endpoint.is_ejected();
        if matches!(endpoint.life, Life::Leaving { .. } | Life::Ejected { .. })
            || (!counted && endpoint.owned() > room && !self.fault.is(Mutant::EjectAll))
        {
            return;
        }
        let doubled = settings.eject * (1 << endpoint.ejections.min(DOUBLINGS));
        endpoint.ejections += 1;
        endpoint.life = Life::Ejected {
            until: now + doubled.min(settings.eject_max),
        };
        if !counted {
            effects.push(Effect::Ejected(endpoint.id.clone()));
        }
    }

    /// Restores the endpoints whose ejection ends first while more than the maximum share is
    /// ejected, as after a change of the slots that this host holds.
    pub(crate) fn cap_ejected(&mut self, now: Instant) {
        while self.ejected() > self.allowance() && !self.fault.is(Mutant::EjectAll) {
            let first = self
                .endpoints
                .values_mut()
                .filter(|e| e.is_ejected())
                .min_by_key(|e| match e.life {
                    Life::Ejected { until } => until,
                    _ => now,
                });
            let Some(endpoint) = first else {
                return;
            };
            endpoint.renew(now);
        }
    }

    fn ejectable(&self) -> u32 {
        self.allowance().saturating_sub(self.ejected())
    }

    fn allowance(&self) -> u32 {
        let stay = self.endpoints.values().filter(|e| !e.is_leaving());
        let owned = stay.map(Endpoint::owned).sum::<u32>();
        u32::try_from(self.settings.ejected.of(u64::from(owned))).unwrap_or(u32::MAX)
    }

    fn ejected(&self) -> u32 {
        let ejected = self.endpoints.values().filter(|e| e.is_ejected());
        ejected.map(Endpoint::owned).sum()
    }
}
