//! Hints about shards and buckets, spread at random.

use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use wagtail_types::{Epoch, HostId, TeamId};

use super::{Peer, PeerInfo, Quota, Team};
use crate::message::{Message, ShardNote, TeamHint};

const NOTES_MAX: usize = 4;
const HINTS_MAX: usize = 8;
/// A team with less demand, in requests per second, is not worth a hint.
pub(super) const QUIET: f64 = 0.05;
/// How long a team is worth a hint after another host has asked for its tokens.
const ASKED_TIME: Duration = Duration::from_secs(10);

impl Quota {
    pub(super) fn on_peers(&mut self, peers: Vec<PeerInfo>) {
        self.peers = peers
            .into_iter()
            .filter(|p| p.host != self.settings.me)
            .map(|p| {
                let PeerInfo {
                    host,
                    incarnation,
                    zone,
                    distance,
                } = p;
                (
                    host,
                    Peer {
                        incarnation,
                        zone,
                        distance,
                    },
                )
            })
            .collect();
        for team in self.teams.values_mut() {
            team.hints.retain(|host| self.peers.contains_key(host));
            team.owed.retain(|host| self.peers.contains_key(host));
        }
    }

    pub(super) fn on_gossip(
        &mut self,
        now: Instant,
        from: &HostId,
        confirmed: Epoch,
        shards: Vec<ShardNote>,
        hints: Vec<TeamHint>,
    ) {
        for note in shards {
            let newer = self
                .notes
                .get(&note.shard)
                .is_none_or(|old| old.version < note.version);
            if newer && self.map.shards().contains(&note.shard) {
                self.notes.insert(note.shard.clone(), note);
            }
        }
        for TeamHint { team, hint } in hints {
            if let Some(team) = self.teams.get_mut(&team) {
                team.hints.note(from, hint, now);
            }
        }
        self.raise_confirmed(now, confirmed);
    }

    pub(super) fn step_gossip(&mut self, now: Instant) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.settings.gossip_period;
        let held: Vec<_> = self.held().cloned().collect();
        for shard in &held {
            self.note_own(shard);
        }
        let Some(to) = self.peers.keys().choose(&mut self.rng).cloned() else {
            return;
        };
        let active = self
            .teams
            .iter()
            .filter(|(_, t)| t.bucket.demand.at(now) > QUIET || t.is_asked_for(now));
        let active: Vec<TeamId> = active.map(|(id, _)| id.clone()).collect();
        let teams: Vec<TeamId> = active
            .choose_multiple(&mut self.rng, HINTS_MAX)
            .cloned()
            .collect();
        let message = self.gossip_about(now, &teams);
        self.send(to, message);
    }

    pub(super) fn gossip_about(&mut self, now: Instant, teams: &[TeamId]) -> Message {
        let shards = self
            .notes
            .values()
            .choose_multiple(&mut self.rng, NOTES_MAX);
        let shards = shards.into_iter().cloned().collect();
        let mut hints = Vec::new();
        for id in teams {
            if let Some(team) = self.teams.get_mut(id) {
                hints.push(TeamHint {
                    team: id.clone(),
                    hint: team.hint(now),
                });
            }
        }
        Message::Gossip {
            confirmed: self.confirmed,
            shards,
            hints,
        }
    }
}

impl Team {
    fn is_asked_for(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.asked.is_some_and(|at| age(at) < ASKED_TIME)
    }
}
