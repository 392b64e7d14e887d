//! Polls entry hosts until a committed change is accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};
use wagtail_config::{Acceptance, Confirmation, HostStatus, MemberState, View, acceptance};
use wagtail_store::{HttpClient, HttpSettings, PlatformError};
use wagtail_types::{Epoch, HostId, ZoneId};

const STATUS_PATH: &str = "/v1/status";
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long an entry host may send nothing of its status.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests the status of one entry host.
pub(crate) async fn fetch_status(addr: SocketAddr) -> Result<HostStatus, PlatformError> {
    let settings = HttpSettings {
        stall_timeout: STALL_TIMEOUT,
        ..HttpSettings::new(addr)
    };
    HttpClient::new(settings).get_json(STATUS_PATH).await
}

/// Reports whether a change was accepted, and whether any entry host answered.
#[derive(Debug)]
pub(crate) struct WatchResult {
    pub(crate) acceptance: Acceptance,
    pub(crate) answered: bool,
}

/// Polls entry hosts until the change is accepted or `timeout` has elapsed.
///
/// Each round queries one of `entries` for the epochs of all hosts. Hosts that it reports as missing
/// the change are then queried directly, because what hosts know of one another lags.
pub(crate) async fn wait_for_acceptance(
    view: &View,
    entries: &[SocketAddr],
    timeout: Duration,
) -> WatchResult {
    let deadline = Instant::now() + timeout;
    let zones: BTreeSet<ZoneId> = view.hosts().values().map(|h| h.zone.clone()).collect();
    let mut known = BTreeMap::new();
    let mut round = 0;
    loop {
        // The first round may take the time in which a silent host is noticed.
        let round_end = deadline.max(Instant::now() + STALL_TIMEOUT);
        if let Ok(Some(status)) = timeout_at(round_end, fetch_any(entries, round)).await {
            status
                .members
                .iter()
                .cloned()
                .for_each(|member| record_confirmation(&mut known, member));
            record_confirmation(&mut known, self_confirmation(&status));
        }
        if let Acceptance::Committed { missing, .. } = evaluate(view, &zones, &known) {
            for status in fetch_each(view, &missing, round_end).await {
                record_confirmation(&mut known, self_confirmation(&status));
            }
        }
        let acceptance = evaluate(view, &zones, &known);
        if acceptance == Acceptance::Accepted || Instant::now() + POLL_INTERVAL >= deadline {
            return WatchResult {
                acceptance,
                answered: !known.is_empty(),
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        round += 1;
    }
}

/// Returns the status of the first entry host that answers; each round starts with another host.
async fn fetch_any(entries: &[SocketAddr], round: usize) -> Option<HostStatus> {
    for offset in 0..entries.len() {
        if let Ok(status) = fetch_status(entries[(round + offset) % entries.len()]).await {
            return Some(status);
        }
    }
    None
}

/// Queries up to `MAX_QUERIES` of the hosts concurrently and returns the statuses received until
/// `end`.
async fn fetch_each(view: &View, hosts: &BTreeSet<HostId>, end: Instant) -> Vec<HostStatus> {
    const MAX_QUERIES: usize = 64;
    let known = hosts.iter().filter_map(|id| view.hosts().get(id));
    let queries: JoinSet<_> = known
        .take(MAX_QUERIES)
        .map(|host| timeout_at(end, fetch_status(host.api)))
        .collect();
    let answers = queries.join_all().await.into_iter();
    answers.flatten().flatten().collect()
}

/// Returns the confirmation that a host's status gives for the host itself.
fn self_confirmation(status: &HostStatus) -> Confirmation {
    Confirmation {
        host: status.host.clone(),
        zone: status.zone.clone(),
        state: MemberState::Live,
        epoch: status.epoch,
    }
}

/// Stores the newest state of a host. The epoch never decreases, because a host keeps an epoch once
/// it has adopted it.
fn record_confirmation(known: &mut BTreeMap<HostId, Confirmation>, mut member: Confirmation) {
    if let Some(previous) = known.get(&member.host) {
        member.epoch = member.epoch.max(previous.epoch);
    }
    known.insert(member.host.clone(), member);
}

/// Returns the acceptance that follows from the known confirmations. A configured host without one
/// counts as not having confirmed.
fn evaluate(
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
