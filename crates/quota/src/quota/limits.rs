//! Adoption of limits, and their allocations on held shards.

use std::collections::BTreeMap;
use std::time::Instant;

use wagtail_types::{Epoch, Rate, TeamId, Tokens};

use super::spread::Spread;
use super::{Quota, Team, TeamLimit};
use crate::bucket::Bucket;
use crate::hints::Hints;
use crate::shard::{ShardId, ShardMap};

impl Quota {
    pub(super) fn adopt_config(
        &mut self,
        now: Instant,
        epoch: Epoch,
        teams: Vec<TeamLimit>,
        map: ShardMap,
    ) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        if self.shard_map != map {
            self.set_shard_map(map);
        }
        if self.first_epoch == Epoch(0) {
            self.first_epoch = epoch;
        }
        let mut limits: BTreeMap<TeamId, TeamLimit> = teams
            .into_iter()
            .map(|limit| (limit.team.clone(), limit))
            .collect();
        for id in self.teams.keys() {
            limits.entry(id.clone()).or_insert_with(|| TeamLimit {
                team: id.clone(),
                rate: Rate::ZERO,
                burst: Tokens::ZERO,
                since: epoch,
            });
        }
        for (id, limit) in limits {
            self.set_limit(now, &id, limit);
        }
    }

    fn set_shard_map(&mut self, map: ShardMap) {
        let zone = &self.settings.zone;
        for shard in map.of_zone(zone) {
            self.leases.entry(shard.clone()).or_default();
        }
        for team in self.teams.values_mut() {
            team.shard_order = map.team_order(&team.limit.team);
        }
        self.shard_map = map;
    }

    fn set_limit(&mut self, now: Instant, id: &TeamId, limit: TeamLimit) {
        let count = self
            .shard_map
            .shard_count(limit.burst, self.settings.min_allocation);
        let spread = Spread {
            since: limit.since,
            count,
        };
        let unconfirmed = self.skips_confirmation();
        match self.teams.get_mut(id) {
            Some(team) if team.limit == limit => return,
            Some(team) => {
                team.bucket.advance(now);
                team.limit = limit;
                team.adopt_spread(spread, unconfirmed);
            }
            None => {
                let team = self.new_team(now, limit, spread);
                self.teams.insert(id.clone(), team);
            }
        }
        self.update_allocations(now, id);
    }

    fn new_team(&self, now: Instant, limit: TeamLimit, spread: Spread) -> Team {
        Team {
            shard_order: self.shard_map.team_order(&limit.team),
            spreads: vec![spread],
            bucket: Bucket::new(now, self.drift),
            waiting: std::collections::VecDeque::new(),
            hints: Hints::default(),
            unserved: std::collections::BTreeSet::new(),
            last_requested: None,
            pending_loans: 0,
            next_prefetch: now,
            rate_due: now,
            limit,
        }
    }

    /// Updates a team's allocations on held shards to its limit and spread.
    pub(super) fn update_allocations(&mut self, now: Instant, id: &TeamId) {
        let held: Vec<ShardId> = self.held().cloned().collect();
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.bucket.advance(now);
        for shard in held {
            team.update_allocation(&shard);
        }
    }
}

impl Team {
    pub(super) fn update_allocation(&mut self, shard: &ShardId) {
        match self.limit_divisor(shard) {
            Some(divisor) => {
                let rate = self.limit.rate.part(1, divisor);
                let cap = self.limit.burst.part(1, divisor);
                self.bucket.set_shard_allocation(shard, rate, cap);
            }
            None => self
                .bucket
                .set_shard_allocation(shard, Rate::ZERO, Tokens::ZERO),
        }
    }
}
