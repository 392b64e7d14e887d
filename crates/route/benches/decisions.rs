//! Benchmarks of look-up decisions and of request decisions.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use ipnet::IpNet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_route::{
    Directory, EndpointSpec, HostRow, HostState, HostView, Input, Origin, Outcome, Placement,
    PrefixTable, RelayResult, Request, Router, ServiceSpec, Settings, SiteKey, SiteRow, Topology,
    ZoneSpec,
};
use wagtail_types::Share;

const BLOCKS: usize = 210_000;
const SITES: u16 = 63;
const HOSTS: usize = 540;
const ZONES: usize = 9;

fn nets(rng: &mut SmallRng) -> Vec<(IpNet, SiteKey)> {
    let net = |rng: &mut SmallRng| {
        let (addr, len) = (Ipv4Addr::from_bits(rng.random()), rng.random_range(12..=24));
        let net = IpNet::new(addr.into(), len).expect("a valid block");
        (net.trunc(), SiteKey(rng.random_range(0..SITES)))
    };
    (0..BLOCKS).map(|_| net(rng)).collect()
}

fn ipv6_nets(rng: &mut SmallRng) -> Vec<(IpNet, SiteKey)> {
    let net = |rng: &mut SmallRng| {
        let (addr, len) = (Ipv6Addr::from_bits(rng.random()), rng.random_range(24..=56));
        let net = IpNet::new(addr.into(), len).expect("a valid block");
        (net.trunc(), SiteKey(rng.random_range(0..SITES)))
    };
    (0..BLOCKS).map(|_| net(rng)).collect()
}

fn hosts() -> Vec<HostRow> {
    let row = |n: usize| HostRow {
        id: format!("host-{n}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % ZONES).parse().expect("a valid name"),
        state: HostState::Serving,
        free: Share::ALL,
        teams: Vec::new(),
    };
    (0..HOSTS).map(row).collect()
}

fn sites() -> Vec<SiteRow> {
    let zone = |n: usize| format!("zone-{}", n % ZONES).parse().expect("a valid name");
    let row = |site: usize| SiteRow {
        zones: (0..3).map(|n| zone(site + n)).collect(),
    };
    (0..usize::from(SITES)).map(row).collect()
}

fn lookup(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(7);
    let nets = nets(&mut rng);
    let mut blocks = PrefixTable::default();
    blocks.replace("all", &nets);
    println!("IPv4 blocks: {} bytes on the heap", blocks.heap_bytes());
    let mut ipv6_blocks = PrefixTable::default();
    ipv6_blocks.replace("all", &ipv6_nets(&mut rng));
    println!(
        "IPv6 blocks: {} bytes on the heap",
        ipv6_blocks.heap_bytes()
    );
    let (hosts, sites) = (hosts(), sites());
    let directory = Directory::new(&hosts, &sites);
    let callers: Vec<IpAddr> = (0..4096)
        .map(|_| Ipv4Addr::from_bits(rng.random()).into())
        .collect();
    let mut next = callers.iter().cycle();
    c.bench_function("lookup/decision", |b| {
        b.iter(|| {
            let caller = *next.next().expect("endless");
            let site = blocks.site(caller);
            black_box(directory.answer(site, caller, None).take(3).last())
        });
    });
    c.bench_function("lookup/plan of 540 hosts", |b| {
        b.iter(|| black_box(Directory::new(&hosts, &sites)));
    });
    c.bench_function("lookup/replace 210000 blocks", |b| {
        b.iter(|| blocks.replace("all", &nets));
    });
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns the endpoints of one service in a zone.
fn endpoints(zone: &str, count: usize) -> Vec<EndpointSpec> {
    let endpoint = |n| EndpointSpec {
        id: id(&format!("{zone}-{n}")),
        service: id("s"),
        zone: id(zone),
        slots: 6,
        connections: 300,
    };
    (0..count).map(endpoint).collect()
}

fn topology() -> Topology {
    let zone = |n: usize| ZoneSpec {
        id: id(&format!("zone-{n}")),
        region: id(&format!("region-{}", n / 3)),
    };
    Topology {
        zones: (0..ZONES).map(zone).collect(),
        services: vec![ServiceSpec {
            id: id("s"),
            max_duration: Duration::from_millis(500),
        }],
        ..Topology::default()
    }
}

fn views() -> Vec<HostView> {
    let view = |row: HostRow| HostView {
        id: row.id,
        zone: row.zone,
        state: row.state,
    };
    hosts().into_iter().map(view).collect()
}

/// Returns the router of `host-0` in `zone-0`, after its handover wait.
fn router(now: &mut Instant, topology: &Topology, views: &[HostView]) -> Router {
    let settings = Settings::new(id("host-0"), id("zone-0"), id("region-0"));
    let mut router = Router::new(settings, 7, *now);
    router.handle(*now, Input::Topology(topology.clone()));
    router.handle(*now, Input::Hosts(views.to_vec()));
    for _ in 0..20 {
        *now += Duration::from_millis(200);
        router.tick(*now);
    }
    router
}

/// Returns a request of a local caller for the only service.
fn call(router: &Router, now: Instant) -> Request<'static> {
    Request {
        service: router.service(&id("s")).expect("configured"),
        team: None,
        weight: 1,
        deadline: now + Duration::from_secs(1000),
        idempotent: true,
        origin: Origin::Local,
        attempt: 0,
        tried: &[],
    }
}

fn request(c: &mut Criterion) {
    let mut now = Instant::now();
    let mut topology = topology();
    topology.endpoints = endpoints("zone-0", 15);
    let mut router = router(&mut now, &topology, &views()[..1]);
    let request = call(&router, now);
    let mut held = std::collections::VecDeque::new();
    for _ in 0..45 {
        if let Placement::Dispatch(lease) = router.place(now, &request) {
            held.push_back(lease);
        }
    }
    c.bench_function("request/place and finish, 15 endpoints half busy", |b| {
        b.iter(|| {
            now += Duration::from_micros(1);
            let lease = held.pop_front().expect("half the slots are busy");
            router.finish(now, lease, Outcome::Answered);
            match router.place(now, &request) {
                Placement::Dispatch(lease) => held.push_back(lease),
                other => panic!("{other:?}"),
            }
        });
    });
}

/// Measures the costs that grow with the fleet, with 540 hosts and 200 endpoints per zone.
fn fleet(c: &mut Criterion) {
    let mut now = Instant::now();
    let mut topology = topology();
    for zone in 0..ZONES {
        topology
            .endpoints
            .extend(endpoints(&format!("zone-{zone}"), 200));
    }
    let views = views();
    let mut router = router(&mut now, &topology, &views);
    let request = call(&router, now);
    let mut held = Vec::new();
    while let Placement::Dispatch(lease) = router.place(now, &request) {
        held.push(lease);
    }
    c.bench_function("fleet/spill among 540 hosts", |b| {
        b.iter(|| match router.place(now, &request) {
            Placement::Relay(permit) => router.finish_relay(now, permit, RelayResult::Taken),
            Placement::Queued(ticket) => assert!(router.cancel(ticket)),
            other => panic!("{other:?}"),
        });
    });
    let mut one_dead = views.clone();
    one_dead[9].state = HostState::Dead;
    let mut iteration = 0;
    c.bench_function("fleet/change of membership", |b| {
        b.iter(|| {
            iteration += 1;
            let views = if iteration % 2 == 0 {
                &views
            } else {
                &one_dead
            };
            router.handle(now, Input::Hosts(views.clone()));
        });
    });
    c.bench_function("fleet/new topology, 1800 endpoints", |b| {
        b.iter(|| router.handle(now, Input::Topology(topology.clone())));
    });
}

criterion_group!(benches, lookup, request, fleet);
criterion_main!(benches);
