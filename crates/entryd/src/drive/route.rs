//! Driver of the router.

use std::sync::Arc;

use slog::info;
use wagtail_peer::Control;
use wagtail_route::{Effect, Input, Outcome, Ticket};

use crate::host::{Host, Start};

/// Carries out the pending effects of the router.
pub(crate) fn apply_routing(host: &Arc<Host>) {
    let mut rest = Vec::new();
    let mut routing = host.routing.lock();
    while let Some(effect) = routing.machine.poll_effect() {
        match effect {
            Effect::Start { ticket, lease } => resolve(host, &mut routing, ticket, Ok(lease)),
            Effect::Refuse { ticket, verdict } => resolve(host, &mut routing, ticket, Err(verdict)),
            other => rest.push(other),
        }
    }
    drop(routing);
    for effect in rest {
        perform(host, effect);
    }
}

type Inner = crate::machine::Inner<wagtail_route::Router, Ticket, Start>;

fn resolve(host: &Host, routing: &mut Inner, ticket: Ticket, start: Start) {
    // The slot of a request that no longer waits goes to the next one.
    if let Err(Ok(lease)) = routing.resolve(&ticket, start) {
        routing
            .machine
            .finish(host.now(), lease, Outcome::Cancelled);
    }
}

fn perform(host: &Host, effect: Effect) {
    match effect {
        Effect::Leaving(endpoint) => {
            info!(host.log, "endpoint is leaving"; "endpoint" => %endpoint);
            for peer in zone_peers(host) {
                send(host, &peer, Control::Leaving(endpoint.clone()));
            }
        }
        Effect::Drained { endpoint, after } => {
            info!(host.log, "endpoint drained"; "endpoint" => %endpoint, "after_ms" => after.as_millis());
            host.metrics.count("endpoint.drained");
        }
        Effect::Ejected(endpoint) => {
            info!(host.log, "endpoint ejected"; "endpoint" => %endpoint);
            host.metrics.count("endpoint.ejected");
        }
        Effect::Restored(endpoint) => {
            info!(host.log, "endpoint restored"; "endpoint" => %endpoint);
        }
        Effect::HandoverRequest { to, request } => {
            send(host, &to, Control::HandoverRequest(request));
        }
        Effect::HandoverConsent { to, consent } => {
            send(host, &to, Control::HandoverConsent(consent));
        }
        Effect::Start { .. } | Effect::Refuse { .. } => {}
    }
}

/// Returns the other hosts of this host's zone.
fn zone_peers(host: &Host) -> Vec<wagtail_types::HostId> {
    let view = host.view.load();
    view.hosts()
        .values()
        .filter(|h| h.zone == host.settings.zone && h.id != host.settings.host)
        .map(|h| h.id.clone())
        .collect()
}

/// Sends a control message without waiting; it may be lost.
pub(crate) fn send(host: &Host, to: &wagtail_types::HostId, message: Control) {
    if let Some(peer) = host.peer() {
        peer.send(to, message);
    }
}

/// Passes an input to the router.
pub(crate) fn handle(host: &Arc<Host>, input: Input) {
    let now = host.now();
    host.routing.lock().machine.handle(now, input);
    apply_routing(host);
}
