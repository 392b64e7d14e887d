//! Planned moves, drains and the link, step by step.

use std::time::Duration;

use wagtail_route::{
    Advert, Cap, CapSpec, Drain, HostState, HostView, Input, MoveSpec, Outcome, Placement, Relayed,
    Topology,
};
use wagtail_types::{ByteRate, Share};

use crate::support::{Single, endpoint, host, id, ms, one_zone, zone};

fn percent(share: u32) -> Share {
    Share::from_ppm(share * 10_000).expect("a share")
}

/// This host in zone `a` of region `r`, one host in zone `b`, one in region `q`.
fn world() -> Topology {
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

fn single(topology: Topology) -> Single {
    let mut single = Single::standard(topology);
    single.router.handle(single.now, Input::Hosts(views()));
    single.pass(ms(3_000));
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

/// Requests of 200 that go to zones `a`, `b` and `c`, while the others offer slots or not.
fn spread(single: &mut Single, offers: bool) -> [u32; 3] {
    let mut counts = [0; 3];
    for _ in 0..200 {
        single.pass(ms(5));
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
            Placement::Relay(pass) => {
                counts[if pass.far { 2 } else { 1 }] += 1;
                single.router.relayed(single.now, pass, Relayed::NoSlot);
            }
            Placement::Queued(_) | Placement::Refuse(_) => {}
        }
    }
    counts
}

#[test]
fn a_move_grows_over_its_ramp_and_goes_on_from_where_it_was() {
    let planned = |share| MoveSpec {
        from: id("r"),
        to: id("q"),
        share: percent(share),
        service: None,
        ramp: Duration::from_secs(10),
    };
    let mut topology = world();
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
fn a_cap_of_a_record_goes_before_the_fallback() {
    let cases = [
        (vec![cap(None, 10, true)], 20),
        (vec![cap(None, 10, true), cap(Some("q"), 60, false)], 100),
        (vec![cap(Some("q"), 60, false), cap(None, 30, false)], 60),
    ];
    for (caps, wanted) in cases {
        let mut topology = world();
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
fn a_drained_zone_takes_nothing_once_the_caps_are_open() {
    let mut topology = world();
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
        "even where nobody offers slots"
    );
}

#[test]
fn a_zone_that_others_drain_gets_nothing() {
    let mut topology = world();
    topology.caps = vec![cap(None, 100, false)];
    topology.drains = vec![Drain::Zone(id("b")), Drain::Endpoint(id("e0"))];
    let counts = spread(&mut single(topology), true);
    assert_eq!(counts, [0, 0, 200]);
}

#[test]
fn the_link_is_cut_among_the_hosts_of_the_region() {
    let mut single = single(world());
    single
        .router
        .handle(single.now, Input::Link(ByteRate(2_000_000)));
    let far = |single: &mut Single| single.router.far_bytes(single.now, 1_000_000).as_millis();
    assert_eq!(
        far(&mut single),
        900,
        "half of the link, less what was kept"
    );
    let mut hosts = views();
    hosts[1].state = HostState::Dead;
    single.pass(ms(10_000));
    single.router.handle(single.now, Input::Hosts(hosts));
    assert_eq!(far(&mut single), 900, "the larger part is not yet in force");
    single.pass(ms(10_000));
    assert_eq!(far(&mut single), 400, "the whole link");
}
