//! Latency and failures per team and service: recent, over the last hour and since the start.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use wagtail_types::{Reason, ServiceId, TeamId, Verdict};

/// Higher latencies are recorded as this one.
const HIGHEST_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const NOW_WINDOW: Duration = Duration::from_secs(10);
const HOUR_SLOT: Duration = Duration::from_secs(600);
const HOUR_SLOTS: usize = 6;

/// The team and service under which a request is recorded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Series {
    /// The team that it runs for; `open` if its API key is missing or unknown.
    pub(crate) team: TeamId,
    /// The service that was requested.
    pub(crate) service: ServiceId,
}

/// Latencies and failures recorded over one span of time.
#[derive(Debug, Clone)]
struct Span {
    latency: Histogram<u32>,
    refused: [u32; Reason::ALL.len()],
    unknown: u32,
}

impl Span {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants in range");
        Self {
            latency,
            refused: [0; Reason::ALL.len()],
            unknown: 0,
        }
    }

    fn record(&mut self, elapsed: Duration, failure: Option<&Verdict>) {
        match failure {
            None => {
                let micros = u64::try_from(elapsed.as_micros()).unwrap_or(HIGHEST_MICROS);
                self.latency.saturating_record(micros.max(1));
            }
            Some(Verdict::NotRun { reason, .. }) => self.refused[*reason as usize] += 1,
            Some(Verdict::MayHaveRun { .. }) => self.unknown += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("all spans have the same bounds");
        for (sum, count) in self.refused.iter_mut().zip(other.refused) {
            *sum += count;
        }
        self.unknown += other.unknown;
    }

    fn summary(&self) -> Summary {
        let millis = |q| self.latency.value_at_quantile(q) as f64 / 1_000.0;
        let refused = Reason::ALL
            .iter()
            .filter(|r| self.refused[**r as usize] > 0)
            .map(|r| (r.as_str(), self.refused[*r as usize]))
            .collect();
        Summary {
            answered: self.latency.len(),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            max_ms: self.latency.max() as f64 / 1_000.0,
            refused,
            unknown: self.unknown,
        }
    }
}

/// Statistics of one span of time.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Requests that were answered.
    pub answered: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of latency in milliseconds.
    pub p99_ms: f64,
    /// Highest latency in milliseconds.
    pub max_ms: f64,
    /// Refusals by reason.
    pub refused: BTreeMap<&'static str, u32>,
    /// Requests that may have run but got no complete answer.
    pub unknown: u32,
}

/// Statistics of one series over three spans of time.
#[derive(Debug, Clone, Serialize)]
pub struct Trend {
    /// The team; `open` for requests whose API key is missing or unknown.
    pub team: TeamId,
    /// The service that was requested.
    pub service: ServiceId,
    /// At least the last ten seconds.
    pub now: Summary,
    /// The last 50 to 60 minutes.
    pub hour: Summary,
    /// Since the process started.
    pub total: Summary,
}

#[derive(Debug)]
struct Windows {
    now: Span,
    last: Span,
    hour: [Span; HOUR_SLOTS],
    total: Span,
}

impl Windows {
    fn new() -> Self {
        Self {
            now: Span::new(),
            last: Span::new(),
            hour: std::array::from_fn(|_| Span::new()),
            total: Span::new(),
        }
    }
}

#[derive(Debug)]
struct Inner {
    series: BTreeMap<Series, Windows>,
    rotated: Instant,
    slot_start: Instant,
    slot: usize,
}

/// Latency and refusals of every team and service on this host.
#[derive(Debug)]
pub(crate) struct Stats(Mutex<Inner>);

impl Stats {
    /// Creates empty statistics.
    pub(crate) fn new(now: Instant) -> Self {
        let inner = Inner {
            series: BTreeMap::new(),
            rotated: now,
            slot_start: now,
            slot: 0,
        };
        Self(Mutex::new(inner))
    }

    /// Records one finished request.
    pub(crate) fn record(
        &self,
        now: Instant,
        series: &Series,
        elapsed: Duration,
        failure: Option<&Verdict>,
    ) {
        let mut inner = self.lock();
        inner.rotate(now);
        let slot = inner.slot;
        if !inner.series.contains_key(series) {
            inner.series.insert(series.clone(), Windows::new());
        }
        let Some(windows) = inner.series.get_mut(series) else {
            return;
        };
        windows.now.record(elapsed, failure);
        windows.hour[slot].record(elapsed, failure);
        windows.total.record(elapsed, failure);
    }

    /// Returns the statistics of every series.
    pub(crate) fn trends(&self, now: Instant) -> Vec<Trend> {
        let mut inner = self.lock();
        inner.rotate(now);
        inner
            .series
            .iter()
            .map(|(series, windows)| trend(series, windows))
            .collect()
    }

    /// Returns the latency since the start in the percentile steps of `HdrHistogram`, as
    /// (quantile, milliseconds, count).
    pub(crate) fn histogram(&self, series: &Series) -> Vec<(f64, f64, u64)> {
        const TICKS_PER_HALF: u32 = 5;
        let inner = self.lock();
        let Some(windows) = inner.series.get(series) else {
            return Vec::new();
        };
        windows
            .total
            .latency
            .iter_quantiles(TICKS_PER_HALF)
            .map(|v| {
                (
                    v.quantile(),
                    v.value_iterated_to() as f64 / 1_000.0,
                    v.count_since_last_iteration(),
                )
            })
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn rotate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.rotated) >= NOW_WINDOW {
            self.rotated = now;
            for windows in self.series.values_mut() {
                windows.last = std::mem::replace(&mut windows.now, Span::new());
            }
        }
        while now.saturating_duration_since(self.slot_start) >= HOUR_SLOT {
            self.slot_start += HOUR_SLOT;
            self.slot = (self.slot + 1) % HOUR_SLOTS;
            let slot = self.slot;
            for windows in self.series.values_mut() {
                windows.hour[slot] = Span::new();
            }
        }
    }
}

fn trend(series: &Series, windows: &Windows) -> Trend {
    let mut now = windows.last.clone();
    now.add(&windows.now);
    let mut hour = Span::new();
    windows.hour.iter().for_each(|slot| hour.add(slot));
    Trend {
        team: series.team.clone(),
        service: series.service.clone(),
        now: now.summary(),
        hour: hour.summary(),
        total: windows.total.summary(),
    }
}
