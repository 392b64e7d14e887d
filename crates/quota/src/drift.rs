//! Allowances for clocks that run fast or slow.

use std::time::Duration;

use wagtail_types::{Rate, Share};

const PPM: u128 = 1_000_000;

/// The bound on how far any host's clock may be fast or slow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drift {
    ppm: u128,
}

impl Drift {
    pub(crate) fn new(share: Share) -> Self {
        let ppm = u128::from(share.ppm()).min(PPM / 2);
        Self { ppm }
    }

    /// A time that on this clock surely covers `time` on any other.
    pub(crate) fn stretch(self, time: Duration) -> Duration {
        let nanos = (time.as_nanos() * (PPM + self.ppm)).div_ceil(PPM - self.ppm) + 1;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// The longest time that any other clock surely finishes within `time` on this one.
    pub(crate) fn shrink(self, time: Duration) -> Duration {
        let nanos = (time.as_nanos() * (PPM - self.ppm) / (PPM + self.ppm)).saturating_sub(2);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// What `rate` surely brings at most, in 10⁻¹⁵ tokens, over a local `time`.
    pub(crate) fn accrue(self, rate: Rate, time: Duration) -> u128 {
        let sum = u128::from(rate.micros()).saturating_mul(time.as_nanos());
        sum.saturating_mul(PPM) / (PPM + self.ppm)
    }
}
