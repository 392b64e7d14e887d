//! Watches how far a committed change has come.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use wagtail_config::{Acceptance, Confirmation, HostStatus, MemberState, View, acceptance};
use wagtail_store::{HttpClient, HttpSettings, PlatformError};
use wagtail_types::{Epoch, HostId, ZoneId};

const STATUS_PATH: &str = "/v1/status";
const ASK_EVERY: Duration = Duration::from_millis(100);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks one entry host what it knows.
pub(crate) async fn ask(addr: SocketAddr) -> Result<HostStatus, PlatformError> {
    let settings = HttpSettings {
        call_timeout: ASK_TIMEOUT,
        ..HttpSettings::new(addr)
    };
    HttpClient::new(settings).get_json(STATUS_PATH).await
}

/// How far a change has come, and whether any entry host could be asked.
#[derive(Debug)]
pub(crate) struct Watched {
    pub(crate) acceptance: Acceptance,
    pub(crate) answered: bool,
}

/// Asks entry hosts until the change is accepted or the time is up.
///
/// One of `entries` tells what it knows of all hosts; those that it holds to be behind are asked
/// themselves, as what hosts know of one another lags.
pub(crate) async fn wait(view: &View, entries: &[SocketAddr], limit: Duration) -> Watched {
    let end = Instant::now() + limit;
    let zones: BTreeSet<ZoneId> = view.hosts().values().map(|h| h.zone.clone()).collect();
    let mut known = BTreeMap::new();
    let mut turn = 0;
    loop {
        if let Some(status) = ask_any(entries, turn).await {
            status
                .members
                .iter()
                .cloned()
                .for_each(|member| learn(&mut known, member));
            learn(&mut known, own(&status));
        }
        if let Acceptance::Committed { missing, .. } = judge(view, &zones, &known) {
            for status in ask_all(view, &missing).await {
                learn(&mut known, own(&status));
            }
        }
        let acceptance = judge(view, &zones, &known);
        if acceptance == Acceptance::Accepted || Instant::now() + ASK_EVERY >= end {
            return Watched {
                acceptance,
                answered: !known.is_empty(),
            };
        }
        tokio::time::sleep(ASK_EVERY).await;
        turn += 1;
    }
}

/// The answer of the first entry host that gives one; each turn starts with another.
async fn ask_any(entries: &[SocketAddr], turn: usize) -> Option<HostStatus> {
    for step in 0..entries.len() {
        if let Ok(status) = ask(entries[(turn + step) % entries.len()]).await {
            return Some(status);
        }
    }
    None
}

/// Asks some of the hosts at once, each for itself.
async fn ask_all(view: &View, hosts: &BTreeSet<HostId>) -> Vec<HostStatus> {
    const AT_ONCE: usize = 64;
    let known = hosts.iter().filter_map(|id| view.hosts().get(id));
    let asked: JoinSet<_> = known.take(AT_ONCE).map(|host| ask(host.api)).collect();
    asked.join_all().await.into_iter().flatten().collect()
}

/// What a host says of itself.
fn own(status: &HostStatus) -> Confirmation {
    Confirmation {
        host: status.host.clone(),
        zone: status.zone.clone(),
        state: MemberState::Live,
        epoch: status.epoch,
    }
}

/// Takes the newest state of a host; an epoch once adopted stays adopted.
fn learn(known: &mut BTreeMap<HostId, Confirmation>, mut member: Confirmation) {
    if let Some(held) = known.get(&member.host) {
        member.epoch = member.epoch.max(held.epoch);
    }
    known.insert(member.host.clone(), member);
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
