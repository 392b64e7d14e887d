//! The host's background tasks.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use wagtail_peer::{Control, Peer};
use wagtail_store::{Access, ListedState, Priority};

use crate::calls;
use crate::drive;
use crate::host::Host;
use crate::periods;
use crate::reports;

const GAUGE_PERIOD: Duration = Duration::from_secs(5);

/// Spawns the timer of each state machine and the periodic tasks.
pub(crate) fn spawn(host: &Arc<Host>, tasks: &mut JoinSet<()>) {
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |m: &wagtail_route::Router, _| m.next_wake();
        drive::timer(
            &timers,
            |h| &h.routing,
            next,
            |h, now| {
                h.routing.lock().machine.tick(now);
                drive::apply_routing(h);
            },
        )
        .await;
    });
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |m: &wagtail_quota::Quota, _| m.next_wake();
        drive::timer(
            &timers,
            |h| &h.quota,
            next,
            |h, now| {
                h.quota.lock().machine.tick(now);
                drive::apply_quota(h);
            },
        )
        .await;
    });
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |m: &wagtail_once::Deduplicator, _| m.next_wake();
        drive::timer(
            &timers,
            |h| &h.dedup,
            next,
            |h, now| {
                h.dedup.lock().machine.tick(now);
                drive::apply_dedup(h);
            },
        )
        .await;
    });
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |m: &wagtail_member::Member, _| m.next_wake();
        drive::timer(
            &timers,
            |h| &h.membership,
            next,
            |h, now| {
                h.membership.lock().machine.tick(now);
                drive::apply_membership(h);
            },
        )
        .await;
    });
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |m: &wagtail_config::ConfigSync, _| m.next_wake();
        drive::timer(
            &timers,
            |h| &h.config_sync,
            next,
            |h, now| {
                h.config_sync.lock().machine.tick(now);
                drive::apply_config_sync(h);
            },
        )
        .await;
    });
    let timers = host.clone();
    tasks.spawn(async move {
        let next = |s: &wagtail_store::Scheduler, now| s.next_wake(now);
        drive::timer(
            &timers,
            |h| &h.calls.scheduler,
            next,
            |h, now| {
                h.calls.scheduler.lock().machine.tick(now);
                calls::apply_effects(h);
            },
        )
        .await;
    });
    tasks.spawn(reports::probe_all(host.clone()));
    tasks.spawn(advertise(host.clone()));
    tasks.spawn(read_list(host.clone()));
    tasks.spawn(drive::refresh_directory(host.clone()));
    tasks.spawn(gauges(host.clone()));
}

/// Advertises this host's free slots to other hosts periodically.
async fn advertise(host: Arc<Host>) {
    let mut period = tokio::time::interval(periods::advert_interval(host.settings.fleet));
    loop {
        period.tick().await;
        let now = host.now();
        let (advert, targets) = {
            let mut routing = host.routing.lock();
            (
                routing.machine.advert(now),
                routing.machine.advert_targets(periods::ADVERT_FANOUT),
            )
        };
        for to in targets {
            drive::send(&host, &to, Control::Advert(advert.clone()));
        }
    }
}

/// Reads the platform's host list periodically, passes it to membership and reports to the router
/// which endpoints on it are leaving.
async fn read_list(host: Arc<Host>) {
    let mut period = tokio::time::interval(periods::list_interval(host.settings.fleet));
    loop {
        period.tick().await;
        let list = calls::call(&host, Priority::Bulk, Access::Read, host.platform.list());
        let Ok(list) = list.await else { continue };
        for listed in list.iter().filter(|l| l.state == ListedState::Leaving) {
            if let Ok(endpoint) = listed.name.parse() {
                let input = wagtail_route::Input::Leaving(endpoint);
                drive::route_input(&host, input);
            }
        }
        let names = list.iter().filter_map(|l| l.name.parse().ok());
        if host.listed.set_names(names.collect()) {
            drive::list_input(&host);
            if let Some(peer) = host.peer() {
                peer.set_addresses(drive::peer_addresses(&host, &host.view.load()));
            }
        }
    }
}

/// Sets the gauges of capacity, of running requests and of connections to other hosts periodically.
async fn gauges(host: Arc<Host>) {
    let mut period = tokio::time::interval(GAUGE_PERIOD);
    loop {
        period.tick().await;
        let headroom = host.routing.lock().machine.headroom(host.now());
        for row in headroom {
            host.metrics
                .gauge(&format!("headroom.{}", row.service), u64::from(row.free));
            host.metrics
                .gauge(&format!("queued.{}", row.service), u64::from(row.queued));
        }
        host.metrics
            .gauge("running", host.lifecycle.running() as u64);
        let counts = host.peer().map(Peer::counts).unwrap_or_default();
        for (name, count) in counts.iter() {
            host.metrics.gauge(&format!("peer.{name}"), count);
        }
    }
}
