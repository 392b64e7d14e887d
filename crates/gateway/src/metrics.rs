//! Counters, gauges and latency histograms, rendered as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;

const PREFIX: &str = "wagtail";
/// The upper bound of the histograms in milliseconds; longer latencies are recorded as this value.
const LATENCY_MAX_MS: u64 = 60_000;
/// The quantiles that are rendered for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

#[derive(Debug, Default)]
struct SeriesTable {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, i64>,
    latencies: BTreeMap<String, Histogram<u32>>,
}

/// A metrics sink that aggregates in memory.
#[derive(Debug, Clone, Default)]
struct Aggregator(Arc<Mutex<SeriesTable>>);

impl std::panic::RefUnwindSafe for Aggregator {}

impl MetricSink for Aggregator {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let malformed = || io::Error::new(io::ErrorKind::InvalidData, "malformed statsd metric");
        let (name, rest) = metric.split_once(':').ok_or_else(malformed)?;
        let mut parts = rest.split('|');
        let value: i64 = parts
            .next()
            .and_then(|v| v.parse().ok())
            .ok_or_else(malformed)?;
        let kind = parts.next().ok_or_else(malformed)?;
        let series = series(name, parts.next());
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "ms" => {
                let latencies = table.latencies.entry(series).or_insert_with(|| {
                    Histogram::new_with_bounds(1, LATENCY_MAX_MS, 2)
                        .expect("the histogram bounds are valid constants")
                });
                latencies.saturating_record(value.unsigned_abs().max(1));
            }
            "g" => {
                table.gauges.insert(series, value);
            }
            _ => *table.counters.entry(series).or_default() += value,
        }
        Ok(metric.len())
    }
}

/// Returns the name of a series with the tags as labels.
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

/// The counters, gauges and latency histograms of the host.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    aggregator: Aggregator,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let aggregator = Aggregator::default();
        Self {
            client: StatsdClient::from_sink(PREFIX, aggregator.clone()),
            aggregator,
        }
    }

    /// Counts a finished request and records its latency.
    pub(crate) fn request(&self, team: &str, route: &str, outcome: &str, elapsed: Duration) {
        self.client
            .count_with_tags("requests", 1)
            .with_tag("team", team)
            .with_tag("route", route)
            .with_tag("outcome", outcome)
            .send();
        self.client
            .time_with_tags("latency_ms", elapsed)
            .with_tag("team", team)
            .with_tag("route", route)
            .send();
    }

    /// Increments the counter `name` with the label `kind`.
    pub(crate) fn count(&self, name: &str, kind: &str) {
        self.client
            .count_with_tags(name, 1)
            .with_tag("kind", kind)
            .send();
    }

    /// Sets the gauge `name` with the label `kind`.
    pub(crate) fn set(&self, name: &str, kind: &str, value: u64) {
        self.client
            .gauge_with_tags(name, value)
            .with_tag("kind", kind)
            .send();
    }

    /// Renders all series as text, one per line.
    pub(crate) fn render(&self) -> String {
        let table = self
            .aggregator
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut out = String::new();
        for (series, value) in table.counters.iter().chain(&table.gauges) {
            let _ = writeln!(out, "{series} {value}");
        }
        for (series, latencies) in &table.latencies {
            let (name, labels) = series.split_once('{').unwrap_or((series, "}"));
            for q in QUANTILES {
                let value = latencies.value_at_quantile(q);
                let _ = writeln!(out, "{name}{{quantile=\"{q}\",{labels} {value}");
            }
            let _ = writeln!(out, "{name}_count{{{labels} {}", latencies.len());
        }
        out
    }
}
