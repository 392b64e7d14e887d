//! Cost of a look-up decision and of a request decision.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use ipnet::IpNet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_route::{
    Blocks, Directory, EndpointSpec, HostRow, HostState, HostView, Input, Origin, Outcome,
    Placement, Request, Router, ServiceSpec, Settings, SiteKey, SiteRow, Topology, ZoneSpec,
};
use wagtail_types::Share;

const BLOCKS: usize = 210_000;
const SITES: u16 = 63;
const HOSTS: usize = 540;
const ZONES: usize = 9;

fn nets(rng: &mut SmallRng) -> Vec<(IpNet, SiteKey)> {
    let net = |rng: &mut SmallRng| {
        let (addr, len) = (Ipv4Addr::from_bits(rng.random()), rng.random_range(12..=24));
        let net: IpNet = format!("{addr}/{len}").parse().expect("a valid block");
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
    let mut blocks = Blocks::default();
    blocks.replace("all", &nets);
    println!("blocks: {} bytes on the heap", blocks.heap_bytes());
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

fn router(now: &mut Instant) -> Router {
    let name = |text: String| text.parse().expect("a valid name");
    let settings = Settings::new(
        name("one".into()),
        "a".parse().expect("name"),
        "r".parse().expect("name"),
    );
    let mut router = Router::new(settings, 7, *now);
    let endpoint = |n: usize| EndpointSpec {
        id: format!("e-{n}").parse().expect("a valid name"),
        service: "s".parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        slots: 6,
        connections: 300,
    };
    let topology = Topology {
        zones: vec![ZoneSpec {
            id: "a".parse().expect("name"),
            region: "r".parse().expect("name"),
        }],
        services: vec![ServiceSpec {
            id: "s".parse().expect("name"),
            longest: Duration::from_millis(500),
        }],
        endpoints: (0..15).map(endpoint).collect(),
        ..Topology::default()
    };
    router.handle(*now, Input::Topology(topology));
    let view = HostView {
        id: "one".parse().expect("name"),
        zone: "a".parse().expect("name"),
        state: HostState::Serving,
    };
    router.handle(*now, Input::Hosts(vec![view]));
    for _ in 0..20 {
        *now += Duration::from_millis(200);
        router.tick(*now);
    }
    router
}

fn request(c: &mut Criterion) {
    let mut now = Instant::now();
    let mut router = router(&mut now);
    let service = router
        .service(&"s".parse().expect("name"))
        .expect("configured");
    let request = Request {
        service,
        team: None,
        weight: 1,
        deadline: now + Duration::from_secs(1000),
        idempotent: true,
        origin: Origin::Local,
        attempt: 0,
        tried: &[],
    };
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

criterion_group!(benches, lookup, request);
criterion_main!(benches);
