//! Shards that the local host holds, and the allocations that they back in every team's bucket.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, TeamId, Tokens, ZoneId};

use super::{Effect, Phase, Quota, ReadOutcome, WriteOutcome};
use crate::bucket::Source;
use crate::lease::{Action, Context, InitialTokens, Lease};
use crate::message::{Member, Message, ShardNote, TeamTokens};
use crate::settings::Mutant;
use crate::shard::{ShardId, score};

/// Extra delay before the claim of each further host in the order of a shard.
const CLAIM_STAGGER: Duration = Duration::from_millis(300);

impl Quota {
    /// Starts to release every shard; [`Effect::Released`] follows.
    pub fn release(&mut self, now: Instant) {
        self.expire(now);
        if self.phase == Phase::Serving {
            self.phase = Phase::Leaving;
            self.next_step = now;
        }
    }

    /// Ends expired leases, before any of their tokens can be spent.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.settings.has_mutant(Mutant::SpendExpired) {
            return;
        }
        loop {
            let ends = self
                .leases
                .iter()
                .filter_map(|(s, l)| Some((l.until()?, s)));
            let Some((end, shard)) = ends.min().filter(|(end, _)| *end <= now) else {
                return;
            };
            let shard = shard.clone();
            self.with_lease(end, &shard, |lease, _, _, out| lease.expire(end, out));
        }
    }

    pub(super) fn step_leases(&mut self, now: Instant) {
        if self.epoch == Epoch(0) {
            return;
        }
        self.watch_orphaned();
        let shards: Vec<ShardId> = self.leases.keys().cloned().collect();
        for shard in shards {
            self.step_lease(now, &shard);
        }
        self.release_reclaimable(now);
        self.update_confirmed(now);
    }

    fn step_lease(&mut self, now: Instant, shard: &ShardId) {
        let Some(lease) = self.leases.get(shard).filter(|_| self.epoch > Epoch(0)) else {
            return;
        };
        let active = lease.until().is_some() || lease.is_releasing();
        if active || self.may_lease(shard) {
            self.with_lease(now, shard, |lease, cx, rng, out| {
                lease.step(now, cx, rng, out);
            });
        }
    }

    pub(super) fn on_row(&mut self, now: Instant, shard: &ShardId, outcome: ReadOutcome) {
        self.with_lease(now, shard, |lease, cx, _, out| {
            lease.on_row(now, cx, outcome, out);
        });
        self.step_lease(now, shard);
    }

    pub(super) fn on_write(
        &mut self,
        now: Instant,
        shard: &ShardId,
        attempt: AttemptId,
        outcome: WriteOutcome,
    ) {
        self.with_lease(now, shard, |lease, cx, _, out| {
            lease.on_write(now, cx, attempt, outcome, out);
        });
        self.step_lease(now, shard);
    }

    pub(super) fn on_promise_request(
        &mut self,
        now: Instant,
        from: &HostId,
        shard: ShardId,
        version: u64,
        id: u64,
    ) {
        let mut promised = false;
        self.with_lease(now, &shard, |lease, cx, _, _| {
            promised = lease.promise(now, cx, version);
        });
        if promised {
            let incarnation = self.settings.incarnation;
            self.send(
                from.clone(),
                Message::Promise {
                    shard,
                    id,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn on_promise(
        &mut self,
        now: Instant,
        from: &HostId,
        shard: &ShardId,
        id: u64,
        incarnation: Incarnation,
    ) {
        let from = Member {
            host: from.clone(),
            incarnation,
        };
        self.with_lease(now, shard, |lease, cx, _, _| {
            lease.on_promise(now, cx, id, &from);
        });
    }

    /// Releases shards that back no loan, and reports once none is left.
    pub(super) fn step_release(&mut self, now: Instant) {
        if self.phase != Phase::Leaving {
            return;
        }
        let held: Vec<ShardId> = self.held().cloned().collect();
        for shard in held {
            if !self.leases[&shard].is_releasing() && !self.has_lent(&shard) {
                self.release_shard(now, &shard);
            }
        }
        let all_released = self
            .leases
            .values()
            .all(|l| l.until().is_none() && !l.is_releasing());
        if all_released {
            self.phase = Phase::Released;
            self.return_all_loans();
            self.effects.push_back(Effect::Released);
        }
    }

    pub(super) fn has_lent(&self, shard: &ShardId) -> bool {
        let from_shard = |source: &Source| matches!(source, Source::Shard(s) if s == shard);
        self.teams
            .values()
            .any(|team| team.bucket.lent().iter().any(|l| from_shard(&l.source)))
    }

    /// Returns whether any team has lent more from a shard than is allocated to it.
    fn is_overcommitted(&self, shard: &ShardId) -> bool {
        self.teams
            .values()
            .any(|team| team.bucket.is_overcommitted(shard))
    }

    pub(super) fn release_shard(&mut self, now: Instant, shard: &ShardId) {
        let mut left = Vec::new();
        for (id, team) in &mut self.teams {
            team.bucket.advance(now);
            let tokens = team.bucket.remove_shard(shard);
            if tokens > Tokens::ZERO {
                left.push(TeamTokens {
                    team: id.clone(),
                    tokens,
                });
            }
        }
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.release(left);
        }
    }

    /// Calls a lease with its context and applies the resulting actions.
    fn with_lease(
        &mut self,
        now: Instant,
        shard: &ShardId,
        call: impl FnOnce(&mut Lease, &Context<'_>, &mut rand::rngs::SmallRng, &mut Vec<Action>),
    ) {
        let members = self.members(&shard.zone);
        let rank = self.rank(shard, &members);
        let claim_delay = self.claim_delay(shard, rank);
        let spreads = self.past_spreads();
        let reached = if self.is_overcommitted(shard) {
            Epoch(0)
        } else {
            self.epoch
        };
        let Some(lease) = self.leases.get_mut(shard) else {
            return;
        };
        let cx = Context {
            settings: &self.settings,
            drift: self.drift,
            epoch: self.epoch,
            confirmed: self.confirmed,
            reached,
            spreads: &spreads,
            members: &members,
            rank,
            claim_delay,
        };
        let mut out = Vec::new();
        call(lease, &cx, &mut self.rng, &mut out);
        for action in out {
            self.apply_action(now, shard, action);
        }
    }

    fn members(&self, zone: &ZoneId) -> Vec<Member> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.zone == *zone);
        peers
            .map(|(host, peer)| Member {
                host: host.clone(),
                incarnation: peer.incarnation,
            })
            .collect()
    }

    fn rank(&self, shard: &ShardId, members: &[Member]) -> usize {
        let rank = |host: &HostId| score(host.as_str(), shard.zone.as_str(), shard.index.into());
        let own_rank = rank(&self.settings.host);
        members.iter().filter(|m| rank(&m.host) > own_rank).count()
    }

    fn claim_delay(&self, shard: &ShardId, rank: usize) -> Duration {
        let ahead = rank + self.held().filter(|held| *held != shard).count();
        let is_foreign = shard.zone != self.settings.zone;
        let takeover_delay = if is_foreign {
            self.settings.lease_term
        } else {
            Duration::ZERO
        };
        takeover_delay + CLAIM_STAGGER * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    fn apply_action(&mut self, now: Instant, shard: &ShardId, action: Action) {
        let shard = shard.clone();
        match action {
            Action::Read => self.effects.push_back(Effect::Read { shard }),
            Action::Write { expected, row } => {
                self.effects.push_back(Effect::Write {
                    shard,
                    expected,
                    row,
                });
            }
            Action::RequestPromise { to, version, id } => {
                self.send(to, Message::PromiseRequest { shard, version, id });
            }
            Action::TakenOver(row) => {
                self.raise_confirmed(now, row.confirmed);
                self.restore_spreads(&row);
                let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
                for id in ids {
                    self.update_allocations(now, &id);
                }
            }
            Action::Gained(initial) => self.gain_shard(now, &shard, &initial),
            Action::Lost => self.lose_shard(now, &shard),
            Action::Released => {
                for member in self.members(&shard.zone) {
                    self.send(
                        member.host,
                        Message::Released {
                            shard: shard.clone(),
                        },
                    );
                }
            }
        }
    }

    fn gain_shard(&mut self, now: Instant, shard: &ShardId, initial: &InitialTokens) {
        for team in self.teams.values_mut() {
            team.bucket.advance(now);
            team.update_allocation(shard);
            let (_, capacity) = team.bucket.unlent(&Source::Shard(shard.clone()));
            team.bucket
                .credit(initial.tokens(&team.limit.team, capacity));
        }
        self.record_own_lease(shard);
    }

    fn lose_shard(&mut self, now: Instant, shard: &ShardId) {
        self.counters.lost_leases += 1;
        for team in self.teams.values_mut() {
            team.bucket.advance(now);
            team.bucket.remove_shard(shard);
        }
    }

    pub(super) fn record_own_lease(&mut self, shard: &ShardId) {
        let row = self.leases.get(shard).and_then(Lease::held_row);
        if let Some((version, epoch)) = row {
            let holder = self.settings.host.clone();
            let note = ShardNote {
                shard: shard.clone(),
                holder,
                version,
                epoch,
            };
            self.known_holders.insert(shard.clone(), note);
        }
    }
}

impl InitialTokens {
    fn tokens(&self, team: &TeamId, capacity: Tokens) -> Tokens {
        match self {
            Self::Full => capacity,
            Self::Empty => Tokens::ZERO,
            Self::Inherited(left) => {
                let left = left.iter().find(|l| l.team == *team);
                left.map_or(Tokens::ZERO, |l| l.tokens.min(capacity))
            }
        }
    }
}
