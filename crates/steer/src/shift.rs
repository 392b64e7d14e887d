//! Limits how fast requests may move to other regions.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wagtail_types::RegionId;

/// The time covered by one sample of the counts.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);
/// The fraction of the allowed shift that one host uses, so that all hosts of a region together
/// stay within it.
const USED_FRACTION: f64 = 0.6;
/// The smallest number of requests in a window for which a share is meaningful.
const MIN_REQUESTS: f64 = 8.0;

/// Compares each region's share of the requests in the current sliding window with its share in the
/// window before.
#[derive(Debug)]
pub struct ShiftLimiter {
    window: Duration,
    samples: VecDeque<(Instant, HashMap<RegionId, f64>)>,
    /// The time of the first request.
    first_request: Option<Instant>,
    suspended_until: Option<Instant>,
}

impl ShiftLimiter {
    /// Creates a limiter without any requests; shares are measured over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            samples: VecDeque::new(),
            first_request: None,
            suspended_until: None,
        }
    }

    /// Suspends the limit until `until`, for example after a loss of capacity.
    pub fn suspend(&mut self, until: Instant) {
        self.suspended_until = self.suspended_until.max(Some(until));
    }

    /// Counts a request that is sent to `region`.
    pub fn record(&mut self, region: &RegionId, now: Instant) {
        self.first_request.get_or_insert(now);
        while let Some((at, _)) = self.samples.front() {
            if now.duration_since(*at) < 2 * self.window {
                break;
            }
            self.samples.pop_front();
        }
        let current = |at: Instant| now.duration_since(at) < SAMPLE_PERIOD;
        if !self.samples.back().is_some_and(|(at, _)| current(*at)) {
            self.samples.push_back((now, HashMap::new()));
        }
        if let Some((_, counts)) = self.samples.back_mut() {
            *counts.entry(region.clone()).or_default() += 1.0;
        }
    }

    /// Counts the requests that were sent to `region`, and those to all regions, among the samples
    /// whose age is at least `newest` and less than `oldest`.
    fn count(
        &self,
        region: &RegionId,
        newest: Duration,
        oldest: Duration,
        now: Instant,
    ) -> (f64, f64) {
        let mut own = 0.0;
        let mut all = 0.0;
        for (at, counts) in &self.samples {
            let age = now.duration_since(*at);
            if age >= newest && age < oldest {
                own += counts.get(region).copied().unwrap_or(0.0);
                all += counts.values().sum::<f64>();
            }
        }
        (own, all)
    }

    /// Returns whether one more request may go to `region` while its share grows by at most
    /// `max_shift` from one window to the next.
    pub fn allows(&self, region: &RegionId, max_shift: f64, now: Instant) -> bool {
        if self.suspended_until.is_some_and(|until| now < until) {
            return true;
        }
        // Until two full windows have passed, the second window counts from its start and is
        // compared with the whole first one.
        let age = self
            .first_request
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        let recent = age.saturating_sub(self.window).min(self.window);
        let (old, old_all) = self.count(region, recent, 2 * self.window, now);
        let (new, new_all) = self.count(region, Duration::ZERO, recent, now);
        if age >= self.window && age < 2 * self.window && old_all >= MIN_REQUESTS {
            // The region weights already move at this time and use up the rest of the limit.
            return (new + 1.0) / (new_all + 1.0) <= old / old_all;
        }
        if old_all < MIN_REQUESTS || new_all < MIN_REQUESTS {
            return true;
        }
        (new + 1.0) / (new_all + 1.0) <= old / old_all + max_shift * USED_FRACTION
    }
}
