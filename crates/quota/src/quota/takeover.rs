//! Takeover of shards of a zone that has lost all its hosts, and their return.

use std::time::Instant;

use wagtail_types::{HostId, ZoneId};

use super::{Phase, Quota};
use crate::shard::{ShardId, score};

impl Quota {
    /// Starts to watch shards whose zone has no live host, if the local host ranks first for them.
    ///
    /// No row lists a host of another zone, so the claim must wait for the outage term.
    pub(super) fn watch_orphaned(&mut self) {
        let orphaned: Vec<ShardId> = self
            .shard_map
            .shards()
            .iter()
            .filter(|s| self.is_orphaned(s))
            .cloned()
            .collect();
        for shard in orphaned {
            self.leases.entry(shard).or_default();
        }
    }

    /// Releases shards of other zones once their zone has a live host.
    pub(super) fn release_reclaimable(&mut self, now: Instant) {
        let held: Vec<ShardId> = self.held().cloned().collect();
        for shard in held {
            let releasing = self.leases[&shard].is_releasing();
            if self.is_reclaimable(&shard) && !releasing && !self.has_lent(&shard) {
                self.release_shard(now, &shard);
            }
        }
    }

    /// Returns whether the local host may read and claim the lease of a shard now.
    pub(super) fn may_lease(&self, shard: &ShardId) -> bool {
        self.phase == Phase::Serving
            && (shard.zone == self.settings.zone || self.is_orphaned(shard))
    }

    /// Returns whether a shard belongs to another zone that has a live host.
    pub(super) fn is_reclaimable(&self, shard: &ShardId) -> bool {
        shard.zone != self.settings.zone && self.has_host(&shard.zone)
    }

    fn is_orphaned(&self, shard: &ShardId) -> bool {
        let held = self
            .known_holders
            .get(shard)
            .is_none_or(|note| self.peers.contains_key(&note.holder));
        let is_foreign = shard.zone != self.settings.zone;
        is_foreign && !held && !self.has_host(&shard.zone) && self.ranks_first(shard)
    }

    fn has_host(&self, zone: &ZoneId) -> bool {
        self.peers.values().any(|peer| peer.zone == *zone)
    }

    fn ranks_first(&self, shard: &ShardId) -> bool {
        let rank = |host: &HostId| score(host.as_str(), shard.zone.as_str(), shard.index.into());
        let own_rank = rank(&self.settings.host);
        self.peers.keys().all(|host| rank(host) < own_rank)
    }
}
