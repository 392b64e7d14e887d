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
use wagtail_store::{HttpClient, HttpSettings, Platform};
use wagtail_types::Epoch;

use crate::fixture::{Fixture, KEY, READS, block_on, quiet, raw};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(30);
/// The service that is added.
const ADDED: &str = "added";

/// A deployment whose second host can be kept from getting changes, although it hears of them.
struct Behind {
    fixture: Fixture,
    /// The link of the second host to the platform.
    platform_link: Option<link::Link>,
    /// The link from the second host to the first.
    peer_link: watch::Sender<LinkState>,
    /// The link from the first host to the second.
    back_link: watch::Sender<LinkState>,
}

impl Behind {
    async fn start() -> Self {
        const BYTES_PER_SECOND: u32 = 100_000_000;
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let platform = platform.expect("starts");
        let platform_link = link::start(platform.addr, BYTES_PER_SECOND).expect("starts");
        let client = Arc::new(HttpClient::new(HttpSettings::new(platform_link.addr)));
        let (peer_link, emulation) = emulated_link();
        let (back_link, back_emulation) = emulated_link();
        let options = |host: &str| {
            let (platform, emulation) = match host {
                "entry-1" => (None, back_emulation.clone()),
                _ => (Some(client.clone()), emulation.clone()),
            };
            Options {
                platform: platform.map(|client| client as Arc<dyn Platform>),
                emulation: Some(emulation),
                ..Options::new(quiet())
            }
        };
        let flags = [("poll-interval", "50ms")];
        Self {
            fixture: Fixture::start_with(platform, &options, &flags).await,
            platform_link: Some(platform_link),
            peer_link,
            back_link,
        }
    }

    /// Adds a service and a team with `key`, which only the first host gets.
    async fn add_records(&mut self, key: &str) {
        self.platform_link = None;
        self.peer_link.send_replace(LinkState::Down);
        // Too many keys for the change to be pushed; it is announced.
        let keys: Vec<_> = (0..60).map(|n| digest(&format!("{key}-{n}"))).collect();
        let mut team = json!({
            "rate": "2000/s", "burst": 2000, "keys": keys, "services": [READS, ADDED],
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

fn emulated_link() -> (watch::Sender<LinkState>, LinkEmulation) {
    let (link, state) = watch::channel(LinkState::Up(Duration::ZERO));
    (link, LinkEmulation::new(move |_| *state.borrow()))
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

// Guards against a proper request that is refused for good by a host that has heard of a newer
// configuration and does not have it yet.
#[test]
fn a_host_that_knows_of_a_newer_configuration_does_not_deny_what_it_lacks() {
    block_on(async {
        let mut behind = Behind::start().await;
        behind.add_records("key-of-a-new-team").await;
        let [_, second] = behind.fixture.addrs();
        let calls = [
            Call::read(READS, "key-of-a-new-team"),
            Call::read(ADDED, KEY),
            Call::read(ADDED, "key-of-a-new-team"),
        ];
        for call in &calls {
            let caller = &behind.fixture.caller;
            let until_heard = async {
                while caller.call(second, call).await.outcome != not_run("unavailable") {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            let heard = tokio::time::timeout(TIMEOUT, until_heard).await;
            let last = caller.call(second, call).await.outcome;
            assert!(heard.is_ok(), "{}: {last}", call.service);
        }
        behind.peer_link.send_replace(LinkState::Up(Duration::ZERO));
        let until_adopted = async {
            while behind.fixture.caller.call(second, &calls[0]).await.outcome != CallOutcome::Answer
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let adopted = tokio::time::timeout(TIMEOUT, until_adopted).await;
        adopted.expect("the second host gets the change from the first");
        let unknown = Call::read(READS, "key-of-no-team");
        let reply = behind.fixture.caller.call(second, &unknown).await;
        assert_eq!(reply.outcome, not_run("unauthorized"));
    });
}

// Guards against a key that is denied for good by a host that is cut off, and so cannot know whether
// the key has been granted since.
#[test]
fn a_host_that_is_cut_off_does_not_deny_what_it_lacks() {
    block_on(async {
        let mut behind = Behind::start().await;
        behind.platform_link = None;
        behind.peer_link.send_replace(LinkState::Down);
        behind.back_link.send_replace(LinkState::Down);
        let [_, second] = behind.fixture.addrs();
        let unknown = Call::read(READS, "key-of-no-team");
        let caller = &behind.fixture.caller;
        let until_cut_off = async {
            while caller.call(second, &unknown).await.outcome != not_run("cut-off") {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let cut_off = tokio::time::timeout(TIMEOUT, until_cut_off).await;
        let last = caller.call(second, &unknown).await.outcome;
        assert!(cut_off.is_ok(), "{last}");
    });
}
