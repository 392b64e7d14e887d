//! Drivers of the state machines: they pass inputs in and carry out effects.

mod config;
mod dedupe;
mod limit;
mod member;
mod route;

pub(crate) use config::{addresses, handle as sync_input, syncing};
pub(crate) use dedupe::{deduping, handle as dedupe_input};
pub(crate) use limit::{handle as limit_input, limiting};
pub(crate) use member::{handle as member_input, look_up, membership, spread};
pub(crate) use route::{handle as route_input, routing, send};

use std::hash::Hash;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtail_peer::Control;
use wagtail_types::HostId;

use crate::host::Host;
use crate::waiting::Waiting;

/// The longest sleep of a timer task. Requests do not wake the timer tasks, so this is also the
/// greatest delay of a timer that a request has set.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Calls `tick` at each wake time of a state machine. Never returns.
pub(crate) async fn timer<M, T, R>(
    host: &Arc<Host>,
    waiting: impl Fn(&Host) -> &Waiting<M, T, R>,
    next: impl Fn(&M, Instant) -> Option<Instant>,
    tick: impl Fn(&Arc<Host>, Instant),
) where
    T: Eq + Hash,
{
    loop {
        let now = host.now();
        let wake = next(&waiting(host).lock().machine, now);
        let sleep = wake.map_or(LONGEST_SLEEP, |at| at.saturating_duration_since(now));
        if sleep > Duration::ZERO {
            let _ = tokio::time::timeout(sleep.min(LONGEST_SLEEP), waiting(host).notified()).await;
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
            limit_input(host, wagtail_quota::Input::Received { from, message });
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
