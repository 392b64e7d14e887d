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
const HOLD: Duration = Duration::from_secs(2);
/// Largest saved credit, in requests.
const CREDIT_MAX: f64 = 1.0;

/// Limits the traffic shifted to one region by its cap.
///
/// The allowed share grows by `cap.rise` per second while there is demand and shrinks at the same
/// rate otherwise.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    pub(crate) region: RegionId,
    cap: Cap,
    open: f64,
    at: Instant,
    wanted: Option<Instant>,
    credit: f64,
    fault: Fault,
}

impl Gate {
    pub(crate) fn new(region: RegionId, cap: Cap, now: Instant, fault: Fault) -> Self {
        let mut gate = Self {
            region,
            cap,
            open: 0.0,
            at: now,
            wanted: None,
            credit: 0.0,
            fault,
        };
        gate.open = gate.floor();
        gate
    }

    /// Replaces the cap; the allowed share does not jump up.
    pub(crate) fn set_cap(&mut self, now: Instant, cap: Cap) {
        self.update(now);
        self.cap = cap;
        self.open = self.open.min(cap.level.as_f64());
    }

    /// Returns the share that may be shifted now.
    pub(crate) fn open(&mut self, now: Instant) -> f64 {
        self.update(now);
        self.open
    }

    /// Counts a request of a caller of this host and adds the credit that it earns.
    pub(crate) fn count(&mut self, now: Instant) {
        self.update(now);
        self.credit = self.credit.min(CREDIT_MAX) + self.open;
    }

    /// Records demand for shifting traffic to the region.
    pub(crate) fn want(&mut self, now: Instant) {
        self.update(now);
        self.wanted = Some(now);
    }

    /// Spends the credit for shifting one request; returns false if the cap does not allow it.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.want(now);
        let may = self.credit >= 1.0;
        if may {
            self.credit -= 1.0;
        }
        may
    }

    /// Returns whether one request may be shifted, and records the demand.
    pub(crate) fn may(&mut self, now: Instant) -> bool {
        self.want(now);
        self.credit >= 1.0
    }

    fn update(&mut self, now: Instant) {
        let gone = now.saturating_duration_since(self.at);
        let rising = self.wanted.map_or(Duration::ZERO, |wanted| {
            (wanted + HOLD).saturating_duration_since(self.at).min(gone)
        });
        let falling = gone.saturating_sub(rising);
        let rise = self.cap.rise.as_f64();
        let top = self.cap.level.as_f64();
        let open = (self.open + rise * rising.as_secs_f64()).min(top);
        self.open = (open - rise * falling.as_secs_f64())
            .max(self.floor())
            .min(top);
        self.at = self.at.max(now);
    }

    fn floor(&self) -> f64 {
        if self.fault.is(Mutant::NoRamp) {
            return self.cap.level.as_f64();
        }
        self.cap.start.as_f64().min(self.cap.level.as_f64())
    }
}

/// A token bucket for the bytes that this host exchanges with other regions.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    rate: f64,
    later: Option<(Instant, ByteRate)>,
    level: f64,
    at: Instant,
}

impl ByteBudget {
    /// The burst size, as the time that it takes to refill.
    const BURST: Duration = Duration::from_millis(100);

    pub(crate) fn new(rate: ByteRate, now: Instant) -> Self {
        let rate = rate.0 as f64;
        Self {
            rate,
            later: None,
            level: rate * Self::BURST.as_secs_f64(),
            at: now,
        }
    }

    /// Changes the rate. A lower rate applies at once, a higher one only after `wait`, because the
    /// other hosts lower theirs within that time.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: ByteRate, wait: Duration) {
        self.update(now);
        let most = rate.0 as f64;
        if self.later.is_none_or(|(_, later)| later != rate) {
            self.later = (most > self.rate).then_some((now + wait, rate));
        }
        self.rate = self.rate.min(most);
    }

    /// Returns whether the bucket has bytes left.
    pub(crate) fn has(&mut self, now: Instant) -> bool {
        self.update(now);
        self.level > 0.0
    }

    /// Takes bytes out of the bucket and returns how long to wait before sending them.
    pub(crate) fn take(&mut self, now: Instant, bytes: u64) -> Duration {
        self.update(now);
        self.level -= bytes as f64;
        if self.level >= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(-self.level / self.rate).unwrap_or(Duration::MAX)
    }

    fn update(&mut self, now: Instant) {
        if let Some((at, rate)) = self.later
            && at <= now
        {
            self.fill(at);
            self.rate = rate.0 as f64;
            self.later = None;
        }
        self.fill(now);
    }

    fn fill(&mut self, now: Instant) {
        let gone = now.saturating_duration_since(self.at).as_secs_f64();
        let most = self.rate * Self::BURST.as_secs_f64();
        self.level = (self.level + self.rate * gone).min(most);
        self.at = self.at.max(now);
    }
}
