//! Which shards carry a team, and how a change of that comes into use.
//!
//! Hosts adopt a configuration at different times. Each applies, for every shard, the least part
//! that any spread since the confirmed epoch gives it. Any two hosts' ranges of epochs overlap, so
//! one epoch is common to all ranges, and the parts in use never sum to more than the whole.

use wagtail_types::Epoch;

use super::{Quota, Team};
use crate::lease::Lease;
use crate::message::{Row, TeamSpread};
use crate::settings::Mutant;
use crate::shard::ShardId;

/// From an epoch on, a team is carried by the first `count` shards of its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Spread {
    pub(super) since: Epoch,
    pub(super) count: usize,
}

impl Team {
    /// Every shard that carries the team under any spread that may be in use.
    pub(super) fn shards(&self) -> &[ShardId] {
        let most = self.spreads.iter().map(|s| s.count).max().unwrap_or(0);
        &self.order[..most.min(self.order.len())]
    }

    /// One over the part of the team's limit that a shard carries; `None` where it carries nothing.
    pub(super) fn parts_of(&self, shard: &ShardId) -> Option<u64> {
        let place = self.order.iter().position(|s| s == shard)?;
        if self.spreads.iter().any(|s| place >= s.count) {
            return None;
        }
        let most = self.spreads.iter().map(|s| s.count).max()?;
        u64::try_from(most).ok()
    }

    /// Adopts a spread from a later epoch on.
    pub(super) fn adopt(&mut self, next: Spread, hasty: bool) {
        if hasty {
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

    /// Takes over an earlier spread that another host may still use.
    pub(super) fn recall(&mut self, past: Spread) {
        let at = self.spreads.partition_point(|s| s.since < past.since);
        if self.spreads.get(at).is_none_or(|s| s.since != past.since) {
            self.spreads.insert(at, past);
        }
    }

    /// Drops spreads that no host uses any more; true where any was dropped.
    pub(super) fn retire(&mut self, confirmed: Epoch) -> bool {
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
    /// Raises the epoch that every shard has reached, and retires spreads below it.
    pub(super) fn confirm(&mut self, now: std::time::Instant) {
        let reached = self.map.shards().iter().map(|shard| {
            let own = self
                .leases
                .get(shard)
                .and_then(Lease::held_row)
                .map(|(_, epoch)| epoch);
            own.or_else(|| self.notes.get(shard).map(|note| note.epoch))
        });
        let least = reached.min().flatten().unwrap_or_default();
        self.raise_confirmed(now, least);
    }

    /// Takes over a confirmed epoch from a row or another host.
    pub(super) fn raise_confirmed(&mut self, now: std::time::Instant, confirmed: Epoch) {
        if confirmed <= self.confirmed {
            return;
        }
        self.confirmed = confirmed;
        let mut changed = Vec::new();
        for (id, team) in &mut self.teams {
            if team.retire(confirmed) {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.resize(now, &id);
        }
    }

    /// The spreads that a later holder of a shard could not know of.
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

    /// Takes over what the last holder of a shard knew of earlier spreads.
    ///
    /// A host that started after the row's epoch does not know what a limit changed since then
    /// was before, so it assumes that the team was elsewhere.
    pub(super) fn recall(&mut self, row: &Row) {
        if self.is_hasty() {
            return;
        }
        let newcomer = self.first > row.epoch;
        let confirmed = self.confirmed;
        for (id, team) in &mut self.teams {
            for past in row.spreads.iter().filter(|s| s.team == *id) {
                let count = usize::try_from(past.count).unwrap_or(usize::MAX);
                team.recall(Spread {
                    since: past.since,
                    count,
                });
            }
            let since = team.limit.since;
            if newcomer && since > row.epoch && since > confirmed {
                team.recall(Spread {
                    since: row.epoch,
                    count: 0,
                });
            }
            team.retire(confirmed);
        }
    }

    pub(super) fn is_hasty(&self) -> bool {
        self.settings.has(Mutant::HastySpread)
    }
}
