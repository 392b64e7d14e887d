//! Spread of each team's limit over shards, and the transition between spreads.
//!
//! Hosts adopt a configuration at different times. Each applies, for every shard, the smallest
//! allocation that any spread since the confirmed epoch gives it. Any two hosts' ranges of epochs
//! overlap, so one epoch is common to all ranges, and the allocations in use never sum to more than
//! the limit.

use wagtail_types::Epoch;

use super::{Quota, Team};
use crate::lease::Lease;
use crate::message::{Row, TeamSpread};
use crate::settings::Mutant;
use crate::shard::ShardId;

/// Spreads a team, from an epoch on, over the first `count` shards of its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Spread {
    pub(super) since: Epoch,
    pub(super) count: usize,
}

impl Team {
    /// Returns the shards that carry the team under any spread that may be in use.
    pub(super) fn shards(&self) -> &[ShardId] {
        let max_count = self.spreads.iter().map(|s| s.count).max().unwrap_or(0);
        &self.shard_order[..max_count.min(self.shard_order.len())]
    }

    /// Returns the number by which the team's limit is divided to get a shard's allocation.
    ///
    /// Returns `None` if the shard carries nothing.
    pub(super) fn limit_divisor(&self, shard: &ShardId) -> Option<u64> {
        let position = self.shard_order.iter().position(|s| s == shard)?;
        if self.spreads.iter().any(|s| position >= s.count) {
            return None;
        }
        let max_count = self.spreads.iter().map(|s| s.count).max()?;
        u64::try_from(max_count).ok()
    }

    /// Adds the spread of a newly adopted limit.
    pub(super) fn adopt_spread(&mut self, next: Spread, unconfirmed: bool) {
        if unconfirmed {
            self.spreads.clear();
        }
        if self
            .spreads
            .last()
            .is_none_or(|last| last.count != next.count)
        {
            self.spreads.push(next);
        }
    }

    /// Adds an earlier spread that a peer may still use.
    pub(super) fn add_past_spread(&mut self, past: Spread) {
        let index = self.spreads.partition_point(|s| s.since < past.since);
        if self
            .spreads
            .get(index)
            .is_none_or(|s| s.since != past.since)
        {
            self.spreads.insert(index, past);
        }
    }

    /// Drops spreads that no host uses any more; returns whether any was dropped.
    pub(super) fn drop_unused_spreads(&mut self, confirmed: Epoch) -> bool {
        let current = self
            .spreads
            .iter()
            .rposition(|s| s.since <= confirmed)
            .unwrap_or(0);
        self.spreads.drain(..current);
        current > 0
    }
}

impl Quota {
    /// Raises the confirmed epoch to the lowest epoch among all shards.
    pub(super) fn update_confirmed(&mut self, now: std::time::Instant) {
        let reached = self.shard_map.shards().iter().map(|shard| {
            let own = self
                .leases
                .get(shard)
                .and_then(Lease::held_row)
                .map(|(_, epoch)| epoch);
            own.or_else(|| self.known_holders.get(shard).map(|note| note.epoch))
        });
        let least = reached.min().flatten().unwrap_or_default();
        self.raise_confirmed(now, least);
    }

    /// Raises the confirmed epoch, and drops the spreads that are no longer in use.
    pub(super) fn raise_confirmed(&mut self, now: std::time::Instant, confirmed: Epoch) {
        if confirmed <= self.confirmed {
            return;
        }
        self.confirmed = confirmed;
        let mut changed = Vec::new();
        for (id, team) in &mut self.teams {
            if team.drop_unused_spreads(confirmed) {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.update_allocations(now, &id);
        }
    }

    /// Returns the spreads that a later holder of a shard may not know.
    pub(super) fn past_spreads(&self) -> Vec<TeamSpread> {
        let mut past = Vec::new();
        for (id, team) in self.teams.iter().filter(|(_, t)| t.spreads.len() > 1) {
            past.extend(team.spreads.iter().map(|s| TeamSpread {
                team: id.clone(),
                since: s.since,
                count: u32::try_from(s.count).unwrap_or(u32::MAX),
            }));
        }
        past
    }

    /// Restores the earlier spreads that the last holder of a shard recorded in its row.
    ///
    /// A host that started after the row's epoch does not know the previous value of a limit that
    /// changed since, so it assumes that other shards carried the team before.
    pub(super) fn restore_spreads(&mut self, row: &Row) {
        if self.skips_confirmation() {
            return;
        }
        let started_later = self.first_epoch > row.epoch;
        let confirmed = self.confirmed;
        for (id, team) in &mut self.teams {
            for past in row.spreads.iter().filter(|s| s.team == *id) {
                let count = usize::try_from(past.count).unwrap_or(usize::MAX);
                team.add_past_spread(Spread {
                    since: past.since,
                    count,
                });
            }
            let since = team.limit.since;
            if started_later && since > row.epoch && since > confirmed {
                team.add_past_spread(Spread {
                    since: row.epoch,
                    count: 0,
                });
            }
            team.drop_unused_spreads(confirmed);
        }
    }

    pub(super) fn skips_confirmation(&self) -> bool {
        self.settings.has_mutant(Mutant::UnconfirmedSpread)
    }
}
