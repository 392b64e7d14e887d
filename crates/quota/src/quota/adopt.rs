//! Taking over the shards of a zone that has lost all its hosts, and giving them back.

use std::time::Instant;

use wagtail_types::{HostId, ZoneId};

use super::{Phase, Quota};
use crate::shard::{ShardId, score};

impl Quota {
    /// Starts to watch shards whose zone has no live host, where this host is first in order.
    ///
    /// No row lists a host of another zone, so the claim has to wait for the outage term.
    pub(super) fn watch_lost(&mut self) {
        let lost: Vec<ShardId> = self
            .map
            .shards()
            .iter()
            .filter(|s| self.is_lost(s))
            .cloned()
            .collect();
        for shard in lost {
            self.leases.entry(shard).or_default();
        }
    }

    /// Gives shards of other zones back once a host of theirs is there.
    pub(super) fn give_up_found(&mut self, now: Instant) {
        let held: Vec<ShardId> = self.held().cloned().collect();
        for shard in held {
            let leaving = self.leases[&shard].is_leaving();
            if self.is_found(&shard) && !leaving && !self.has_lent(&shard) {
                self.release_shard(now, &shard);
            }
        }
    }

    /// Whether this host has anything to do with a shard's lease now.
    pub(super) fn is_ours(&self, shard: &ShardId) -> bool {
        self.phase == Phase::Serving && (shard.zone == self.settings.zone || self.is_lost(shard))
    }

    /// Whether a shard of another zone could be leased there.
    pub(super) fn is_found(&self, shard: &ShardId) -> bool {
        shard.zone != self.settings.zone && self.has_host(&shard.zone)
    }

    fn is_lost(&self, shard: &ShardId) -> bool {
        let held = self
            .notes
            .get(shard)
            .is_none_or(|note| self.peers.contains_key(&note.holder));
        let foreign = shard.zone != self.settings.zone;
        foreign && !held && !self.has_host(&shard.zone) && self.is_first(shard)
    }

    fn has_host(&self, zone: &ZoneId) -> bool {
        self.peers.values().any(|peer| peer.zone == *zone)
    }

    fn is_first(&self, shard: &ShardId) -> bool {
        let rank = |host: &HostId| score(host.as_str(), shard.zone.as_str(), shard.index.into());
        let mine = rank(&self.settings.me);
        self.peers.keys().all(|host| rank(host) < mine)
    }
}
