//! The fault table of an endpoint, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// Configures the faults of an endpoint; none by default.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the endpoint announces that it is leaving, in `/.health` and on every answer.
    pub leaving: bool,
    /// Whether health checks fail with status 503.
    pub sick: bool,
    /// Whether requests that started to run wait until this is cleared.
    pub hold: bool,
    /// Factor on every service time, in percent; 0 means unchanged.
    pub slow_percent: u32,
    /// How the endpoint reports its load.
    pub report: Report,
    /// Faults of single requests; the first rule whose draw hits applies.
    pub rules: Vec<Rule>,
}

impl Faults {
    /// Returns a table with a single rule that applies to every request.
    pub fn every(fault: Fault) -> Self {
        let rule = Rule {
            fault,
            percent: 100,
            path: None,
        };
        Self {
            rules: vec![rule],
            ..Self::default()
        }
    }
}

/// Selects how the endpoint reports its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// Reports the current load.
    #[default]
    Honest,
    /// Reports the load of some time ago.
    Lagging {
        /// Age of the report in milliseconds.
        ms: u64,
    },
    /// Reports a constant number in flight.
    Fixed {
        /// The number of requests in flight to report.
        inflight: usize,
    },
    /// Reports no load.
    Stopped,
}

/// Applies a fault to a share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The fault to apply.
    pub fault: Fault,
    /// Probability that the rule applies to a request, in percent.
    pub percent: u32,
    /// Path prefix of the requests it applies to; all requests if `None`.
    #[serde(default)]
    pub path: Option<String>,
}

/// A fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The answer is held back after the request ran.
    Late {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// The answer carries the id and body of another request.
    Crossed,
    /// The answer sends fewer bytes than its `content-length`.
    CutLength,
    /// A chunked answer ends without its last chunk.
    CutChunked,
    /// The request is refused before it runs.
    Refuse,
    /// The request runs, then fails with status 500.
    FailAfterRun,
    /// The connection closes before the request runs.
    CloseBefore,
    /// The connection closes after the request ran.
    CloseAfter,
}
