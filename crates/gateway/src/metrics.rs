//! Counters and latency histograms, served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cadence::{Counted, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;

const PREFIX: &str = "wagtail";
/// The longest latency that histograms tell apart.
const HIGHEST_MILLIS: u64 = 60_000;
/// The quantiles of the text.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

#[derive(Debug, Default)]
struct Table {
    counts: BTreeMap<String, i64>,
    times: BTreeMap<String, Histogram<u32>>,
}

/// Sums metrics in the process.
#[derive(Debug, Clone, Default)]
struct Sums(Arc<Mutex<Table>>);

impl std::panic::RefUnwindSafe for Sums {}

impl MetricSink for Sums {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let bad = || io::Error::new(io::ErrorKind::InvalidData, "not a metric");
        let (name, rest) = metric.split_once(':').ok_or_else(bad)?;
        let mut parts = rest.split('|');
        let value: i64 = parts.next().and_then(|v| v.parse().ok()).ok_or_else(bad)?;
        let kind = parts.next().ok_or_else(bad)?;
        let series = series(name, parts.next());
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if kind == "ms" {
            let times = table.times.entry(series).or_insert_with(|| {
                Histogram::new_with_bounds(1, HIGHEST_MILLIS, 2)
                    .expect("the bounds are constants in range")
            });
            times.saturating_record(value.unsigned_abs().max(1));
        } else {
            *table.counts.entry(series).or_default() += value;
        }
        Ok(metric.len())
    }
}

/// The name with its tags as labels.
fn series(name: &str, tags: Option<&str>) -> String {
    let name = name.replace('.', "_");
    let Some(tags) = tags.and_then(|t| t.strip_prefix('#')) else {
        return name;
    };
    let labels: Vec<_> = tags
        .split(',')
        .filter_map(|t| t.split_once(':'))
        .map(|(k, v)| format!("{k}=\"{v}\""))
        .collect();
    format!("{name}{{{}}}", labels.join(","))
}

/// The host's counters and histograms.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    sums: Sums,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let sums = Sums::default();
        Self {
            client: StatsdClient::from_sink(PREFIX, sums.clone()),
            sums,
        }
    }

    /// Counts a finished request and its time.
    pub(crate) fn request(&self, team: &str, route: &str, outcome: &str, taken: Duration) {
        self.client
            .count_with_tags("requests", 1)
            .with_tag("team", team)
            .with_tag("route", route)
            .with_tag("outcome", outcome)
            .send();
        self.client
            .time_with_tags("latency_ms", taken)
            .with_tag("team", team)
            .with_tag("route", route)
            .send();
    }

    /// Counts one event.
    pub(crate) fn count(&self, name: &str, kind: &str) {
        self.client
            .count_with_tags(name, 1)
            .with_tag("kind", kind)
            .send();
    }

    /// All series as text, a line each.
    pub(crate) fn text(&self) -> String {
        let table = self.sums.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut out = String::new();
        for (series, count) in &table.counts {
            let _ = writeln!(out, "{series} {count}");
        }
        for (series, times) in &table.times {
            let (name, labels) = series.split_once('{').unwrap_or((series, "}"));
            for q in QUANTILES {
                let at = times.value_at_quantile(q);
                let _ = writeln!(out, "{name}{{quantile=\"{q}\",{labels} {at}");
            }
            let _ = writeln!(out, "{name}_count{{{labels} {}", times.len());
        }
        out
    }
}
