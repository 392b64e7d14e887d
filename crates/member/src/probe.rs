//! Probes of other hosts, direct and through helpers.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use wagtail_types::HostId;

use crate::message::Cursor;
use crate::{Body, Member, State};

/// A probe of this host that is not answered yet.
#[derive(Debug)]
pub(crate) struct Probing {
    pub(crate) seq: u64,
    pub(crate) target: HostId,
    pub(crate) sent: Instant,
    until: Instant,
    asked: bool,
}

/// A probe that this host has sent for another.
#[derive(Debug)]
pub(crate) struct Helping {
    seq: u64,
    target: HostId,
    asker: HostId,
    asker_seq: u64,
    until: Instant,
}

impl Member {
    /// Sends the probe that is due, and ends those whose time is over.
    pub(crate) fn probe(&mut self, now: Instant) {
        self.helping.retain(|helping| helping.until > now);
        self.end_probes(now);
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.spaced();
        if let Some(target) = self.pick() {
            self.probe_host(now, &target);
        }
    }

    /// The interval, varied a little so that hosts do not probe in step.
    fn spaced(&mut self) -> Duration {
        const SPREAD_PERCENT: u32 = 10;
        let interval = self.settings.interval(self.roster.len());
        let percent = self.rng.random_range(100 - SPREAD_PERCENT..=100);
        interval * percent / 100
    }

    /// Every other probe goes to the next host round the ring, so that each host has a watcher; the
    /// rest go to the own region and to other zones, whatever state the hosts are held to be in.
    fn pick(&mut self) -> Option<HostId> {
        let own = &self.settings.own;
        self.turn = self.turn.wrapping_add(1);
        let host = match self.turn % 4 {
            1 => {
                let region = self.roster.in_region(&own.region);
                let others = region.filter(|view| view.info.host != own.host);
                others.choose(&mut self.rng).map(|view| &view.info.host)
            }
            3 => {
                let zones = self.roster.zones();
                let others: Vec<_> = zones.iter().filter(|zone| **zone != own.zone).collect();
                let zone = others.choose(&mut self.rng);
                zone.and_then(|zone| self.roster.in_zone(zone).choose(&mut self.rng))
                    .map(|view| &view.info.host)
            }
            _ => None,
        };
        let host = host.or_else(|| {
            let next = self.roster.successor(&own.host)?;
            Some(&next.info.host)
        });
        host.cloned()
    }

    fn probe_host(&mut self, now: Instant, target: &HostId) {
        let seq = self.next_seq();
        self.probing.push(Probing {
            seq,
            target: target.clone(),
            sent: now,
            until: now + self.settings.round_trip,
            asked: false,
        });
        let after = self.cursor.clone();
        self.send(now, target, Body::Probe { seq, after });
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn end_probes(&mut self, now: Instant) {
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probing)
            .into_iter()
            .partition(|probing| probing.until <= now);
        self.probing = open;
        for probing in due {
            if probing.asked {
                self.suspect(now, &probing.target);
            } else {
                self.ask(now, probing);
            }
        }
    }

    /// Asks other hosts to probe a host that did not answer.
    fn ask(&mut self, now: Instant, mut probing: Probing) {
        let view = self.roster.get(&probing.target);
        if view.is_none_or(|view| matches!(view.state, State::Suspect | State::Dead)) {
            return;
        }
        let helpers = self.roster.iter().filter(|view| {
            let host = &view.info.host;
            view.state == State::Alive && *host != probing.target && *host != self.settings.own.host
        });
        let helpers = helpers.choose_multiple(&mut self.rng, self.settings.helpers);
        let helpers: Vec<HostId> = helpers.iter().map(|v| v.info.host.clone()).collect();
        for helper in helpers {
            let (seq, target) = (probing.seq, probing.target.clone());
            self.send(now, &helper, Body::Ask { seq, target });
        }
        probing.asked = true;
        probing.until = now + self.settings.round_trip * 2;
        self.probing.push(probing);
    }

    /// Probes for another host.
    pub(crate) fn help(&mut self, now: Instant, asker: HostId, asker_seq: u64, target: &HostId) {
        const HELPING_MAX: usize = 64;
        if self.roster.get(target).is_none() || self.helping.len() >= HELPING_MAX {
            return;
        }
        let seq = self.next_seq();
        self.helping.push(Helping {
            seq,
            target: target.clone(),
            asker,
            asker_seq,
            until: now + self.settings.round_trip,
        });
        self.send(now, target, Body::Probe { seq, after: None });
    }

    /// Takes in an `Ack`; gives the time at which its probe was sent.
    pub(crate) fn acked(&mut self, now: Instant, from: &HostId, seq: u64) -> Option<Instant> {
        let helped = self
            .helping
            .iter()
            .position(|h| h.seq == seq && h.target == *from);
        if let Some(at) = helped {
            let helping = self.helping.swap_remove(at);
            let told = Body::Told {
                seq: helping.asker_seq,
                target: helping.target,
            };
            self.send(now, &helping.asker, told);
            return None;
        }
        self.end_probe(from, seq)
    }

    /// Ends a probe that `target` has answered, itself or through a helper.
    pub(crate) fn end_probe(&mut self, target: &HostId, seq: u64) -> Option<Instant> {
        let at = self
            .probing
            .iter()
            .position(|p| p.seq == seq && p.target == *target)?;
        Some(self.probing.swap_remove(at).sent)
    }

    /// When a probe is due or its time is over.
    pub(crate) fn probe_wake(&self) -> Instant {
        let probing = self.probing.iter().map(|probing| probing.until);
        probing.fold(self.next_probe, Instant::min)
    }

    /// Moves on through the states that this host still has to fetch.
    pub(crate) fn caught_up(&mut self, until: Option<HostId>) {
        if self.cursor.is_some() {
            self.cursor = until.map(Cursor::Host);
        }
    }
}
