//! Shared builders, a single-host fixture and a proptest configuration with a fixed seed.

use std::str::FromStr;
use std::time::{Duration, Instant};

use proptest::test_runner::{Config, RngSeed};
use wagtail_route::{
    Effect, EndpointSpec, Headroom, HostState, HostView, Input, Origin, Outcome, Placement,
    Request, Router, ServiceKey, ServiceSpec, Settings, TeamSpec, Topology, ZoneSpec,
};

pub(crate) fn id<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn config(cases: u32) -> Config {
    let set = |name| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u32>().ok())
    };
    Config {
        cases: set("PROPTEST_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(set("PROPTEST_RNG_SEED").unwrap_or(0x5eed).into()),
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) fn settings(host: &str, zone: &str, region: &str) -> Settings {
    Settings::new(id(host), id(zone), id(region))
}

pub(crate) fn zone(zone: &str, region: &str) -> ZoneSpec {
    ZoneSpec {
        id: id(zone),
        region: id(region),
    }
}

pub(crate) fn service(name: &str, max_duration: Duration) -> ServiceSpec {
    ServiceSpec {
        id: id(name),
        max_duration,
    }
}

pub(crate) fn endpoint(name: &str, service: &str, zone: &str, slots: u32) -> EndpointSpec {
    EndpointSpec {
        id: id(name),
        service: id(service),
        zone: id(zone),
        slots,
        connections: 300,
    }
}

pub(crate) fn team(name: &str, weight: u32) -> TeamSpec {
    TeamSpec {
        id: id(name),
        weight,
        regions: None,
    }
}

pub(crate) fn host(name: &str, zone: &str, state: HostState) -> HostView {
    HostView {
        id: id(name),
        zone: id(zone),
        state,
    }
}

/// Returns a topology with one zone `a` in region `r` and one service `s`.
pub(crate) fn one_zone(endpoints: u32, slots: u32) -> Topology {
    Topology {
        zones: vec![zone("a", "r")],
        services: vec![service("s", ms(500))],
        endpoints: (0..endpoints)
            .map(|n| endpoint(&format!("e{n}"), "s", "a", slots))
            .collect(),
        ..Topology::default()
    }
}

pub(crate) fn request(service: ServiceKey, deadline: Instant) -> Request<'static> {
    Request {
        service,
        team: None,
        weight: 1,
        deadline,
        idempotent: true,
        origin: Origin::Local,
        attempt: 0,
        tried: &[],
    }
}

/// A router of host `one` that may use every slot of a topology.
pub(crate) struct SingleHost {
    pub(crate) router: Router,
    pub(crate) now: Instant,
    pub(crate) service: ServiceKey,
}

impl SingleHost {
    pub(crate) fn new(settings: Settings, topology: Topology) -> Self {
        let now = Instant::now();
        let mut router = Router::new(settings, 7, now);
        router.handle(now, Input::Topology(topology));
        let view = host("one", "a", HostState::Serving);
        router.handle(now, Input::Hosts(vec![view]));
        let service = router.service(&id("s")).expect("configured");
        let mut single = Self {
            router,
            now,
            service,
        };
        single.advance(ms(4_000));
        single
    }

    pub(crate) fn with_defaults(topology: Topology) -> Self {
        Self::new(settings("one", "a", "r"), topology)
    }

    /// Advances time in steps that are too short to count as a process pause.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + ms(100));
            self.router.tick(self.now);
        }
    }

    pub(crate) fn effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.router.poll_effect()).collect()
    }

    pub(crate) fn place(&mut self) -> Placement {
        let request = request(self.service, self.now + ms(400));
        self.router.place(self.now, &request)
    }

    /// Runs one request; `result` maps the name of the chosen endpoint to its duration and outcome.
    pub(crate) fn run_request(
        &mut self,
        result: impl Fn(&str) -> (Duration, Outcome),
    ) -> Option<String> {
        let Placement::Dispatch(lease) = self.place() else {
            return None;
        };
        let name = lease.endpoint.to_string();
        let (took, outcome) = result(&name);
        self.now += took;
        self.router.finish(self.now, lease, outcome);
        self.router.tick(self.now);
        Some(name)
    }

    pub(crate) fn headroom(&self) -> Headroom {
        self.router.headroom(self.now).remove(0)
    }
}
