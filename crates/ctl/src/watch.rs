//! Watches how far a committed change has come.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use wagtail_config::{Acceptance, Confirmation, HostStatus, MemberState, View, acceptance};
use wagtail_platform::{HttpClient, HttpSettings, PlatformError};
use wagtail_types::{Epoch, HostId, ZoneId};

const STATUS_PATH: &str = "/v1/status";
const ASK_EVERY: Duration = Duration::from_millis(100);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks one entry host what it knows.
pub(crate) async fn ask(addr: SocketAddr) -> Result<HostStatus, PlatformError> {
    let settings = HttpSettings {
        call: ASK_TIMEOUT,
        ..HttpSettings::new(addr)
    };
    HttpClient::new(settings).get_json(STATUS_PATH).await
}

/// Asks entry hosts in turn until the change is accepted or the time is up.
pub(crate) async fn wait(view: &View, entries: &[SocketAddr], limit: Duration) -> Acceptance {
    let end = Instant::now() + limit;
    let zones: BTreeSet<ZoneId> = view.hosts().values().map(|h| h.zone.clone()).collect();
    let mut known = BTreeMap::new();
    let mut turn = 0;
    loop {
        for step in 0..entries.len() {
            let entry = entries[(turn + step) % entries.len()];
            if let Ok(status) = ask(entry).await {
                known = members(&status);
                break;
            }
        }
        turn += 1;
        let judged = judge(view, &zones, &known);
        if judged == Acceptance::Accepted || Instant::now() + ASK_EVERY >= end {
            return judged;
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}

/// What a host knows of itself and the others.
fn members(status: &HostStatus) -> BTreeMap<HostId, Confirmation> {
    let own = Confirmation {
        host: status.host.clone(),
        zone: status.zone.clone(),
        state: MemberState::Live,
        epoch: status.epoch,
    };
    let all = status.members.iter().cloned().chain([own]);
    all.map(|member| (member.host.clone(), member)).collect()
}

/// Judges by what is known; a configured host of which nothing is known has not confirmed.
fn judge(
    view: &View,
    zones: &BTreeSet<ZoneId>,
    known: &BTreeMap<HostId, Confirmation>,
) -> Acceptance {
    let mut hosts = known.clone();
    for host in view.hosts().values() {
        hosts
            .entry(host.id.clone())
            .or_insert_with(|| Confirmation {
                host: host.id.clone(),
                zone: host.zone.clone(),
                state: MemberState::Suspect,
                epoch: Epoch(0),
            });
    }
    let hosts: Vec<Confirmation> = hosts.into_values().collect();
    acceptance(view.epoch(), zones, &hosts)
}
