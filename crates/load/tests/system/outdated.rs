//! A host that does not have the newest configuration yet must not refuse proper requests for good.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;
use wagtail_config::HostStatus;
use wagtail_entryd::Options;
use wagtail_load::client::{Call, CallOutcome};
use wagtail_load::fleet::digest;
use wagtail_peer::{LinkEmulation, LinkState};
use wagtail_standin::{link, platform};
use wagtail_store::{HttpClient, HttpSettings};
use wagtail_types::Epoch;

use crate::fixture::{Fixture, READS, block_on, quiet, raw};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(30);

/// A deployment whose second host can be kept from getting changes, although it hears of them.
struct Behind {
    fixture: Fixture,
    /// The link of the second host to the platform.
    platform_link: Option<link::Link>,
    /// The link from the second host to the first.
    peer_link: watch::Sender<LinkState>,
}

impl Behind {
    async fn start() -> Self {
        const BYTES_PER_SECOND: u32 = 100_000_000;
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let platform = platform.expect("starts");
        let platform_link = link::start(platform.addr, BYTES_PER_SECOND).expect("starts");
        let client = Arc::new(HttpClient::new(HttpSettings::new(platform_link.addr)));
        let (peer_link, state) = watch::channel(LinkState::Up(Duration::ZERO));
        let emulation = LinkEmulation::new(move |_| *state.borrow());
        let options = |host: &str| {
            let options = Options::new(quiet());
            if host == "entry-1" {
                return options;
            }
            Options {
                platform: Some(client.clone()),
                emulation: Some(emulation.clone()),
                ..options
            }
        };
        let flags = [("poll-interval", "50ms")];
        Self {
            fixture: Fixture::start_with(platform, &options, &flags).await,
            platform_link: Some(platform_link),
            peer_link,
        }
    }

    /// Adds a team with `key`, which only the first host gets.
    async fn add_records(&mut self, key: &str) {
        self.platform_link = None;
        self.peer_link.send_replace(LinkState::Down);
        // Too many keys for the change to be pushed; it is announced.
        let keys: Vec<_> = (0..60).map(|n| digest(&format!("{key}-{n}"))).collect();
        let mut team = json!({
            "rate": "2000/s", "burst": 2000, "keys": keys, "services": [READS],
        });
        if let Value::Array(keys) = &mut team["keys"] {
            keys.push(json!(digest(key)));
        }
        let service = json!({"class": "test", "idempotent": true, "deadline_ms": 5_000});
        let records = vec![raw("service", ADDED, 1, service), raw("team", key, 2, team)];
        let epoch = self.fixture.fleet.commit(records).await.expect("commits");
        let adopt = async {
            while self.epoch_of_first().await < epoch {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let adopted = tokio::time::timeout(TIMEOUT, adopt).await;
        adopted.expect("the first host adopts the change");
    }

    async fn epoch_of_first(&self) -> Epoch {
        let [first, _] = self.fixture.addrs();
        let status = self
            .fixture
            .caller
            .json::<HostStatus>(http::Method::GET, first, "/v1/status");
        status.await.expect("a status").epoch
    }
}

fn not_run(reason: &str) -> CallOutcome {
    CallOutcome::NotRun {
        reason: reason.to_owned(),
    }
}

// Guards against a proper request that is refused for good because the host it is relayed to does
// not know its team yet, although the host that relays it has checked it.
#[test]
fn a_relayed_request_of_a_new_team_is_not_forbidden_by_a_host_that_is_behind() {
    block_on(async {
        let mut behind = Behind::start().await;
        behind.add_records("key-of-a-new-team").await;
        let [first, _] = behind.fixture.addrs();
        let mut call = Call::read(READS, "key-of-a-new-team");
        call.deadline = Duration::from_secs(20);
        let heal = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            behind.peer_link.send_replace(LinkState::Up(Duration::ZERO));
        };
        let (reply, ()) = tokio::join!(behind.fixture.caller.call(first, &call), heal);
        let again_later = [not_run("unavailable"), not_run("no-endpoint")];
        let proper = reply.outcome == CallOutcome::Answer || again_later.contains(&reply.outcome);
        assert!(proper, "{}", reply.outcome);
    });
}
