//! The machine: one per host.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::contact::{Fresh, Reach};
use crate::gossip::Gossip;
use crate::message::Cursor;
use crate::probe::{Helping, Probing};
use crate::roster::Roster;
use crate::settings::Mutant;
use crate::{
    Adoption, Body, Effect, HostInfo, HostView, Input, MemberChange, Mode, Settings, State,
    ZoneView,
};

/// Membership as one host sees it.
#[derive(Debug)]
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) roster: Roster,
    configured: Vec<HostInfo>,
    listed: Vec<HostInfo>,
    pub(crate) gossip: Gossip,
    pub(crate) suspects: BTreeMap<HostId, Instant>,
    pub(crate) probing: Vec<Probing>,
    pub(crate) helping: Vec<Helping>,
    pub(crate) next_probe: Instant,
    pub(crate) turn: u32,
    pub(crate) seq: u64,
    pub(crate) cursor: Option<Cursor>,
    pub(crate) adoption: Adoption,
    pub(crate) fresh: Fresh,
    /// This host's own latest contact to the table service.
    pub(crate) contact: Option<Instant>,
    /// The latest contact of the other hosts of the zone.
    pub(crate) mates_contact: Option<Instant>,
    pub(crate) others: HashMap<ZoneId, ZoneView>,
    pub(crate) next_zone: usize,
    pub(crate) next_reminder: usize,
    mode: Mode,
    last: Instant,
    awake: Instant,
    /// Messages may be as old as the pause until a probe sent after it is answered.
    pub(crate) undated: bool,
    pub(crate) replaced_by: Option<Incarnation>,
    pub(crate) effects: VecDeque<Effect>,
}

impl Member {
    /// Builds the machine of a host that has just started and knows itself only.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut roster = Roster::default();
        roster.set(vec![settings.own.clone()], now);
        let mut member = Self {
            rng: SmallRng::seed_from_u64(seed),
            gossip: Gossip::default(),
            configured: Vec::new(),
            listed: Vec::new(),
            suspects: BTreeMap::new(),
            probing: Vec::new(),
            helping: Vec::new(),
            next_probe: now,
            turn: 0,
            seq: 0,
            cursor: Some(Cursor::Start),
            adoption: Adoption::new(&roster, &settings.own.zone),
            fresh: Fresh::default(),
            contact: None,
            mates_contact: None,
            others: HashMap::new(),
            next_zone: 0,
            next_reminder: 0,
            mode: Mode::CutOff { since: now },
            last: now,
            awake: now,
            undated: false,
            replaced_by: None,
            effects: VecDeque::new(),
            roster,
            settings,
        };
        if let Some(own) = member.roster.get_mut(&member.settings.own.host) {
            own.state = State::Alive;
            own.incarnation = member.settings.incarnation;
        }
        member
    }

    /// Takes in news from the host's own tasks or from other hosts.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.notice_pause(now);
        match input {
            Input::Hosts(hosts) => {
                self.configured = hosts;
                self.relist(now);
            }
            Input::Listed(hosts) => {
                self.listed = hosts;
                self.relist(now);
            }
            Input::Received { from, message } => self.receive(now, &from, message),
            Input::TableContact { at, head } => self.note_contact(at, head),
            Input::Adopted(epoch) => self.adopt(epoch),
            Input::Load { free } => {
                if let Some(own) = self.own_mut() {
                    own.free = free;
                }
            }
            Input::Leave => self.leave(now),
        }
        self.tick(now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        self.notice_pause(now);
        self.last = self.last.max(now);
        if self.replaced_by.is_some() {
            return;
        }
        self.probe(now);
        self.judge(now);
        let zone = &self.settings.own.zone;
        self.adoption.complete(&self.roster, zone);
        self.set_mode(now);
    }

    /// When `tick` has something to do, if no call comes before.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.replaced_by.is_some() {
            return None;
        }
        let suspects = self.suspects.values().copied();
        Some(suspects.fold(self.probe_wake(), Instant::min))
    }

    /// The next thing to do.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// All hosts, this one included, ordered by region, zone and name.
    pub fn members(&self) -> impl Iterator<Item = &HostView> {
        self.roster.iter()
    }

    /// What is held of one host.
    pub fn get(&self, host: &HostId) -> Option<&HostView> {
        self.roster.get(host)
    }

    /// The state of one host.
    pub fn state(&self, host: &HostId) -> Option<State> {
        self.roster.get(host).map(|view| view.state)
    }

    /// The hosts of a zone that run and take work, as far as this host knows.
    pub fn live_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a HostView> {
        self.roster
            .in_zone(zone)
            .filter(|view| matches!(view.state, State::Alive | State::Suspect))
    }

    /// The contact to the table service.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// How long ago the adopted configuration was known to be the newest, directly or through a
    /// peer; `None` if it never was in this life or since a pause.
    pub fn freshness(&self, now: Instant) -> Option<Duration> {
        let at = self.fresh.at()?;
        Some(now.saturating_duration_since(at))
    }

    /// The time within which every connected host holds a stopped host for dead.
    pub fn detection(&self) -> Duration {
        self.settings.detection(self.roster.len())
    }

    pub(crate) fn own_mut(&mut self) -> Option<&mut HostView> {
        self.roster.get_mut(&self.settings.own.host)
    }

    /// Builds the list of hosts from the configuration and the platform's list.
    fn relist(&mut self, now: Instant) {
        let mut infos = self.configured.clone();
        let extra = self.listed.iter().chain([&self.settings.own]);
        for info in extra {
            if infos.iter().all(|known| known.host != info.host) {
                infos.push(info.clone());
            }
        }
        let before: Vec<HostId> = self.roster.iter().map(|v| v.info.host.clone()).collect();
        let gone = self.roster.set(infos, now);
        let change = |view: &HostView, from, to| {
            Effect::Changed(MemberChange {
                host: view.info.host.clone(),
                zone: view.info.zone.clone(),
                from,
                to,
                incarnation: view.incarnation,
            })
        };
        for view in &gone {
            self.suspects.remove(&view.info.host);
            self.effects.push_back(change(view, Some(view.state), None));
        }
        let known: std::collections::HashSet<_> = before.into_iter().collect();
        for view in self.roster.iter() {
            if !known.contains(&view.info.host) {
                self.effects.push_back(change(view, None, Some(view.state)));
            }
        }
        let zone = self.settings.own.zone.clone();
        self.adoption.relist(&self.roster, &zone);
        self.note_adoption(&self.settings.own.host.clone(), self.fresh.adopted());
        let zones = self.roster.zones();
        self.others.retain(|zone, _| zones.contains(zone));
    }

    fn note_contact(&mut self, at: Instant, head: Epoch) {
        // A call sent before the last pause proves nothing now.
        if at < self.awake {
            return;
        }
        self.contact = self.contact.max(Some(at));
        self.fresh.note(head, at);
    }

    fn adopt(&mut self, epoch: Epoch) {
        self.fresh.adopt(epoch);
        let adopted = self.fresh.adopted();
        if let Some(own) = self.own_mut() {
            own.epoch = adopted;
        }
        let host = self.settings.own.host.clone();
        self.note_adoption(&host, adopted);
    }

    /// Notes that a host of the own zone has adopted `epoch`.
    pub(crate) fn note_adoption(&mut self, host: &HostId, epoch: Epoch) {
        let mut zone = self.roster.in_zone(&self.settings.own.zone);
        if let Some(index) = zone.position(|view| view.info.host == *host) {
            self.adoption.note(epoch, index);
        }
    }

    fn leave(&mut self, now: Instant) {
        const TOLD_AT_ONCE: usize = 8;
        let Some(own) = self.own_mut() else {
            return;
        };
        own.state = State::Leaving;
        own.version += 1;
        own.since = now;
        let host = own.info.host.clone();
        self.spread(&host);
        let others = self
            .roster
            .iter()
            .filter(|v| v.info.host != host && v.is_live());
        let told = rand::seq::IteratorRandom::choose_multiple(others, &mut self.rng, TOLD_AT_ONCE);
        let told: Vec<HostId> = told.iter().map(|v| v.info.host.clone()).collect();
        for to in told {
            self.send(now, &to, Body::News);
        }
    }

    /// After a pause nothing that was held counts until it is renewed.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last);
        if gap <= self.settings.pause_limit || self.settings.broken(Mutant::IgnorePause) {
            return;
        }
        self.last = now;
        self.awake = now;
        self.undated = true;
        self.contact = None;
        self.mates_contact = None;
        self.others.clear();
        self.fresh.reset();
        self.probing.clear();
        self.helping.clear();
        self.cursor = Some(Cursor::Start);
        self.next_probe = now;
        let until = now + self.settings.suspicion(self.roster.len());
        for at in self.suspects.values_mut() {
            *at = until;
        }
        self.effects.push_back(Effect::Paused { gap });
        self.set_mode(now);
    }

    fn set_mode(&mut self, now: Instant) {
        let own_only = self.settings.broken(Mutant::OwnContactOnly);
        let contact = self.heard(now).filter_map(|view| view.contact).max();
        let reach = Reach {
            contact: self.zone_contact().max(contact.filter(|_| !own_only)),
            heard: 1 + self.heard(now).count(),
            zones: self.roster.zones().len(),
        };
        let limit = self.settings.contact_limit(self.roster.len());
        let half = self.settings.broken(Mutant::HalfIsMajority);
        let mode = self.mode.next(now, reach, limit, half);
        if mode != self.mode {
            self.mode = mode;
            self.effects.push_back(Effect::ModeChanged(mode));
        }
    }
}
