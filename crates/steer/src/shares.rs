//! Which regions run this region's requests, and how fast that may change.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wagtail_types::RegionId;

/// Time between two samples of the shares.
const SAMPLE: Duration = Duration::from_millis(250);
/// The part of the allowed shift that one host uses, so that the hosts of a region together stay
/// within it.
const USED_PART: f64 = 0.6;
/// The fewest requests in a window for which a share means anything.
const FEWEST: f64 = 8.0;

/// The shares of the regions over a sliding window, against those of the window before.
#[derive(Debug)]
pub struct Shares {
    window: Duration,
    samples: VecDeque<(Instant, HashMap<RegionId, f64>)>,
    /// The first request.
    first: Option<Instant>,
    free: Option<Instant>,
}

impl Shares {
    /// No requests yet; shares are taken over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            samples: VecDeque::new(),
            first: None,
            free: None,
        }
    }

    /// Lifts the bound until `until`, as after a loss of capacity.
    pub fn lift(&mut self, until: Instant) {
        self.free = self.free.max(Some(until));
    }

    /// Counts a request that runs in `region`.
    pub fn note(&mut self, region: &RegionId, now: Instant) {
        self.first.get_or_insert(now);
        while let Some((at, _)) = self.samples.front() {
            if now.duration_since(*at) < 2 * self.window {
                break;
            }
            self.samples.pop_front();
        }
        let fresh = |at: Instant| now.duration_since(at) < SAMPLE;
        if !self.samples.back().is_some_and(|(at, _)| fresh(*at)) {
            self.samples.push_back((now, HashMap::new()));
        }
        if let Some((_, counts)) = self.samples.back_mut() {
            *counts.entry(region.clone()).or_default() += 1.0;
        }
    }

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

    /// Whether one more request may run in `region` with the shares moving by at most `most` from
    /// one window to the next.
    pub fn allows(&self, region: &RegionId, most: f64, now: Instant) -> bool {
        if self.free.is_some_and(|until| now < until) {
            return true;
        }
        // Until there are two windows, the second one counts from its start, against all of the first.
        let age = self
            .first
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        let recent = age.saturating_sub(self.window).min(self.window);
        let (old, old_all) = self.count(region, recent, 2 * self.window, now);
        let (new, new_all) = self.count(region, Duration::ZERO, recent, now);
        if age >= self.window && age < 2 * self.window && old_all >= FEWEST {
            // Weights move by then, which takes the rest of the bound.
            return (new + 1.0) / (new_all + 1.0) <= old / old_all;
        }
        if old_all < FEWEST || new_all < FEWEST {
            return true;
        }
        (new + 1.0) / (new_all + 1.0) <= old / old_all + most * USED_PART
    }
}
