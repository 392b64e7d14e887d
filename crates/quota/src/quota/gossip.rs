//! Gossip about shard holders and buckets.

use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use wagtail_types::{Epoch, HostId, TeamId};

use super::{Peer, PeerInfo, Quota, Team};
use crate::message::{Message, ShardNote, TeamHint};

const MAX_NOTES: usize = 4;
const MAX_HINTS: usize = 8;
/// Demand, in requests per second, below which a team counts as idle and gets no hint.
pub(super) const IDLE_DEMAND: f64 = 0.05;
/// How long hints about a team are sent after a peer has requested a loan of it.
const RECENT_REQUEST: Duration = Duration::from_secs(10);

impl Quota {
    pub(super) fn on_peers(&mut self, peers: Vec<PeerInfo>) {
        self.peers = peers
            .into_iter()
            .filter(|p| p.host != self.settings.host)
            .map(|p| {
                let PeerInfo {
                    host,
                    incarnation,
                    zone,
                    latency,
                } = p;
                (
                    host,
                    Peer {
                        incarnation,
                        zone,
                        latency,
                    },
                )
            })
            .collect();
        for team in self.teams.values_mut() {
            team.hints.retain(|host| self.peers.contains_key(host));
            team.unserved.retain(|host| self.peers.contains_key(host));
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
                .known_holders
                .get(&note.shard)
                .is_none_or(|old| old.version < note.version);
            if newer && self.shard_map.shards().contains(&note.shard) {
                self.known_holders.insert(note.shard.clone(), note);
            }
        }
        for TeamHint { team, hint } in hints {
            if let Some(team) = self.teams.get_mut(&team) {
                team.hints.record(from, hint, now);
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
            self.record_own_lease(shard);
        }
        let Some(to) = self.peers.keys().choose(&mut self.rng).cloned() else {
            return;
        };
        let active = self.teams.iter().filter(|(_, t)| {
            t.bucket.demand.estimate(now) > IDLE_DEMAND || t.was_requested_recently(now)
        });
        let active: Vec<TeamId> = active.map(|(id, _)| id.clone()).collect();
        let teams: Vec<TeamId> = active
            .choose_multiple(&mut self.rng, MAX_HINTS)
            .cloned()
            .collect();
        let message = self.gossip_about(now, &teams);
        self.send(to, message);
    }

    pub(super) fn gossip_about(&mut self, now: Instant, teams: &[TeamId]) -> Message {
        let shards = self
            .known_holders
            .values()
            .choose_multiple(&mut self.rng, MAX_NOTES);
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
    fn was_requested_recently(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.last_requested
            .is_some_and(|at| age(at) < RECENT_REQUEST)
    }
}
