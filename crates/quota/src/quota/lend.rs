//! Lending tokens and rate to peers.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::gossip::IDLE_DEMAND;
use super::{Phase, Quota, Team};
use crate::bucket::{Allocation, OutstandingLoan, Source};
use crate::demand::{per_second, rate_of};
use crate::lease::Lease;
use crate::message::{Hint, LoanId, Message};
use crate::settings::Mutant;

/// Smallest loan that is worth a message.
const MIN_LOAN_TOKENS: Tokens = Tokens::from_micros(50_000);
/// Rate that a host keeps for itself, as a multiple of its demand.
const KEPT_RATE_FACTOR: f64 = 1.02;
/// Span of its own demand for which a lender keeps tokens.
const KEPT_HORIZON: Duration = Duration::from_millis(20);

/// Contents of a received loan request.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) id: u64,
    pub(super) need: Tokens,
    pub(super) rate: Rate,
    pub(super) extend: Option<LoanId>,
    pub(super) hint: Hint,
}

/// Terms of a loan that the local host makes.
#[derive(Debug, Default)]
struct LoanTerms {
    loan: Option<LoanId>,
    rate: Rate,
    cap: Tokens,
    tokens: Tokens,
    duration: Duration,
}

impl Quota {
    pub(super) fn on_loan_request(
        &mut self,
        now: Instant,
        from: &HostId,
        id: &TeamId,
        request: &ReceivedRequest,
    ) {
        let terms = self.loan_terms(now, from, id, request);
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if terms.duration.is_zero() && request.need >= MIN_LOAN_TOKENS {
            team.unserved.insert(from.clone());
        } else if !terms.duration.is_zero() {
            self.counters.loans += 1;
        }
        let message = Message::Loan {
            id: request.id,
            loan: terms.loan.unwrap_or(LoanId(0)),
            team: id.clone(),
            rate: terms.rate,
            cap: terms.cap,
            tokens: terms.tokens,
            duration: terms.duration,
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
        let found = team.bucket.end_lent(from, loan, tokens);
        if !found && self.settings.has_mutant(Mutant::ReturnTwice) {
            team.bucket.credit(tokens);
        }
        self.serve(now, id);
    }

    fn loan_terms(
        &mut self,
        now: Instant,
        from: &HostId,
        id: &TeamId,
        request: &ReceivedRequest,
    ) -> LoanTerms {
        let serving = self.phase == Phase::Serving;
        let Some(team) = self.teams.get_mut(id) else {
            return LoanTerms::default();
        };
        team.hints.record(from, request.hint, now);
        team.last_requested = Some(now);
        team.bucket.advance(now);
        if !serving || !team.waiting.is_empty() {
            return LoanTerms::default();
        }
        match request.extend {
            Some(loan) => self.renew_loan(now, from, id, loan),
            None => self.make_loan(now, from, id, request).unwrap_or_default(),
        }
    }

    fn renew_loan(&mut self, now: Instant, from: &HostId, id: &TeamId, loan: LoanId) -> LoanTerms {
        let found = self.teams.get(id).and_then(|team| {
            // The bucket's rate excludes what is lent. A host that lent all of it has no rate to
            // spare, yet does not lack any, so the test is for a deficit.
            let lacks_rate =
                team.bucket.demand.estimate(now) > per_second(team.bucket.rate()) + IDLE_DEMAND;
            let lent = team
                .bucket
                .lent()
                .iter()
                .find(|l| l.loan == loan && l.to == *from)?;
            (!lacks_rate && lent.rate > Rate::ZERO).then(|| lent.source.clone())
        });
        let Some(source) = found else {
            return LoanTerms::default();
        };
        let duration = self
            .max_loan_term(now, id, &source)
            .min(self.settings.loan_term);
        let until = now + self.drift.stretch(duration);
        let lent = self
            .teams
            .get_mut(id)
            .and_then(|t| t.bucket.extend_lent(from, loan, until));
        lent.map_or_else(LoanTerms::default, |lent| LoanTerms {
            loan: Some(loan),
            rate: lent.rate,
            cap: lent.cap,
            tokens: Tokens::ZERO,
            duration,
        })
    }

    fn make_loan(
        &mut self,
        now: Instant,
        from: &HostId,
        id: &TeamId,
        request: &ReceivedRequest,
    ) -> Option<LoanTerms> {
        let team = self.teams.get(id)?;
        let unlent_capacity = |a: &&Allocation| team.bucket.unlent(&a.source).1;
        let source = team
            .bucket
            .allocations()
            .iter()
            .max_by_key(unlent_capacity)?
            .source
            .clone();
        let duration = self.max_loan_term(now, id, &source);
        let terms = team.offer(now, &source, request, duration, &self.settings)?;
        let loan = LoanId(self.new_id());
        let lent = OutstandingLoan {
            loan,
            to: from.clone(),
            source,
            rate: terms.rate,
            cap: terms.cap,
            until: now + self.drift.stretch(terms.duration),
        };
        if !self.settings.has_mutant(Mutant::NoDebit) {
            self.teams.get_mut(id)?.bucket.lend(lent, terms.tokens);
        }
        Some(LoanTerms {
            loan: Some(loan),
            ..terms
        })
    }

    /// Returns how long a loan from a source may last on the borrower's clock.
    fn max_loan_term(&self, now: Instant, id: &TeamId, source: &Source) -> Duration {
        if self.settings.has_mutant(Mutant::LoanOutlivesLease) {
            return self.settings.loan_term;
        }
        let end = match source {
            Source::Shard(shard) if self.is_reclaimable(shard) => None,
            Source::Shard(shard) => self.leases.get(shard).and_then(Lease::until),
            Source::Loan { .. } => self.teams.get(id).and_then(|team| {
                let allocation = team
                    .bucket
                    .allocations()
                    .iter()
                    .find(|a| a.source == *source)?;
                allocation.until
            }),
        };
        let left = end.map(|end| end.saturating_duration_since(now));
        self.drift.shrink(left.unwrap_or_default())
    }
}

impl Team {
    /// Returns the state of the bucket to send to peers.
    pub(super) fn hint(&mut self, now: Instant) -> Hint {
        self.bucket.advance(now);
        let reserve = self.reserve(now);
        Hint {
            level: self.bucket.level().saturating_sub(reserve),
            spare: self.spare_rate(now, KEPT_RATE_FACTOR),
            cap: self.bucket.cap(),
        }
    }

    /// Returns the tokens kept for the local demand; zero if that is less than one token.
    fn reserve(&self, now: Instant) -> Tokens {
        let reserve = rate_of(self.bucket.demand.estimate(now)).over(KEPT_HORIZON);
        if reserve < Tokens::ONE {
            Tokens::ZERO
        } else {
            reserve
        }
    }

    fn spare_rate(&self, now: Instant, factor: f64) -> Rate {
        let spare = per_second(self.bucket.rate()) - factor * self.bucket.demand.estimate(now);
        rate_of(spare.max(0.0))
    }

    /// Returns the terms of a loan of rate if possible, otherwise of a short loan of tokens.
    fn offer(
        &self,
        now: Instant,
        source: &Source,
        request: &ReceivedRequest,
        duration: Duration,
        settings: &crate::settings::Settings,
    ) -> Option<LoanTerms> {
        let bucket = &self.bucket;
        let (unlent_rate, unlent_cap) = bucket.unlent(source);
        let urgent = request.hint.level < Tokens::ONE;
        let reserve = if urgent {
            self.reserve(now)
        } else {
            self.prefetch_target(now, settings.prefetch_horizon)
        };
        let tokens = bucket
            .level()
            .saturating_sub(reserve)
            .min(request.need)
            .min(unlent_cap);
        let rate = request
            .rate
            .min(self.spare_rate(now, KEPT_RATE_FACTOR))
            .min(unlent_rate);
        let cap = unlent_cap.part(rate.micros(), unlent_rate.micros());
        let left = bucket.cap().saturating_sub(cap);
        let outlives = settings.has_mutant(Mutant::LoanOutlivesLease);
        let rate_duration = if outlives {
            duration * 4
        } else {
            duration.min(settings.loan_term)
        };
        let splits_well =
            cap >= settings.min_loan && (left >= settings.min_loan || left == Tokens::ZERO);
        let backs_rate = matches!(source, Source::Shard(_)) && duration >= settings.loan_term / 2;
        if splits_well && backs_rate && rate > Rate::ZERO {
            let share = bucket.level().part(cap.micros(), bucket.cap().micros());
            let cap = cap.max(tokens);
            let excess = bucket
                .level()
                .saturating_sub(bucket.cap().saturating_sub(cap));
            let tokens = tokens.max(share).max(excess).min(cap);
            return Some(LoanTerms {
                loan: None,
                rate,
                cap,
                tokens,
                duration: rate_duration,
            });
        }
        let duration = duration.min(settings.borrow_timeout);
        let is_worthwhile = tokens >= MIN_LOAN_TOKENS && !duration.is_zero();
        is_worthwhile.then_some(LoanTerms {
            loan: None,
            rate: Rate::ZERO,
            cap: tokens,
            tokens,
            duration,
        })
    }
}
