//! Checks of the system's promises from outside: compares what callers received with what endpoints
//! logged.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;
use wagtail_standin::endpoint::{Entry, Outcome, Running};
use wagtail_types::Tokens;

use crate::client::CallOutcome;
use crate::deployment::Layout;
use crate::measure::Sample;

const MAX_EXAMPLES: usize = 5;
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
const WITHDRAWN_LIMIT: Duration = Duration::from_secs(2);

/// The result of checking one promise.
#[derive(Debug, Clone, Serialize)]
pub struct Promise {
    /// The promise as a sentence.
    pub name: &'static str,
    /// The number of cases checked.
    pub checked: usize,
    /// The number of cases that broke it.
    pub broken: usize,
    /// The first cases that broke it, at most five.
    pub examples: Vec<String>,
}

impl Promise {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            checked: 0,
            broken: 0,
            examples: Vec::new(),
        }
    }

    fn check(&mut self, kept: bool, example: impl FnOnce() -> String) {
        self.checked += 1;
        if kept {
            return;
        }
        self.broken += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example());
        }
    }
}

/// A request in the log of one endpoint, with its arrival on the clock of the run.
#[derive(Debug)]
pub struct SeenRequest {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The index of its service.
    pub service: usize,
    /// Arrival at the endpoint since the start of the run; `None` if before the start.
    pub at: Option<Duration>,
    /// The log entry of the endpoint.
    pub entry: Entry,
}

/// The peak load of one endpoint, with its limits.
#[derive(Debug, Clone)]
pub struct EndpointPeak {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The requests that it runs at a time; the limit for `inflight`.
    pub slots: usize,
    /// The connections that it accepts; the limit for `open`.
    pub connections: usize,
    /// The peak of requests in flight.
    pub inflight: usize,
    /// The peak of open connections.
    pub open: usize,
}

/// The observations of a run that the checks are based on.
#[derive(Debug, Default)]
pub struct Evidence {
    /// The requests that endpoints logged.
    pub requests: Vec<SeenRequest>,
    /// The peak load of each endpoint.
    pub peaks: Vec<EndpointPeak>,
    /// Endpoints that were drained or announced that they are leaving, with the time since the start
    /// of the run.
    pub leaving: BTreeMap<String, Duration>,
    /// Teams (by index) whose key was withdrawn, with the time at which the change was committed.
    pub withdrawn: BTreeMap<usize, Duration>,
    /// Whether a host or an endpoint was killed, so that requests in flight may be lost.
    pub crashed: bool,
}

impl Evidence {
    /// Collects the log and the peaks of an endpoint.
    pub fn collect(&mut self, layout: &Layout, name: &str, running: &Running, start: Instant) {
        let service = layout.services.iter().position(|s| {
            name.strip_prefix(s.name)
                .is_some_and(|rest| rest.starts_with('-'))
        });
        let Some(service) = service else { return };
        let spec = &layout.services[service];
        let base = running.started();
        for entry in running.log().entries() {
            let at = (base + entry.started).checked_duration_since(start);
            self.requests.push(SeenRequest {
                endpoint: name.to_owned(),
                service,
                at,
                entry,
            });
        }
        self.peaks.push(EndpointPeak {
            endpoint: name.to_owned(),
            slots: spec.slots,
            connections: spec.connections,
            inflight: running.peak(),
            open: running.peak_connections(),
        });
    }
}

/// Checks every promise and returns the results in a fixed order.
pub fn check(layout: &Layout, samples: &[Sample], evidence: &Evidence) -> Vec<Promise> {
    let mut ran: HashMap<&str, Vec<&SeenRequest>> = HashMap::new();
    for seen in evidence.requests.iter().filter(|s| s.entry.ran) {
        if let Some(id) = &seen.entry.id {
            ran.entry(id).or_default().push(seen);
        }
    }
    vec![
        not_run_is_true(samples, &ran),
        at_most_once(layout, &ran),
        whole_answers(samples, evidence),
        runs_for_own_team(layout, samples, &ran),
        no_key_at_endpoints(layout, evidence),
        rate_and_burst(layout, samples, &ran),
        within_capacity(evidence),
        leaving_endpoints(evidence),
        withdrawn_keys(samples, evidence, &ran),
    ]
}

type RunsById<'a> = HashMap<&'a str, Vec<&'a SeenRequest>>;

fn not_run_is_true(samples: &[Sample], ran: &RunsById<'_>) -> Promise {
    let mut promise = Promise::new("a refusal that says not-run is true");
    let mut last: HashMap<&str, &CallOutcome> = HashMap::new();
    for sample in samples {
        // If a request is repeated, the refusal of one attempt says nothing about the other.
        last.entry(&sample.id)
            .and_modify(|outcome| {
                if matches!(outcome, CallOutcome::NotRun { .. }) {
                    *outcome = &sample.outcome;
                }
            })
            .or_insert(&sample.outcome);
    }
    for (id, outcome) in last {
        if matches!(
            outcome,
            CallOutcome::NotRun { .. } | CallOutcome::Unreached { .. }
        ) {
            promise.check(!ran.contains_key(id), || {
                format!("{id}: {outcome}, but it ran")
            });
        }
    }
    promise
}

fn at_most_once(layout: &Layout, ran: &RunsById<'_>) -> Promise {
    let mut promise = Promise::new("a non-idempotent request runs at most once");
    for (id, seen) in ran {
        if !layout.services[seen[0].service].idempotent {
            promise.check(seen.len() == 1, || {
                let places: Vec<_> = seen.iter().map(|s| s.endpoint.as_str()).collect();
                format!("{id} ran at {}", places.join(", "))
            });
        }
    }
    promise
}

fn whole_answers(samples: &[Sample], evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("every answer is whole and the caller's own; no request is cut");
    for sample in samples {
        let kept = match sample.outcome {
            CallOutcome::Wrong { .. } => false,
            CallOutcome::Lost { .. } => evidence.crashed,
            _ => true,
        };
        promise.check(kept, || format!("{}: {}", sample.id, sample.outcome));
    }
    promise
}

fn runs_for_own_team(layout: &Layout, samples: &[Sample], ran: &RunsById<'_>) -> Promise {
    let mut promise = Promise::new("a request runs only for the team of its key");
    for sample in samples {
        let team = layout.teams[sample.team].name.as_str();
        for seen in ran.get(sample.id.as_str()).into_iter().flatten() {
            promise.check(seen.entry.team.as_deref() == Some(team), || {
                format!("{} of {team} ran for {:?}", sample.id, seen.entry.team)
            });
        }
    }
    promise
}

fn no_key_at_endpoints(layout: &Layout, evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("no endpoint sees a key");
    let keys: Vec<_> = layout
        .teams
        .iter()
        .map(crate::deployment::Team::key)
        .collect();
    for seen in &evidence.requests {
        let text = String::from_utf8_lossy(&seen.entry.headers);
        let clean = keys
            .iter()
            .all(|k| !text.contains(k) && !seen.entry.path.contains(k));
        promise.check(clean, || format!("{} saw a key", seen.endpoint));
    }
    promise
}

/// Checks every interval: the requests that were both sent and started in it were also admitted in
/// it, so that there must not be more of them than the burst plus the rate over the interval.
fn rate_and_burst(layout: &Layout, samples: &[Sample], ran: &RunsById<'_>) -> Promise {
    let mut promise = Promise::new("no team gets more than its rate and burst over all hosts");
    for (index, team) in layout.teams.iter().enumerate() {
        let own = samples.iter().filter(|s| s.team == index && !s.is_repeat);
        let mut intervals: Vec<(Duration, Duration)> = own
            .filter_map(|s| {
                let first = ran
                    .get(s.id.as_str())?
                    .iter()
                    .filter_map(|seen| seen.at)
                    .min()?;
                Some((s.due.min(first), first))
            })
            .collect();
        intervals.sort_by_key(|(_, started)| *started);
        for &(from, _) in &intervals {
            let mut count = 0;
            for &(sent, started) in &intervals {
                if sent < from {
                    continue;
                }
                count += 1;
                let allowed = team
                    .burst
                    .saturating_add(team.rate.over(started.saturating_sub(from)));
                let kept = Tokens::whole(count) <= allowed;
                if !kept {
                    promise.check(false, || {
                        format!("{}: {count} between {from:?} and {started:?}", team.name)
                    });
                    break;
                }
            }
            promise.checked += 1;
        }
    }
    promise
}

fn within_capacity(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("no endpoint is sent more than its slots and connections");
    for peak in &evidence.peaks {
        let kept = peak.inflight <= peak.slots && peak.open <= peak.connections;
        promise.check(kept, || {
            let EndpointPeak {
                endpoint,
                inflight,
                slots,
                open,
                connections,
            } = peak;
            format!("{endpoint}: {inflight}/{slots} in flight, {open}/{connections} connections")
        });
    }
    for seen in &evidence.requests {
        let shed = seen.entry.outcome == Outcome::Shed;
        promise.check(!shed, || {
            format!("{} had to shed at {:?}", seen.endpoint, seen.at)
        });
    }
    promise
}

fn leaving_endpoints(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("a leaving endpoint gets no new work after 3 s");
    for seen in &evidence.requests {
        if let (Some(signalled_at), Some(at)) = (evidence.leaving.get(&seen.endpoint), seen.at) {
            let limit = *signalled_at + LEAVING_LIMIT;
            promise.check(at <= limit, || {
                format!("{} at {at:?}, told at {signalled_at:?}", seen.endpoint)
            });
        }
    }
    promise
}

fn withdrawn_keys(samples: &[Sample], evidence: &Evidence, ran: &RunsById<'_>) -> Promise {
    let mut promise = Promise::new("a withdrawn key stops within 2 s of acceptance");
    for sample in samples {
        let Some(at) = evidence.withdrawn.get(&sample.team) else {
            continue;
        };
        if sample.due > *at + WITHDRAWN_LIMIT {
            promise.check(!ran.contains_key(sample.id.as_str()), || {
                format!(
                    "{} was sent at {:?} and ran, withdrawn at {at:?}",
                    sample.id, sample.due
                )
            });
        }
    }
    promise
}
