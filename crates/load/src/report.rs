//! A table of latency and failures by team and class.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

const HIGHEST_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies and failures of one team and class.
#[derive(Debug, Clone)]
pub struct Row {
    latency: Histogram<u64>,
    failures: BTreeMap<String, u64>,
}

impl Row {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants in range");
        Self {
            latency,
            failures: BTreeMap::new(),
        }
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the number of answered requests.
    pub fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the number of failed requests by outcome.
    pub fn failures(&self) -> &BTreeMap<String, u64> {
        &self.failures
    }
}

/// A table with one row for each team and class.
#[derive(Debug, Clone, Default)]
pub struct Report {
    rows: BTreeMap<(String, String), Row>,
}

impl Report {
    /// Counts an answer.
    pub fn answered(&mut self, team: &str, class: &str, taken: Duration) {
        let micros = u64::try_from(taken.as_micros()).unwrap_or(u64::MAX);
        self.row(team, class)
            .latency
            .saturating_record(micros.max(1));
    }

    /// Counts a failure.
    pub fn failed(&mut self, team: &str, class: &str, what: &str) {
        *self
            .row(team, class)
            .failures
            .entry(what.to_owned())
            .or_default() += 1;
    }

    /// Returns the rows by team and class.
    pub fn rows(&self) -> &BTreeMap<(String, String), Row> {
        &self.rows
    }

    fn row(&mut self, team: &str, class: &str) -> &mut Row {
        self.rows
            .entry((team.to_owned(), class.to_owned()))
            .or_insert_with(Row::new)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<12} {:>9} {:>9} {:>9} {:>9}  failed",
            "team", "class", "answered", "p50 ms", "p99 ms", "max ms"
        )?;
        for ((team, class), row) in &self.rows {
            let failed: Vec<String> = row
                .failures
                .iter()
                .map(|(outcome, count)| format!("{count} {outcome}"))
                .collect();
            writeln!(
                f,
                "{team:<12} {class:<12} {:>9} {:>9.2} {:>9.2} {:>9.2}  {}",
                row.answered(),
                row.millis(0.5),
                row.millis(0.99),
                row.millis(1.0),
                failed.join(", "),
            )?;
        }
        Ok(())
    }
}
