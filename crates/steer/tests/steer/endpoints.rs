//! Which endpoints get requests: registrations, evacuations, cold starts, failures.

use std::rc::Rc;
use std::time::Duration;

use wagtail_steer::{Ask, Choice, End, EndpointState, Miss, Outcome, Placement, Steer};
use wagtail_types::{Clock, ManualClock};

use crate::support::{SERVICE, config, endpoint, exchange, name, steer};

fn ask(host: &mut Steer, clock: &ManualClock) -> Placement {
    let route = Rc::new(config(1).routes.remove(0));
    let service = name(SERVICE);
    let ask = Ask {
        route: &route,
        service: &service,
        object: None,
        homes: &[],
        tried: &[],
        gone: Duration::ZERO,
        left: route.timeout,
    };
    host.place(&ask, clock.now())
}

fn sent(placement: Placement) -> Option<Choice> {
    match placement {
        Placement::Send(choice) => Some(choice),
        Placement::Refuse { .. } => None,
    }
}

fn end(host: &mut Steer, choice: &Choice, outcome: Outcome, clock: &ManualClock) {
    let route = config(1).routes.remove(0);
    let end = End {
        choice,
        route: &route,
        object: None,
        outcome,
        taken: None,
        load: None,
    };
    host.finish(&end, clock.now());
}

fn one() -> (Steer, ManualClock) {
    let clock = ManualClock::new();
    let mut host = steer("host", "a1", 100);
    host.configure(config(1)).expect("a valid configuration");
    host.register(endpoint("e", "a1", 2), clock.now());
    (host, clock)
}

#[test]
fn a_draining_endpoint_gets_nothing() {
    let (mut host, clock) = one();
    assert!(sent(ask(&mut host, &clock)).is_some());
    let mut record = endpoint("e", "a1", 2);
    record.state = EndpointState::Draining;
    host.register(record, clock.now());
    let refused = ask(&mut host, &clock);
    assert!(
        matches!(
            refused,
            Placement::Refuse {
                miss: Miss::NoEndpoint,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[test]
fn an_evacuated_zone_gets_nothing_and_is_checked_when_taken_back() {
    let (mut host, clock) = one();
    let zone = name("a1");
    host.evacuate(&zone, true, clock.now());
    assert!(sent(ask(&mut host, &clock)).is_none());
    host.evacuate(&zone, false, clock.now());
    assert!(
        sent(ask(&mut host, &clock)).is_none(),
        "it may be cold and is asked first"
    );
    let due = host.due_checks(clock.now());
    assert_eq!(due.len(), 1);
    host.checked(due[0], Some(Duration::ZERO), clock.now());
    assert!(sent(ask(&mut host, &clock)).is_some());
}

#[test]
fn an_unreachable_endpoint_is_left_until_a_check_reaches_it() {
    let (mut host, clock) = one();
    let choice = sent(ask(&mut host, &clock)).expect("an endpoint");
    end(&mut host, &choice, Outcome::Unreachable, &clock);
    assert!(sent(ask(&mut host, &clock)).is_none());
    clock.advance(Duration::from_secs(1));
    let due = host.due_checks(clock.now());
    assert_eq!(due, [choice.key]);
    host.checked(choice.key, None, clock.now());
    assert!(sent(ask(&mut host, &clock)).is_none());
    host.checked(choice.key, Some(Duration::ZERO), clock.now());
    assert!(sent(ask(&mut host, &clock)).is_some());
}

#[test]
fn an_address_that_another_endpoint_has_is_forgotten() {
    let (mut host, clock) = one();
    let choice = sent(ask(&mut host, &clock)).expect("an endpoint");
    end(&mut host, &choice, Outcome::Replaced, &clock);
    assert_eq!(host.endpoint_count(), 0);
}

#[test]
fn a_removed_registration_counts_at_once() {
    let (mut host, clock) = one();
    host.unregister(&name("e"), clock.now());
    assert!(sent(ask(&mut host, &clock)).is_none());
}

/// Registrations lapse while the registry is away and come back within two seconds of its return;
/// what does not is gone.
#[test]
fn a_registration_that_lapsed_while_the_registry_was_away_has_time_to_return() {
    let (mut host, clock) = one();
    host.register(endpoint("f", "a1", 2), clock.now());
    host.registry_returned(clock.now());
    host.unregister(&name("e"), clock.now());
    host.unregister(&name("f"), clock.now());
    assert!(sent(ask(&mut host, &clock)).is_some());
    host.register(endpoint("e", "a1", 2), clock.now());
    // In force three seconds after the end of a cut, which is noticed up to 0.9 s late.
    clock.advance(Duration::from_millis(2_100));
    host.end_lapsed(clock.now());
    assert_eq!(host.endpoint_count(), 1);
    assert!(sent(ask(&mut host, &clock)).is_some());
}

#[test]
fn an_endpoint_that_restarts_under_its_name_starts_afresh() {
    let (mut host, clock) = one();
    let choice = sent(ask(&mut host, &clock)).expect("an endpoint");
    end(&mut host, &choice, Outcome::Unreachable, &clock);
    let mut record = endpoint("e", "a1", 2);
    record.born = Some(2);
    host.register(record, clock.now());
    assert!(sent(ask(&mut host, &clock)).is_some());
}

/// All hosts together stay below a cold endpoint's rate, a factor and a slack, in every second.
#[test]
fn cold_endpoints_get_few_requests_from_all_hosts_together() {
    let clock = ManualClock::new();
    let zones = ["a1", "a1", "a2", "b1", "b2", "c1", "c2", "a2"];
    let mut hosts: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            steer(
                &format!("host-{i}"),
                zone,
                100 + 10 * u16::try_from(i).expect("few"),
            )
        })
        .collect();
    let mut record = endpoint("e", "a1", 50);
    record.cold = Duration::from_secs(3);
    for host in &mut hosts {
        host.configure(config(1)).expect("a valid configuration");
        host.register(record.clone(), clock.now());
    }
    exchange(&mut hosts, &clock);
    let mut times = Vec::new();
    let start = clock.now();
    while clock.now().duration_since(start) < Duration::from_secs(3) {
        for host in &mut hosts {
            if let Some(choice) = sent(ask(host, &clock)) {
                times.push(clock.now());
                end(host, &choice, Outcome::Answered, &clock);
            }
        }
        clock.advance(Duration::from_millis(10));
        if times.len().is_multiple_of(7) {
            exchange(&mut hosts, &clock);
        }
    }
    let bound = 4.4 * 1.5 + 5.0;
    for (i, first) in times.iter().enumerate() {
        let second = |t: &&std::time::Instant| t.duration_since(*first) < Duration::from_secs(1);
        let count = times[i..].iter().filter(second).count();
        assert!(count as f64 <= bound, "{count} requests in a second");
    }
    assert!(!times.is_empty(), "a cold endpoint gets some requests");
}

/// Digests come by the hundred; each changes only what it tells of, and what its host told before.
#[test]
fn requests_of_other_hosts_count_while_those_are_heard() {
    let clock = ManualClock::new();
    let mut hosts = [steer("one", "a1", 100), steer("two", "a1", 200)];
    for host in &mut hosts {
        host.configure(config(1)).expect("a valid configuration");
        host.register(endpoint("e", "a1", 9), clock.now());
    }
    exchange(&mut hosts, &clock);
    let queue = |hosts: &mut [Steer; 2]| {
        let choice = sent(ask(&mut hosts[0], &clock)).expect("an endpoint");
        end(&mut hosts[0], &choice, Outcome::Left, &clock);
        choice.queue
    };
    let open: Vec<_> = (0..3)
        .map(|_| sent(ask(&mut hosts[1], &clock)).expect("an endpoint"))
        .collect();
    assert!(queue(&mut hosts).abs() < 1e-9);
    for left in [3.0, 2.0] {
        exchange(&mut hosts, &clock);
        assert!((queue(&mut hosts) - left).abs() < 1e-9);
        end(&mut hosts[1], &open[0], Outcome::Left, &clock);
    }
    // The endpoint restarts elsewhere; the other host's requests are still told.
    hosts[0].unregister(&name("e"), clock.now());
    hosts[0].register(endpoint("e", "a1", 9), clock.now());
    assert!((queue(&mut hosts) - 2.0).abs() < 1e-9);
    clock.advance(Duration::from_secs(60));
    hosts[0].balance(clock.now());
    assert!(queue(&mut hosts).abs() < 1e-9);
}
