//! Table tests of relays and adverts.

use std::time::Duration;

use wagtail_route::{Advert, HostState, Input, Origin, Placement, RelayResult};

use crate::support::{SingleHost, endpoint, host, id, ms, one_zone, request, team, zone};

fn add_peers(single: &mut SingleHost) {
    let mut topology = one_zone(1, 1);
    topology.zones.extend([zone("b", "r"), zone("c", "q")]);
    topology.endpoints.push(endpoint("e1", "s", "b", 1));
    topology.teams = vec![team("t", 1)];
    single.router.handle(single.now, Input::Topology(topology));
    let views = vec![
        host("one", "a", HostState::Serving),
        host("two", "b", HostState::Serving),
        host("three", "c", HostState::Serving),
    ];
    single.router.handle(single.now, Input::Hosts(views));
    single.advance(ms(3_000));
}

fn advert(single: &mut SingleHost, name: &str, free: u32, age: Duration) {
    let advert = Advert {
        host: id(name),
        free: vec![(id("s"), free)],
        age,
    };
    single.router.handle(single.now, Input::Advert(advert));
}

#[test]
fn a_relay_goes_to_the_nearest_fresh_offer() {
    let cases = [
        ("both", 1, 0, 1, 0, Some("two")),
        ("near is full", 0, 0, 1, 0, None),
        ("near is stale", 1, 5_000, 1, 0, None),
        ("all are stale", 1, 5_000, 1, 5_000, None),
    ];
    for (name, near, near_age, far, far_age, wanted) in cases {
        let mut single = SingleHost::with_defaults(one_zone(1, 1));
        add_peers(&mut single);
        let held = single.place();
        assert!(matches!(held, Placement::Dispatch(_)), "{name}");
        advert(&mut single, "two", near, ms(near_age));
        advert(&mut single, "three", far, ms(far_age));
        let placed = single.place();
        let host = match &placed {
            Placement::Relay(permit) => Some(permit.host.as_str()),
            _ => None,
        };
        assert_eq!(host, wanted, "{name}: {placed:?}");
    }
}

#[test]
fn a_host_without_slots_relays_to_the_queue_of_a_peer_with_slots() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    single.router.handle(single.now, Input::Leaving(id("e0")));
    advert(&mut single, "two", 0, Duration::ZERO);
    let placed = single.place();
    assert!(
        matches!(&placed, Placement::Relay(permit) if permit.host.as_str() == "two"),
        "{placed:?}"
    );
}

/// Adverts stop for a while when processes are paused or datagrams are lost. A host without slots of its
/// own must not refuse what a peer can still run; a peer that refuses is not asked again.
#[test]
fn a_host_without_slots_relays_on_expired_adverts() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    single.router.handle(single.now, Input::Leaving(id("e0")));
    let none = single.place();
    assert!(
        matches!(none, Placement::Refuse(_)),
        "no peer has ever offered a slot"
    );
    advert(&mut single, "two", 1, ms(5_000));
    let Placement::Relay(permit) = single.place() else {
        panic!("the peer held slots");
    };
    assert_eq!(permit.host.as_str(), "two");
    single
        .router
        .finish_relay(single.now, permit, RelayResult::NoSlot);
    assert!(matches!(single.place(), Placement::Refuse(_)));
}

#[test]
fn extreme_adverts_are_bounded() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    advert(&mut single, "two", 7, Duration::MAX);
    assert_eq!(single.headroom().region_free, 0, "as old as can be");
    advert(&mut single, "two", u32::MAX, Duration::ZERO);
    advert(&mut single, "three", u32::MAX, Duration::ZERO);
    advert(&mut single, "unknown", 9, Duration::ZERO);
    assert_eq!(single.headroom().region_free, 65_535);
}

#[test]
fn a_host_with_only_leaving_endpoints_advertises_nothing() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    let names = |single: &SingleHost| single.router.advert(single.now).free;
    assert_eq!(names(&single), [(id("s"), 1)]);
    let _held = single.place();
    assert_eq!(names(&single), [(id("s"), 0)], "its queue can take more");
    single.router.handle(single.now, Input::Leaving(id("e0")));
    assert_eq!(names(&single), []);
}

#[test]
fn a_long_local_wait_allows_the_queue_of_a_peer() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    let _held = single.place();
    advert(&mut single, "two", 0, Duration::ZERO);
    let placed: Vec<_> = (0..4).map(|_| single.place()).collect();
    let queued = |p: &&Placement| matches!(p, Placement::Queued(_));
    assert_eq!(placed.iter().filter(queued).count(), 2, "{placed:?}");
    assert!(matches!(&placed[3], Placement::Relay(permit) if permit.host.as_str() == "two"));
}

#[test]
fn a_relayed_request_is_not_relayed_again() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    let _held = single.place();
    advert(&mut single, "two", 9, Duration::ZERO);
    let mut request = request(single.service, single.now + ms(400));
    request.origin = Origin::Relayed;
    let placed = single.router.place(single.now, &request);
    assert!(matches!(placed, Placement::Queued(_)), "{placed:?}");
}

#[test]
fn a_refused_relay_is_not_repeated_until_the_next_advert() {
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    let _held = single.place();
    advert(&mut single, "two", 5, Duration::ZERO);
    let Placement::Relay(permit) = single.place() else {
        panic!("the peer offers slots");
    };
    single
        .router
        .finish_relay(single.now, permit, RelayResult::NoSlot);
    assert!(!matches!(single.place(), Placement::Relay(_)));
    single.advance(ms(100));
    advert(&mut single, "two", 5, Duration::ZERO);
    assert!(matches!(single.place(), Placement::Relay(_)));
}

#[test]
fn adverts_go_to_near_hosts_first_and_to_no_more_than_asked() {
    let cases = [
        ((9, 9, 9), 8, (4, 2, 2)),
        ((1, 9, 9), 8, (1, 5, 2)),
        ((9, 0, 0), 8, (8, 0, 0)),
        ((0, 0, 9), 8, (0, 0, 8)),
        ((2, 1, 1), 8, (2, 1, 1)),
    ];
    for ((own, near, far), count, wanted) in cases {
        let mut topology = one_zone(1, 1);
        topology.zones.extend([zone("b", "r"), zone("c", "q")]);
        let mut single = SingleHost::with_defaults(topology);
        let some = |zone: &str, count: usize| {
            let host = |n| host(&format!("{zone}{n}"), zone, HostState::Serving);
            (0..count).map(host).collect::<Vec<_>>()
        };
        let views = [some("a", own), some("b", near), some("c", far)].concat();
        single.router.handle(single.now, Input::Hosts(views));
        let chosen = single.router.advert_targets(count);
        let of = |zone: char| {
            chosen
                .iter()
                .filter(|h| h.as_str().starts_with(zone))
                .count()
        };
        assert_eq!((of('a'), of('b'), of('c')), wanted, "{own} {near} {far}");
    }
}

#[test]
fn requests_for_a_service_without_local_endpoints_are_not_capped() {
    const REQUESTS: usize = 20;
    let mut single = SingleHost::with_defaults(one_zone(1, 1));
    add_peers(&mut single);
    let mut topology = one_zone(0, 0);
    topology.zones.extend([zone("b", "r"), zone("c", "q")]);
    topology.endpoints = vec![endpoint("far", "s", "c", 40)];
    single.router.handle(single.now, Input::Topology(topology));
    advert(&mut single, "three", 40, Duration::ZERO);
    for n in 0..REQUESTS {
        let placed = single.place();
        let to_far = matches!(&placed, Placement::Relay(permit) if permit.host.as_str() == "three");
        assert!(to_far, "request {n}: {placed:?}");
    }
}
