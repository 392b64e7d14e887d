//! Token bucket of one team on one host: leased and borrowed allocations, less what is lent.

use std::time::Instant;

use wagtail_types::{HostId, Rate, Tokens};

use crate::demand::Demand;
use crate::drift::Drift;
use crate::level::Level;
use crate::message::LoanId;
use crate::shard::ShardId;

/// Origin of an allocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    Shard(ShardId),
    Loan { from: HostId, loan: LoanId },
}

/// Part of a bucket's rate and capacity that comes from one source and expires as a whole.
#[derive(Debug, Clone)]
pub(crate) struct Allocation {
    pub(crate) source: Source,
    pub(crate) rate: Rate,
    pub(crate) cap: Tokens,
    /// End of a borrowed allocation; `None` for a shard, whose lease the caller tracks.
    pub(crate) until: Option<Instant>,
}

/// Rate and capacity lent to a peer until a given time.
#[derive(Debug, Clone)]
pub(crate) struct OutstandingLoan {
    pub(crate) loan: LoanId,
    pub(crate) to: HostId,
    pub(crate) source: Source,
    pub(crate) rate: Rate,
    pub(crate) cap: Tokens,
    pub(crate) until: Instant,
}

/// Token bucket of one team on one host.
///
/// The level never exceeds the capacity of all allocations less what is lent from them. Lending
/// debits capacity and tokens before they are sent, so that the levels of all hosts and the tokens
/// in flight together never exceed the team's burst.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: Level,
    updated: Instant,
    rate: Rate,
    cap: Tokens,
    drift: Drift,
    allocations: Vec<Allocation>,
    lent: Vec<OutstandingLoan>,
    pub(crate) demand: Demand,
}

impl Bucket {
    pub(crate) fn new(now: Instant, drift: Drift) -> Self {
        Self {
            level: Level::ZERO,
            updated: now,
            rate: Rate::ZERO,
            cap: Tokens::ZERO,
            drift,
            allocations: Vec::new(),
            lent: Vec::new(),
            demand: Demand::new(now),
        }
    }

    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    pub(crate) fn cap(&self) -> Tokens {
        self.cap
    }

    pub(crate) fn level(&self) -> Tokens {
        self.level.tokens()
    }

    pub(crate) fn allocations(&self) -> &[Allocation] {
        &self.allocations
    }

    pub(crate) fn lent(&self) -> &[OutstandingLoan] {
        &self.lent
    }

    /// Accrues tokens up to `now`, and ends expired loans in order of expiry.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(end) = self.next_expiry().filter(|end| *end <= now) {
            self.accrue(end);
            self.allocations
                .retain(|a| a.until.is_none_or(|until| until > end));
            self.lent.retain(|l| l.until > end);
            self.update_totals();
        }
        self.accrue(now);
    }

    /// Returns when the bucket next holds a whole token; `None` if it never will.
    pub(crate) fn next_token(&self) -> Option<Instant> {
        if self.cap < Tokens::ONE {
            return None;
        }
        let missing = Tokens::ONE.saturating_sub(self.level.tokens());
        let wait = self.rate.time_for(missing)?;
        Some(self.updated + self.drift.stretch(wait))
    }

    /// Spends one token; returns false if there is none.
    pub(crate) fn spend(&mut self) -> bool {
        let has = self.level.has(Tokens::ONE);
        if has {
            self.level.take(Tokens::ONE);
        }
        has
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn credit(&mut self, tokens: Tokens) {
        self.level.add(tokens);
        self.level.limit(self.cap);
    }

    /// Sets the allocation of a shard; the caller must have advanced the bucket to the present.
    pub(crate) fn set_shard_allocation(&mut self, shard: &ShardId, rate: Rate, cap: Tokens) {
        match self
            .allocations
            .iter_mut()
            .find(|a| is_shard(&a.source, shard))
        {
            Some(allocation) => (allocation.rate, allocation.cap) = (rate, cap),
            None => self.allocations.push(Allocation {
                source: Source::Shard(shard.clone()),
                rate,
                cap,
                until: None,
            }),
        }
        self.update_totals();
    }

    /// Removes the allocation of a shard and returns its share of the tokens.
    pub(crate) fn remove_shard(&mut self, shard: &ShardId) -> Tokens {
        let Some(index) = self
            .allocations
            .iter()
            .position(|a| is_shard(&a.source, shard))
        else {
            return Tokens::ZERO;
        };
        let (_, capacity) = self.unlent(&self.allocations[index].source);
        let tokens = self
            .level()
            .part(capacity.micros(), self.cap.micros())
            .min(capacity);
        self.level.take(tokens);
        self.allocations.remove(index);
        self.lent.retain(|l| !is_shard(&l.source, shard));
        self.update_totals();
        tokens
    }

    /// Adds an allocation borrowed from a peer, with its tokens.
    pub(crate) fn borrow(&mut self, allocation: Allocation, tokens: Tokens) {
        self.allocations.push(allocation);
        self.update_totals();
        self.credit(tokens);
    }

    /// Extends a borrowed allocation; returns false if the loan does not exist.
    pub(crate) fn extend_borrowed(&mut self, from: &HostId, loan: LoanId, until: Instant) -> bool {
        let source = Source::Loan {
            from: from.clone(),
            loan,
        };
        let Some(allocation) = self.allocations.iter_mut().find(|a| a.source == source) else {
            return false;
        };
        allocation.until = allocation.until.map(|end| end.max(until));
        true
    }

    /// Returns a borrowed allocation without rate that can be returned to its lender.
    ///
    /// Unless `any` is set, the level must fit into the remaining capacity.
    pub(crate) fn idle_token_loan(&self, any: bool) -> Option<Source> {
        let returnable = |a: &&Allocation| {
            let rest = self.cap.saturating_sub(a.cap);
            a.until.is_some() && a.rate == Rate::ZERO && (any || self.level() <= rest)
        };
        self.allocations
            .iter()
            .find(returnable)
            .map(|a| a.source.clone())
    }

    /// Ends a borrowed allocation early and returns the tokens that exceed the remaining capacity.
    ///
    /// Returns `None` if the allocation does not exist or something is lent from it.
    pub(crate) fn end_borrowed(&mut self, source: &Source) -> Option<Tokens> {
        if self.lent.iter().any(|l| l.source == *source) {
            return None;
        }
        let index = self.allocations.iter().position(|a| a.source == *source)?;
        let cap = self.allocations.remove(index).cap;
        let before = self.level();
        self.update_totals();
        Some(before.saturating_sub(self.level()).min(cap))
    }

    /// Debits rate, capacity and tokens that are lent to a peer.
    pub(crate) fn lend(&mut self, lent: OutstandingLoan, tokens: Tokens) {
        self.level.take(tokens);
        self.lent.push(lent);
        self.update_totals();
    }

    /// Ends a loan to a peer early and credits its unspent tokens; returns false if it is unknown.
    pub(crate) fn end_lent(&mut self, from: &HostId, loan: LoanId, tokens: Tokens) -> bool {
        let found = self
            .lent
            .iter()
            .position(|l| l.loan == loan && l.to == *from);
        let Some(index) = found else {
            return false;
        };
        let cap = self.lent.remove(index).cap;
        self.update_totals();
        self.credit(tokens.min(cap));
        true
    }

    /// Extends a loan to a peer.
    pub(crate) fn extend_lent(
        &mut self,
        to: &HostId,
        loan: LoanId,
        until: Instant,
    ) -> Option<&OutstandingLoan> {
        let lent = self
            .lent
            .iter_mut()
            .find(|l| l.loan == loan && l.to == *to)?;
        lent.until = lent.until.max(until);
        Some(lent)
    }

    /// Returns whether more is lent from a shard than is allocated to it.
    pub(crate) fn is_overcommitted(&self, shard: &ShardId) -> bool {
        let Some(allocation) = self.allocations.iter().find(|a| is_shard(&a.source, shard)) else {
            return false;
        };
        let (rate, cap) = self.lent_from(&allocation.source);
        rate > allocation.rate.micros() || cap > allocation.cap.micros()
    }

    /// Returns the rate and capacity of a source that are not lent.
    pub(crate) fn unlent(&self, source: &Source) -> (Rate, Tokens) {
        let Some(allocation) = self.allocations.iter().find(|a| a.source == *source) else {
            return (Rate::ZERO, Tokens::ZERO);
        };
        let (rate, cap) = self.lent_from(source);
        let rate = allocation.rate.micros().saturating_sub(rate);
        let cap = allocation.cap.micros().saturating_sub(cap);
        (Rate::from_micros(rate), Tokens::from_micros(cap))
    }

    /// Returns the rate and capacity lent from a source, in millionths.
    fn lent_from(&self, source: &Source) -> (u64, u64) {
        let lent = self.lent.iter().filter(|l| l.source == *source);
        lent.fold((0, 0), |(rate, cap), l| {
            let rate = l.rate.micros().saturating_add(rate);
            (rate, l.cap.micros().saturating_add(cap))
        })
    }

    fn next_expiry(&self) -> Option<Instant> {
        let allocations = self.allocations.iter().filter_map(|a| a.until);
        allocations.chain(self.lent.iter().map(|l| l.until)).min()
    }

    fn accrue(&mut self, to: Instant) {
        let elapsed = to.saturating_duration_since(self.updated);
        self.updated = self.updated.max(to);
        self.level.accrue(self.drift, self.rate, elapsed);
        self.level.limit(self.cap);
    }

    fn update_totals(&mut self) {
        let (mut rate, mut cap) = (0_u64, 0_u64);
        for allocation in &self.allocations {
            let (unlent_rate, unlent_cap) = self.unlent(&allocation.source);
            rate = unlent_rate.micros().saturating_add(rate);
            cap = unlent_cap.micros().saturating_add(cap);
        }
        self.rate = Rate::from_micros(rate);
        self.cap = Tokens::from_micros(cap);
        self.level.limit(self.cap);
    }
}

fn is_shard(source: &Source, shard: &ShardId) -> bool {
    matches!(source, Source::Shard(s) if s == shard)
}
