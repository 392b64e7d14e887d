//! The host's background tasks.

use std::sync::Arc;
use std::time::Duration;

use wagtail_peer::{Control, Peer};
use wagtail_store::{Access, ListedState, Priority};

use crate::calls;
use crate::drive;
use crate::duty::{Duties, Duty};
use crate::host::Host;
use crate::periods;
use crate::reports;

const GAUGE_PERIOD: Duration = Duration::from_secs(5);

/// Starts a timer of a state machine or a periodic task. The duties that own a socket are started
/// with it.
pub(crate) fn start(host: &Arc<Host>, duties: &mut Duties, duty: Duty) {
    let host = host.clone();
    match duty {
        Duty::Callers | Duty::Operators | Duty::Peers => {}
        Duty::RoutingTimer => duties.start(duty, routing_timer(host)),
        Duty::QuotaTimer => duties.start(duty, quota_timer(host)),
        Duty::DedupTimer => duties.start(duty, dedup_timer(host)),
        Duty::MembershipTimer => duties.start(duty, membership_timer(host)),
        Duty::ConfigTimer => duties.start(duty, config_timer(host)),
        Duty::CallTimer => duties.start(duty, call_timer(host)),
        Duty::EndpointProbes => duties.start(duty, reports::probe_all(host)),
        Duty::Adverts => duties.start(duty, advertise(host)),
        Duty::HostList => duties.start(duty, read_list(host)),
        Duty::Directory => duties.start(duty, drive::refresh_directory(host)),
        Duty::Gauges => duties.start(duty, gauges(host)),
    }
}

async fn routing_timer(host: Arc<Host>) {
    let next = |m: &wagtail_route::Router, _| m.next_wake();
    let tick = |h: &Arc<Host>, now| {
        h.routing.lock().machine.tick(now);
        drive::apply_routing(h);
    };
    drive::timer(&host, |h| &h.routing, next, tick).await;
}

async fn quota_timer(host: Arc<Host>) {
    let next = |m: &wagtail_quota::Quota, _| m.next_wake();
    let tick = |h: &Arc<Host>, now| {
        h.quota.lock().machine.tick(now);
        drive::apply_quota(h);
    };
    drive::timer(&host, |h| &h.quota, next, tick).await;
}

async fn dedup_timer(host: Arc<Host>) {
    let next = |m: &wagtail_once::Deduplicator, _| m.next_wake();
    let tick = |h: &Arc<Host>, now| {
        h.dedup.lock().machine.tick(now);
        drive::apply_dedup(h);
    };
    drive::timer(&host, |h| &h.dedup, next, tick).await;
}

async fn membership_timer(host: Arc<Host>) {
    let next = |m: &wagtail_member::Member, _| m.next_wake();
    let tick = |h: &Arc<Host>, now| {
        h.membership.lock().machine.tick(now);
        drive::apply_membership(h);
    };
    drive::timer(&host, |h| &h.membership, next, tick).await;
}

async fn config_timer(host: Arc<Host>) {
    let next = |m: &wagtail_config::ConfigSync, _| m.next_wake();
    let tick = |h: &Arc<Host>, now| {
        h.config_sync.lock().machine.tick(now);
        drive::apply_config_sync(h);
    };
    drive::timer(&host, |h| &h.config_sync, next, tick).await;
}

async fn call_timer(host: Arc<Host>) {
    let next = |s: &wagtail_store::Scheduler, now| s.next_wake(now);
    let tick = |h: &Arc<Host>, now| {
        h.calls.scheduler.lock().machine.tick(now);
        calls::apply_effects(h);
    };
    drive::timer(&host, |h| &h.calls.scheduler, next, tick).await;
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
