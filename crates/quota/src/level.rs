//! Token arithmetic below the resolution of [`Tokens`].

use std::time::Duration;

use wagtail_types::{Rate, Tokens};

use crate::drift::Drift;

const FEMTOS_PER_MICRO: u128 = 1_000_000_000;

/// Token count in units of 10⁻¹⁵ tokens, so that accrual over nanoseconds loses nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct Level(u128);

impl Level {
    pub(crate) const ZERO: Self = Self(0);

    pub(crate) fn of(tokens: Tokens) -> Self {
        Self(u128::from(tokens.micros()) * FEMTOS_PER_MICRO)
    }

    /// Returns the count in millionths, rounded down.
    pub(crate) fn tokens(self) -> Tokens {
        let micros = self.0 / FEMTOS_PER_MICRO;
        Tokens::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    pub(crate) fn has(self, tokens: Tokens) -> bool {
        self >= Self::of(tokens)
    }

    pub(crate) fn add(&mut self, tokens: Tokens) {
        self.0 += Self::of(tokens).0;
    }

    pub(crate) fn take(&mut self, tokens: Tokens) {
        self.0 = self.0.saturating_sub(Self::of(tokens).0);
    }

    pub(crate) fn accrue(&mut self, drift: Drift, rate: Rate, time: Duration) {
        self.0 = self.0.saturating_add(drift.accrue(rate, time));
    }

    pub(crate) fn limit(&mut self, cap: Tokens) {
        *self = (*self).min(Self::of(cap));
    }
}
