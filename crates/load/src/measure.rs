//! Measures of a run from its samples: latency and outcomes by team, class and second.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use wagtail_types::Tokens;

use crate::client::CallOutcome;
use crate::mix::{Limit, Mix};

const OVER_RATE: &str = "over-rate";
const UNREACHED: &str = "unreached";

/// One request and its outcome as the caller saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The request id; a repeated sending has the id of the first.
    pub id: String,
    /// The index of the team in [`Mix::teams`].
    pub team: usize,
    /// The index of the class in [`Mix::classes`].
    pub class: usize,
    /// The time at which it was due, since the start.
    pub due: Duration,
    /// The time from when it was due until its outcome.
    pub latency: Duration,
    /// The outcome after any failover to another host.
    pub outcome: CallOutcome,
    /// The idempotency key, if it had one.
    pub key: Option<String>,
    /// Whether this is the second sending of a request.
    pub is_repeat: bool,
}

/// Latency and outcomes of one team or class.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The name of the team or class.
    pub name: String,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of complete answers.
    pub answered: u64,
    /// Refusals with the verdict not-run, by reason; `unreached` if no host accepted the connection.
    pub refused: BTreeMap<String, u64>,
    /// Failures with the verdict may-have-run, by cause.
    pub unknown: BTreeMap<String, u64>,
    /// Requests whose answer was lost, incomplete or wrong.
    pub lost: u64,
    /// The latency of answered requests, from when they were due.
    pub latency: Quantiles,
    /// For teams with a known limit: the comparison with one central token bucket.
    pub wrongful: Option<Wrongful>,
    /// The latency distribution in microseconds.
    #[serde(skip)]
    pub histogram: Histogram<u64>,
}

/// Quantiles of a latency in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

/// Refusals of requests that were within the team's limit, judged by one central token bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Wrongful {
    /// Requests that the central bucket would have admitted.
    pub within: u64,
    /// Requests that were not refused as over the rate.
    pub admitted: u64,
    /// Requests counted in `within` that were refused as over the rate.
    pub over_rate: u64,
    /// Requests counted in `within` that were refused for any other reason.
    pub other: u64,
}

impl Summary {
    fn new(name: &str) -> Self {
        const MAX_MICROS: u64 = 120_000_000;
        Self {
            name: name.to_owned(),
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            unknown: BTreeMap::new(),
            lost: 0,
            latency: Quantiles::default(),
            wrongful: None,
            histogram: Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("bounds are valid"),
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        match &sample.outcome {
            CallOutcome::Answer => {
                self.answered += 1;
                let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
                self.histogram.saturating_record(micros.max(1));
            }
            CallOutcome::NotRun { reason } => *self.refused.entry(reason.clone()).or_default() += 1,
            CallOutcome::MayHaveRun { reason } => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
            CallOutcome::Unreached { .. } => {
                *self.refused.entry(UNREACHED.to_owned()).or_default() += 1;
            }
            CallOutcome::Lost { .. } | CallOutcome::Wrong { .. } => self.lost += 1,
        }
    }

    fn finish(mut self) -> Self {
        let at = |q| self.histogram.value_at_quantile(q) as f64 / 1_000.0;
        self.latency = Quantiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: self.histogram.max() as f64 / 1_000.0,
        };
        self
    }

    /// Returns the number of refusals for any reason.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// The measures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// One summary for each team.
    pub teams: Vec<Summary>,
    /// One summary for each class.
    pub classes: Vec<Summary>,
    /// The outcomes in each second of the run.
    pub seconds: Vec<Second>,
}

/// The requests that were due in one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// The number of requests due.
    pub sent: u64,
    /// The number of complete answers.
    pub answered: u64,
    /// The number of refusals.
    pub refused: u64,
    /// The 99th percentile of the latency in milliseconds.
    pub p99: f64,
}

/// Summarizes samples by team, class and second.
pub fn measure(mix: &Mix, samples: &[Sample]) -> Measures {
    let mut teams: Vec<_> = mix.teams.iter().map(|t| Summary::new(&t.name)).collect();
    let mut classes: Vec<_> = mix.classes.iter().map(|c| Summary::new(&c.name)).collect();
    for sample in samples {
        teams[sample.team].add(sample);
        classes[sample.class].add(sample);
    }
    for (index, (summary, team)) in teams.iter_mut().zip(&mix.teams).enumerate() {
        let own = samples.iter().filter(|s| s.team == index);
        summary.wrongful = team.limit.map(|limit| wrongful(own, limit));
    }
    Measures {
        teams: teams.into_iter().map(Summary::finish).collect(),
        classes: classes.into_iter().map(Summary::finish).collect(),
        seconds: seconds(samples),
    }
}

/// Compares refusals with one central token bucket that sees the same arrivals in order.
fn wrongful<'a>(samples: impl Iterator<Item = &'a Sample>, limit: Limit) -> Wrongful {
    let Limit { rate, burst } = limit;
    let mut samples: Vec<_> = samples.filter(|s| !s.is_repeat).collect();
    samples.sort_by_key(|s| s.due);
    let (mut level, mut last) = (burst, Duration::ZERO);
    let mut count = Wrongful::default();
    for sample in samples {
        level = level
            .saturating_add(rate.over(sample.due.saturating_sub(last)))
            .min(burst);
        last = sample.due;
        let over_rate =
            matches!(&sample.outcome, CallOutcome::NotRun { reason } if reason == OVER_RATE);
        count.admitted += u64::from(!over_rate);
        if level < Tokens::ONE {
            continue;
        }
        level -= Tokens::ONE;
        count.within += 1;
        match &sample.outcome {
            _ if over_rate => count.over_rate += 1,
            CallOutcome::NotRun { .. } => count.other += 1,
            _ => {}
        }
    }
    count
}

fn seconds(samples: &[Sample]) -> Vec<Second> {
    let last = samples.iter().map(|s| s.due.as_secs()).max().unwrap_or(0);
    let second = |at: u64| {
        let mut summary = Summary::new("");
        for sample in samples.iter().filter(|s| s.due.as_secs() == at) {
            summary.add(sample);
        }
        let summary = summary.finish();
        Second {
            sent: summary.sent,
            answered: summary.answered,
            refused: summary.refusals(),
            p99: summary.latency.p99,
        }
    };
    (0..=last).map(second).collect()
}
