//! Budgets of retries and hedges, as a share of first attempts.

use wagtail_types::Share;

/// What one attempt costs, in millionths.
const ATTEMPT: u64 = 1_000_000;

/// A budget that first attempts fill and further attempts empty.
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

    /// Counts a first attempt.
    pub(crate) fn fill(&mut self) {
        let more = self.level + u64::from(self.share.ppm());
        self.level = more.min(self.burst);
    }

    /// Whether one further attempt is left.
    pub(crate) fn has(&self) -> bool {
        self.level >= ATTEMPT
    }

    /// Takes one further attempt out of the budget.
    pub(crate) fn take(&mut self) -> bool {
        let left = self.level.checked_sub(ATTEMPT);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }
}
