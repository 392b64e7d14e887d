//! Probes of peers, sent directly and indirectly through other hosts.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use wagtail_types::HostId;

use crate::message::Cursor;
use crate::{Body, Member, State};

/// Holds a probe sent by the local host that has not been acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingProbe {
    pub(crate) seq: u64,
    pub(crate) target: HostId,
    pub(crate) sent: Instant,
    deadline: Instant,
    /// Set once the direct probe has timed out and peers were asked to probe the target.
    indirect_requested: bool,
}

/// Holds a probe that the local host has sent on behalf of a peer.
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    seq: u64,
    target: HostId,
    requester: HostId,
    requester_seq: u64,
    deadline: Instant,
}

impl Member {
    /// Sends a probe if one is due and handles those whose deadline has passed.
    pub(crate) fn run_probes(&mut self, now: Instant) {
        self.relayed_probes.retain(|relayed| relayed.deadline > now);
        self.expire_probes(now);
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.jittered_interval();
        if let Some(target) = self.pick_target() {
            self.send_probe(now, &target);
        }
    }

    /// Returns the probe interval, shortened by up to 10 % so that hosts do not probe in lockstep.
    fn jittered_interval(&mut self) -> Duration {
        const JITTER_PERCENT: u32 = 10;
        let interval = self.settings.probe_interval(self.roster.len());
        let percent = self.rng.random_range(100 - JITTER_PERCENT..=100);
        interval * percent / 100
    }

    /// Picks the target of the next probe.
    ///
    /// Every second probe goes to the successor in the roster, so that each host is monitored by
    /// another. The rest go to random hosts of the local region and of other zones, whatever state
    /// those hosts are believed to be in.
    fn pick_target(&mut self) -> Option<HostId> {
        let local = &self.settings.local;
        self.probe_count = self.probe_count.wrapping_add(1);
        let host = match self.probe_count % 4 {
            1 => {
                let region = self.roster.in_region(&local.region);
                let others = region.filter(|view| view.info.host != local.host);
                others.choose(&mut self.rng).map(|view| &view.info.host)
            }
            3 => {
                let zones = self.roster.zones();
                let others: Vec<_> = zones.iter().filter(|zone| **zone != local.zone).collect();
                let zone = others.choose(&mut self.rng);
                zone.and_then(|zone| self.roster.in_zone(zone).choose(&mut self.rng))
                    .map(|view| &view.info.host)
            }
            _ => None,
        };
        let host = host.or_else(|| {
            let next = self.roster.successor(&local.host)?;
            Some(&next.info.host)
        });
        host.cloned()
    }

    fn send_probe(&mut self, now: Instant, target: &HostId) {
        let seq = self.next_seq();
        self.pending_probes.push(PendingProbe {
            seq,
            target: target.clone(),
            sent: now,
            deadline: now + self.settings.round_trip,
            indirect_requested: false,
        });
        let after = self.cursor.clone();
        self.send(now, target, Body::Probe { seq, after });
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn expire_probes(&mut self, now: Instant) {
        let (expired, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_probes)
            .into_iter()
            .partition(|probe| probe.deadline <= now);
        self.pending_probes = pending;
        for probe in expired {
            if probe.indirect_requested {
                self.suspect(now, &probe.target);
            } else {
                self.request_indirect_probes(now, probe);
            }
        }
    }

    /// Asks other hosts to probe a target that did not answer the direct probe.
    fn request_indirect_probes(&mut self, now: Instant, mut probe: PendingProbe) {
        let view = self.roster.get(&probe.target);
        if view.is_none_or(|view| matches!(view.state, State::Suspect | State::Dead)) {
            return;
        }
        let relays = self.roster.iter().filter(|view| {
            let host = &view.info.host;
            view.state == State::Alive && *host != probe.target && *host != self.settings.local.host
        });
        let relays = relays.choose_multiple(&mut self.rng, self.settings.indirect_probes);
        let relays: Vec<HostId> = relays.iter().map(|v| v.info.host.clone()).collect();
        for relay in relays {
            let (seq, target) = (probe.seq, probe.target.clone());
            self.send(now, &relay, Body::IndirectProbe { seq, target });
        }
        probe.indirect_requested = true;
        probe.deadline = now + self.settings.round_trip * 2;
        self.pending_probes.push(probe);
    }

    /// Probes `target` on behalf of `requester`.
    pub(crate) fn probe_for(
        &mut self,
        now: Instant,
        requester: HostId,
        requester_seq: u64,
        target: &HostId,
    ) {
        const MAX_RELAYED_PROBES: usize = 64;
        if self.roster.get(target).is_none() || self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let seq = self.next_seq();
        self.relayed_probes.push(RelayedProbe {
            seq,
            target: target.clone(),
            requester,
            requester_seq,
            deadline: now + self.settings.round_trip,
        });
        self.send(now, target, Body::Probe { seq, after: None });
    }

    /// Handles an `Ack`.
    ///
    /// Returns when the acknowledged probe was sent, or `None` if the local host did not send it
    /// for itself.
    pub(crate) fn receive_ack(&mut self, now: Instant, from: &HostId, seq: u64) -> Option<Instant> {
        let relayed_index = self
            .relayed_probes
            .iter()
            .position(|p| p.seq == seq && p.target == *from);
        if let Some(at) = relayed_index {
            let relayed = self.relayed_probes.swap_remove(at);
            let ack = Body::IndirectAck {
                seq: relayed.requester_seq,
                target: relayed.target,
            };
            self.send(now, &relayed.requester, ack);
            return None;
        }
        self.complete_probe(from, seq)
    }

    /// Removes a pending probe that `target` has acknowledged, directly or through a relay.
    ///
    /// Returns when the probe was sent.
    pub(crate) fn complete_probe(&mut self, target: &HostId, seq: u64) -> Option<Instant> {
        let at = self
            .pending_probes
            .iter()
            .position(|p| p.seq == seq && p.target == *target)?;
        Some(self.pending_probes.swap_remove(at).sent)
    }

    /// Returns when the next probe is due or a pending one reaches its deadline.
    pub(crate) fn probe_wake(&self) -> Instant {
        let deadlines = self.pending_probes.iter().map(|probe| probe.deadline);
        deadlines.fold(self.next_probe, Instant::min)
    }

    /// Moves the catch-up cursor past the states received; `None` ends the catch-up.
    pub(crate) fn advance_cursor(&mut self, last_listed: Option<HostId>) {
        if self.cursor.is_some() {
            self.cursor = last_listed.map(Cursor::Host);
        }
    }
}
