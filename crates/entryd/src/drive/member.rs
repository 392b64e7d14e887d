//! Driver of membership.

use std::sync::{Arc, PoisonError};

use slog::{info, warn};
use wagtail_member::{Effect, HostView, Input, MemberChange, State};
use wagtail_peer::Control;
use wagtail_quota::PeerInfo;
use wagtail_route::{HostRow, HostState};
use wagtail_store::ScheduleInput;
use wagtail_types::{HostId, Incarnation, Share, TeamId};

use super::route::send;
use crate::calls;
use crate::host::Host;
use crate::periods;

/// Carries out the pending effects of membership.
pub(crate) fn apply_membership(host: &Arc<Host>) {
    let mut effects = Vec::new();
    let mut membership = host.membership.lock();
    while let Some(effect) = membership.machine.poll_effect() {
        effects.push(effect);
    }
    drop(membership);
    let changed = effects.iter().any(|e| matches!(e, Effect::Changed(_)));
    for effect in effects {
        perform(host, effect);
    }
    if changed {
        publish_members(host);
    }
    host.membership.notify();
}

fn perform(host: &Arc<Host>, effect: Effect) {
    match effect {
        Effect::Send { to, message } => send(host, &to, Control::Member(message)),
        Effect::Changed(change) => on_change(host, change),
        Effect::ModeChanged(mode) => {
            info!(host.log, "contact mode changed"; "mode" => %mode);
            host.metrics.count("contact.changed");
            host.mode.store(Arc::new(mode));
        }
        Effect::Paused { gap } => {
            warn!(host.log, "the process was paused"; "gap_ms" => gap.as_millis());
            host.metrics.count("paused");
        }
        Effect::Replaced { incarnation } => {
            warn!(host.log, "a newer incarnation of this host is running"; "incarnation" => %incarnation);
            host.replaced.notify_one();
        }
    }
}

fn on_change(host: &Arc<Host>, change: MemberChange) {
    let label = |state: Option<State>| state.map_or("unlisted".to_owned(), |s| s.to_string());
    info!(host.log, "host state changed"; "of" => %change.host, "zone" => %change.zone,
        "from" => label(change.from), "to" => label(change.to));
    let gone = matches!(change.to, None | Some(State::Dead | State::Unknown));
    let incarnation = (!gone).then_some(change.incarnation);
    super::dedup_input(
        host,
        wagtail_once::Input::Host {
            host: change.host,
            incarnation,
        },
    );
}

/// Passes the known hosts to the other state machines and rebuilds the look-up answers.
pub(crate) fn publish_members(host: &Arc<Host>) {
    let views = publish_to_router(host);
    let live = views.iter().filter(|v| is_other(host, v) && v.is_live());
    let live = live.map(|v| v.info.host.clone()).collect();
    super::sync_input(host, wagtail_config::SyncInput::Peers(live));
    let hosts = u32::try_from(views.len()).unwrap_or(u32::MAX);
    let hosts = hosts.max(host.settings.fleet);
    calls::handle(host, ScheduleInput::Fleet { hosts });
}

/// Passes the known hosts to the router, admission and the look-up answers, which keep them until the
/// next change. Returns the hosts.
fn publish_to_router(host: &Arc<Host>) -> Vec<HostView> {
    // Two tasks may publish at the same time. The lock serializes them, so that what one has read
    // never replaces what another has read later, the phase of this host above all.
    let _guard = host
        .publishing
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let views: Vec<HostView> = host.membership.lock().machine.members().cloned().collect();
    let hosts = views.iter().map(|v| wagtail_route::HostView {
        id: v.info.host.clone(),
        zone: v.info.zone.clone(),
        state: state(host, v),
    });
    let hosts = wagtail_route::Input::Hosts(hosts.collect());
    super::route_input(host, hosts);
    super::quota_input(host, wagtail_quota::Input::Peers(peers(host, &views)));
    rebuild_directory(host, &views);
    views
}

fn is_other(host: &Host, view: &HostView) -> bool {
    view.info.host != host.settings.host
}

fn state(host: &Host, view: &HostView) -> HostState {
    if !is_other(host, view) {
        return match host.lifecycle.phase() {
            crate::lifecycle::Phase::Serving => HostState::Serving,
            _ => HostState::Leaving,
        };
    }
    match view.state {
        State::Alive | State::Suspect => HostState::Serving,
        State::Leaving => HostState::Leaving,
        State::Unknown | State::Dead => HostState::Dead,
    }
}

fn peers(host: &Host, views: &[HostView]) -> Vec<PeerInfo> {
    // Applies to regions without a configured delay.
    const DEFAULT_DELAY: std::time::Duration = std::time::Duration::from_millis(1);
    let view = host.view.load();
    let own = view.regions().get(&host.settings.region);
    let latency = |v: &HostView| {
        own.and_then(|r| r.delays.get(&v.info.region))
            .copied()
            .unwrap_or(DEFAULT_DELAY)
    };
    views
        .iter()
        .filter(|v| is_other(host, v) && v.is_live() && v.incarnation != Incarnation(0))
        .map(|v| PeerInfo {
            host: v.info.host.clone(),
            incarnation: v.incarnation,
            zone: v.info.zone.clone(),
            latency: latency(v),
        })
        .collect()
}

/// Rebuilds the look-up answers, which prefer hosts with free capacity and with tokens of the
/// caller's team.
fn rebuild_directory(host: &Host, views: &[HostView]) {
    let max_free = views.iter().map(|v| v.free).max().unwrap_or(0);
    let mut rows: Vec<HostRow> = views
        .iter()
        .map(|v| HostRow {
            id: v.info.host.clone(),
            zone: v.info.zone.clone(),
            state: state(host, v),
            free: share(v.free, max_free),
            teams: Vec::new(),
        })
        .collect();
    for (team, holders) in holders(host) {
        for row in rows.iter_mut().filter(|r| holders.contains(&r.id)) {
            row.teams.push(team.clone());
        }
    }
    let sites = host.sites.load();
    let directory = wagtail_route::Directory::new(&rows, &sites.rows);
    host.directory.store(Arc::new(directory));
}

fn holders(host: &Host) -> Vec<(TeamId, Vec<HostId>)> {
    let view = host.view.load();
    let quota = host.quota.lock();
    let teams = view.teams().keys();
    teams
        .map(|team| (team.clone(), quota.machine.holders(team)))
        .collect()
}

/// Returns `free` as a share of `max_free`, the highest of any host; the full share if that is 0.
fn share(free: u32, max_free: u32) -> Share {
    let ppm = u64::from(free) * u64::from(Share::ALL.ppm());
    let ppm = ppm.checked_div(u64::from(max_free));
    let ppm = ppm.and_then(|ppm| u32::try_from(ppm).ok());
    ppm.and_then(Share::from_ppm).unwrap_or(Share::ALL)
}

/// Reports this host's free slots to membership and rebuilds the look-up answers periodically.
///
/// Never returns.
pub(crate) async fn refresh_directory(host: Arc<Host>) {
    let mut period = tokio::time::interval(periods::LOOKUP_REBUILD_INTERVAL);
    loop {
        period.tick().await;
        let headroom = host.routing.lock().machine.headroom(host.now());
        let free = headroom.iter().map(|h| h.free).sum();
        handle(&host, Input::Capacity { free });
        let views: Vec<_> = host.membership.lock().machine.members().cloned().collect();
        rebuild_directory(&host, &views);
        report_epochs(&host, &views);
    }
}

/// Reports hosts with a higher epoch to configuration sync.
fn report_epochs(host: &Arc<Host>, views: &[HostView]) {
    let own = host.view.load().epoch();
    for view in views.iter().filter(|v| v.is_live() && v.epoch > own) {
        let (from, epoch) = (view.info.host.clone(), view.epoch);
        super::sync_input(host, wagtail_config::SyncInput::PeerEpoch { from, epoch });
    }
}

/// Passes an input to membership.
pub(crate) fn handle(host: &Arc<Host>, input: Input) {
    let now = host.now();
    host.membership.lock().machine.handle(now, input);
    apply_membership(host);
}

/// Passes the hosts of the platform's list to membership.
pub(crate) fn handle_list(host: &Arc<Host>) {
    let hosts = host.listed.hosts().into_iter().map(|h| h.info).collect();
    handle(host, Input::PlatformHosts(hosts));
}
