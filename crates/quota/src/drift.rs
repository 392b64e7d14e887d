//! Allowances for clock drift.

use std::time::Duration;

use wagtail_types::{Rate, Share};

const PPM: u128 = 1_000_000;

/// Bound on how much faster or slower than real time any host's clock may run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drift {
    ppm: u128,
}

impl Drift {
    pub(crate) fn new(share: Share) -> Self {
        let ppm = u128::from(share.ppm()).min(PPM / 2);
        Self { ppm }
    }

    /// Returns a local duration during which at least `time` passes on every other clock.
    pub(crate) fn stretch(self, time: Duration) -> Duration {
        let nanos = (time.as_nanos() * (PPM + self.ppm)).div_ceil(PPM - self.ppm) + 1;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the longest duration that passes on every other clock within a local `time`.
    pub(crate) fn shrink(self, time: Duration) -> Duration {
        let nanos = (time.as_nanos() * (PPM - self.ppm) / (PPM + self.ppm)).saturating_sub(2);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the tokens that `rate` is sure to yield over a local `time`, in units of 10⁻¹⁵.
    pub(crate) fn accrue(self, rate: Rate, time: Duration) -> u128 {
        let sum = u128::from(rate.micros()).saturating_mul(time.as_nanos());
        sum.saturating_mul(PPM) / (PPM + self.ppm)
    }
}
