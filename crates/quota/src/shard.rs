//! Shards: the units of every team's rate and burst that hosts lease.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use wagtail_types::{TeamId, Tokens, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies a shard of a zone, which one host leases at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{zone}/{index}")]
pub struct ShardId {
    /// Zone whose hosts normally lease the shard.
    pub zone: ZoneId,
    /// Number of the shard within its zone.
    pub index: u32,
}

/// Holds all shards of a fleet; never changes while the fleet exists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ShardMap {
    shards: Vec<ShardId>,
}

impl ShardMap {
    /// Creates a map with the given number of shards in each zone.
    pub fn new(zones: Vec<(ZoneId, u32)>) -> Self {
        let mut shards = Vec::new();
        for (zone, count) in zones {
            shards.extend((0..count).map(|index| ShardId {
                zone: zone.clone(),
                index,
            }));
        }
        shards.sort();
        shards.dedup();
        Self { shards }
    }

    /// Returns all shards, in order.
    pub fn shards(&self) -> &[ShardId] {
        &self.shards
    }

    pub(crate) fn of_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a ShardId> {
        self.shards.iter().filter(move |s| s.zone == *zone)
    }

    /// Returns over how many shards a team is spread: at least one per zone, or a single one.
    ///
    /// If there are several, each gets at least `min_allocation`, because a burst split into few
    /// small parts wastes tokens: one part is full while another is empty.
    pub(crate) fn shard_count(&self, burst: Tokens, min_allocation: Tokens) -> usize {
        let count = burst.micros() / min_allocation.micros().max(1);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let zones: BTreeSet<&ZoneId> = self.shards.iter().map(|s| &s.zone).collect();
        if count < zones.len() {
            1
        } else {
            count.min(self.shards.len()).max(1)
        }
    }

    /// Returns the shards in the order in which a team uses them: one in every zone, then a second.
    pub(crate) fn team_order(&self, team: &TeamId) -> Vec<ShardId> {
        let mut zones: BTreeMap<&ZoneId, Vec<(u64, &ShardId)>> = BTreeMap::new();
        for shard in &self.shards {
            let rank = score(
                team.as_str(),
                shard.zone.as_str(),
                1 + u64::from(shard.index),
            );
            zones.entry(&shard.zone).or_default().push((rank, shard));
        }
        let mut order = Vec::new();
        for (zone, mut list) in zones {
            list.sort();
            let rank = score(team.as_str(), zone.as_str(), 0);
            let rounds = list.into_iter().enumerate();
            order.extend(rounds.map(|(round, (_, shard))| (round, rank, shard)));
        }
        order.sort();
        order
            .into_iter()
            .map(|(_, _, shard)| shard.clone())
            .collect()
    }
}

/// Returns the rendezvous-hashing score of `key` at `place`.
pub(crate) fn score(key: &str, place: &str, salt: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(place.as_bytes(), salt))
}
