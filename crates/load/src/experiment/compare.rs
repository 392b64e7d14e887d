//! Two policies in turns on the same seeds.

use serde::Serialize;

use super::{Report, Request, run};
use crate::fleet::FleetError;
use crate::text::percent;

/// A measure under two policies, over several turns.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// The measure.
    pub name: String,
    /// Its median under the first policy.
    pub first: f64,
    /// Its median under the second policy.
    pub second: f64,
    /// The median of the turns' ratios, second to first.
    pub ratio: f64,
    /// The smallest and the largest of those ratios.
    pub spread: (f64, f64),
}

/// Runs two policies in turns and compares their measures.
///
/// # Errors
///
/// As [`run`].
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
        pairs.push((figures(&a), figures(&b)));
    }
    let names: Vec<String> = pairs[0].0.iter().map(|(name, _)| name.clone()).collect();
    let one = |(index, name): (usize, String)| {
        let values: Vec<_> = pairs
            .iter()
            .map(|(a, b)| (a[index].1, b[index].1))
            .collect();
        comparison(name, &values)
    };
    Ok(names.into_iter().enumerate().map(one).collect())
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

/// Two zeros compare as equal.
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

/// The figures by which users judge a run.
fn figures(report: &Report) -> Vec<(String, f64)> {
    let mut figures = Vec::new();
    for line in &report.measures.classes {
        figures.push((format!("{} p50 ms", line.name), line.latency.p50));
        figures.push((format!("{} p99 ms", line.name), line.latency.p99));
        figures.push((format!("{} answered", line.name), line.answered as f64));
    }
    let teams = &report.measures.teams;
    let worst = teams.iter().map(|l| l.latency.p99).fold(0.0, f64::max);
    figures.push(("worst team p99 ms".to_owned(), worst));
    let wrongful = teams.iter().filter_map(|l| l.wrongful).map(percent);
    figures.push((
        "worst team wrongful %".to_owned(),
        wrongful.fold(0.0, f64::max),
    ));
    let broken: usize = report.promises.iter().map(|p| p.broken).sum();
    figures.push(("promises broken".to_owned(), broken as f64));
    figures
}
