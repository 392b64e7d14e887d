//! The membership state machine of one host.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::contact::{FreshnessTracker, Reachability};
use crate::gossip::GossipQueue;
use crate::message::Cursor;
use crate::probe::{PendingProbe, RelayedProbe};
use crate::roster::Roster;
use crate::settings::Mutant;
use crate::{
    Adoption, Body, Effect, HostInfo, HostView, Input, MemberChange, Mode, Settings, State,
    ZoneView,
};

/// Membership as seen by one host.
///
/// A state machine without I/O: it is driven by [`Member::handle`] and [`Member::tick`], and its
/// output is read with [`Member::poll_effect`].
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) roster: Roster,
    /// Hosts of the configuration.
    config_hosts: Vec<HostInfo>,
    /// Hosts of the platform's list.
    platform_hosts: Vec<HostInfo>,
    pub(crate) gossip: GossipQueue,
    /// When each suspect is declared dead.
    pub(crate) suspects: BTreeMap<HostId, Instant>,
    pub(crate) pending_probes: Vec<PendingProbe>,
    pub(crate) relayed_probes: Vec<RelayedProbe>,
    pub(crate) next_probe: Instant,
    pub(crate) probe_count: u32,
    pub(crate) seq: u64,
    /// The position in the states to fetch, or `None` once the host has caught up.
    pub(crate) cursor: Option<Cursor>,
    pub(crate) adoption: Adoption,
    pub(crate) fresh: FreshnessTracker,
    /// The local host's latest contact with the table service.
    pub(crate) contact: Option<Instant>,
    /// The latest contact of the other hosts of the local zone with the table service.
    pub(crate) peer_contact: Option<Instant>,
    pub(crate) other_zones: HashMap<ZoneId, ZoneView>,
    /// Where the rotation of zone summaries goes on.
    pub(crate) summary_index: usize,
    /// The host whose state was last repeated, as an index into the roster.
    pub(crate) refresh_index: usize,
    mode: Mode,
    last_call: Instant,
    /// When the process last resumed after a pause.
    resumed_at: Instant,
    /// Set after a pause: messages may have waited through it, so the ages in them count only once
    /// a probe sent after the pause has been acknowledged.
    pub(crate) ages_untrusted: bool,
    pub(crate) replaced_by: Option<Incarnation>,
    pub(crate) effects: VecDeque<Effect>,
}

impl Member {
    /// Creates the state machine of a host that has just started and knows only itself.
    ///
    /// `seed` seeds the choice of probe targets and the jitter.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut roster = Roster::default();
        roster.replace(vec![settings.local.clone()], now);
        let mut member = Self {
            rng: SmallRng::seed_from_u64(seed),
            gossip: GossipQueue::default(),
            config_hosts: Vec::new(),
            platform_hosts: Vec::new(),
            suspects: BTreeMap::new(),
            pending_probes: Vec::new(),
            relayed_probes: Vec::new(),
            next_probe: now,
            probe_count: 0,
            seq: 0,
            cursor: Some(Cursor::Start),
            adoption: Adoption::new(&roster, &settings.local.zone),
            fresh: FreshnessTracker::default(),
            contact: None,
            peer_contact: None,
            other_zones: HashMap::new(),
            summary_index: 0,
            refresh_index: 0,
            mode: Mode::CutOff { since: now },
            last_call: now,
            resumed_at: now,
            ages_untrusted: false,
            replaced_by: None,
            effects: VecDeque::new(),
            roster,
            settings,
        };
        if let Some(local) = member.roster.get_mut(&member.settings.local.host) {
            local.state = State::Alive;
            local.incarnation = member.settings.incarnation;
        }
        member
    }

    /// Processes an input from the local host or a peer, then everything that is due at `now`.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.detect_pause(now);
        match input {
            Input::Hosts(hosts) => {
                self.config_hosts = hosts;
                self.rebuild_roster(now);
            }
            Input::PlatformHosts(hosts) => {
                self.platform_hosts = hosts;
                self.rebuild_roster(now);
            }
            Input::Received { from, message } => self.receive(now, &from, message),
            Input::TableContact { at, head } => self.record_contact(at, head),
            Input::Adopted(epoch) => self.adopt(epoch),
            Input::Capacity { free } => {
                if let Some(local) = self.local_mut() {
                    local.free = free;
                }
            }
            Input::Leave => self.leave(now),
        }
        self.tick(now);
    }

    /// Does what is due at `now`: probes, expiry of suspects, and the contact mode.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        self.last_call = self.last_call.max(now);
        if self.replaced_by.is_some() {
            return;
        }
        self.run_probes(now);
        self.expire_suspects(now);
        let zone = &self.settings.local.zone;
        self.adoption.mark_complete(&self.roster, zone);
        self.update_mode(now);
    }

    /// Returns when [`Member::tick`] has to be called next, if no other call comes before, or
    /// `None` once a newer incarnation has replaced this one.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.replaced_by.is_some() {
            return None;
        }
        let suspects = self.suspects.values().copied();
        Some(suspects.fold(self.probe_wake(), Instant::min))
    }

    /// Removes and returns the next effect for the host to carry out.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns all hosts, including the local one, ordered by region, zone and name.
    pub fn members(&self) -> impl Iterator<Item = &HostView> {
        self.roster.iter()
    }

    /// Returns what is known of a host, or `None` if it is not listed.
    pub fn get(&self, host: &HostId) -> Option<&HostView> {
        self.roster.get(host)
    }

    /// Returns the state of a host, or `None` if it is not listed.
    pub fn state(&self, host: &HostId) -> Option<State> {
        self.roster.get(host).map(|view| view.state)
    }

    /// Returns the hosts of a zone that, as far as is known, are running and accept work: those
    /// alive or suspect.
    pub fn live_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a HostView> {
        self.roster
            .in_zone(zone)
            .filter(|view| matches!(view.state, State::Alive | State::Suspect))
    }

    /// Returns the contact mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns how long ago the adopted configuration was known to be the newest, directly or
    /// through a peer, or `None` if it never was in this incarnation or since a pause.
    pub fn freshness(&self, now: Instant) -> Option<Duration> {
        let at = self.fresh.verified_at()?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the failure-detection timeout: the time within which every connected host declares a
    /// stopped host dead.
    pub fn detection_timeout(&self) -> Duration {
        self.settings.detection_timeout(self.roster.len())
    }

    pub(crate) fn local_mut(&mut self) -> Option<&mut HostView> {
        self.roster.get_mut(&self.settings.local.host)
    }

    /// Rebuilds the roster from the configuration, the platform's list and the local host.
    fn rebuild_roster(&mut self, now: Instant) {
        let mut infos = self.config_hosts.clone();
        let extra = self.platform_hosts.iter().chain([&self.settings.local]);
        for info in extra {
            if infos.iter().all(|known| known.host != info.host) {
                infos.push(info.clone());
            }
        }
        let before: Vec<HostId> = self.roster.iter().map(|v| v.info.host.clone()).collect();
        let removed = self.roster.replace(infos, now);
        let change = |view: &HostView, from, to| {
            Effect::Changed(MemberChange {
                host: view.info.host.clone(),
                zone: view.info.zone.clone(),
                from,
                to,
                incarnation: view.incarnation,
            })
        };
        for view in &removed {
            self.suspects.remove(&view.info.host);
            self.effects.push_back(change(view, Some(view.state), None));
        }
        let known: std::collections::HashSet<_> = before.into_iter().collect();
        for view in self.roster.iter() {
            if !known.contains(&view.info.host) {
                self.effects.push_back(change(view, None, Some(view.state)));
            }
        }
        let zone = self.settings.local.zone.clone();
        self.adoption.update_hosts(&self.roster, &zone);
        self.record_adoption(&self.settings.local.host.clone(), self.fresh.adopted());
        let zones = self.roster.zones();
        self.other_zones.retain(|zone, _| zones.contains(zone));
    }

    fn record_contact(&mut self, at: Instant, head: Epoch) {
        // A call sent before the last pause proves nothing about the present.
        if at < self.resumed_at {
            return;
        }
        self.contact = self.contact.max(Some(at));
        self.fresh.record_head(head, at);
    }

    fn adopt(&mut self, epoch: Epoch) {
        self.fresh.adopt(epoch);
        let adopted = self.fresh.adopted();
        if let Some(local) = self.local_mut() {
            local.epoch = adopted;
        }
        let host = self.settings.local.host.clone();
        self.record_adoption(&host, adopted);
    }

    /// Records that `host` has adopted `epoch`, if it is in the local zone.
    pub(crate) fn record_adoption(&mut self, host: &HostId, epoch: Epoch) {
        let mut zone = self.roster.in_zone(&self.settings.local.zone);
        if let Some(index) = zone.position(|view| view.info.host == *host) {
            self.adoption.record(epoch, index);
        }
    }

    fn leave(&mut self, now: Instant) {
        const LEAVE_FANOUT: usize = 8;
        let Some(local) = self.local_mut() else {
            return;
        };
        local.state = State::Leaving;
        local.version += 1;
        local.state_since = now;
        let host = local.info.host.clone();
        self.enqueue_gossip(&host);
        let others = self
            .roster
            .iter()
            .filter(|v| v.info.host != host && v.is_live());
        let receivers =
            rand::seq::IteratorRandom::choose_multiple(others, &mut self.rng, LEAVE_FANOUT);
        let receivers: Vec<HostId> = receivers.iter().map(|v| v.info.host.clone()).collect();
        for to in receivers {
            self.send(now, &to, Body::Gossip);
        }
    }

    /// Discards contacts, zone summaries, freshness and pending probes after a pause of the
    /// process, because none of them can be trusted until renewed.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call);
        if gap <= self.settings.pause_limit || self.settings.has_mutant(Mutant::IgnorePause) {
            return;
        }
        self.last_call = now;
        self.resumed_at = now;
        self.ages_untrusted = true;
        self.contact = None;
        self.peer_contact = None;
        self.other_zones.clear();
        self.fresh.reset();
        self.pending_probes.clear();
        self.relayed_probes.clear();
        self.cursor = Some(Cursor::Start);
        self.next_probe = now;
        let until = now + self.settings.suspicion_timeout(self.roster.len());
        for at in self.suspects.values_mut() {
            *at = until;
        }
        self.effects.push_back(Effect::Paused { gap });
        self.update_mode(now);
    }

    fn update_mode(&mut self, now: Instant) {
        let local_only = self.settings.has_mutant(Mutant::LocalContactOnly);
        let contact = self.heard_zones(now).filter_map(|view| view.contact).max();
        let reachability = Reachability {
            last_contact: self.zone_contact().max(contact.filter(|_| !local_only)),
            heard_zones: 1 + self.heard_zones(now).count(),
            total_zones: self.roster.zones().len(),
        };
        let timeout = self.settings.contact_timeout(self.roster.len());
        let half_is_majority = self.settings.has_mutant(Mutant::HalfIsMajority);
        let mode = self.mode.next(now, reachability, timeout, half_is_majority);
        if mode != self.mode {
            self.mode = mode;
            self.effects.push_back(Effect::ModeChanged(mode));
        }
    }
}
