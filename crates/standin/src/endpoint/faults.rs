//! The fault table of an endpoint, settable while it runs.

use serde::{Deserialize, Serialize};

/// Everything that is wrong with an endpoint at the moment.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The endpoint is leaving and says so.
    pub leaving: bool,
    /// Health answers fail.
    pub sick: bool,
    /// Started requests wait until this is cleared.
    pub hold: bool,
    /// Factor on every service time, in percent; 0 leaves it as it is.
    pub slow_percent: u32,
    /// How the endpoint reports its load.
    pub report: Report,
    /// Faults of single requests; the first rule that hits applies.
    pub rules: Vec<Rule>,
}

impl Faults {
    /// A table with one rule that hits every request.
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

/// How load is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// As it is.
    #[default]
    Honest,
    /// As it was some time ago.
    Lagging {
        /// Age of the report in milliseconds.
        ms: u64,
    },
    /// Always the same number in flight.
    Fixed {
        /// The number reported.
        inflight: usize,
    },
    /// Not at all.
    Stopped,
}

/// A fault that hits part of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// What goes wrong.
    pub fault: Fault,
    /// How many of a hundred requests it hits.
    pub percent: u32,
    /// Only paths that start with this.
    #[serde(default)]
    pub path: Option<String>,
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The answer is held back after the request ran.
    Late {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// The answer carries the id and body of another request.
    Crossed,
    /// The answer announces more bytes than it sends.
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
