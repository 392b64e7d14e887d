//! Routing: adverts between hosts and the plan that answers lookups.

use std::hint::black_box;
use std::time::{Duration, Instant};

use wagtail_entryd::periods;
use wagtail_peer::{Control, wire};
use wagtail_route::{
    Directory, EndpointSpec, HostRow, HostState, HostView, Input, Router, ServiceSpec, Settings,
    SiteRow, Topology, ZoneSpec,
};
use wagtail_types::Share;

use super::{Size, Tally, Unit, host, parse_id, region, zone};

const SERVICES: usize = 4;
const ENDPOINTS_PER_ZONE: usize = 60;
const SITES: usize = 63;
/// The events timed for each source.
const EVENTS: u32 = 200;

/// Returns the time between adverts of a host, in seconds.
fn period(hosts: usize) -> f64 {
    periods::advert_interval(u32::try_from(hosts).unwrap_or(u32::MAX)).as_secs_f64()
}

/// Measures sending and receiving adverts, and building the lookup plan.
pub(super) fn units(size: Size, seed: u64) -> [Unit; 3] {
    let now = Instant::now();
    let mut router = router(size, seed, now);
    let later = now + Duration::from_secs(4);
    router.tick(later);
    let send_rate = periods::ADVERT_FANOUT.min(size.hosts - 1) as f64 / period(size.hosts);
    let mut sending = Tally::default();
    for _ in 0..EVENTS {
        sending.events += 1;
        let advert = sending.time(|| black_box(router.advert(later)));
        let targets = sending.time(|| router.advert_targets(periods::ADVERT_FANOUT));
        black_box(targets);
        sending.bytes += wire::encode(&Control::Advert(advert)).len();
    }
    let mut receiving = Tally::default();
    for n in 1..=EVENTS as usize {
        let mut advert = router.advert(later);
        advert.host = host(1 + n % (size.hosts - 1));
        receiving.events += 1;
        receiving.time(|| router.handle(later, Input::Advert(advert)));
        while router.poll_effect().is_some() {}
    }
    let unit = |tally: Tally, source, events| Unit {
        events,
        ..tally.unit(source, size, Duration::from_secs(1))
    };
    // One advert is built for all of its recipients.
    let per_advert = unit(sending, "adverts sent", 1.0 / period(size.hosts));
    [
        Unit {
            bytes: per_advert.bytes * send_rate * period(size.hosts),
            ..per_advert
        },
        unit(receiving, "adverts received", send_rate),
        unit(
            plans(size),
            "look-up plan",
            1.0 / periods::LOOKUP_REBUILD_INTERVAL.as_secs_f64(),
        ),
    ]
}

fn router(size: Size, seed: u64, now: Instant) -> Router {
    let settings = Settings::new(host(0), zone(0, size), region(0, size));
    let mut router = Router::new(settings, seed, now);
    let endpoint = |n: usize| EndpointSpec {
        id: parse_id(&format!("endpoint-{n}")),
        service: parse_id(&format!("service-{}", n % SERVICES)),
        zone: zone(n / ENDPOINTS_PER_ZONE, size),
        slots: 6,
        connections: 300,
    };
    let service = |n| ServiceSpec {
        id: parse_id(&format!("service-{n}")),
        max_duration: Duration::from_millis(500),
    };
    let topology = Topology {
        zones: (0..size.zones)
            .map(|n| ZoneSpec {
                id: zone(n, size),
                region: region(n, size),
            })
            .collect(),
        services: (0..SERVICES).map(service).collect(),
        endpoints: (0..size.zones * ENDPOINTS_PER_ZONE).map(endpoint).collect(),
        ..Topology::default()
    };
    router.handle(now, Input::Topology(topology));
    let view = |n| HostView {
        id: host(n),
        zone: zone(n, size),
        state: HostState::Serving,
    };
    router.handle(now, Input::Hosts((0..size.hosts).map(view).collect()));
    router
}

fn plans(size: Size) -> Tally {
    let row = |n| HostRow {
        id: host(n),
        zone: zone(n, size),
        state: HostState::Serving,
        free: Share::ALL,
        teams: Vec::new(),
    };
    let rows: Vec<_> = (0..size.hosts).map(row).collect();
    let site_row = |site: usize| SiteRow {
        zones: (0..3).map(|n| zone(site + n, size)).collect(),
    };
    let sites: Vec<_> = (0..SITES).map(site_row).collect();
    let mut tally = Tally::default();
    for _ in 0..EVENTS {
        tally.events += 1;
        tally.time(|| black_box(Directory::new(&rows, &sites)));
    }
    tally
}
