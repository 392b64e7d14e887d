//! Promises checked from outside: what callers were told against what endpoints saw.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;
use wagtail_standin::endpoint::{Entry, Outcome, Running};
use wagtail_types::Tokens;

use crate::client::Got;
use crate::deployment::Layout;
use crate::measure::Sample;

const SHOWN: usize = 5;
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
const WITHDRAWN_LIMIT: Duration = Duration::from_secs(2);

/// One promise and what broke it.
#[derive(Debug, Clone, Serialize)]
pub struct Promise {
    /// The promise.
    pub name: &'static str,
    /// How many cases were looked at.
    pub checked: usize,
    /// How many broke it.
    pub broken: usize,
    /// The first of those.
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
        if self.examples.len() < SHOWN {
            self.examples.push(example());
        }
    }
}

/// A request as one endpoint saw it, on the run's clock.
#[derive(Debug)]
pub struct Seen {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: usize,
    /// When it arrived there, from the start of the run; `None` before it.
    pub at: Option<Duration>,
    /// The entry of the endpoint's log.
    pub entry: Entry,
}

/// What an endpoint did as a whole.
#[derive(Debug, Clone)]
pub struct Peak {
    /// The endpoint.
    pub endpoint: String,
    /// Slots that it has.
    pub slots: usize,
    /// Connections that it takes.
    pub connections: usize,
    /// The most requests that arrived at once.
    pub inflight: usize,
    /// The most connections open at once.
    pub open: usize,
}

/// Everything that a run left behind for the checks.
#[derive(Debug, Default)]
pub struct Evidence {
    /// What the endpoints saw.
    pub seen: Vec<Seen>,
    /// What the endpoints did as a whole.
    pub peaks: Vec<Peak>,
    /// Endpoints that left, with when they were told to.
    pub leaving: BTreeMap<String, Duration>,
    /// Teams whose key was withdrawn, with when that was accepted.
    pub withdrawn: BTreeMap<usize, Duration>,
    /// Whether a host or endpoint was killed, so that requests in flight may be lost.
    pub crashed: bool,
}

impl Evidence {
    /// Takes the log of an endpoint.
    pub fn take(&mut self, layout: &Layout, name: &str, running: &Running, start: Instant) {
        let service = layout.services.iter().position(|s| {
            name.strip_prefix(s.name)
                .is_some_and(|rest| rest.starts_with('-'))
        });
        let Some(service) = service else { return };
        let spec = &layout.services[service];
        let base = running.started();
        for entry in running.log().entries() {
            let at = (base + entry.started).checked_duration_since(start);
            self.seen.push(Seen {
                endpoint: name.to_owned(),
                service,
                at,
                entry,
            });
        }
        self.peaks.push(Peak {
            endpoint: name.to_owned(),
            slots: spec.slots,
            connections: spec.connections,
            inflight: running.peak(),
            open: running.peak_connections(),
        });
    }
}

/// Checks every promise.
pub fn check(layout: &Layout, samples: &[Sample], evidence: &Evidence) -> Vec<Promise> {
    let mut ran: HashMap<&str, Vec<&Seen>> = HashMap::new();
    for seen in evidence.seen.iter().filter(|s| s.entry.ran) {
        if let Some(id) = &seen.entry.id {
            ran.entry(id).or_default().push(seen);
        }
    }
    vec![
        not_run_is_true(samples, &ran),
        at_most_once(layout, &ran),
        whole_answers(samples, evidence),
        own_team(layout, samples, &ran),
        no_key(layout, evidence),
        rate_and_burst(layout, samples, &ran),
        no_overload(evidence),
        leaving_endpoints(evidence),
        withdrawn_keys(samples, evidence, &ran),
    ]
}

type Ran<'a> = HashMap<&'a str, Vec<&'a Seen>>;

fn not_run_is_true(samples: &[Sample], ran: &Ran<'_>) -> Promise {
    let mut promise = Promise::new("a refusal that says not-run is true");
    let mut last: HashMap<&str, &Got> = HashMap::new();
    for sample in samples {
        // Of a repeated request the refusal of one attempt says nothing of the other.
        last.entry(&sample.id)
            .and_modify(|got| {
                if matches!(got, Got::NotRun { .. }) {
                    *got = &sample.got;
                }
            })
            .or_insert(&sample.got);
    }
    for (id, got) in last {
        if matches!(got, Got::NotRun { .. } | Got::Unreached { .. }) {
            promise.check(!ran.contains_key(id), || format!("{id}: {got}, but it ran"));
        }
    }
    promise
}

fn at_most_once(layout: &Layout, ran: &Ran<'_>) -> Promise {
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
        let kept = match sample.got {
            Got::Wrong { .. } => false,
            Got::Lost { .. } => evidence.crashed,
            _ => true,
        };
        promise.check(kept, || format!("{}: {}", sample.id, sample.got));
    }
    promise
}

fn own_team(layout: &Layout, samples: &[Sample], ran: &Ran<'_>) -> Promise {
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

fn no_key(layout: &Layout, evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("no endpoint sees a key");
    let keys: Vec<_> = layout
        .teams
        .iter()
        .map(crate::deployment::Team::key)
        .collect();
    for seen in &evidence.seen {
        let text = String::from_utf8_lossy(&seen.entry.headers);
        let clean = keys
            .iter()
            .all(|k| !text.contains(k) && !seen.entry.path.contains(k));
        promise.check(clean, || format!("{} saw a key", seen.endpoint));
    }
    promise
}

/// For any two moments, the requests that were both sent and started between them were admitted
/// between them.
fn rate_and_burst(layout: &Layout, samples: &[Sample], ran: &Ran<'_>) -> Promise {
    let mut promise = Promise::new("no team gets more than its rate and burst over all hosts");
    for (index, team) in layout.teams.iter().enumerate() {
        let own = samples.iter().filter(|s| s.team == index && !s.again);
        let mut spans: Vec<(Duration, Duration)> = own
            .filter_map(|s| {
                let first = ran
                    .get(s.id.as_str())?
                    .iter()
                    .filter_map(|seen| seen.at)
                    .min()?;
                Some((s.due.min(first), first))
            })
            .collect();
        spans.sort_by_key(|(_, started)| *started);
        for &(from, _) in &spans {
            let mut count = 0;
            for &(sent, started) in &spans {
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

fn no_overload(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("no endpoint is sent more than its slots and connections");
    for peak in &evidence.peaks {
        let kept = peak.inflight <= peak.slots && peak.open <= peak.connections;
        promise.check(kept, || {
            let Peak {
                endpoint,
                inflight,
                slots,
                open,
                connections,
            } = peak;
            format!("{endpoint}: {inflight}/{slots} in flight, {open}/{connections} connections")
        });
    }
    for seen in &evidence.seen {
        let shed = seen.entry.outcome == Outcome::Shed;
        promise.check(!shed, || {
            format!("{} had to shed at {:?}", seen.endpoint, seen.at)
        });
    }
    promise
}

fn leaving_endpoints(evidence: &Evidence) -> Promise {
    let mut promise = Promise::new("a leaving endpoint gets no new work after 3 s");
    for seen in &evidence.seen {
        if let (Some(told), Some(at)) = (evidence.leaving.get(&seen.endpoint), seen.at) {
            let limit = *told + LEAVING_LIMIT;
            promise.check(at <= limit, || {
                format!("{} at {at:?}, told at {told:?}", seen.endpoint)
            });
        }
    }
    promise
}

fn withdrawn_keys(samples: &[Sample], evidence: &Evidence, ran: &Ran<'_>) -> Promise {
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
