//! Retry and hedge budgets, each a share of first attempts.

use wagtail_types::Share;

/// Cost of one attempt, in millionths of an attempt.
const ATTEMPT_PPM: u64 = 1_000_000;

/// Limits further attempts to a share of first attempts.
///
/// Each first attempt deposits `share` of an attempt, up to `burst`; each further attempt
/// withdraws a whole one.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    share: Share,
    balance: u64,
    burst: u64,
}

impl Budget {
    pub(crate) fn new(share: Share, burst: u32) -> Self {
        Self {
            share,
            balance: 0,
            burst: u64::from(burst) * ATTEMPT_PPM,
        }
    }

    /// Deposits the share earned by a first attempt.
    pub(crate) fn deposit(&mut self) {
        let balance = self.balance + u64::from(self.share.ppm());
        self.balance = balance.min(self.burst);
    }

    /// Returns whether one further attempt is available.
    pub(crate) fn is_available(&self) -> bool {
        self.balance >= ATTEMPT_PPM
    }

    /// Withdraws one further attempt; returns false if the budget is exhausted.
    pub(crate) fn withdraw(&mut self) -> bool {
        let left = self.balance.checked_sub(ATTEMPT_PPM);
        self.balance = left.unwrap_or(self.balance);
        left.is_some()
    }
}
