//! Table tests of endpoint faults, retries, hedges and refusals.

use std::time::Duration;

use wagtail_route::{Drain, Effect, Health, Input, Mutant, Outcome, Placement, Report, Topology};
use wagtail_types::{Reason, Share, Verdict};

use crate::support::{SingleHost, id, ms, one_zone, request, settings, zone};

fn report(name: &str, health: Health, percent: u32, incarnation: u64) -> Input {
    Input::Report(Report {
        endpoint: id(name),
        health,
        load: Share::from_ppm(percent * 10_000).expect("a share"),
        incarnation,
        age: Duration::ZERO,
    })
}

fn refusal(placement: &Placement) -> Option<Reason> {
    match placement {
        Placement::Refuse(Verdict::NotRun { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// Returns the duration and outcome of a request at a faulty or healthy endpoint.
type Response = fn(bool) -> (Duration, Outcome);

/// Returns the endpoints that are chosen over 50 short requests.
fn used(single: &mut SingleHost) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..50 {
        names.extend(single.run_request(|_| (ms(1), Outcome::Answered)));
    }
    names.sort();
    names.dedup();
    names
}

#[test]
fn a_leaving_endpoint_gets_no_requests_after_any_signal() {
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
        let mut single = SingleHost::with_defaults(one_zone(2, 3));
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
fn the_drain_time_lasts_until_the_last_request_ends() {
    let mut single = SingleHost::with_defaults(one_zone(1, 2));
    let Placement::Dispatch(lease) = single.place() else {
        panic!("a slot is free");
    };
    single.router.handle(single.now, Input::Leaving(id("e0")));
    single.advance(ms(300));
    single.router.finish(single.now, lease, Outcome::Answered);
    let drained = Effect::Drained {
        endpoint: id("e0"),
        after: ms(300),
    };
    assert!(single.effects().contains(&drained));
    assert_eq!(refusal(&single.place()), Some(Reason::NoEndpoint));
}

#[test]
fn the_injected_use_of_a_leaving_endpoint_is_visible() {
    let settings = settings("one", "a", "r").with_mutant(Some(Mutant::UseLeaving));
    let mut single = SingleHost::new(settings, one_zone(1, 2));
    let held = single.place();
    single.router.handle(single.now, Input::Leaving(id("e0")));
    assert!(
        matches!(single.place(), Placement::Dispatch(_)),
        "the injected fault must be visible"
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
    for (incarnation, health, back) in cases {
        let mut single = SingleHost::with_defaults(one_zone(2, 3));
        single
            .router
            .handle(single.now, report("e0", Health::Leaving, 0, 1));
        single
            .router
            .handle(single.now, report("e0", health, 0, incarnation));
        let has = used(&mut single).contains(&"e0".to_owned());
        assert_eq!(has, back, "{incarnation} {health:?}");
    }
}

#[test]
fn failing_and_slow_endpoints_are_ejected_and_restored() {
    let bad = |name: &str| name == "e0";
    let cases: [(&str, Response); 2] = [
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
        let mut single = SingleHost::with_defaults(one_zone(6, 2));
        for _ in 0..200 {
            single.run_request(|endpoint| result(bad(endpoint)));
            single.advance(ms(10));
        }
        let mut effects = single.effects();
        assert!(effects.contains(&Effect::Ejected(id("e0"))), "{name}");
        let others = |e: &Effect| matches!(e, Effect::Ejected(other) if other.as_str() != "e0");
        assert!(!effects.iter().any(others), "{name}: {effects:?}");
        single.advance(ms(20_000));
        assert!(used(&mut single).contains(&"e0".to_owned()), "{name}");
        effects.extend(single.effects());
        let restored = Effect::Restored(id("e0"));
        assert!(effects.contains(&restored), "{name}");
    }
}

#[test]
fn only_a_fresh_report_ejects_an_unhealthy_endpoint() {
    for (age, ejected) in [(ms(100), 2), (ms(60_000), 0), (Duration::MAX, 0)] {
        let mut single = SingleHost::with_defaults(one_zone(4, 2));
        let Input::Report(report) = report("e0", Health::Unhealthy, 0, 1) else {
            panic!("a report");
        };
        let input = Input::Report(Report { age, ..report });
        single.router.handle(single.now, input);
        assert_eq!(single.headroom().ejected, ejected, "{age:?} old");
    }
}

#[test]
fn timeouts_eject_only_slow_endpoints() {
    for (took, ejected) in [(ms(1), false), (ms(90), true)] {
        let mut single = SingleHost::with_defaults(one_zone(6, 2));
        for _ in 0..200 {
            single.run_request(|name| match name {
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
fn misleading_or_missing_reports_do_not_attract_requests() {
    for reports in ["idle", "none", "stale"] {
        let mut single = SingleHost::with_defaults(one_zone(4, 4));
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
            let chosen = single.run_request(|name| (took(name), Outcome::Answered));
            slow += u32::from(chosen.as_deref() == Some("e0"));
        }
        assert!(slow < 100, "{reports}: {slow} of 400 went to the slow one");
    }
}

#[test]
fn a_cold_endpoint_is_ramped() {
    let mut single = SingleHost::with_defaults(one_zone(1, 10));
    single
        .router
        .handle(single.now, report("e0", Health::Serving, 0, 1));
    single
        .router
        .handle(single.now, report("e0", Health::Serving, 0, 2));
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(single.headroom().free);
        single.advance(ms(5_000));
    }
    assert_eq!(seen, [1, 5, 10]);
}

#[test]
fn connections_are_shared_like_slots() {
    let mut topology = one_zone(1, 4);
    topology.endpoints[0].connections = 3;
    let single = SingleHost::with_defaults(topology);
    assert_eq!(single.headroom().slots, 3);
    let connections = single.router.connections(single.service, &id("e0"));
    assert_eq!(connections, Some(3));
}

#[test]
fn retries_stay_within_their_budget() {
    for (mutant, free) in [(None, false), (Some(Mutant::UnlimitedRetries), true)] {
        let mut settings = settings("one", "a", "r").with_mutant(mutant);
        settings.budget.retry = Share::from_ppm(100_000).expect("a share");
        let mut single = SingleHost::new(settings, one_zone(2, 3));
        let mut retried = 0;
        for _ in 0..300 {
            single.run_request(|_| (ms(1), Outcome::Answered));
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
fn only_idempotent_requests_are_hedged_at_another_endpoint() {
    let mut single = SingleHost::with_defaults(one_zone(2, 3));
    for _ in 0..100 {
        single.run_request(|_| (ms(1), Outcome::Answered));
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
fn unplaceable_requests_are_refused_with_a_reason() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    let mut late = request(single.service, single.now);
    assert_eq!(
        refusal(&single.router.place(single.now, &late)),
        Some(Reason::DeadlinePassed)
    );
    late.deadline = single.now + ms(400);
    let without_service = Topology {
        zones: vec![zone("a", "r")],
        ..Topology::default()
    };
    single
        .router
        .handle(single.now, Input::Topology(without_service));
    assert_eq!(
        refusal(&single.router.place(single.now, &late)),
        Some(Reason::UnknownService)
    );
    let mut empty = SingleHost::with_defaults(one_zone(0, 1));
    assert_eq!(refusal(&empty.place()), Some(Reason::NoEndpoint));
}

#[test]
fn a_removed_service_refuses_queued_requests_and_finishes_those_in_flight() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    let Placement::Dispatch(lease) = single.place() else {
        panic!("a slot is free");
    };
    let Placement::Queued(ticket) = single.place() else {
        panic!("the queue is empty");
    };
    let without_service = Input::Topology(Topology {
        services: Vec::new(),
        endpoints: Vec::new(),
        ..one_zone(0, 1)
    });
    single.router.handle(single.now, without_service);
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
