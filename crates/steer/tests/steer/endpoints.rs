//! Endpoint selection under registrations, evacuations, cold starts and failures.

use std::rc::Rc;
use std::time::Duration;

use wagtail_steer::{
    Choice, Completion, EndpointState, Fingerprint, Outcome, Placement, PlacementCounts,
    PlacementRequest, RejectionReason, Steer,
};
use wagtail_types::{Clock, ManualClock};

use crate::support::{SERVICE, config, endpoint, exchange, name, steer};

pub(crate) fn place(host: &mut Steer, clock: &ManualClock) -> Placement {
    let route = Rc::new(config(1).routes.remove(0));
    let service = name(SERVICE);
    let request = PlacementRequest {
        route: &route,
        service: &service,
        object: None,
        permitted_regions: &[],
        fingerprint: Fingerprint::default(),
        tried: &[],
        repeated: false,
        elapsed: Duration::ZERO,
        remaining: route.timeout,
    };
    host.place(&request, clock.now())
}

pub(crate) fn chosen(placement: Placement) -> Option<Choice> {
    match placement {
        Placement::Send(choice) => Some(choice),
        Placement::Reject { .. } => None,
    }
}

pub(crate) fn finish(host: &mut Steer, choice: &Choice, outcome: Outcome, clock: &ManualClock) {
    let route = config(1).routes.remove(0);
    let completion = Completion {
        choice,
        route: &route,
        object: None,
        fingerprint: Fingerprint::default(),
        outcome,
        response_time: None,
        load: None,
    };
    host.finish(&completion, clock.now());
}

pub(crate) fn one_endpoint() -> (Steer, ManualClock) {
    let clock = ManualClock::new();
    let mut host = steer("host", "a1", 100);
    assert_eq!(host.configure(config(1)), Some(Vec::new()));
    host.register(endpoint("e", "a1", 2), clock.now());
    (host, clock)
}

/// Guards against counts that cannot explain a shift between regions: a region that rejects its
/// callers runs a smaller share of its requests although none moved.
#[test]
fn placements_are_counted_by_region_and_rejections_apart() {
    let (mut host, clock) = one_endpoint();
    assert!(chosen(place(&mut host, &clock)).is_some());
    host.unregister(&name("e"), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    host.register(endpoint("far", "b1", 2), clock.now());
    for _ in 0..2 {
        assert!(chosen(place(&mut host, &clock)).is_some());
    }
    let expected = PlacementCounts {
        local: 1,
        remote: 2,
        rejected: 1,
    };
    assert_eq!(host.take_placement_counts(), expected);
    assert_eq!(host.take_placement_counts(), PlacementCounts::default());
}

/// Guards against a shift between regions in the first seconds: a host that probes each endpoint of its
/// region with the next request, whatever the request's region, runs requests there that move away
/// once all endpoints have been contacted.
#[test]
fn requests_that_belong_to_another_region_do_not_probe_endpoints() {
    const LOCAL_ENDPOINTS: usize = 6;
    const REQUESTS: usize = 20;
    let clock = ManualClock::new();
    let mut hosts = [steer("one", "a1", 100), steer("two", "b1", 200)];
    for host in &mut hosts {
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
        for i in 0..LOCAL_ENDPOINTS {
            host.register(endpoint(&format!("near-{i}"), "a1", 3), clock.now());
        }
        for i in 0..9 * LOCAL_ENDPOINTS {
            host.register(endpoint(&format!("far-{i}"), "b1", 3), clock.now());
        }
    }
    exchange(&mut hosts, &clock);
    let host = &mut hosts[0];
    host.update_weights(clock.now());
    // The region has a fifth of the average number of slots per host.
    let mut shares = [0, 1].map(|_| {
        for _ in 0..REQUESTS {
            let choice = chosen(place(host, &clock)).expect("an endpoint");
            finish(host, &choice, Outcome::Left, &clock);
        }
        let counts = host.take_placement_counts();
        f64::from(counts.remote) / f64::from(counts.remote + counts.local)
    });
    shares.sort_by(f64::total_cmp);
    let [low, high] = shares;
    assert!(high - low < 0.15 && low > 0.5, "{shares:?}");
}

#[test]
fn a_draining_endpoint_receives_no_requests() {
    let (mut host, clock) = one_endpoint();
    assert!(chosen(place(&mut host, &clock)).is_some());
    let mut record = endpoint("e", "a1", 2);
    record.state = EndpointState::Draining;
    host.register(record, clock.now());
    let refused = place(&mut host, &clock);
    assert!(
        matches!(
            refused,
            Placement::Reject {
                reason: RejectionReason::NoEndpoint,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[test]
fn an_evacuated_zone_receives_no_requests_and_is_checked_afterwards() {
    let (mut host, clock) = one_endpoint();
    let zone = name("a1");
    host.evacuate(&zone, true, clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    host.evacuate(&zone, false, clock.now());
    assert!(
        chosen(place(&mut host, &clock)).is_none(),
        "the endpoint may be cold and must be checked first"
    );
    let due = host.due_checks(clock.now());
    assert_eq!(due.len(), 1);
    host.record_check(due[0], Some(Duration::ZERO), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
}

#[test]
fn an_unreachable_endpoint_is_unused_until_a_check_succeeds() {
    let (mut host, clock) = one_endpoint();
    let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
    finish(&mut host, &choice, Outcome::Unreachable, &clock);
    assert!(chosen(place(&mut host, &clock)).is_none());
    clock.advance(Duration::from_secs(1));
    let due = host.due_checks(clock.now());
    assert_eq!(due, [choice.key]);
    host.record_check(choice.key, None, clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
    host.record_check(choice.key, Some(Duration::ZERO), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
}

#[test]
fn a_replaced_endpoint_is_removed() {
    let (mut host, clock) = one_endpoint();
    let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
    finish(&mut host, &choice, Outcome::Replaced, &clock);
    assert_eq!(host.endpoint_count(), 0);
}

#[test]
fn an_unregistered_endpoint_receives_no_requests() {
    let (mut host, clock) = one_endpoint();
    host.unregister(&name("e"), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_none());
}

/// An endpoint registration that lapsed during a registry outage must survive if it is renewed
/// within two seconds of the recovery; one that is not renewed must go. Removing lapsed endpoints
/// at once would drop live ones, which renew only after the outage.
#[test]
fn a_registration_that_lapsed_during_an_outage_may_be_renewed() {
    let (mut host, clock) = one_endpoint();
    host.register(endpoint("f", "a1", 2), clock.now());
    host.registry_recovered(clock.now());
    host.unregister(&name("e"), clock.now());
    host.unregister(&name("f"), clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
    host.register(endpoint("e", "a1", 2), clock.now());
    // Hosts must follow the registry three seconds after an outage ends, and detect its end up to
    // 0.9 s late.
    clock.advance(Duration::from_millis(2_100));
    host.remove_lapsed(clock.now());
    assert_eq!(host.endpoint_count(), 1);
    assert!(chosen(place(&mut host, &clock)).is_some());
}

#[test]
fn a_restart_under_the_same_name_resets_the_endpoint() {
    let (mut host, clock) = one_endpoint();
    let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
    finish(&mut host, &choice, Outcome::Unreachable, &clock);
    let mut record = endpoint("e", "a1", 2);
    record.started = Some(2);
    host.register(record, clock.now());
    assert!(chosen(place(&mut host, &clock)).is_some());
}

/// Two remote regions have equal endpoints, but one is so far away that its answers are late. Hosts must
/// learn that from the time in which connections open.
#[test]
fn requests_go_to_the_nearer_of_two_remote_regions() {
    let clock = ManualClock::new();
    let mut host = steer("host", "a1", 100);
    assert_eq!(host.configure(config(1)), Some(Vec::new()));
    let mut key = |id, zone| host.register(endpoint(id, zone, 9), clock.now());
    let near = key("near", "c1").expect("a known zone");
    let far = key("far", "b1").expect("a known zone");
    for _ in 0..5 {
        host.record_connection(near, Duration::from_millis(20));
        host.record_connection(far, Duration::from_millis(250));
    }
    for _ in 0..20 {
        let choice = chosen(place(&mut host, &clock)).expect("an endpoint");
        assert_eq!(choice.key, near);
        finish(&mut host, &choice, Outcome::Answered, &clock);
    }
}

/// Guards against a route that is refused for ever because its run time is learned as zero: answers that
/// take less time than the connection took to open.
#[test]
fn answers_faster_than_the_round_trip_do_not_stop_a_route() {
    let (mut host, clock) = one_endpoint();
    for _ in 0..3 {
        let choice = chosen(place(&mut host, &clock)).expect("an idle endpoint");
        host.record_connection(choice.key, Duration::from_millis(20));
        clock.advance(Duration::from_millis(5));
        let route = config(1).routes.remove(0);
        let completion = Completion {
            choice: &choice,
            route: &route,
            object: None,
            fingerprint: Fingerprint::default(),
            outcome: Outcome::Answered,
            response_time: Some(Duration::from_millis(5)),
            load: None,
        };
        host.finish(&completion, clock.now());
    }
}

/// Guards against too many requests in a cold start: all hosts together must stay below the
/// endpoint's cold rate, times a factor plus a slack, in every second.
#[test]
fn all_hosts_together_keep_the_cold_rate() {
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
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
        host.register(record.clone(), clock.now());
    }
    exchange(&mut hosts, &clock);
    let mut times = Vec::new();
    let start = clock.now();
    while clock.now().duration_since(start) < Duration::from_secs(3) {
        for host in &mut hosts {
            if let Some(choice) = chosen(place(host, &clock)) {
                times.push(clock.now());
                finish(host, &choice, Outcome::Answered, &clock);
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
    assert!(
        !times.is_empty(),
        "a cold endpoint must receive some requests"
    );
}

/// Guards against stale or lost sums: digests arrive by the hundred, and each must replace only
/// what the same host reported before.
#[test]
fn requests_of_live_peers_count_as_load() {
    let clock = ManualClock::new();
    let mut hosts = [steer("one", "a1", 100), steer("two", "a1", 200)];
    for host in &mut hosts {
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
        host.register(endpoint("e", "a1", 9), clock.now());
    }
    exchange(&mut hosts, &clock);
    let in_flight = |hosts: &mut [Steer; 2]| {
        let choice = chosen(place(&mut hosts[0], &clock)).expect("an endpoint");
        finish(&mut hosts[0], &choice, Outcome::Left, &clock);
        choice.in_flight
    };
    let open: Vec<_> = (0..3)
        .map(|_| chosen(place(&mut hosts[1], &clock)).expect("an endpoint"))
        .collect();
    assert!(in_flight(&mut hosts).abs() < 1e-9);
    for left in [3.0, 2.0] {
        exchange(&mut hosts, &clock);
        assert!((in_flight(&mut hosts) - left).abs() < 1e-9);
        finish(&mut hosts[1], &open[0], Outcome::Left, &clock);
    }
    // The endpoint restarts elsewhere; the peer's digests still count its requests.
    hosts[0].unregister(&name("e"), clock.now());
    hosts[0].register(endpoint("e", "a1", 9), clock.now());
    assert!((in_flight(&mut hosts) - 2.0).abs() < 1e-9);
    clock.advance(Duration::from_secs(60));
    hosts[0].update_weights(clock.now());
    assert!(in_flight(&mut hosts).abs() < 1e-9);
}
