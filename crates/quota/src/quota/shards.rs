//! The shards that this host holds, and the parts of every team's bucket that rest on them.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, TeamId, Tokens, ZoneId};

use super::{Effect, Phase, Quota, ReadOutcome, WriteOutcome};
use crate::bucket::Source;
use crate::lease::{Context, Lease, Out, Start};
use crate::message::{Member, Message, ShardNote, TeamTokens};
use crate::settings::Mutant;
use crate::shard::{ShardId, score};

/// How much longer the next host in the order of a shard waits before it claims it.
const PATIENCE: Duration = Duration::from_millis(300);

impl Quota {
    /// Starts to give up every shard; [`Effect::Released`] follows.
    pub fn release(&mut self, now: Instant) {
        self.expire(now);
        if self.phase == Phase::Serving {
            self.phase = Phase::Leaving;
            self.next_step = now;
        }
    }

    /// Ends leases whose time is over, before anything is spent.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.settings.has(Mutant::SpendExpired) {
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
        self.watch_lost();
        let shards: Vec<ShardId> = self.leases.keys().cloned().collect();
        for shard in shards {
            self.step_lease(now, &shard);
        }
        self.give_up_found(now);
        self.confirm(now);
    }

    fn step_lease(&mut self, now: Instant, shard: &ShardId) {
        let Some(lease) = self.leases.get(shard).filter(|_| self.epoch > Epoch(0)) else {
            return;
        };
        let active = lease.until().is_some() || lease.is_leaving();
        if active || self.is_ours(shard) {
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

    pub(super) fn on_hold(
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
                Message::Held {
                    shard,
                    id,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn on_held(
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
            lease.on_held(now, cx, id, &from);
        });
    }

    /// Gives up what no loan rests on any more, and reports once nothing is left.
    pub(super) fn step_release(&mut self, now: Instant) {
        if self.phase != Phase::Leaving {
            return;
        }
        let held: Vec<ShardId> = self.held().cloned().collect();
        for shard in held {
            if !self.leases[&shard].is_leaving() && !self.has_lent(&shard) {
                self.release_shard(now, &shard);
            }
        }
        let done = self
            .leases
            .values()
            .all(|l| l.until().is_none() && !l.is_leaving());
        if done {
            self.phase = Phase::Released;
            self.return_all();
            self.effects.push_back(Effect::Released);
        }
    }

    pub(super) fn has_lent(&self, shard: &ShardId) -> bool {
        let on = |source: &Source| matches!(source, Source::Shard(s) if s == shard);
        self.teams
            .values()
            .any(|team| team.bucket.lent().iter().any(|l| on(&l.source)))
    }

    /// Whether more is lent from a shard than its present parts hold.
    fn is_overlent(&self, shard: &ShardId) -> bool {
        self.teams
            .values()
            .any(|team| team.bucket.is_overlent(shard))
    }

    pub(super) fn release_shard(&mut self, now: Instant, shard: &ShardId) {
        let mut left = Vec::new();
        for (id, team) in &mut self.teams {
            team.bucket.advance(now);
            let tokens = team.bucket.drop_shard(shard);
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

    /// Calls a lease with its context and carries out what it asks for.
    fn with_lease(
        &mut self,
        now: Instant,
        shard: &ShardId,
        call: impl FnOnce(&mut Lease, &Context<'_>, &mut rand::rngs::SmallRng, &mut Vec<Out>),
    ) {
        let members = self.members(&shard.zone);
        let rank = self.rank(shard, &members);
        let patience = self.patience(shard, rank);
        let spreads = self.past_spreads();
        let reached = if self.is_overlent(shard) {
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
            patience,
        };
        let mut out = Vec::new();
        call(lease, &cx, &mut self.rng, &mut out);
        for out in out {
            self.apply(now, shard, out);
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
        let mine = rank(&self.settings.me);
        members.iter().filter(|m| rank(&m.host) > mine).count()
    }

    fn patience(&self, shard: &ShardId, rank: usize) -> Duration {
        let ahead = rank + self.held().filter(|held| *held != shard).count();
        let foreign = shard.zone != self.settings.zone;
        let wait = if foreign {
            self.settings.lease_term
        } else {
            Duration::ZERO
        };
        wait + PATIENCE * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    fn apply(&mut self, now: Instant, shard: &ShardId, out: Out) {
        let shard = shard.clone();
        match out {
            Out::Read => self.effects.push_back(Effect::Read { shard }),
            Out::Write { expected, row } => {
                self.effects.push_back(Effect::Write {
                    shard,
                    expected,
                    row,
                });
            }
            Out::Hold { to, version, id } => self.send(to, Message::Hold { shard, version, id }),
            Out::Took(row) => {
                self.raise_confirmed(now, row.confirmed);
                self.recall(&row);
                let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
                for id in ids {
                    self.resize(now, &id);
                }
            }
            Out::Gained(start) => self.gain(now, &shard, &start),
            Out::Lost => self.lose(now, &shard),
            Out::Released => {
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

    fn gain(&mut self, now: Instant, shard: &ShardId, start: &Start) {
        for team in self.teams.values_mut() {
            team.bucket.advance(now);
            team.resize_part(shard);
            let (_, room) = team.bucket.free(&Source::Shard(shard.clone()));
            team.bucket.credit(start.tokens(&team.limit.team, room));
        }
        self.note_own(shard);
    }

    fn lose(&mut self, now: Instant, shard: &ShardId) {
        self.counters.lapses += 1;
        for team in self.teams.values_mut() {
            team.bucket.advance(now);
            team.bucket.drop_shard(shard);
        }
    }

    pub(super) fn note_own(&mut self, shard: &ShardId) {
        let row = self.leases.get(shard).and_then(Lease::held_row);
        if let Some((version, epoch)) = row {
            let holder = self.settings.me.clone();
            let note = ShardNote {
                shard: shard.clone(),
                holder,
                version,
                epoch,
            };
            self.notes.insert(shard.clone(), note);
        }
    }
}

impl Start {
    fn tokens(&self, team: &TeamId, room: Tokens) -> Tokens {
        match self {
            Self::Full => room,
            Self::Empty => Tokens::ZERO,
            Self::Left(left) => {
                let left = left.iter().find(|l| l.team == *team);
                left.map_or(Tokens::ZERO, |l| l.tokens.min(room))
            }
        }
    }
}
