//! Measures how long requests, digests and weight updates take on one host of a large deployment,
//! on this machine.
//!
//! `cargo run --release -p wagtail-steer --example cost [HOSTS [ENDPOINTS]]`

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wagtail_steer::{
    Choice, Completion, Config, ConfigVersion, Digest, EndpointRecord, EndpointState, Fingerprint,
    HostRecord, HostState, Limits, LocalHost, Outcome, Placement, PlacementRequest, RetryPolicy,
    Route, RouteId, Service, Settings, Steer, WeightedService,
};
use wagtail_types::{Bytes, Clock, RegionId, SystemClock, ZoneId};

const ZONES: usize = 9;
const OBJECTS: u32 = 72;
const ROUNDS: u32 = 20_000;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn zone(number: usize) -> ZoneId {
    name(&format!("zone-{}", number % ZONES))
}

fn addr(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    ([10, 0, high, low], 8_000).into()
}

fn record(number: usize) -> HostRecord {
    HostRecord {
        id: name(&format!("host-{number}")),
        zone: zone(number),
        front: addr(number),
        peer: addr(number),
    }
}

fn config() -> Config {
    let time = Duration::from_secs(4);
    Config {
        version: ConfigVersion(1),
        routes: vec![Route {
            id: RouteId("r-1".into()),
            host: "example".into(),
            prefix: "/".into(),
            retry: RetryPolicy::Safe,
            timeout: time,
            target_latency: time / 4,
            priority: 1,
            services: vec![WeightedService {
                service: name("service"),
                weight: 1,
            }],
            attempts: 2,
            public: true,
            sticky: true,
            permitted_regions: Vec::new(),
            disabled: false,
        }],
        services: vec![Service {
            id: name("service"),
            health_path: "/".into(),
            max_connections: 300,
            cold_time: time,
            cold_rate: 4.0,
        }],
        teams: Vec::new(),
        disabled_keys: Vec::new(),
        errors: Vec::new(),
        limits: Limits {
            header: Bytes(16_384),
            body: Bytes(1 << 20),
            header_time: time,
            idle: time,
        },
    }
}

fn argument(number: usize, default: usize) -> usize {
    let text = std::env::args().nth(number);
    text.map_or(default, |t| t.parse().expect("a number"))
}

/// Creates a host that has received digests of all others; also returns the hashes of the
/// endpoints.
fn host(hosts: usize, endpoints: usize, clock: &impl Clock) -> (Steer, Vec<u32>) {
    let regions = |i: usize| name::<RegionId>(&format!("region-{}", i % 3));
    let zones: HashMap<ZoneId, RegionId> = (0..ZONES).map(|i| (zone(i), regions(i))).collect();
    let local = LocalHost {
        record: record(0),
        region: zones[&zone(0)].clone(),
        zones,
        started: 1,
    };
    let mut steer = Steer::new(local, Settings::default());
    steer.configure(config());
    steer.mark_hosts_read();
    let mut hashes = Vec::new();
    for i in 0..endpoints {
        let id = format!("endpoint-{i}");
        hashes.push(Steer::short_hash(&id));
        let record = EndpointRecord {
            id: name(&id),
            addr: addr(i),
            service: name("service"),
            zone: zone(i),
            slots: 5,
            state: EndpointState::Ready,
            cold: Duration::ZERO,
            started: Some(1),
        };
        steer.register(record, clock.now());
    }
    for host in 1..hosts {
        steer.apply_digest(digest(host, 1, &hashes), clock.now());
    }
    steer.update_weights(clock.now());
    (steer, hashes)
}

fn digest(host: usize, sequence: u32, hashes: &[u32]) -> Digest {
    let record = record(host);
    let at = |i: usize| hashes[(host * 31 + i * 7 + sequence as usize) % hashes.len()];
    Digest {
        host: record.id,
        started: 1,
        sequence,
        zone: record.zone,
        front: record.front,
        peer: record.peer,
        state: HostState::Ready,
        loads: (0..20).map(|i| (at(i), 1)).collect(),
        warm: (0..20).map(|i| (at(i), 7)).collect(),
        arrivals: vec![(1, 100); 3],
    }
}

fn run_requests(steer: &mut Steer, clock: &impl Clock) {
    let route = Rc::new(config().routes.remove(0));
    let service = name("service");
    let mut in_flight: Vec<Choice> = Vec::new();
    for i in 0..ROUNDS {
        let object = Steer::short_hash(&(i % OBJECTS).to_string());
        let request = PlacementRequest {
            route: &route,
            service: &service,
            object: Some(object),
            permitted_regions: &[],
            fingerprint: Fingerprint::default(),
            tried: &[],
            repeated: false,
            elapsed: Duration::ZERO,
            remaining: route.timeout,
        };
        let now = clock.now();
        steer.count_request(&service, &[], now);
        if let Placement::Send(choice) = steer.place(&request, now) {
            in_flight.push(choice);
        }
        if in_flight.len() > 10 {
            let completion = Completion {
                choice: &in_flight.remove(0),
                route: &route,
                object: Some(object),
                fingerprint: Fingerprint::default(),
                outcome: Outcome::Answered,
                response_time: Some(Duration::from_millis(500)),
                load: None,
            };
            steer.finish(&completion, now);
        }
    }
}

fn main() {
    let (hosts, endpoints) = (argument(1, 91), argument(2, 411));
    let clock = SystemClock;
    let (mut steer, hashes) = host(hosts, endpoints, &clock);
    let rounds = ROUNDS / 20;
    let print_mean = |what: &str, count: u32, start| {
        println!("{what}: {:?}", clock.now().duration_since(start) / count);
    };
    let start = clock.now();
    run_requests(&mut steer, &clock);
    print_mean("a request", ROUNDS, start);
    let start = clock.now();
    for i in 0..rounds {
        let host = 1 + i as usize % (hosts - 1);
        steer.apply_digest(digest(host, 2 + i, &hashes), clock.now());
    }
    print_mean("a digest", rounds, start);
    let start = clock.now();
    for _ in 0..rounds {
        steer.update_weights(clock.now());
    }
    print_mean("a weight update", rounds, start);
}
