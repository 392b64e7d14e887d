//! A host whose link to the platform is slow for the size of the configuration.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use wagtail_config::RawRecord;
use wagtail_entryd::Options;
use wagtail_load::client::{Call, CallOutcome, Caller};
use wagtail_load::fleet::{Fleet, digest};
use wagtail_standin::endpoint::Settings;
use wagtail_standin::{link, platform};
use wagtail_store::{HttpClient, HttpSettings};

use crate::fixture::{READS, block_on, quiet};

const HOST: &str = "entry-1";
const BYTES_PER_SECOND: u32 = 330_000;
/// At the rate of the link, the keys of all teams take longer than any limit on a call.
const TEAMS: usize = 300;
const KEYS: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(60);

fn key_text(round: usize, team: usize, key: usize) -> String {
    format!("key-{round}-{team}-{key}")
}

/// Returns the records of teams with many keys; `round` makes the keys different.
fn teams(round: usize) -> Vec<RawRecord> {
    let team = |number: usize| {
        let keys: Vec<_> = (0..KEYS)
            .map(|key| digest(&key_text(round, number, key)))
            .collect();
        let body = json!({
            "rate": "2000/s", "burst": 2000, "keys": keys, "services": [READS],
        });
        record("team", &format!("team-{number}"), 2, body)
    };
    (0..TEAMS).map(team).collect()
}

fn record(kind: &str, name: &str, schema: u32, body: Value) -> RawRecord {
    RawRecord {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema,
        body,
    }
}

fn records() -> Vec<RawRecord> {
    let host = json!({"zone": "east-a", "api": "127.0.0.1:1", "peer": "127.0.0.1:2"});
    let endpoint = json!({
        "service": READS, "zone": "east-a", "addr": "127.0.0.1:1", "slots": 8, "connections": 64,
    });
    let service = json!({"class": "test", "idempotent": true, "deadline_ms": 800});
    let mut records = teams(0);
    records.extend([
        record("region", "east", 1, json!({})),
        record("zone", "east-a", 1, json!({"region": "east"})),
        record("host", HOST, 1, host),
        record("service", READS, 1, service),
        record("endpoint", "reads-a1", 1, endpoint),
    ]);
    records
}

/// Calls until the host answers a request with the key.
async fn until_answered(fleet: &Fleet, caller: &Caller, key: &str) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let addr = fleet.addr(HOST).expect("it runs");
    while caller.call(addr, &Call::read(READS, key)).await.outcome != CallOutcome::Answer {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

// Guards against limits on the duration of a whole read: a host that starts, and one that serves,
// must get a configuration that takes seconds to cross its link.
#[test]
fn a_host_gets_a_configuration_that_is_large_for_its_link() {
    block_on(async {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let platform = platform::start(any_port).await.expect("starts");
        let link = link::start(platform.addr, BYTES_PER_SECOND).expect("starts");
        let client = Arc::new(HttpClient::new(HttpSettings::new(link.addr)));
        let options = |_: &str| Options {
            platform: Some(client.clone()),
            ..Options::new(quiet())
        };
        let endpoints = |_: &str, _: &str| Settings::default();
        let start = Fleet::start_with_platform(platform, records(), &endpoints, &options, &[]);
        let started = tokio::time::timeout(TIMEOUT, start).await;
        let mut fleet = started.expect("gets its configuration").expect("starts");
        let caller = Caller::new("test");
        let (old, new) = (key_text(0, 0, 0), key_text(1, 0, 0));
        let serve = until_answered(&fleet, &caller, &old);
        tokio::time::timeout(TIMEOUT, serve).await.expect("serves");

        fleet.commit(teams(1)).await.expect("commits");
        let adopt = until_answered(&fleet, &caller, &new);
        let adopted = tokio::time::timeout(TIMEOUT, adopt).await;
        adopted.expect("gets the change");
    });
}
