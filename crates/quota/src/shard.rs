//! Shards: the fixed fractions of every team's rate and burst that hosts lease.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use wagtail_types::{TeamId, Tokens, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One shard of a zone, leased by one host at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{zone}/{index}")]
pub struct ShardId {
    /// The zone whose hosts may lease the shard.
    pub zone: ZoneId,
    /// The shard's number within its zone.
    pub index: u32,
}

/// Every shard of the fleet. It is fixed for the life of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ShardMap {
    shards: Vec<ShardId>,
}

impl ShardMap {
    /// A map of so many shards for each zone.
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

    /// Every shard, in order.
    pub fn shards(&self) -> &[ShardId] {
        &self.shards
    }

    pub(crate) fn of_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a ShardId> {
        self.shards.iter().filter(move |s| s.zone == *zone)
    }

    /// Over how many shards a team is spread: at least one a zone, each with `min_part`, or else one.
    ///
    /// A burst cut into few small parts wastes tokens: one part is full while another is empty.
    pub(crate) fn spread(&self, burst: Tokens, min_part: Tokens) -> usize {
        let parts = burst.micros() / min_part.micros().max(1);
        let parts = usize::try_from(parts).unwrap_or(usize::MAX);
        let zones: BTreeSet<&ZoneId> = self.shards.iter().map(|s| &s.zone).collect();
        if parts < zones.len() {
            1
        } else {
            parts.min(self.shards.len()).max(1)
        }
    }

    /// The shards of a team in the order in which they are taken: one in every zone, then a second.
    pub(crate) fn order(&self, team: &TeamId) -> Vec<ShardId> {
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

/// A rendezvous score of `key` at `place`.
pub(crate) fn score(key: &str, place: &str, salt: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(place.as_bytes(), salt))
}
