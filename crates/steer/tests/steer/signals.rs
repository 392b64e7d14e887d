//! Endpoints that say that they leave or want a pause.

use std::time::Duration;

use wagtail_steer::{
    Choice, EndpointRecord, EndpointState, Outcome, Placement, RejectionReason, Steer,
};
use wagtail_types::{Clock, ManualClock};

use crate::endpoints::{chosen, finish, one_endpoint, place};
use crate::support::{addr, config, endpoint, exchange, name, steer};

/// The start time that the tests' endpoints register.
const STARTED: Option<u64> = Some(1);
/// The wall-clock time of answers; the tests' endpoints restart after it.
const HEARD: u64 = 2;
const SECOND: Duration = Duration::from_secs(1);

/// Sends a request and ends it as a refusal with a pause. Returns the choice.
fn pause(host: &mut Steer, time: Duration, clock: &ManualClock) -> Choice {
    let choice = chosen(place(host, clock)).expect("an endpoint");
    assert!(host.record_pause(choice.key, STARTED, time, HEARD, clock.now()));
    finish(host, &choice, Outcome::Paused, clock);
    choice
}

fn restarted(mut record: EndpointRecord) -> EndpointRecord {
    record.started = Some(3);
    record
}

/// Guards against requests to an endpoint that has said that it leaves, because the registry knows of
/// it later or not at all.
#[test]
fn an_endpoint_that_says_it_leaves_receives_no_requests_whatever_the_registry_says() {
    let (mut host, clock) = one_endpoint();
    let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
    assert!(host.may_send(choice.key, clock.now()));
    assert!(host.record_leaving(choice.key, STARTED, HEARD, clock.now()));
    assert!(!host.record_leaving(choice.key, STARTED, HEARD, clock.now()));
    finish(&mut host, &choice, Outcome::Answered, &clock);
    assert!(!host.may_send(choice.key, clock.now()));
    // A row or a relayed page that is older than the answer.
    host.register(endpoint("e", "a1", 2), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    // A registration that lapses and is renewed.
    host.unregister(&name("e"), clock.now());
    host.register(endpoint("e", "a1", 2), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    // A copy of the store that is older than the answer.
    host.register_restored(endpoint("e", "a1", 2), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
}

/// Guards against an endpoint that is retired by what an earlier process of it has said.
#[test]
fn a_new_process_is_not_bound_by_what_the_one_before_has_said() {
    for lapses in [false, true] {
        let (mut host, clock) = one_endpoint();
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        assert!(host.record_leaving(choice.key, STARTED, HEARD, clock.now()));
        host.record_pause(choice.key, STARTED, 60 * SECOND, HEARD, clock.now());
        finish(&mut host, &choice, Outcome::Answered, &clock);
        if lapses {
            host.unregister(&name("e"), clock.now());
        }
        host.register(restarted(endpoint("e", "a1", 2)), clock.now());
        let next = chosen(place(&mut host, &clock)).expect("the new process");
        // A late answer of the process before.
        assert!(!host.record_leaving(next.key, STARTED, HEARD, clock.now()));
        assert!(!host.record_pause(next.key, STARTED, SECOND, HEARD, clock.now()));
        assert!(host.may_send(next.key, clock.now()));
    }
}

/// Guards against a pause or a notice that is forgotten because the registration of the process which
/// has said so arrives after its answer.
#[test]
fn what_a_new_process_says_before_its_registration_arrives_holds() {
    for lapses in [false, true] {
        for leaves in [false, true] {
            let (mut host, clock) = one_endpoint();
            let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
            // The process has been started at 3, and its registration has not arrived.
            if leaves {
                host.record_leaving(choice.key, STARTED, 4, clock.now());
            } else {
                host.record_pause(choice.key, STARTED, 2 * SECOND, 4, clock.now());
            }
            finish(&mut host, &choice, Outcome::Paused, &clock);
            if lapses {
                host.unregister(&name("e"), clock.now());
            }
            host.register(restarted(endpoint("e", "a1", 2)), clock.now());
            clock.advance(SECOND);
            assert!(chosen(place(&mut host, &clock)).is_none());
            clock.advance(SECOND);
            assert_eq!(chosen(place(&mut host, &clock)).is_none(), leaves);
        }
    }
}

/// Guards against a notice, or a pause of many minutes, that is forgotten while the registration is away, as
/// after a long outage of the registry.
#[test]
fn what_a_process_has_said_holds_when_it_is_registered_again_much_later() {
    for leaves in [false, true] {
        let (mut host, clock) = one_endpoint();
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        if leaves {
            host.record_leaving(choice.key, STARTED, HEARD, clock.now());
        } else {
            host.record_pause(choice.key, STARTED, 900 * SECOND, HEARD, clock.now());
        }
        host.unregister(&name("e"), clock.now());
        clock.advance(600 * SECOND);
        host.end_holds(clock.now());
        host.register(endpoint("e", "a1", 2), clock.now());
        assert!(chosen(place(&mut host, &clock)).is_none());
        clock.advance(300 * SECOND);
        assert_eq!(chosen(place(&mut host, &clock)).is_none(), leaves);
    }
}

/// Guards against a departed process without a start time that retires the one after it at another
/// address.
#[test]
fn a_process_without_a_start_time_is_told_from_another_by_its_address() {
    let (mut host, clock) = one_endpoint();
    let mut record = endpoint("f", "a1", 2);
    record.started = None;
    host.unregister(&name("e"), clock.now());
    host.register(record.clone(), clock.now());
    let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
    assert!(host.record_leaving(choice.key, None, HEARD, clock.now()));
    host.unregister(&name("f"), clock.now());
    host.register(record.clone(), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    host.unregister(&name("f"), clock.now());
    record.addr = addr(10);
    host.register(record, clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
}

/// Guards against one host, or one endpoint, that retires endpoints of all hosts for good.
#[test]
fn the_word_of_another_host_that_an_endpoint_leaves_expires() {
    let clock = ManualClock::new();
    let mut hosts = [steer("one", "a1", 100), steer("two", "a1", 200)];
    for host in &mut hosts {
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
        host.register(endpoint("e", "a1", 2), clock.now());
    }
    exchange(&mut hosts, &clock);
    let [one, two] = &mut hosts;
    let choice = chosen(place(one, &clock)).expect("an endpoint");
    one.record_leaving(choice.key, STARTED, HEARD, clock.now());
    let reports = one.leaving_reports(clock.now());
    assert_eq!(reports.len(), 1);
    assert!(two.hint_leaving(reports[0], clock.now()));
    assert!(chosen(place(two, &clock)).is_none());
    clock.advance(2 * SECOND);
    // Digests repeat it, which does not extend it.
    assert!(!two.hint_leaving(reports[0], clock.now()));
    assert!(chosen(place(two, &clock)).is_none());
    clock.advance(SECOND);
    assert!(chosen(place(two, &clock)).is_some());
    assert!(one.leaving_reports(clock.now()).is_empty());
    assert!(chosen(place(one, &clock)).is_none());
    two.register(restarted(endpoint("e", "a1", 2)), clock.now());
    assert!(!two.hint_leaving(reports[0], clock.now()));
}

/// Guards against requests and health checks during a pause, and against a host that the pause leaves
/// without an endpoint although another one can be used.
#[test]
fn a_paused_endpoint_receives_no_requests_until_the_pause_is_over() {
    let (mut host, clock) = one_endpoint();
    let choice = pause(&mut host, 3 * SECOND, &clock);
    // A shorter pause does not end a longer one; what a restart of the zone's use asks for waits.
    host.record_pause(choice.key, STARTED, SECOND, HEARD, clock.now());
    host.evacuate(&name("a1"), true, clock.now());
    host.evacuate(&name("a1"), false, clock.now());
    for _ in 0..29 {
        assert!(chosen(place(&mut host, &clock)).is_none());
        assert!(!host.may_send(choice.key, clock.now()));
        assert!(host.due_checks(clock.now()).is_empty());
        clock.advance(SECOND / 10);
    }
    clock.advance(SECOND / 10);
    assert_eq!(host.due_checks(clock.now()), [choice.key]);
    host.record_check(choice.key, Some(Duration::ZERO), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
}

/// Guards against a pause that is forgotten when the registration lapses, or another endpoint answers
/// at the address, and the same process registers again.
#[test]
fn a_pause_outlasts_the_registration() {
    let (mut host, clock) = one_endpoint();
    pause(&mut host, 2 * SECOND, &clock);
    host.unregister(&name("e"), clock.now());
    clock.advance(SECOND);
    host.register(endpoint("e", "a1", 2), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    clock.advance(SECOND);
    assert!(chosen(place(&mut host, &clock)).is_some());
}

/// Guards against callers who wait out their deadline, or come back too early, while all endpoints
/// pause.
#[test]
fn a_request_is_rejected_at_once_with_the_time_until_the_first_pause_ends() {
    let (mut host, clock) = one_endpoint();
    host.register(endpoint("f", "a1", 2), clock.now());
    pause(&mut host, SECOND, &clock);
    pause(&mut host, SECOND / 2, &clock);
    let rejected = |placement| match placement {
        Placement::Reject {
            reason,
            retry_after,
        } => (reason, retry_after),
        Placement::Send(choice) => panic!("{choice:?}"),
    };
    let (reason, wait) = rejected(place(&mut host, &clock));
    assert_eq!((reason, wait), (RejectionReason::NoEndpoint, SECOND / 2));
    let mut leaving = endpoint("g", "a1", 2);
    leaving.state = EndpointState::Draining;
    host.register(leaving, clock.now());
    assert_eq!(rejected(place(&mut host, &clock)).1, SECOND / 2);
    // The route's timeout is 1.5 s.
    for id in ["e", "f"] {
        host.unregister(&name(id), clock.now());
        host.register(restarted(endpoint(id, "a1", 2)), clock.now());
    }
    for _ in 0..2 {
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        host.record_pause(choice.key, Some(3), 5 * SECOND, HEARD, clock.now());
    }
    assert_eq!(rejected(place(&mut host, &clock)).1, SECOND);
}

/// Guards against all hosts that send an endpoint its whole load at the moment at which its pause ends.
#[test]
fn load_returns_gradually_after_a_pause() {
    let clock = ManualClock::new();
    let mut host = steer("host", "a1", 100);
    assert_eq!(host.configure(config(1)), Some(Vec::new()));
    host.register(endpoint("e", "a1", 8), clock.now());
    pause(&mut host, SECOND, &clock);
    clock.advance(SECOND);
    let mut admitted = Vec::new();
    for _ in 0..4 {
        let choices: Vec<_> = std::iter::from_fn(|| chosen(place(&mut host, &clock)))
            .take(8)
            .collect();
        admitted.push(choices.len());
        for choice in &choices {
            finish(&mut host, choice, Outcome::Answered, &clock);
        }
    }
    assert_eq!(admitted[..2], [1, 2], "{admitted:?}");
    assert_eq!(admitted[3], 8, "{admitted:?}");
}

/// Guards against a pause that counts as a failure or a refusal, so that the endpoint is avoided after
/// it.
#[test]
fn a_pause_does_not_count_against_the_endpoint() {
    let (mut host, clock) = one_endpoint();
    host.register(endpoint("f", "a2", 2), clock.now());
    // Each endpoint is probed once.
    for _ in 0..2 {
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        finish(&mut host, &choice, Outcome::Answered, &clock);
    }
    let first = chosen(place(&mut host, &clock)).expect("an endpoint");
    finish(&mut host, &first, Outcome::Answered, &clock);
    for _ in 0..5 {
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        assert_eq!(choice.key, first.key);
        host.record_pause(choice.key, STARTED, SECOND, HEARD, clock.now());
        finish(&mut host, &choice, Outcome::Paused, &clock);
        clock.advance(SECOND);
    }
}

/// Guards against a pause of years that a fault of the endpoint or its clock asks for.
#[test]
fn the_longest_pause_is_an_hour() {
    let (mut host, clock) = one_endpoint();
    pause(&mut host, Duration::MAX, &clock);
    clock.advance(3_599 * SECOND);
    assert!(chosen(place(&mut host, &clock)).is_none());
    clock.advance(SECOND);
    assert!(chosen(place(&mut host, &clock)).is_some());
}
