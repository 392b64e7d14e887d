//! The fixture of the system tests: two hosts in two zones, with every endpoint in the second zone.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};
use slog::Logger;
use wagtail_config::RawRecord;
use wagtail_entryd::Options;
use wagtail_load::client::{Call, CallOutcome, Caller};
use wagtail_load::fleet::{Fleet, default_options, digest};
use wagtail_standin::endpoint::{self, Settings};
use wagtail_standin::platform;

/// The key of the only team.
pub(crate) const KEY: &str = "key-of-the-lead-team";
/// The idempotent service; its requests may run more than once.
pub(crate) const READS: &str = "reads";
/// The service that is not idempotent.
pub(crate) const WRITES: &str = "writes";
const DEADLINE_MS: u64 = 800;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment with a caller.
pub(crate) struct Fixture {
    pub(crate) fleet: Fleet,
    pub(crate) caller: Caller,
}

impl Fixture {
    /// Starts the deployment and waits until both hosts answer requests of both services.
    pub(crate) async fn start(log: &Logger, flags: &[(&str, &str)]) -> Self {
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let platform = platform.expect("starts");
        Self::start_with(platform, &default_options(log), flags).await
    }

    /// Does the same as [`Fixture::start`] with a platform that is already running and other options
    /// of the hosts.
    pub(crate) async fn start_with(
        platform: platform::Running,
        options: &dyn Fn(&str) -> Options,
        flags: &[(&str, &str)],
    ) -> Self {
        let endpoints = |_: &str, _: &str| Settings::default();
        let all: Vec<_> = [("lookup-ttl", "200ms")]
            .iter()
            .chain(flags)
            .copied()
            .collect();
        let start = Fleet::start_with_platform(platform, records(), &endpoints, options, &all);
        let fleet = start.await;
        let fixture = Self {
            fleet: fleet.expect("the fleet starts"),
            caller: Caller::new("test"),
        };
        for service in [READS, WRITES] {
            for addr in fixture.addrs() {
                fixture.until_answered(addr, service).await;
            }
        }
        fixture
    }

    async fn until_answered(&self, addr: SocketAddr, service: &str) {
        let wait = async {
            while self
                .caller
                .call(addr, &Call::read(service, KEY))
                .await
                .outcome
                != CallOutcome::Answer
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, wait).await;
        waited.expect("the host answers");
    }

    /// Returns the addresses of both hosts; the first one relays every request to the second.
    pub(crate) fn addrs(&self) -> [SocketAddr; 2] {
        ["entry-1", "entry-2"].map(|host| self.fleet.addr(host).expect("it runs"))
    }

    /// Returns the endpoint of a service.
    pub(crate) fn endpoint(&self, service: &str) -> &endpoint::Running {
        &self.fleet.endpoints[&format!("{service}-b1")]
    }

    /// Returns how often requests with this id ran.
    pub(crate) fn ran(&self, service: &str, id: &str) -> usize {
        let entries = self.endpoint(service).log().entries();
        let ran = |e: &&endpoint::Entry| e.ran && e.id.as_deref() == Some(id);
        entries.iter().filter(ran).count()
    }
}

fn records() -> Vec<RawRecord> {
    let service = |idempotent: bool| json!({"class": "test", "idempotent": idempotent, "deadline_ms": DEADLINE_MS});
    let host = |zone: &str| json!({"zone": zone, "api": "127.0.0.1:1", "peer": "127.0.0.1:2"});
    let endpoint = |service: &str| json!({"service": service, "zone": "east-b", "addr": "127.0.0.1:1", "slots": 8, "connections": 64});
    let team = json!({
        "rate": "2000/s", "burst": 2000, "keys": [digest(KEY)], "services": [READS, WRITES],
    });
    vec![
        raw("region", "east", 1, json!({})),
        raw("zone", "east-a", 1, json!({"region": "east"})),
        raw("zone", "east-b", 1, json!({"region": "east"})),
        raw("host", "entry-1", 1, host("east-a")),
        raw("host", "entry-2", 1, host("east-b")),
        raw("service", READS, 1, service(true)),
        raw("service", WRITES, 1, service(false)),
        raw("endpoint", "reads-b1", 1, endpoint(READS)),
        raw("endpoint", "writes-b1", 1, endpoint(WRITES)),
        raw("team", "lead", 2, team),
    ]
}

pub(crate) fn raw(kind: &str, name: &str, schema: u32, body: Value) -> RawRecord {
    RawRecord {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema,
        body,
    }
}

/// Returns a logger that discards everything.
pub(crate) fn quiet() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Runs a test on its own multi-threaded runtime.
pub(crate) fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test);
}
