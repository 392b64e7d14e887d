//! Early handover of slots after a planned membership change.
//!
//! A host that gains slots asks its peers in the zone for consent. A peer consents once it sees
//! the same serving hosts and has no request in flight on a slot that it does not hold. When all
//! peers have consented, the slots may be used without waiting for the failure-detection timeout
//! plus the longest request duration. After a crash no peer can tell what the lost host still has
//! in flight, so the full wait applies.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::HostId;

use crate::mutant::{Fault, Mutant};
use crate::rendezvous::{name_hash, score};
use crate::settings::Settings;
use crate::topology::{HostState, HostView};

/// The interval at which a request without consent is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A request for consent to use newly gained slots, sent to a peer in the zone.
///
/// The peer consents once it sees the same serving hosts and has released all slots that it no
/// longer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverRequest {
    /// A random number, drawn anew whenever the sender's view changes.
    pub token: u64,
    /// A digest of the zone's serving hosts in the sender's view.
    pub members: u64,
    /// The sender's incarnation, a random number drawn at each start.
    pub incarnation: u64,
    /// The time that the sender has run without a pause.
    pub uptime: Duration,
}

/// The consent to a [`HandoverRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverConsent {
    /// The token of the request.
    pub token: u64,
}

#[derive(Debug)]
pub(crate) struct Handover {
    settings: Settings,
    max_duration: Duration,
    started: Instant,
    incarnation: u64,
    token: u64,
    members: u64,
    peers: HashMap<HostId, ZonePeer>,
    /// The time until which a lost peer may still have requests in flight.
    blocked_until: Option<Instant>,
    /// Whether the current handover is complete.
    completed: bool,
    last_sent: Option<Instant>,
    /// Whether a request of a peer waits for consent.
    pending: bool,
}

/// A peer in the zone.
#[derive(Debug)]
struct ZonePeer {
    state: HostState,
    since: Instant,
    /// Whether it consented to the current request.
    consented: bool,
    /// Whether it is leaving and known to have nothing in flight.
    idle: bool,
    request: Option<HandoverRequest>,
    incarnation: Option<u64>,
    /// The time until which requests of an earlier incarnation may be in flight.
    uncertain_until: Option<Instant>,
}

impl Handover {
    pub(crate) fn new(settings: &Settings, now: Instant, incarnation: u64) -> Self {
        Self {
            settings: settings.clone(),
            max_duration: Duration::ZERO,
            started: now,
            incarnation,
            token: 0,
            members: 0,
            peers: HashMap::new(),
            blocked_until: None,
            completed: false,
            last_sent: None,
            pending: false,
        }
    }

    pub(crate) fn set_max_duration(&mut self, max_duration: Duration) {
        self.max_duration = max_duration;
    }

    /// Restarts the handover, as after a process pause.
    pub(crate) fn reset(&mut self, now: Instant, token: u64) {
        self.started = now;
        self.start_round(token);
    }

    /// Applies the current membership view.
    pub(crate) fn set_hosts(&mut self, now: Instant, hosts: &[HostView], token: u64) {
        let zone: Vec<_> = hosts
            .iter()
            .filter(|h| h.zone == self.settings.zone)
            .collect();
        let local = self.settings.host.clone();
        for view in zone.iter().filter(|h| h.id != local) {
            self.update_peer(now, view);
        }
        let removed: Vec<_> = self
            .peers
            .keys()
            .filter(|id| !zone.iter().any(|h| h.id == **id))
            .cloned()
            .collect();
        for id in removed {
            self.remove_peer(now, &id);
        }
        let serving = zone.iter().filter(|h| h.state == HostState::Serving);
        let members = serving.fold(0, |sum: u64, host| {
            sum.wrapping_add(score(name_hash(host.id.as_str()), 1))
        });
        if members != self.members {
            self.members = members;
            self.start_round(token);
        }
    }

    fn update_peer(&mut self, now: Instant, view: &HostView) {
        if view.state == HostState::Dead {
            return self.remove_peer(now, &view.id);
        }
        let peer = self.peers.entry(view.id.clone()).or_insert(ZonePeer {
            state: HostState::Dead,
            since: now,
            consented: false,
            idle: false,
            request: None,
            incarnation: None,
            uncertain_until: None,
        });
        if view.state == HostState::Serving && peer.state != HostState::Serving {
            if peer.state == HostState::Leaving && !peer.idle {
                self.blocked_until =
                    Some(now + self.settings.ownership.detection_timeout + self.max_duration);
            }
            peer.since = now;
            peer.idle = false;
            peer.incarnation = None;
        }
        peer.state = view.state;
    }

    /// Removes a peer. It may have left requests in flight, unless it was known to be idle.
    fn remove_peer(&mut self, now: Instant, id: &HostId) {
        if let Some(peer) = self.peers.remove(id)
            && !peer.idle
        {
            self.blocked_until = Some(now + self.full_wait());
        }
    }

    fn start_round(&mut self, token: u64) {
        self.token = token;
        self.completed = false;
        self.last_sent = None;
        for peer in self.peers.values_mut() {
            peer.consented = false;
        }
    }

    fn full_wait(&self) -> Duration {
        self.settings.ownership.detection_timeout + self.max_duration
    }

    /// Returns whether to send requests now: this host holds slots that it may not use yet, or
    /// cannot consent to others before it knows that a leaving peer is idle.
    pub(crate) fn should_send(
        &self,
        now: Instant,
        has_pending_slots: impl FnOnce() -> bool,
    ) -> bool {
        let due = self
            .last_sent
            .is_none_or(|sent| sent + REPEAT_INTERVAL <= now);
        let due = due && !self.completed && !self.is_blocked(now);
        due && ((self.pending && !self.is_settled(now)) || has_pending_slots())
    }

    /// Returns the requests to the peers that have not consented.
    pub(crate) fn requests(&mut self, now: Instant) -> Vec<(HostId, HandoverRequest)> {
        self.last_sent = Some(now);
        let request = HandoverRequest {
            token: self.token,
            members: self.members,
            incarnation: self.incarnation,
            uptime: now.saturating_duration_since(self.started),
        };
        let unanswered = self.peers.iter().filter(|(_, peer)| !peer.consented);
        unanswered.map(|(id, _)| (id.clone(), request)).collect()
    }

    /// Records a request of a peer. After a restart under the same name, requests of the earlier
    /// incarnation may still be in flight.
    pub(crate) fn record_request(&mut self, now: Instant, from: &HostId, request: HandoverRequest) {
        let wait = self.full_wait();
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if peer
            .incarnation
            .is_some_and(|known| known != request.incarnation)
        {
            peer.uncertain_until = Some(now + wait);
        }
        peer.incarnation = Some(request.incarnation);
        peer.request = Some(request);
        self.pending = true;
    }

    /// Returns whether a request of a peer waits for consent.
    pub(crate) fn has_pending(&self) -> bool {
        self.pending
    }

    /// Returns the consents that can be given now; `released` states that this host has nothing in
    /// flight on slots that it does not hold.
    pub(crate) fn consents(
        &mut self,
        now: Instant,
        released: bool,
    ) -> Vec<(HostId, HandoverConsent)> {
        let released = released || self.fault().is(Mutant::ConsentEarly);
        if !released || !self.has_full_history(now) || !self.is_settled(now) {
            return Vec::new();
        }
        let (members, detection) = (self.members, self.settings.ownership.detection_timeout);
        let same_incarnation = |peer: &ZonePeer, request: &HandoverRequest| {
            let visible = now.saturating_duration_since(peer.since);
            let first_incarnation =
                visible <= request.uptime + detection || request.uptime >= self.full_wait();
            first_incarnation && peer.uncertain_until.is_none_or(|until| until <= now)
        };
        let ready: Vec<_> = self
            .peers
            .iter()
            .filter_map(|(id, peer)| Some((id, peer, peer.request?)))
            .filter(|(_, peer, request)| {
                request.members == members && same_incarnation(peer, request)
            })
            .map(|(id, _, request)| {
                (
                    id.clone(),
                    HandoverConsent {
                        token: request.token,
                    },
                )
            })
            .collect();
        for (id, _) in &ready {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.request = None;
            }
        }
        self.pending = self.peers.values().any(|peer| peer.request.is_some());
        ready
    }

    /// Records the consent of a peer.
    pub(crate) fn record_consent(&mut self, from: &HostId, consent: HandoverConsent) {
        if consent.token != self.token {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.consented = true;
            peer.idle |= peer.state == HostState::Leaving;
        }
    }

    /// Completes the handover if all conditions hold; returns true once per membership change.
    pub(crate) fn try_complete(&mut self, now: Instant) -> bool {
        let view_settled = now >= self.started + self.settings.ownership.detection_timeout;
        let consented = !self.peers.is_empty() && self.peers.values().all(|peer| peer.consented);
        if self.completed
            || !view_settled
            || !consented
            || self.is_blocked(now)
            || !self.is_zone_established(now)
        {
            return false;
        }
        self.completed = true;
        true
    }

    /// Returns whether a host of the zone has served for so long that no host of another zone can
    /// still have a request in flight on the zone's slots.
    fn is_zone_established(&self, now: Instant) -> bool {
        let serving = |peer: &ZonePeer| peer.state == HostState::Serving;
        self.has_full_history(now) || self.peers.values().any(serving)
    }

    /// Returns whether this host has run for so long that it knows of every lost peer that may have
    /// left requests in flight.
    fn has_full_history(&self, now: Instant) -> bool {
        now >= self.started + self.full_wait() || self.fault().is(Mutant::ConsentUnaware)
    }

    /// Returns whether no lost or leaving peer may still have unknown requests in flight.
    fn is_settled(&self, now: Instant) -> bool {
        let leaving = |peer: &ZonePeer| peer.state == HostState::Leaving && !peer.idle;
        !self.is_blocked(now) && !self.peers.values().any(leaving)
    }

    fn is_blocked(&self, now: Instant) -> bool {
        let ignore = self.fault().is(Mutant::ConsentUnaware);
        !ignore && self.blocked_until.is_some_and(|until| now < until)
    }

    fn fault(&self) -> Fault {
        self.settings.fault
    }
}
