//! Driver of configuration sync.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use wagtail_config::{SyncEffect, SyncInput, View};
use wagtail_member::HostInfo;
use wagtail_peer::Control;
use wagtail_store::{Access, PlatformError, Priority, fetch_snapshot, scan_config};

use super::route::send;
use crate::calls;
use crate::derived::{self, Sites};
use crate::host::Host;

/// Carries out the pending effects of configuration sync.
pub(crate) fn apply_config_sync(host: &Arc<Host>) {
    let mut effects = Vec::new();
    let mut config_sync = host.config_sync.lock();
    while let Some(effect) = config_sync.machine.poll_effect() {
        effects.push(effect);
    }
    drop(config_sync);
    for effect in effects {
        perform(host, effect);
    }
    host.config_sync.notify();
}

fn perform(host: &Arc<Host>, effect: SyncEffect) {
    match effect {
        SyncEffect::Scan {
            request,
            since,
            after,
            limit,
        } => {
            let host = host.clone();
            tokio::spawn(async move {
                let scan = scan_config(&*host.platform, since, after, limit);
                let call = calls::call(&host, Priority::Poll, Access::Read, scan);
                let result = report_in_flight(&host, request, call).await;
                log_failure(&host, result.as_ref().err());
                let input = match result {
                    Ok((page, snapshot)) => SyncInput::Scanned {
                        request,
                        page,
                        snapshot,
                    },
                    Err(_) => SyncInput::Failed { request },
                };
                handle(&host, input);
            });
        }
        SyncEffect::Fetch { request, snapshot } => {
            let host = host.clone();
            tokio::spawn(async move {
                let fetch = fetch_snapshot(&*host.platform, &snapshot);
                let call = calls::call(&host, Priority::Bulk, Access::Read, fetch);
                let result = report_in_flight(&host, request, call).await;
                log_failure(&host, result.as_ref().err());
                let input = match result {
                    Ok(snapshot) => SyncInput::Fetched { request, snapshot },
                    Err(_) => SyncInput::Failed { request },
                };
                handle(&host, input);
            });
        }
        SyncEffect::Send { to, message } => send(host, &to, Control::Config(message)),
        SyncEffect::Contact {
            requested_at,
            epoch,
        } => {
            let contact = wagtail_member::Input::TableContact {
                at: requested_at,
                head: epoch,
            };
            super::member_input(host, contact);
        }
        SyncEffect::Adopted(view) => adopt(host, &view),
    }
}

/// Runs a call, and reports it to configuration sync as in flight until it ends. The call itself
/// ends when it makes no progress.
async fn report_in_flight<T>(host: &Arc<Host>, request: u64, call: impl Future<Output = T>) -> T {
    const REPORT_INTERVAL: Duration = Duration::from_secs(1);
    let mut call = pin!(call);
    loop {
        match tokio::time::timeout(REPORT_INTERVAL, call.as_mut()).await {
            Ok(result) => return result,
            Err(_) => handle(host, SyncInput::InFlight { request }),
        }
    }
}

/// Logs the first failure to read the configuration, and the next success.
fn log_failure(host: &Host, error: Option<&PlatformError>) {
    let now = host.now();
    let mut failing = host
        .reads_failing
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    match (error, *failing) {
        (Some(error), None) => {
            *failing = Some(now);
            warn!(host.log, "reading the configuration failed; retrying"; "reason" => %error,
                "epoch" => %host.view.load().epoch());
        }
        (None, Some(since)) => {
            *failing = None;
            info!(host.log, "the configuration can be read again";
                "after_ms" => now.saturating_duration_since(since).as_millis());
        }
        (Some(_), Some(_)) | (None, None) => {}
    }
}

/// Puts a view in force on this host and informs membership.
fn adopt(host: &Arc<Host>, view: &Arc<View>) {
    if !put_in_force(host, view) {
        return;
    }
    // A newer view may be in force by now; membership gets the newest.
    let view = host.view.load_full();
    super::list_input(host);
    super::member_input(host, wagtail_member::Input::Hosts(host_infos(&view)));
    super::member_input(host, wagtail_member::Input::Adopted(view.epoch()));
    super::publish_members(host);
    host.last_reports
        .retain(|id| view.endpoints().contains_key(id));
    host.upstreams
        .retain(|addr| view.endpoints().values().any(|e| e.addr == *addr));
    host.adopted.notify_one();
}

/// Passes a view to every part that uses it; returns `false` if its epoch is not newer.
fn put_in_force(host: &Arc<Host>, view: &Arc<View>) -> bool {
    // Two tasks may adopt views at the same time. The lock serializes them, so that the epoch never
    // decreases.
    let _guard = host.adoption.lock().unwrap_or_else(PoisonError::into_inner);
    let old = host.view.load_full();
    if view.epoch() <= old.epoch() {
        return false;
    }
    info!(host.log, "configuration adopted"; "epoch" => %view.epoch(), "issues" => view.issues().len());
    host.metrics.gauge("config.epoch", view.epoch().0);
    let sites = Sites::build(view, Some((&old, &host.sites.load())));
    host.sites.store(Arc::new(sites));
    // From here on, requests are checked against the new records.
    host.view.store(view.clone());
    let topology = wagtail_route::Input::Topology(derived::topology(view));
    super::route_input(host, topology);
    if let Some(region) = view.regions().get(&host.settings.region) {
        super::route_input(host, wagtail_route::Input::Link(region.link));
    }
    let (teams, shards) = derived::limits(view);
    let epoch = view.epoch();
    super::quota_input(
        host,
        wagtail_quota::Input::Config {
            epoch,
            teams,
            shards,
        },
    );
    host.listed.record(view);
    if let Some(peer) = host.peer() {
        peer.set_addresses(peer_addresses(host, view));
    }
    true
}

/// Returns the addresses of the other hosts, from their records or, without one, from the seeds. A
/// host on the platform's list keeps the address of its last record.
pub(crate) fn peer_addresses(
    host: &Host,
    view: &View,
) -> HashMap<wagtail_types::HostId, std::net::SocketAddr> {
    let seeds = host.settings.seeds.iter().map(|s| (s.host.clone(), s.addr));
    let listed = host.listed.hosts().into_iter();
    let listed = listed.map(|h| (h.info.host, h.peer));
    let records = view.hosts().values().map(|h| (h.id.clone(), h.peer));
    let mut all: HashMap<_, _> = seeds.chain(listed).chain(records).collect();
    all.remove(&host.settings.host);
    all
}

fn host_infos(view: &View) -> Vec<HostInfo> {
    view.hosts()
        .values()
        .filter_map(|h| {
            let region = view.region_of(&h.zone)?.clone();
            Some(HostInfo::new(h.id.clone(), h.zone.clone(), region))
        })
        .collect()
}

/// Passes an input to configuration sync.
pub(crate) fn handle(host: &Arc<Host>, input: SyncInput) {
    let now = host.now();
    host.config_sync.lock().machine.handle(now, input);
    apply_config_sync(host);
}
