//! Limits on the traffic that this region sends to other regions: share, growth and bytes.
//!
//! Each host applies the caps to the requests of its own callers, so that the caps hold for the
//! sum over all hosts without coordination. Planned moves, drains and spillover after a failure
//! draw on the same credit per destination region, so that together they stay under the cap.

use std::time::{Duration, Instant};

use wagtail_types::{ByteRate, RegionId};

use crate::mutant::{Fault, Mutant};
use crate::topology::Cap;

/// How long the allowed share keeps growing after the last request that could be shifted.
const DEMAND_HOLD: Duration = Duration::from_secs(2);
/// Largest saved credit, in requests.
const MAX_CREDIT: f64 = 1.0;

/// Limits the traffic shifted to one region by its cap.
///
/// The allowed share grows by `cap.rise` per second while there is demand and shrinks at the same
/// rate otherwise.
#[derive(Debug, Clone)]
pub(crate) struct ShiftLimiter {
    pub(crate) region: RegionId,
    cap: Cap,
    allowed_share: f64,
    updated: Instant,
    last_demand: Option<Instant>,
    /// Requests that may be shifted now.
    credit: f64,
    fault: Fault,
}

impl ShiftLimiter {
    pub(crate) fn new(region: RegionId, cap: Cap, now: Instant, fault: Fault) -> Self {
        let mut limiter = Self {
            region,
            cap,
            allowed_share: 0.0,
            updated: now,
            last_demand: None,
            credit: 0.0,
            fault,
        };
        limiter.allowed_share = limiter.initial_share();
        limiter
    }

    /// Replaces the cap; the allowed share does not jump up.
    pub(crate) fn set_cap(&mut self, now: Instant, cap: Cap) {
        self.update(now);
        self.cap = cap;
        self.allowed_share = self.allowed_share.min(cap.level.as_f64());
    }

    /// Returns the share that may be shifted now.
    pub(crate) fn allowed_share(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.allowed_share
    }

    /// Counts a request of a caller of this host and adds the credit that it earns.
    pub(crate) fn count_request(&mut self, now: Instant) {
        self.update(now);
        self.credit = self.credit.min(MAX_CREDIT) + self.allowed_share;
    }

    /// Records demand for shifting traffic to the region.
    pub(crate) fn record_demand(&mut self, now: Instant) {
        self.update(now);
        self.last_demand = Some(now);
    }

    /// Spends the credit for shifting one request; returns false if the cap does not allow it.
    pub(crate) fn try_shift(&mut self, now: Instant) -> bool {
        self.record_demand(now);
        let allowed = self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }

    /// Returns whether one request may be shifted, and records the demand.
    pub(crate) fn can_shift(&mut self, now: Instant) -> bool {
        self.record_demand(now);
        self.credit >= 1.0
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let growing = self.last_demand.map_or(Duration::ZERO, |demand| {
            (demand + DEMAND_HOLD)
                .saturating_duration_since(self.updated)
                .min(elapsed)
        });
        let shrinking = elapsed.saturating_sub(growing);
        let rise = self.cap.rise.as_f64();
        let limit = self.cap.level.as_f64();
        let raised = (self.allowed_share + rise * growing.as_secs_f64()).min(limit);
        self.allowed_share = (raised - rise * shrinking.as_secs_f64())
            .max(self.initial_share())
            .min(limit);
        self.updated = self.updated.max(now);
    }

    fn initial_share(&self) -> f64 {
        if self.fault.is(Mutant::NoRamp) {
            return self.cap.level.as_f64();
        }
        self.cap.start.as_f64().min(self.cap.level.as_f64())
    }
}

/// A token bucket for the bytes that this host exchanges with other regions.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    /// Bytes per second.
    rate: f64,
    /// A higher rate and the time from which it applies.
    pending: Option<(Instant, ByteRate)>,
    balance: f64,
    updated: Instant,
}

impl ByteBudget {
    /// The burst size, as the time that it takes to refill.
    const BURST_TIME: Duration = Duration::from_millis(100);

    pub(crate) fn new(rate: ByteRate, now: Instant) -> Self {
        let rate = rate.0 as f64;
        Self {
            rate,
            pending: None,
            balance: rate * Self::BURST_TIME.as_secs_f64(),
            updated: now,
        }
    }

    /// Changes the rate. A lower rate applies at once, a higher one only after `wait`, because the
    /// other hosts lower theirs within that time.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: ByteRate, wait: Duration) {
        self.update(now);
        let target = rate.0 as f64;
        if self.pending.is_none_or(|(_, pending)| pending != rate) {
            self.pending = (target > self.rate).then_some((now + wait, rate));
        }
        self.rate = self.rate.min(target);
    }

    /// Returns whether the bucket has bytes left.
    pub(crate) fn is_available(&mut self, now: Instant) -> bool {
        self.update(now);
        self.balance > 0.0
    }

    /// Takes bytes out of the bucket and returns how long to wait before sending them.
    pub(crate) fn reserve(&mut self, now: Instant, bytes: u64) -> Duration {
        self.update(now);
        self.balance -= bytes as f64;
        if self.balance >= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(-self.balance / self.rate).unwrap_or(Duration::MAX)
    }

    fn update(&mut self, now: Instant) {
        if let Some((at, rate)) = self.pending
            && at <= now
        {
            self.refill(at);
            self.rate = rate.0 as f64;
            self.pending = None;
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let capacity = self.rate * Self::BURST_TIME.as_secs_f64();
        self.balance = (self.balance + self.rate * elapsed).min(capacity);
        self.updated = self.updated.max(now);
    }
}
