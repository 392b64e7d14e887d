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
const REPEAT: Duration = Duration::from_millis(200);

/// A request for consent to use newly gained slots, sent to a peer in the zone.
///
/// The peer consents once it sees the same serving hosts and has released all slots that it no
/// longer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// A random number, drawn anew whenever the sender's view changes.
    pub token: u64,
    /// A digest of the zone's serving hosts in the sender's view.
    pub members: u64,
    /// The sender's incarnation, a random number drawn at each start.
    pub life: u64,
    /// The time that the sender has run without a pause.
    pub uptime: Duration,
}

/// The consent to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Agree {
    /// The token of the request.
    pub token: u64,
}

#[derive(Debug)]
pub(crate) struct Handover {
    settings: Settings,
    longest: Duration,
    started: Instant,
    life: u64,
    token: u64,
    members: u64,
    mates: HashMap<HostId, Mate>,
    blocked: Option<Instant>,
    open: bool,
    asked: Option<Instant>,
    waiting: bool,
}

/// A peer in the zone.
#[derive(Debug)]
struct Mate {
    state: HostState,
    since: Instant,
    agreed: bool,
    idle: bool,
    ask: Option<Ask>,
    life: Option<u64>,
    doubt: Option<Instant>,
}

impl Handover {
    pub(crate) fn new(settings: &Settings, now: Instant, life: u64) -> Self {
        Self {
            settings: settings.clone(),
            longest: Duration::ZERO,
            started: now,
            life,
            token: 0,
            members: 0,
            mates: HashMap::new(),
            blocked: None,
            open: false,
            asked: None,
            waiting: false,
        }
    }

    pub(crate) fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// Restarts the handover, as after a process pause.
    pub(crate) fn reset(&mut self, now: Instant, token: u64) {
        self.started = now;
        self.begin(token);
    }

    /// Applies the current membership view.
    pub(crate) fn set_hosts(&mut self, now: Instant, hosts: &[HostView], token: u64) {
        let zone: Vec<_> = hosts
            .iter()
            .filter(|h| h.zone == self.settings.zone)
            .collect();
        let me = self.settings.host.clone();
        for view in zone.iter().filter(|h| h.id != me) {
            self.see(now, view);
        }
        let gone: Vec<_> = self
            .mates
            .keys()
            .filter(|id| !zone.iter().any(|h| h.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.lose(now, &id);
        }
        let serving = zone.iter().filter(|h| h.state == HostState::Serving);
        let members = serving.fold(0, |sum: u64, host| {
            sum.wrapping_add(score(name_hash(host.id.as_str()), 1))
        });
        if members != self.members {
            self.members = members;
            self.begin(token);
        }
    }

    fn see(&mut self, now: Instant, view: &HostView) {
        if view.state == HostState::Dead {
            return self.lose(now, &view.id);
        }
        let mate = self.mates.entry(view.id.clone()).or_insert(Mate {
            state: HostState::Dead,
            since: now,
            agreed: false,
            idle: false,
            ask: None,
            life: None,
            doubt: None,
        });
        if view.state == HostState::Serving && mate.state != HostState::Serving {
            if mate.state == HostState::Leaving && !mate.idle {
                self.blocked = Some(now + self.settings.owner.detection + self.longest);
            }
            mate.since = now;
            mate.idle = false;
            mate.life = None;
        }
        mate.state = view.state;
    }

    /// Removes a peer. It may have left requests in flight, unless it was known to be idle.
    fn lose(&mut self, now: Instant, id: &HostId) {
        if let Some(mate) = self.mates.remove(id)
            && !mate.idle
        {
            self.blocked = Some(now + self.wait());
        }
    }

    fn begin(&mut self, token: u64) {
        self.token = token;
        self.open = false;
        self.asked = None;
        for mate in self.mates.values_mut() {
            mate.agreed = false;
        }
    }

    fn wait(&self) -> Duration {
        self.settings.owner.detection + self.longest
    }

    /// Returns whether to send requests now: this host holds slots that it may not use yet, or
    /// cannot consent to others before it knows that a leaving peer is idle.
    pub(crate) fn is_due(&self, now: Instant, slots: impl FnOnce() -> bool) -> bool {
        let due = self.asked.is_none_or(|asked| asked + REPEAT <= now);
        let due = due && !self.open && !self.is_blocked(now);
        due && ((self.waiting && !self.is_settled(now)) || slots())
    }

    /// Returns the requests to the peers that have not consented.
    pub(crate) fn asks(&mut self, now: Instant) -> Vec<(HostId, Ask)> {
        self.asked = Some(now);
        let ask = Ask {
            token: self.token,
            members: self.members,
            life: self.life,
            uptime: now.saturating_duration_since(self.started),
        };
        let unanswered = self.mates.iter().filter(|(_, mate)| !mate.agreed);
        unanswered.map(|(id, _)| (id.clone(), ask)).collect()
    }

    /// Records a request of a peer. After a restart under the same name, requests of the earlier
    /// incarnation may still be in flight.
    pub(crate) fn ask(&mut self, now: Instant, from: &HostId, ask: Ask) {
        let wait = self.wait();
        let Some(mate) = self.mates.get_mut(from) else {
            return;
        };
        if mate.life.is_some_and(|life| life != ask.life) {
            mate.doubt = Some(now + wait);
        }
        mate.life = Some(ask.life);
        mate.ask = Some(ask);
        self.waiting = true;
    }

    /// Returns whether a request of a peer waits for consent.
    pub(crate) fn is_asked(&self) -> bool {
        self.waiting
    }

    /// Returns the consents that can be given now; `clean` states that this host has nothing in
    /// flight on slots that it does not hold.
    pub(crate) fn answers(&mut self, now: Instant, clean: bool) -> Vec<(HostId, Agree)> {
        let clean = clean || self.fault().is(Mutant::AgreeEarly);
        if !clean || !self.is_experienced(now) || !self.is_settled(now) {
            return Vec::new();
        }
        let (members, detection) = (self.members, self.settings.owner.detection);
        let same_life = |mate: &Mate, ask: &Ask| {
            let seen = now.saturating_duration_since(mate.since);
            let first = seen <= ask.uptime + detection || ask.uptime >= self.wait();
            first && mate.doubt.is_none_or(|until| until <= now)
        };
        let ready: Vec<_> = self
            .mates
            .iter()
            .filter_map(|(id, mate)| Some((id, mate, mate.ask?)))
            .filter(|(_, mate, ask)| ask.members == members && same_life(mate, ask))
            .map(|(id, _, ask)| (id.clone(), Agree { token: ask.token }))
            .collect();
        for (id, _) in &ready {
            if let Some(mate) = self.mates.get_mut(id) {
                mate.ask = None;
            }
        }
        self.waiting = self.mates.values().any(|mate| mate.ask.is_some());
        ready
    }

    /// Records the consent of a peer.
    pub(crate) fn agree(&mut self, from: &HostId, agree: Agree) {
        if agree.token != self.token {
            return;
        }
        if let Some(mate) = self.mates.get_mut(from) {
            mate.agreed = true;
            mate.idle |= mate.state == HostState::Leaving;
        }
    }

    /// Completes the handover if all conditions hold; returns true once per membership change.
    pub(crate) fn opens(&mut self, now: Instant) -> bool {
        let seen_all = now >= self.started + self.settings.owner.detection;
        let agreed = !self.mates.is_empty() && self.mates.values().all(|mate| mate.agreed);
        if self.open || !seen_all || !agreed || self.is_blocked(now) || !self.was_held(now) {
            return false;
        }
        self.open = true;
        true
    }

    /// Returns whether a host of the zone has served for so long that no host of another zone can
    /// still have a request in flight on the zone's slots.
    fn was_held(&self, now: Instant) -> bool {
        let serving = |mate: &Mate| mate.state == HostState::Serving;
        self.is_experienced(now) || self.mates.values().any(serving)
    }

    /// Returns whether this host has run for so long that it knows of every lost peer that may have
    /// left requests in flight.
    fn is_experienced(&self, now: Instant) -> bool {
        now >= self.started + self.wait() || self.fault().is(Mutant::AgreeUnknowing)
    }

    /// Returns whether no lost or leaving peer may still have unknown requests in flight.
    fn is_settled(&self, now: Instant) -> bool {
        let leaving = |mate: &Mate| mate.state == HostState::Leaving && !mate.idle;
        !self.is_blocked(now) && !self.mates.values().any(leaving)
    }

    fn is_blocked(&self, now: Instant) -> bool {
        let trust = self.fault().is(Mutant::AgreeUnknowing);
        !trust && self.blocked.is_some_and(|until| now < until)
    }

    fn fault(&self) -> Fault {
        self.settings.fault
    }
}
