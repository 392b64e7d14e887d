//! Adopting limits, and the parts of them that held shards carry.

use std::collections::BTreeMap;
use std::time::Instant;

use wagtail_types::{Epoch, Rate, TeamId, Tokens};

use super::spread::Spread;
use super::{Quota, Team, TeamLimit};
use crate::bucket::Bucket;
use crate::hints::Hints;
use crate::shard::{ShardId, ShardMap};

impl Quota {
    pub(super) fn on_config(
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
        if self.map != map {
            self.set_map(map);
        }
        if self.first == Epoch(0) {
            self.first = epoch;
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

    fn set_map(&mut self, map: ShardMap) {
        let zone = &self.settings.zone;
        for shard in map.of_zone(zone) {
            self.leases.entry(shard.clone()).or_default();
        }
        for team in self.teams.values_mut() {
            team.order = map.order(&team.limit.team);
        }
        self.map = map;
    }

    fn set_limit(&mut self, now: Instant, id: &TeamId, limit: TeamLimit) {
        let count = self.map.spread(limit.burst, self.settings.min_part);
        let spread = Spread {
            since: limit.since,
            count,
        };
        let hasty = self.is_hasty();
        match self.teams.get_mut(id) {
            Some(team) if team.limit == limit => return,
            Some(team) => {
                team.bucket.advance(now);
                team.limit = limit;
                team.adopt(spread, hasty);
            }
            None => {
                let team = self.new_team(now, limit, spread);
                self.teams.insert(id.clone(), team);
            }
        }
        self.resize(now, id);
    }

    fn new_team(&self, now: Instant, limit: TeamLimit, spread: Spread) -> Team {
        Team {
            order: self.map.order(&limit.team),
            spreads: vec![spread],
            bucket: Bucket::new(now, self.drift),
            waiting: std::collections::VecDeque::new(),
            hints: Hints::default(),
            owed: std::collections::BTreeSet::new(),
            asked: None,
            asking: 0,
            next_ask: now,
            next_rate_ask: now,
            limit,
        }
    }

    /// Brings a team's parts on held shards in line with its limit and spread.
    pub(super) fn resize(&mut self, now: Instant, id: &TeamId) {
        let held: Vec<ShardId> = self.held().cloned().collect();
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.bucket.advance(now);
        for shard in held {
            team.resize_part(&shard);
        }
    }
}

impl Team {
    pub(super) fn resize_part(&mut self, shard: &ShardId) {
        match self.parts_of(shard) {
            Some(parts) => {
                let rate = self.limit.rate.part(1, parts);
                let cap = self.limit.burst.part(1, parts);
                self.bucket.set_shard(shard, rate, cap);
            }
            None => self.bucket.set_shard(shard, Rate::ZERO, Tokens::ZERO),
        }
    }
}
