//! Retry and hedge budgets, each a share of first attempts.

use wagtail_types::Share;

/// Cost of one attempt, in millionths of an attempt.
const ATTEMPT: u64 = 1_000_000;

/// Limits further attempts to a share of first attempts.
///
/// Each first attempt deposits `share` of an attempt, up to `burst`; each further attempt
/// withdraws a whole one.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    share: Share,
    level: u64,
    burst: u64,
}

impl Budget {
    pub(crate) fn new(share: Share, burst: u32) -> Self {
        Self {
            share,
            level: 0,
            burst: u64::from(burst) * ATTEMPT,
        }
    }

    /// Deposits the share earned by a first attempt.
    pub(crate) fn fill(&mut self) {
        let more = self.level + u64::from(self.share.ppm());
        self.level = more.min(self.burst);
    }

    /// Returns whether one further attempt is available.
    pub(crate) fn has(&self) -> bool {
        self.level >= ATTEMPT
    }

    /// Withdraws one further attempt; returns false if the budget is exhausted.
    pub(crate) fn take(&mut self) -> bool {
        let left = self.level.checked_sub(ATTEMPT);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }
}
