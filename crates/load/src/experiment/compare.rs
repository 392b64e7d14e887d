//! Comparison of two settings that run alternately on the same seeds.

use serde::Serialize;

use super::{Report, Request, run};
use crate::fleet::FleetError;
use crate::text::wrongful_percent;

/// One metric under two settings, over several turns.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// The name of the metric.
    pub name: String,
    /// The median under the first setting.
    pub first: f64,
    /// The median under the second setting.
    pub second: f64,
    /// The median over the turns of the ratio of second to first.
    pub ratio: f64,
    /// The smallest and the largest ratio.
    pub spread: (f64, f64),
}

/// Runs two settings alternately, one seed a turn, and compares their metrics.
///
/// # Errors
///
/// Returns an error in the same cases as [`run`].
pub async fn compare(
    first: &Request,
    second: &Request,
    turns: u64,
) -> Result<Vec<Comparison>, FleetError> {
    let mut pairs = Vec::new();
    for turn in 0..turns.max(1) {
        let seed = first.seed + turn;
        let a = run(&Request {
            seed,
            ..first.clone()
        })
        .await?;
        let b = run(&Request {
            seed,
            ..second.clone()
        })
        .await?;
        pairs.push((metrics(&a), metrics(&b)));
    }
    let names: Vec<String> = pairs[0].0.iter().map(|(name, _)| name.clone()).collect();
    let compare_metric = |(index, name): (usize, String)| {
        let values: Vec<_> = pairs
            .iter()
            .map(|(a, b)| (a[index].1, b[index].1))
            .collect();
        comparison(name, &values)
    };
    Ok(names.into_iter().enumerate().map(compare_metric).collect())
}

fn comparison(name: String, values: &[(f64, f64)]) -> Comparison {
    let ratios = sorted(values.iter().map(|(a, b)| ratio(*a, *b)));
    Comparison {
        name,
        first: median(&sorted(values.iter().map(|v| v.0))),
        second: median(&sorted(values.iter().map(|v| v.1))),
        ratio: median(&ratios),
        spread: (ratios[0], ratios[ratios.len() - 1]),
    }
}

/// Returns the ratio of second to first; 1 if both are zero.
fn ratio(first: f64, second: f64) -> f64 {
    let ratio = second / first;
    if ratio.is_nan() { 1.0 } else { ratio }
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn median(sorted: &[f64]) -> f64 {
    sorted[sorted.len() / 2]
}

/// Returns the metrics by which users judge a run.
fn metrics(report: &Report) -> Vec<(String, f64)> {
    let mut metrics = Vec::new();
    for class in &report.measures.classes {
        metrics.push((format!("{} p50 ms", class.name), class.latency.p50));
        metrics.push((format!("{} p99 ms", class.name), class.latency.p99));
        metrics.push((format!("{} answered", class.name), class.answered as f64));
    }
    let teams = &report.measures.teams;
    let worst = teams.iter().map(|t| t.latency.p99).fold(0.0, f64::max);
    metrics.push(("worst team p99 ms".to_owned(), worst));
    let wrongful = teams
        .iter()
        .filter_map(|t| t.wrongful)
        .map(wrongful_percent);
    metrics.push((
        "worst team wrongful %".to_owned(),
        wrongful.fold(0.0, f64::max),
    ));
    let broken: usize = report.promises.iter().map(|p| p.broken).sum();
    metrics.push(("promises broken".to_owned(), broken as f64));
    metrics
}
