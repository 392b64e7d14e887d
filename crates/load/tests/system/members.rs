//! The platform's list of hosts: a host on it counts although its record is withdrawn.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use wagtail_config::{Acceptance, HostStatus};
use wagtail_ctl::{Operator, OperatorSettings};
use wagtail_entryd::Options;
use wagtail_peer::{LinkEmulation, LinkState};
use wagtail_standin::{link, platform};
use wagtail_store::{HttpClient, HttpSettings, Listed, ListedState, Platform};

use crate::fixture::{Fixture, block_on, quiet, raw};

const BYTES_PER_SECOND: u32 = 100_000_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(30);

fn listed(name: &str, zone: &str) -> Listed {
    Listed {
        name: name.to_owned(),
        zone: zone.to_owned(),
        state: ListedState::Live,
    }
}

// Guards against changes that count as accepted while a host still acts on older records: one whose
// own record is withdrawn would leave membership at once, although it goes on serving.
#[test]
fn a_withdrawn_host_on_the_list_must_still_adopt_changes() {
    block_on(async {
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let platform = platform.expect("starts");
        platform.set_host(listed("entry-1", "east-a"));
        platform.set_host(listed("entry-2", "east-b"));
        let second_link = link::start(platform.addr, BYTES_PER_SECOND).expect("starts");
        let second = Arc::new(HttpClient::new(HttpSettings::new(second_link.addr)));
        let (peer_link, state) = watch::channel(LinkState::Up(Duration::ZERO));
        let emulation = LinkEmulation::new(move |_| *state.borrow());
        let options = |host: &str| {
            let own = host == "entry-2";
            Options {
                platform: own.then(|| second.clone() as Arc<dyn Platform>),
                emulation: own.then(|| emulation.clone()),
                ..Options::new(quiet())
            }
        };
        let fixture = Fixture::start_with(platform, &options, &[("poll-interval", "50ms")]).await;
        let [first, _] = fixture.addrs();
        drop(second_link);
        peer_link.send_replace(LinkState::Down);

        let client = HttpClient::new(HttpSettings::new(fixture.fleet.platform.addr));
        let settings = OperatorSettings {
            entries: vec![first],
            wait: Duration::from_secs(2),
            base_epoch: None,
        };
        let rng = StdRng::seed_from_u64(1);
        let mut operator = Operator::new(Arc::new(client), settings, rng);
        let withdrawn = "host/entry-2".parse().expect("a record key");
        operator.withdraw(withdrawn).await.expect("commits");
        let region = raw("region", "west", 1, serde_json::json!({}));
        let outcome = operator.put(vec![region]).await.expect("commits");
        let Acceptance::Committed { missing, .. } = outcome.acceptance else {
            panic!("{:?}", outcome.acceptance);
        };
        assert!(
            missing.iter().any(|host| host.as_str() == "entry-2"),
            "{missing:?}"
        );
    });
}

// Guards against endpoints on the list that are taken for hosts, and against hosts that stay in
// membership although they are on neither the list nor in the configuration.
#[test]
fn names_on_the_list_count_only_while_they_are_hosts() {
    block_on(async {
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
        let platform = platform.expect("starts");
        platform.set_host(listed("entry-2", "east-b"));
        platform.set_host(listed("endpoint-without-record", "east-b"));
        let options = |_: &str| Options::new(quiet());
        let fixture = Fixture::start_with(platform, &options, &[("poll-interval", "50ms")]).await;
        let [first, _] = fixture.addrs();
        let client = HttpClient::new(HttpSettings::new(fixture.fleet.platform.addr));
        let settings = OperatorSettings {
            entries: vec![first],
            wait: Duration::ZERO,
            base_epoch: None,
        };
        let rng = StdRng::seed_from_u64(1);
        let mut operator = Operator::new(Arc::new(client), settings, rng);
        let withdrawn = "host/entry-2".parse().expect("a record key");
        let epoch = operator.withdraw(withdrawn).await.expect("commits").epoch;
        let members_until = async |done: &dyn Fn(&HostStatus) -> bool| {
            let wait = async {
                loop {
                    let status =
                        fixture
                            .caller
                            .json::<HostStatus>(http::Method::GET, first, "/v1/status");
                    let status = status.await.expect("a status");
                    if done(&status) {
                        return status.members;
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            let members = tokio::time::timeout(TIMEOUT, wait).await.expect("in time");
            let names = members.iter().map(|m| m.host.to_string());
            names.collect::<Vec<_>>()
        };
        let adopted = members_until(&|status| status.epoch >= epoch).await;
        assert_eq!(adopted, ["entry-1", "entry-2"]);
        fixture.fleet.platform.remove_host("entry-2");
        let removed = members_until(&|status| status.members.len() == 1).await;
        assert_eq!(removed, ["entry-1"]);
    });
}
