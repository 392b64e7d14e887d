//! What callers saw, and the users' measures made from it.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use wagtail_types::Tokens;

use crate::client::Got;
use crate::mix::{Limit, Mix};

const OVER_RATE: &str = "over-rate";
const UNREACHED: &str = "unreached";

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The request id.
    pub id: String,
    /// The team, by number.
    pub team: usize,
    /// The class, by number.
    pub class: usize,
    /// When it was due, from the start.
    pub due: Duration,
    /// From when it was due to its outcome.
    pub latency: Duration,
    /// The outcome.
    pub got: Got,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether it is a repetition.
    pub again: bool,
}

/// Latency and outcomes of a team or class.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// The team or class.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that say not-run, by reason; `unreached` where no host took the connection.
    pub refused: BTreeMap<String, u64>,
    /// Failures that say may-have-run, by cause.
    pub unknown: BTreeMap<String, u64>,
    /// Requests without any whole answer.
    pub lost: u64,
    /// Latency of the answered, from when they were due.
    pub latency: Quantiles,
    /// For teams: refusals of requests that one central bucket would have admitted.
    pub wrongful: Option<Wrongful>,
    /// The whole distribution.
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
    /// The largest.
    pub max: f64,
}

/// Refusals although the request was within the team's rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Wrongful {
    /// Requests that one central bucket would have admitted.
    pub within: u64,
    /// Requests that were in fact not refused as over the rate.
    pub admitted: u64,
    /// Those of `within` that were refused as over the rate.
    pub over_rate: u64,
    /// Those of them that were refused for any other reason.
    pub other: u64,
}

impl Line {
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
        match &sample.got {
            Got::Answer => {
                self.answered += 1;
                let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
                self.histogram.saturating_record(micros.max(1));
            }
            Got::NotRun { reason } => *self.refused.entry(reason.clone()).or_default() += 1,
            Got::MayHaveRun { reason } => *self.unknown.entry(reason.clone()).or_default() += 1,
            Got::Unreached { .. } => *self.refused.entry(UNREACHED.to_owned()).or_default() += 1,
            Got::Lost { .. } | Got::Wrong { .. } => self.lost += 1,
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

    /// Refusals of every reason.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// The users' measures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// By team.
    pub teams: Vec<Line>,
    /// By class.
    pub classes: Vec<Line>,
    /// Answers in each second, and their 99th percentile in milliseconds.
    pub seconds: Vec<Second>,
}

/// One second of a run, by when requests were due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests due.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// The 99th percentile of the latency.
    pub p99: f64,
}

/// Sums samples up.
pub fn measure(mix: &Mix, samples: &[Sample]) -> Measures {
    let mut teams: Vec<_> = mix.teams.iter().map(|t| Line::new(&t.name)).collect();
    let mut classes: Vec<_> = mix.classes.iter().map(|c| Line::new(&c.name)).collect();
    for sample in samples {
        teams[sample.team].add(sample);
        classes[sample.class].add(sample);
    }
    for (index, (line, team)) in teams.iter_mut().zip(&mix.teams).enumerate() {
        let own = samples.iter().filter(|s| s.team == index);
        line.wrongful = team.limit.map(|limit| wrongful(own, limit));
    }
    Measures {
        teams: teams.into_iter().map(Line::finish).collect(),
        classes: classes.into_iter().map(Line::finish).collect(),
        seconds: seconds(samples),
    }
}

/// Compares refusals with one central bucket that sees the same arrivals in order.
fn wrongful<'a>(samples: impl Iterator<Item = &'a Sample>, limit: Limit) -> Wrongful {
    let Limit { rate, burst } = limit;
    let mut samples: Vec<_> = samples.filter(|s| !s.again).collect();
    samples.sort_by_key(|s| s.due);
    let (mut level, mut last) = (burst, Duration::ZERO);
    let mut count = Wrongful::default();
    for sample in samples {
        level = level
            .saturating_add(rate.over(sample.due.saturating_sub(last)))
            .min(burst);
        last = sample.due;
        let over_rate = matches!(&sample.got, Got::NotRun { reason } if reason == OVER_RATE);
        count.admitted += u64::from(!over_rate);
        if level < Tokens::ONE {
            continue;
        }
        level -= Tokens::ONE;
        count.within += 1;
        match &sample.got {
            _ if over_rate => count.over_rate += 1,
            Got::NotRun { .. } => count.other += 1,
            _ => {}
        }
    }
    count
}

fn seconds(samples: &[Sample]) -> Vec<Second> {
    let last = samples.iter().map(|s| s.due.as_secs()).max().unwrap_or(0);
    let second = |at: u64| {
        let mut line = Line::new("");
        for sample in samples.iter().filter(|s| s.due.as_secs() == at) {
            line.add(sample);
        }
        let line = line.finish();
        Second {
            sent: line.sent,
            answered: line.answered,
            refused: line.refusals(),
            p99: line.latency.p99,
        }
    };
    (0..=last).map(second).collect()
}
