//! Each promise check must report synthetic evidence that breaks it, and no other check may.

use std::time::Duration;

use wagtail_load::client::CallOutcome;
use wagtail_load::deployment::{Deployment, Layout};
use wagtail_load::measure::Sample;
use wagtail_load::promises::{EndpointPeak, Evidence, SeenRequest, check};
use wagtail_standin::endpoint::{Entry, Outcome};
use wagtail_types::{Rate, Tokens};

use crate::measure::{not_run, sample};

const READS: usize = 0;
const SUBMISSIONS: usize = 1;

fn layout() -> Layout {
    let mut layout = Deployment::Tender.layout();
    layout.teams[0].rate = Rate::per_second(1);
    layout.teams[0].burst = Tokens::whole(1);
    layout
}

fn seen(id: &str, service: usize, at: u64) -> SeenRequest {
    let layout = layout();
    SeenRequest {
        endpoint: "one".to_owned(),
        service,
        at: Some(Duration::from_millis(at)),
        entry: Entry {
            method: "GET".to_owned(),
            path: "/read".to_owned(),
            team: Some(layout.teams[0].name.clone()),
            id: Some(id.to_owned()),
            digest: String::new(),
            headers: b"host: one\n".to_vec(),
            started: Duration::ZERO,
            ended: None,
            ran: true,
            outcome: Outcome::Done,
        },
    }
}

fn peak(inflight: usize, open: usize) -> EndpointPeak {
    EndpointPeak {
        endpoint: "one".to_owned(),
        slots: 3,
        connections: 10,
        inflight,
        open,
    }
}

struct Case {
    name: &'static str,
    samples: Vec<Sample>,
    evidence: Evidence,
    breaks: &'static [&'static str],
}

fn case(name: &'static str, samples: Vec<Sample>, seen: Vec<SeenRequest>) -> Case {
    let evidence = Evidence {
        requests: seen,
        ..Evidence::default()
    };
    Case {
        name,
        samples,
        evidence,
        breaks: &[],
    }
}

impl Case {
    fn breaks(mut self, breaks: &'static [&'static str]) -> Self {
        self.breaks = breaks;
        self
    }

    fn with(mut self, change: impl FnOnce(&mut Evidence)) -> Self {
        change(&mut self.evidence);
        self
    }
}

const NOT_RUN: &str = "a refusal that says not-run is true";
const ONCE: &str = "a non-idempotent request runs at most once";
const WHOLE: &str = "every answer is whole and the caller's own; no request is cut";
const TEAM: &str = "a request runs only for the team of its key";
const KEY: &str = "no endpoint sees a key";
const RATE: &str = "no team gets more than its rate and burst over all hosts";
const OVERLOAD: &str = "no endpoint is sent more than its slots and connections";
const LEAVING: &str = "a leaving endpoint gets no new work after 3 s";
const WITHDRAWN: &str = "a withdrawn key stops within 2 s of acceptance";

fn answered(id: &str, due: u64) -> Sample {
    sample(id, due, CallOutcome::Answer)
}

fn lost() -> CallOutcome {
    CallOutcome::Lost {
        reason: "reset".to_owned(),
    }
}

fn basic_cases() -> Vec<Case> {
    let wrong = CallOutcome::Wrong {
        reason: "crossed".to_owned(),
    };
    let unreached = CallOutcome::Unreached {
        reason: "refused".to_owned(),
    };
    let repeat = Sample {
        is_repeat: true,
        ..answered("a", 5)
    };
    vec![
        case(
            "no promise broken",
            vec![answered("a", 0)],
            vec![seen("a", READS, 1)],
        ),
        case(
            "a true refusal",
            vec![sample("a", 0, not_run("over-rate"))],
            vec![],
        ),
        case(
            "a false refusal",
            vec![sample("a", 0, not_run("x"))],
            vec![seen("a", READS, 1)],
        )
        .breaks(&[NOT_RUN]),
        case(
            "sent although unreached",
            vec![sample("a", 0, unreached)],
            vec![seen("a", READS, 1)],
        )
        .breaks(&[NOT_RUN]),
        case(
            "a refused repetition of a request that ran",
            vec![
                answered("a", 0),
                Sample {
                    outcome: not_run("x"),
                    ..repeat
                },
            ],
            vec![seen("a", SUBMISSIONS, 1)],
        ),
        case(
            "a submission that ran twice",
            vec![answered("a", 0)],
            vec![seen("a", SUBMISSIONS, 1), seen("a", SUBMISSIONS, 2)],
        )
        .breaks(&[ONCE]),
        case(
            "a read that ran twice",
            vec![answered("a", 0)],
            vec![seen("a", READS, 1), seen("a", READS, 2)],
        ),
        case("a wrong answer", vec![sample("a", 0, wrong)], vec![]).breaks(&[WHOLE]),
        case("a lost answer", vec![sample("a", 0, lost())], vec![]).breaks(&[WHOLE]),
        case(
            "a lost answer after a crash",
            vec![sample("a", 0, lost())],
            vec![],
        )
        .with(|e| e.crashed = true),
    ]
}

fn evidence_cases() -> Vec<Case> {
    let one = || (vec![answered("a", 0)], vec![seen("a", READS, 1)]);
    let from = |name, (samples, seen)| case(name, samples, seen);
    let late = |at| (vec![answered("a", at)], vec![seen("a", READS, at + 1)]);
    let signalled_at = Duration::from_secs(1);
    let both = |first, second| {
        let samples = vec![answered("a", 0), answered("b", 100)];
        (
            samples,
            vec![seen("a", READS, first), seen("b", READS, second)],
        )
    };
    vec![
        from("another team", one())
            .with(|e| e.requests[0].entry.team = Some("bangor".to_owned()))
            .breaks(&[TEAM]),
        from("a key in a header", one())
            .with(|e| e.requests[0].entry.headers = layout().teams[3].key().into_bytes())
            .breaks(&[KEY]),
        from("a key in the path", one())
            .with(|e| e.requests[0].entry.path = layout().teams[0].key())
            .breaks(&[KEY]),
        from("two within one token", both(1, 200)).breaks(&[RATE]),
        from("two within a second and a token", both(1, 1_100)),
        from("full", one()).with(|e| e.peaks = vec![peak(3, 10)]),
        from("too many at once", one())
            .with(|e| e.peaks = vec![peak(4, 10)])
            .breaks(&[OVERLOAD]),
        from("too many connections", one())
            .with(|e| e.peaks = vec![peak(3, 11)])
            .breaks(&[OVERLOAD]),
        from("shed", one())
            .with(|e| e.requests[0].entry.outcome = Outcome::Shed)
            .breaks(&[OVERLOAD]),
        from("refused by a fault", one()).with(|e| e.requests[0].entry.outcome = Outcome::Refused),
        from("new work within 3 s of leaving", late(3_990))
            .with(|e| e.leaving = [("one".to_owned(), signalled_at)].into()),
        from("new work later", late(4_010))
            .with(|e| e.leaving = [("one".to_owned(), signalled_at)].into())
            .breaks(&[LEAVING]),
        from("withdrawn less than 2 s before", late(2_990))
            .with(|e| e.withdrawn = [(0, signalled_at)].into()),
        from("withdrawn more than 2 s before", late(3_010))
            .with(|e| e.withdrawn = [(0, signalled_at)].into())
            .breaks(&[WITHDRAWN]),
    ]
}

#[test]
fn requests_are_counted_where_they_ran() {
    let layout = layout();
    let mut elsewhere = seen("b", READS, 5);
    elsewhere.endpoint = "substances-2".to_owned();
    let mut here = seen("a", READS, 1);
    here.endpoint = "substances-0".to_owned();
    let evidence = Evidence {
        requests: vec![here, elsewhere],
        ..Evidence::default()
    };
    let samples = [answered("a", 0), answered("b", 4)];
    let served = wagtail_load::served::served(&layout, &samples, &evidence);
    let counts: Vec<_> = served[0].regions.iter().map(|(_, count)| *count).collect();
    assert_eq!((served[0].home.as_str(), counts), ("cymru", vec![1, 1, 0]));
    let rest = served[1..].iter().flat_map(|s| &s.regions);
    assert_eq!(rest.map(|(_, count)| count).sum::<u64>(), 0);
}

#[test]
fn each_check_reports_only_the_evidence_that_breaks_its_promise() {
    let mut found = std::collections::BTreeSet::new();
    for case in basic_cases().into_iter().chain(evidence_cases()) {
        let promises = check(&layout(), &case.samples, &case.evidence);
        let broken = promises.iter().filter(|p| p.broken > 0);
        let broken: Vec<_> = broken.map(|p| p.name).collect();
        assert_eq!(broken, case.breaks, "{}", case.name);
        found.extend(case.breaks);
    }
    let all = check(&layout(), &[], &Evidence::default());
    let all: std::collections::BTreeSet<_> = all.iter().map(|p| p.name).collect();
    assert_eq!(found, all, "every promise has a case that breaks it");
}
