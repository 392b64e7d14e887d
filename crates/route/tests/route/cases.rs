//! Tables of fault cases.

use std::time::Duration;

use wagtail_route::{Drain, Effect, Health, Input, Mutant, Outcome, Placement, Report, Topology};
use wagtail_types::{Reason, Share, Verdict};

use crate::support::{Single, id, ms, one_zone, request, settings, zone};

fn report(name: &str, health: Health, percent: u32, life: u64) -> Input {
    Input::Report(Report {
        endpoint: id(name),
        health,
        load: Share::from_ppm(percent * 10_000).expect("a share"),
        life,
        age: Duration::ZERO,
    })
}

fn refusal(placement: &Placement) -> Option<Reason> {
    match placement {
        Placement::Refuse(Verdict::NotRun { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// How an endpoint answers that may be bad.
type Answer = fn(bool) -> (Duration, Outcome);

/// Endpoints that get work over 50 short requests.
fn used(single: &mut Single) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..50 {
        names.extend(single.run(|_| (ms(1), Outcome::Answered)));
    }
    names.sort();
    names.dedup();
    names
}

#[test]
fn a_leaving_endpoint_gets_no_work_whichever_signal_comes_first() {
    let drained = Topology {
        drains: vec![Drain::Endpoint(id("e0"))],
        ..one_zone(2, 3)
    };
    let mut withdrawn = one_zone(2, 3);
    withdrawn.endpoints.remove(0);
    let signals = [
        ("operator", Input::Topology(drained)),
        ("withdrawn", Input::Topology(withdrawn)),
        ("report", report("e0", Health::Leaving, 0, 1)),
        ("peer", Input::Leaving(id("e0"))),
    ];
    for (name, signal) in signals {
        let mut single = Single::standard(one_zone(2, 3));
        single.router.handle(single.now, signal);
        let effects = single.effects();
        assert!(
            effects.contains(&Effect::Leaving(id("e0"))),
            "{name}: {effects:?}"
        );
        single
            .router
            .handle(single.now, report("e0", Health::Serving, 0, 1));
        assert_eq!(used(&mut single), ["e1"], "{name}");
    }
}

#[test]
fn the_drain_time_counts_to_the_end_of_the_last_request() {
    let mut single = Single::standard(one_zone(1, 2));
    let Placement::Dispatch(lease) = single.place() else {
        panic!("a slot is free");
    };
    single.router.handle(single.now, Input::Leaving(id("e0")));
    single.pass(ms(300));
    single.router.finish(single.now, lease, Outcome::Answered);
    let drained = Effect::Drained {
        endpoint: id("e0"),
        after: ms(300),
    };
    assert!(single.effects().contains(&drained));
    assert_eq!(refusal(&single.place()), Some(Reason::NoEndpoint));
}

#[test]
fn the_table_finds_work_while_leaving() {
    let settings = settings("one", "a", "r").with_mutant(Some(Mutant::UseLeaving));
    let mut single = Single::new(settings, one_zone(1, 2));
    let held = single.place();
    single.router.handle(single.now, Input::Leaving(id("e0")));
    assert!(
        matches!(single.place(), Placement::Dispatch(_)),
        "the fault shows"
    );
    drop(held);
}

#[test]
fn a_restart_ends_leaving_but_an_old_report_does_not() {
    let cases = [
        (1, Health::Serving, false),
        (2, Health::Leaving, false),
        (2, Health::Serving, true),
    ];
    for (life, health, back) in cases {
        let mut single = Single::standard(one_zone(2, 3));
        single
            .router
            .handle(single.now, report("e0", Health::Leaving, 0, 1));
        single
            .router
            .handle(single.now, report("e0", health, 0, life));
        let has = used(&mut single).contains(&"e0".to_owned());
        assert_eq!(has, back, "{life} {health:?}");
    }
}

#[test]
fn sick_endpoints_are_ejected_and_tried_again() {
    let bad = |name: &str| name == "e0";
    let cases: [(&str, Answer); 2] = [
        ("failing", |bad| {
            (
                ms(5),
                if bad {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                },
            )
        }),
        ("slow", |bad| {
            (if bad { ms(80) } else { ms(5) }, Outcome::Answered)
        }),
    ];
    for (name, result) in cases {
        let mut single = Single::standard(one_zone(6, 2));
        for _ in 0..200 {
            single.run(|endpoint| result(bad(endpoint)));
            single.pass(ms(10));
        }
        let mut effects = single.effects();
        assert!(effects.contains(&Effect::Ejected(id("e0"))), "{name}");
        let others = |e: &Effect| matches!(e, Effect::Ejected(other) if other.as_str() != "e0");
        assert!(!effects.iter().any(others), "{name}: {effects:?}");
        single.pass(ms(20_000));
        assert!(used(&mut single).contains(&"e0".to_owned()), "{name}");
        effects.extend(single.effects());
        let restored = Effect::Restored(id("e0"));
        assert!(effects.contains(&restored), "{name}");
    }
}

#[test]
fn only_a_fresh_report_ejects_a_sick_endpoint() {
    for (age, ejected) in [(ms(100), 2), (ms(60_000), 0), (Duration::MAX, 0)] {
        let mut single = Single::standard(one_zone(4, 2));
        let Input::Report(report) = report("e0", Health::Sick, 0, 1) else {
            panic!("a report");
        };
        let input = Input::Report(Report { age, ..report });
        single.router.handle(single.now, input);
        assert_eq!(single.headroom().ejected, ejected, "{age:?} old");
    }
}

#[test]
fn deadlines_eject_only_endpoints_that_are_slow() {
    for (took, ejected) in [(ms(1), false), (ms(90), true)] {
        let mut single = Single::standard(one_zone(6, 2));
        for _ in 0..200 {
            single.run(|name| match name {
                "e0" => (took, Outcome::TimedOut),
                _ => (ms(5), Outcome::Answered),
            });
        }
        let effects = single.effects();
        let found = effects.contains(&Effect::Ejected(id("e0")));
        assert_eq!(found, ejected, "after {took:?}");
    }
}

#[test]
fn reports_that_mislead_or_stop_draw_no_more_work_than_answers_justify() {
    for reports in ["idle", "none", "stale"] {
        let mut single = Single::standard(one_zone(4, 4));
        let mut slow = 0;
        for n in 0..400_u64 {
            if reports == "idle" || (reports == "stale" && n == 0) {
                single
                    .router
                    .handle(single.now, report("e0", Health::Serving, 0, 1));
                for other in ["e1", "e2", "e3"] {
                    single
                        .router
                        .handle(single.now, report(other, Health::Serving, 70, 1));
                }
            }
            let took = |name: &str| if name == "e0" { ms(25) } else { ms(10) };
            let chosen = single.run(|name| (took(name), Outcome::Answered));
            slow += u32::from(chosen.as_deref() == Some("e0"));
        }
        assert!(slow < 100, "{reports}: {slow} of 400 went to the slow one");
    }
}

#[test]
fn a_cold_endpoint_is_ramped() {
    let mut single = Single::standard(one_zone(1, 10));
    single
        .router
        .handle(single.now, report("e0", Health::Serving, 0, 1));
    single
        .router
        .handle(single.now, report("e0", Health::Serving, 0, 2));
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(single.headroom().free);
        single.pass(ms(5_000));
    }
    assert_eq!(seen, [1, 5, 10]);
}

#[test]
fn connections_are_shared_like_slots() {
    let mut topology = one_zone(1, 4);
    topology.endpoints[0].connections = 3;
    let single = Single::standard(topology);
    assert_eq!(single.headroom().slots, 3);
    let connections = single.router.connections(single.service, &id("e0"));
    assert_eq!(connections, Some(3));
}

#[test]
fn retries_keep_to_their_budget() {
    for (mutant, free) in [(None, false), (Some(Mutant::UnlimitedRetries), true)] {
        let mut settings = settings("one", "a", "r").with_mutant(mutant);
        settings.budget.retry = Share::from_ppm(100_000).expect("a share");
        let mut single = Single::new(settings, one_zone(2, 3));
        let mut retried = 0;
        for _ in 0..300 {
            single.run(|_| (ms(1), Outcome::Answered));
            let mut again = request(single.service, single.now + ms(400));
            again.attempt = 1;
            if let Placement::Dispatch(lease) = single.router.place(single.now, &again) {
                single.router.finish(single.now, lease, Outcome::Answered);
                retried += 1;
            }
        }
        assert_eq!(
            retried > 30,
            free,
            "{retried} retries after 300 first attempts"
        );
    }
}

#[test]
fn only_reads_are_hedged_and_only_elsewhere() {
    let mut single = Single::standard(one_zone(2, 3));
    for _ in 0..100 {
        single.run(|_| (ms(1), Outcome::Answered));
    }
    let Placement::Dispatch(first) = single.place() else {
        panic!("a slot is free");
    };
    let mut read = request(single.service, single.now + ms(400));
    read.idempotent = false;
    assert_eq!(single.router.hedge(single.now, &read, &first), None);
    read.idempotent = true;
    let second = single
        .router
        .hedge(single.now, &read, &first)
        .expect("in budget");
    assert_ne!(first.endpoint, second.endpoint);
}

#[test]
fn what_cannot_be_placed_is_refused_with_its_reason() {
    let mut single = Single::standard(one_zone(1, 1));
    let mut late = request(single.service, single.now);
    assert_eq!(
        refusal(&single.router.place(single.now, &late)),
        Some(Reason::DeadlinePassed)
    );
    late.deadline = single.now + ms(400);
    let gone = Topology {
        zones: vec![zone("a", "r")],
        ..Topology::default()
    };
    single.router.handle(single.now, Input::Topology(gone));
    assert_eq!(
        refusal(&single.router.place(single.now, &late)),
        Some(Reason::UnknownService)
    );
    let mut empty = Single::standard(one_zone(0, 1));
    assert_eq!(refusal(&empty.place()), Some(Reason::NoEndpoint));
}

#[test]
fn a_withdrawn_service_refuses_what_waits_and_ends_what_runs() {
    let mut single = Single::standard(one_zone(1, 1));
    let Placement::Dispatch(lease) = single.place() else {
        panic!("a slot is free");
    };
    let Placement::Queued(ticket) = single.place() else {
        panic!("the queue is empty");
    };
    let gone = Input::Topology(Topology {
        services: Vec::new(),
        endpoints: Vec::new(),
        ..one_zone(0, 1)
    });
    single.router.handle(single.now, gone);
    let refused = |e: &Effect| matches!(e, Effect::Refuse { ticket: t, .. } if *t == ticket);
    assert!(single.effects().iter().any(refused));
    single
        .router
        .handle(single.now, Input::Topology(one_zone(1, 1)));
    assert!(
        !matches!(single.place(), Placement::Dispatch(_)),
        "its slot is still busy"
    );
    single.router.finish(single.now, lease, Outcome::Answered);
}
