//! Drivers of the state machines: they pass inputs in and carry out effects.

mod config;
mod dedup;
mod member;
mod quota;
mod route;

pub(crate) use config::{apply_config_sync, handle as sync_input, peer_addresses};
pub(crate) use dedup::{apply_dedup, handle as dedup_input};
pub(crate) use member::{
    apply_membership, handle as member_input, handle_list as list_input, publish_members,
    refresh_directory,
};
pub(crate) use quota::{apply_quota, handle as quota_input};
pub(crate) use route::{apply_routing, handle as route_input, send};

use std::hash::Hash;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtail_peer::Control;
use wagtail_types::HostId;

use crate::host::Host;
use crate::machine::SharedMachine;

/// The longest sleep of a timer task. Requests do not wake the timer tasks, so this is also the
/// greatest delay of a timer that a request has set.
const MAX_SLEEP: Duration = Duration::from_millis(20);

/// Calls `tick` at each wake time of a state machine. Never returns.
pub(crate) async fn timer<M, T, R>(
    host: &Arc<Host>,
    shared: impl Fn(&Host) -> &SharedMachine<M, T, R>,
    next: impl Fn(&M, Instant) -> Option<Instant>,
    tick: impl Fn(&Arc<Host>, Instant),
) where
    T: Eq + Hash,
{
    loop {
        let now = host.now();
        let wake = next(&shared(host).lock().machine, now);
        let sleep = wake.map_or(MAX_SLEEP, |at| at.saturating_duration_since(now));
        if sleep > Duration::ZERO {
            let _ = tokio::time::timeout(sleep.min(MAX_SLEEP), shared(host).notified()).await;
        }
        let now = host.now();
        if wake.is_some_and(|at| at <= now) {
            tick(host, now);
        }
    }
}

/// Passes a control message of another host to the state machine that it is for.
pub(crate) fn control(host: &Arc<Host>, from: &HostId, message: Control) {
    let from = from.clone();
    match message {
        Control::Member(message) => {
            member_input(host, wagtail_member::Input::Received { from, message });
        }
        Control::Quota(message) => {
            quota_input(host, wagtail_quota::Input::Received { from, message });
        }
        Control::Config(message) => {
            sync_input(host, wagtail_config::SyncInput::Message { from, message });
        }
        Control::Advert(mut advert) => {
            advert.host = from;
            route_input(host, wagtail_route::Input::Advert(advert));
        }
        Control::Leaving(endpoint) => {
            route_input(host, wagtail_route::Input::Leaving(endpoint));
        }
        Control::HandoverRequest(request) => route_input(
            host,
            wagtail_route::Input::HandoverRequest { from, request },
        ),
        Control::HandoverConsent(consent) => route_input(
            host,
            wagtail_route::Input::HandoverConsent { from, consent },
        ),
    }
}
