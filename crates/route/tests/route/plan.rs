//! Planned moves, drains and the division of the link rate on one host.

use std::time::Duration;

use wagtail_route::{
    Advert, Cap, CapSpec, Drain, HostState, HostView, Input, MoveSpec, Outcome, Placement,
    RelayResult, Topology,
};
use wagtail_types::{ByteRate, Share};

use crate::support::{SingleHost, endpoint, host, id, ms, one_zone, zone};

fn percent(share: u32) -> Share {
    Share::from_ppm(share * 10_000).expect("a share")
}

/// Returns a topology with zones `a` and `b` in region `r` and zone `c` in region `q`.
fn test_topology() -> Topology {
    let mut topology = one_zone(1, 4);
    topology.zones.extend([zone("b", "r"), zone("c", "q")]);
    topology.endpoints.push(endpoint("e9", "s", "b", 4));
    topology
}

fn views() -> Vec<HostView> {
    let hosts = [("one", "a"), ("two", "b"), ("three", "c")];
    hosts
        .map(|(name, zone)| host(name, zone, HostState::Serving))
        .into()
}

fn single(topology: Topology) -> SingleHost {
    let mut single = SingleHost::with_defaults(topology);
    single.router.handle(single.now, Input::Hosts(views()));
    single.advance(ms(3_000));
    single
}

fn cap(to: Option<&str>, level: u32, fallback: bool) -> CapSpec {
    let cap = Cap {
        level: percent(level),
        start: Share::ALL,
        rise: Share::ALL,
    };
    CapSpec {
        from: None,
        to: to.map(id),
        cap,
        fallback,
    }
}

/// Places 200 requests and returns how many go to zones `a`, `b` and `c`; `offers` tells whether
/// the peers offer slots.
fn spread(single: &mut SingleHost, offers: bool) -> [u32; 3] {
    let mut counts = [0; 3];
    for _ in 0..200 {
        single.advance(ms(5));
        for name in ["two", "three"] {
            let free = vec![(id("s"), if offers { 50 } else { 0 })];
            let age = Duration::ZERO;
            let advert = Advert {
                host: id(name),
                free,
                age,
            };
            single.router.handle(single.now, Input::Advert(advert));
        }
        match single.place() {
            Placement::Dispatch(lease) => {
                counts[0] += 1;
                single.router.finish(single.now, lease, Outcome::Answered);
            }
            Placement::Relay(permit) => {
                counts[if permit.cross_region { 2 } else { 1 }] += 1;
                single
                    .router
                    .finish_relay(single.now, permit, RelayResult::NoSlot);
            }
            Placement::Queued(_) | Placement::Refuse(_) => {}
        }
    }
    counts
}

#[test]
fn a_move_ramps_up_and_a_changed_move_continues_from_its_share() {
    let planned = |share| MoveSpec {
        from: id("r"),
        to: id("q"),
        share: percent(share),
        service: None,
        ramp: Duration::from_secs(10),
    };
    let mut topology = test_topology();
    topology.caps = vec![cap(None, 100, false)];
    topology.moves = vec![planned(40)];
    let mut single = single(topology.clone());
    single
        .router
        .handle(single.now, Input::Topology(Topology::clone(&topology)));
    let moved: Vec<_> = (0..12).map(|_| spread(&mut single, true)[2]).collect();
    assert!(
        moved.windows(2).all(|pair| pair[0] <= pair[1] + 1),
        "{moved:?}"
    );
    assert!((79..=81).contains(&moved[11]), "{moved:?}");
    topology.moves = vec![planned(50)];
    single.router.handle(single.now, Input::Topology(topology));
    let next = spread(&mut single, true)[2];
    assert!((79..=85).contains(&next), "{next} right after the change");
}

#[test]
fn a_specific_cap_overrides_the_fallback() {
    let cases = [
        (vec![cap(None, 10, true)], 20),
        (vec![cap(None, 10, true), cap(Some("q"), 60, false)], 100),
        (vec![cap(Some("q"), 60, false), cap(None, 30, false)], 60),
    ];
    for (caps, wanted) in cases {
        let mut topology = test_topology();
        topology.caps.clone_from(&caps);
        topology.moves = vec![MoveSpec {
            from: id("r"),
            to: id("q"),
            share: percent(50),
            service: None,
            ramp: Duration::ZERO,
        }];
        let moved = spread(&mut single(topology), true)[2];
        assert!(
            (wanted - 2..=wanted).contains(&moved),
            "{moved} for {caps:?}"
        );
    }
}

#[test]
fn a_drained_zone_gets_no_requests_once_the_caps_allow_it() {
    let mut topology = test_topology();
    topology.caps = vec![cap(None, 100, false)];
    let mut single = single(topology.clone());
    assert_eq!(spread(&mut single, true), [200, 0, 0]);
    topology.drains = vec![Drain::Zone(id("a"))];
    single.router.handle(single.now, Input::Topology(topology));
    assert_eq!(
        spread(&mut single, true),
        [0, 200, 0],
        "to the zone of the region"
    );
    assert_eq!(
        spread(&mut single, false)[0],
        0,
        "even if no peer offers slots"
    );
}

#[test]
fn a_drained_peer_zone_gets_no_requests() {
    let mut topology = test_topology();
    topology.caps = vec![cap(None, 100, false)];
    topology.drains = vec![Drain::Zone(id("b")), Drain::Endpoint(id("e0"))];
    let counts = spread(&mut single(topology), true);
    assert_eq!(counts, [0, 0, 200]);
}

#[test]
fn the_link_rate_is_divided_among_the_hosts_of_the_region() {
    let mut single = single(test_topology());
    single
        .router
        .handle(single.now, Input::Link(ByteRate(2_000_000)));
    let far = |single: &mut SingleHost| {
        single
            .router
            .reserve_bytes(single.now, 1_000_000)
            .as_millis()
    };
    assert_eq!(
        far(&mut single),
        900,
        "half of the link rate, less the saved burst"
    );
    let mut hosts = views();
    hosts[1].state = HostState::Dead;
    single.advance(ms(10_000));
    single.router.handle(single.now, Input::Hosts(hosts));
    assert_eq!(far(&mut single), 900, "the larger part is not yet in force");
    single.advance(ms(10_000));
    assert_eq!(far(&mut single), 400, "the whole link");
}
