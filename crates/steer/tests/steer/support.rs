//! Configurations, registrations and hosts that the tests share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use wagtail_steer::{
    ApiKey, Config, ConfigVersion, EndpointRecord, EndpointState, HostRecord, Limits, LocalHost,
    RetryPolicy, Route, RouteId, Service, Settings, Steer, Team, WeightedService,
};
use wagtail_types::{Bytes, Clock, HostId, ManualClock, Rate, RegionId, ServiceId, TeamId, ZoneId};

pub(crate) const TARGET_LATENCY: Duration = Duration::from_millis(400);
pub(crate) const SERVICE: &str = "lookup";

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub(crate) fn zones() -> HashMap<ZoneId, RegionId> {
    let pairs = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
        ("c2", "c"),
    ];
    pairs.iter().map(|(z, r)| (name(z), name(r))).collect()
}

pub(crate) fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

pub(crate) fn host_record(id: &str, zone: &str, port: u16) -> HostRecord {
    HostRecord {
        id: name::<HostId>(id),
        zone: name(zone),
        front: addr(port),
        peer: addr(port + 1),
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        quota_overage: 0.1,
        quota_slack: 20.0,
        ..Settings::default()
    }
}

pub(crate) fn steer(id: &str, zone: &str, port: u16) -> Steer {
    let zones = zones();
    let region = zones[&name::<ZoneId>(zone)].clone();
    let local = LocalHost {
        record: host_record(id, zone, port),
        region,
        zones,
        started: u64::from(port),
    };
    Steer::new(local, settings())
}

pub(crate) fn route(id: &str, host: &str, prefix: &str) -> Route {
    Route {
        id: RouteId(id.into()),
        host: host.into(),
        prefix: prefix.into(),
        retry: RetryPolicy::Safe,
        timeout: Duration::from_millis(1_500),
        target_latency: TARGET_LATENCY,
        priority: 1,
        services: vec![WeightedService {
            service: name(SERVICE),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        sticky: true,
        permitted_regions: Vec::new(),
        disabled: false,
    }
}

pub(crate) fn team(id: &str, key: &str, rate: Option<u64>, burst: u32) -> Team {
    Team {
        id: name::<TeamId>(id),
        keys: vec![ApiKey::new(key)],
        priority: None,
        rate: rate.map(Rate::per_second),
        burst,
        permitted_regions: Vec::new(),
    }
}

pub(crate) fn service(id: &str) -> Service {
    Service {
        id: name::<ServiceId>(id),
        health_path: "/health".into(),
        max_connections: 300,
        cold_time: Duration::from_secs(3),
        cold_rate: 4.4,
    }
}

pub(crate) fn config(version: u64) -> Config {
    Config {
        version: ConfigVersion(version),
        routes: vec![route("r-1", "example", "/a/")],
        services: vec![service(SERVICE)],
        teams: vec![team("blue", "blue-key", None, 0)],
        disabled_keys: Vec::new(),
        errors: Vec::new(),
        limits: Limits {
            header: Bytes(16_384),
            body: Bytes(1 << 20),
            header_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
    }
}

pub(crate) fn endpoint(id: &str, zone: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        addr: addr(9),
        service: name(SERVICE),
        zone: name(zone),
        slots,
        state: EndpointState::Ready,
        cold: Duration::ZERO,
        started: Some(1),
    }
}

/// Delivers every host's digest to all hosts.
pub(crate) fn exchange(hosts: &mut [Steer], clock: &ManualClock) {
    use wagtail_steer::HostState;
    let now = clock.now();
    let digests: Vec<_> = hosts
        .iter_mut()
        .map(|h| h.next_digest(HostState::Ready, now))
        .collect();
    for host in hosts {
        for digest in &digests {
            host.apply_digest(digest.clone(), now);
        }
    }
}
