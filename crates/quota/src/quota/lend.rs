//! Lending tokens and rate to other hosts.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::gossip::QUIET;
use super::{Phase, Quota, Team};
use crate::bucket::{Lent, Part, Source};
use crate::demand::{per_second, rate_of};
use crate::lease::Lease;
use crate::message::{Hint, LoanId, Message};
use crate::settings::Mutant;

/// Less than this is not worth a message.
const LEAST_TOKENS: Tokens = Tokens::from_micros(50_000);
/// The rate that a host keeps for itself, over its demand.
const KEPT_DEMAND: f64 = 1.02;
/// The demand that a host keeps tokens for.
const KEPT_TIME: Duration = Duration::from_millis(20);

/// What another host asks for.
#[derive(Debug)]
pub(super) struct Wish {
    pub(super) id: u64,
    pub(super) need: Tokens,
    pub(super) rate: Rate,
    pub(super) extend: Option<LoanId>,
    pub(super) hint: Hint,
}

/// What this host lends.
#[derive(Debug, Default)]
struct Terms {
    loan: Option<LoanId>,
    rate: Rate,
    cap: Tokens,
    tokens: Tokens,
    life: Duration,
}

impl Quota {
    pub(super) fn on_ask(&mut self, now: Instant, from: &HostId, id: &TeamId, wish: &Wish) {
        let terms = self.terms(now, from, id, wish);
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if terms.life.is_zero() && wish.need >= LEAST_TOKENS {
            team.owed.insert(from.clone());
        } else if !terms.life.is_zero() {
            self.counters.loans += 1;
        }
        let message = Message::Loan {
            id: wish.id,
            loan: terms.loan.unwrap_or(LoanId(0)),
            team: id.clone(),
            rate: terms.rate,
            cap: terms.cap,
            tokens: terms.tokens,
            life: terms.life,
            hint: team.hint(now),
        };
        self.send(from.clone(), message);
    }

    pub(super) fn on_return(
        &mut self,
        now: Instant,
        from: &HostId,
        id: &TeamId,
        loan: LoanId,
        tokens: Tokens,
    ) {
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.bucket.advance(now);
        let found = team.bucket.repay(from, loan, tokens);
        if !found && self.settings.has(Mutant::ReturnTwice) {
            team.bucket.credit(tokens);
        }
        self.serve(now, id);
    }

    fn terms(&mut self, now: Instant, from: &HostId, id: &TeamId, wish: &Wish) -> Terms {
        let serving = self.phase == Phase::Serving;
        let Some(team) = self.teams.get_mut(id) else {
            return Terms::default();
        };
        team.hints.note(from, wish.hint, now);
        team.asked = Some(now);
        team.bucket.advance(now);
        if !serving || !team.waiting.is_empty() {
            return Terms::default();
        }
        match wish.extend {
            Some(loan) => self.extend(now, from, id, loan),
            None => self.lend(now, from, id, wish).unwrap_or_default(),
        }
    }

    fn extend(&mut self, now: Instant, from: &HostId, id: &TeamId, loan: LoanId) -> Terms {
        let found = self.teams.get(id).and_then(|team| {
            // What is lent has left the bucket's rate, so a host that lent all has none to spare and
            // yet lacks none.
            let lacks = team.bucket.demand.at(now) > per_second(team.bucket.rate()) + QUIET;
            let lent = team
                .bucket
                .lent()
                .iter()
                .find(|l| l.loan == loan && l.to == *from)?;
            (!lacks && lent.rate > Rate::ZERO).then(|| lent.source.clone())
        });
        let Some(source) = found else {
            return Terms::default();
        };
        let life = self.life(now, id, &source).min(self.settings.loan_term);
        let until = now + self.drift.stretch(life);
        let lent = self
            .teams
            .get_mut(id)
            .and_then(|t| t.bucket.extend(from, loan, until));
        lent.map_or_else(Terms::default, |lent| Terms {
            loan: Some(loan),
            rate: lent.rate,
            cap: lent.cap,
            tokens: Tokens::ZERO,
            life,
        })
    }

    fn lend(&mut self, now: Instant, from: &HostId, id: &TeamId, wish: &Wish) -> Option<Terms> {
        let team = self.teams.get(id)?;
        let best = |p: &&Part| team.bucket.free(&p.source).1;
        let source = team.bucket.parts().iter().max_by_key(best)?.source.clone();
        let life = self.life(now, id, &source);
        let terms = team.offer(now, &source, wish, life, &self.settings)?;
        let loan = LoanId(self.new_id());
        let lent = Lent {
            loan,
            to: from.clone(),
            source,
            rate: terms.rate,
            cap: terms.cap,
            until: now + self.drift.stretch(terms.life),
        };
        if !self.settings.has(Mutant::NoDebit) {
            self.teams.get_mut(id)?.bucket.lend(lent, terms.tokens);
        }
        Some(Terms {
            loan: Some(loan),
            ..terms
        })
    }

    /// How long a loan from a source may last on the borrower's clock.
    fn life(&self, now: Instant, id: &TeamId, source: &Source) -> Duration {
        if self.settings.has(Mutant::LoanOutlivesLease) {
            return self.settings.loan_term;
        }
        let end = match source {
            Source::Shard(shard) if self.is_found(shard) => None,
            Source::Shard(shard) => self.leases.get(shard).and_then(Lease::until),
            Source::Loan { .. } => self.teams.get(id).and_then(|team| {
                let part = team.bucket.parts().iter().find(|p| p.source == *source)?;
                part.until
            }),
        };
        let left = end.map(|end| end.saturating_duration_since(now));
        self.drift.shrink(left.unwrap_or_default())
    }
}

impl Team {
    /// The state of the bucket, for other hosts.
    pub(super) fn hint(&mut self, now: Instant) -> Hint {
        self.bucket.advance(now);
        let kept = self.kept(now);
        Hint {
            level: self.bucket.level().saturating_sub(kept),
            spare: self.spare(now, KEPT_DEMAND),
            cap: self.bucket.cap(),
        }
    }

    /// Whole tokens for this host's own demand.
    fn kept(&self, now: Instant) -> Tokens {
        let kept = rate_of(self.bucket.demand.at(now)).over(KEPT_TIME);
        if kept < Tokens::ONE {
            Tokens::ZERO
        } else {
            kept
        }
    }

    fn spare(&self, now: Instant, factor: f64) -> Rate {
        let spare = per_second(self.bucket.rate()) - factor * self.bucket.demand.at(now);
        rate_of(spare.max(0.0))
    }

    fn offer(
        &self,
        now: Instant,
        source: &Source,
        wish: &Wish,
        life: Duration,
        settings: &crate::settings::Settings,
    ) -> Option<Terms> {
        let bucket = &self.bucket;
        let (free_rate, free_cap) = bucket.free(source);
        let urgent = wish.hint.level < Tokens::ONE;
        let kept = if urgent {
            self.kept(now)
        } else {
            self.ahead(now, settings.prefetch_horizon)
        };
        let tokens = bucket
            .level()
            .saturating_sub(kept)
            .min(wish.need)
            .min(free_cap);
        let rate = wish.rate.min(self.spare(now, KEPT_DEMAND)).min(free_rate);
        let cap = free_cap.part(rate.micros(), free_rate.micros());
        let left = bucket.cap().saturating_sub(cap);
        let outlives = settings.has(Mutant::LoanOutlivesLease);
        let lasting_life = if outlives {
            life * 4
        } else {
            life.min(settings.loan_term)
        };
        let roomy = cap >= settings.min_loan && (left >= settings.min_loan || left == Tokens::ZERO);
        let lasting = matches!(source, Source::Shard(_)) && life >= settings.loan_term / 2;
        if roomy && lasting && rate > Rate::ZERO {
            let share = bucket.level().part(cap.micros(), bucket.cap().micros());
            let cap = cap.max(tokens);
            let excess = bucket
                .level()
                .saturating_sub(bucket.cap().saturating_sub(cap));
            let tokens = tokens.max(share).max(excess).min(cap);
            return Some(Terms {
                loan: None,
                rate,
                cap,
                tokens,
                life: lasting_life,
            });
        }
        let life = life.min(settings.gather_timeout);
        let worth = tokens >= LEAST_TOKENS && !life.is_zero();
        worth.then_some(Terms {
            loan: None,
            rate: Rate::ZERO,
            cap: tokens,
            tokens,
            life,
        })
    }
}
