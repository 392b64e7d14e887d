//! The token bucket of one team on one host: leased parts, less what is lent, plus what is borrowed.

use std::time::Instant;

use wagtail_types::{HostId, Rate, Tokens};

use crate::demand::Demand;
use crate::drift::Drift;
use crate::level::Level;
use crate::message::LoanId;
use crate::shard::ShardId;

/// Where a part of a bucket comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    Shard(ShardId),
    Loan { from: HostId, loan: LoanId },
}

/// Rate and room of a bucket that share one origin and one end.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) source: Source,
    pub(crate) rate: Rate,
    pub(crate) cap: Tokens,
    /// The end of a loan; a shard ends with its lease, which the caller watches.
    pub(crate) until: Option<Instant>,
}

/// Rate and room handed to another host for a while.
#[derive(Debug, Clone)]
pub(crate) struct Lent {
    pub(crate) loan: LoanId,
    pub(crate) to: HostId,
    pub(crate) source: Source,
    pub(crate) rate: Rate,
    pub(crate) cap: Tokens,
    pub(crate) until: Instant,
}

/// The token bucket of one team on one host.
///
/// Its level never passes the sum of its parts less what is lent from them. Lending takes room and
/// tokens before they are sent, so the levels of all hosts and the tokens in flight together never
/// pass the team's burst.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: Level,
    at: Instant,
    rate: Rate,
    cap: Tokens,
    drift: Drift,
    parts: Vec<Part>,
    lent: Vec<Lent>,
    pub(crate) demand: Demand,
}

impl Bucket {
    pub(crate) fn new(now: Instant, drift: Drift) -> Self {
        Self {
            level: Level::ZERO,
            at: now,
            rate: Rate::ZERO,
            cap: Tokens::ZERO,
            drift,
            parts: Vec::new(),
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

    pub(crate) fn parts(&self) -> &[Part] {
        &self.parts
    }

    pub(crate) fn lent(&self) -> &[Lent] {
        &self.lent
    }

    /// Brings the bucket to `now`, ending loans in the order in which they end.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.accrue(end);
            self.parts
                .retain(|p| p.until.is_none_or(|until| until > end));
            self.lent.retain(|l| l.until > end);
            self.refresh();
        }
        self.accrue(now);
    }

    /// When the bucket next has a whole token, if it ever has.
    pub(crate) fn next_token(&self) -> Option<Instant> {
        if self.cap < Tokens::ONE {
            return None;
        }
        let missing = Tokens::ONE.saturating_sub(self.level.tokens());
        let time = self.rate.time_for(missing)?;
        Some(self.at + self.drift.stretch(time))
    }

    /// Takes one token, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let has = self.level.has(Tokens::ONE);
        if has {
            self.level.take(Tokens::ONE);
        }
        has
    }

    /// Adds tokens as far as there is room.
    pub(crate) fn credit(&mut self, tokens: Tokens) {
        self.level.add(tokens);
        self.level.limit(self.cap);
    }

    /// Sets the size of a shard's part; the caller has brought the bucket to the present.
    pub(crate) fn set_shard(&mut self, shard: &ShardId, rate: Rate, cap: Tokens) {
        match self.parts.iter_mut().find(|p| is_shard(&p.source, shard)) {
            Some(part) => (part.rate, part.cap) = (rate, cap),
            None => self.parts.push(Part {
                source: Source::Shard(shard.clone()),
                rate,
                cap,
                until: None,
            }),
        }
        self.refresh();
    }

    /// Ends a shard's part and returns its share of the tokens.
    pub(crate) fn drop_shard(&mut self, shard: &ShardId) -> Tokens {
        let Some(part) = self.parts.iter().position(|p| is_shard(&p.source, shard)) else {
            return Tokens::ZERO;
        };
        let (_, room) = self.free(&self.parts[part].source);
        let tokens = self
            .level()
            .part(room.micros(), self.cap.micros())
            .min(room);
        self.level.take(tokens);
        self.parts.remove(part);
        self.lent.retain(|l| !is_shard(&l.source, shard));
        self.refresh();
        tokens
    }

    /// Adds a part borrowed from another host.
    pub(crate) fn borrow(&mut self, part: Part, tokens: Tokens) {
        self.parts.push(part);
        self.refresh();
        self.credit(tokens);
    }

    /// Moves the end of a borrowed part to a later time; false where the loan is not there.
    pub(crate) fn prolong(&mut self, from: &HostId, loan: LoanId, until: Instant) -> bool {
        let source = Source::Loan {
            from: from.clone(),
            loan,
        };
        let Some(part) = self.parts.iter_mut().find(|p| p.source == source) else {
            return false;
        };
        part.until = part.until.map(|end| end.max(until));
        true
    }

    /// A borrowed part without rate; unless any will do, one whose room the level does not need.
    pub(crate) fn loan_of_tokens(&self, any: bool) -> Option<Source> {
        let spent = |p: &&Part| {
            let rest = self.cap.saturating_sub(p.cap);
            p.until.is_some() && p.rate == Rate::ZERO && (any || self.level() <= rest)
        };
        self.parts.iter().find(spent).map(|p| p.source.clone())
    }

    /// Ends a borrowed part early and returns the tokens that no longer have room.
    ///
    /// A part that something is lent from cannot end early.
    pub(crate) fn give_back(&mut self, source: &Source) -> Option<Tokens> {
        if self.lent.iter().any(|l| l.source == *source) {
            return None;
        }
        let part = self.parts.iter().position(|p| p.source == *source)?;
        let cap = self.parts.remove(part).cap;
        let before = self.level();
        self.refresh();
        Some(before.saturating_sub(self.level()).min(cap))
    }

    /// Takes rate, room and tokens out of a part for another host.
    pub(crate) fn lend(&mut self, lent: Lent, tokens: Tokens) {
        self.level.take(tokens);
        self.lent.push(lent);
        self.refresh();
    }

    /// Takes a loan back before its time, with what the borrower left of it.
    pub(crate) fn repay(&mut self, from: &HostId, loan: LoanId, tokens: Tokens) -> bool {
        let found = self
            .lent
            .iter()
            .position(|l| l.loan == loan && l.to == *from);
        let Some(index) = found else {
            return false;
        };
        let cap = self.lent.remove(index).cap;
        self.refresh();
        self.credit(tokens.min(cap));
        true
    }

    /// Moves the end of a loan to another host to a later time.
    pub(crate) fn extend(&mut self, to: &HostId, loan: LoanId, until: Instant) -> Option<&Lent> {
        let lent = self
            .lent
            .iter_mut()
            .find(|l| l.loan == loan && l.to == *to)?;
        lent.until = lent.until.max(until);
        Some(lent)
    }

    /// Whether more is lent from a shard than its part holds.
    pub(crate) fn is_overlent(&self, shard: &ShardId) -> bool {
        let Some(part) = self.parts.iter().find(|p| is_shard(&p.source, shard)) else {
            return false;
        };
        let (rate, cap) = self.lent_from(&part.source);
        rate > part.rate.micros() || cap > part.cap.micros()
    }

    /// What a source still holds after what is lent from it.
    pub(crate) fn free(&self, source: &Source) -> (Rate, Tokens) {
        let Some(part) = self.parts.iter().find(|p| p.source == *source) else {
            return (Rate::ZERO, Tokens::ZERO);
        };
        let (rate, cap) = self.lent_from(source);
        let rate = part.rate.micros().saturating_sub(rate);
        let cap = part.cap.micros().saturating_sub(cap);
        (Rate::from_micros(rate), Tokens::from_micros(cap))
    }

    /// Rate and room lent from a source, in millionths.
    fn lent_from(&self, source: &Source) -> (u64, u64) {
        let lent = self.lent.iter().filter(|l| l.source == *source);
        lent.fold((0, 0), |(rate, cap), l| {
            let rate = l.rate.micros().saturating_add(rate);
            (rate, l.cap.micros().saturating_add(cap))
        })
    }

    fn next_end(&self) -> Option<Instant> {
        let parts = self.parts.iter().filter_map(|p| p.until);
        parts.chain(self.lent.iter().map(|l| l.until)).min()
    }

    fn accrue(&mut self, to: Instant) {
        let time = to.saturating_duration_since(self.at);
        self.at = self.at.max(to);
        self.level.accrue(self.drift, self.rate, time);
        self.level.limit(self.cap);
    }

    fn refresh(&mut self) {
        let (mut rate, mut cap) = (0_u64, 0_u64);
        for part in &self.parts {
            let (free_rate, free_cap) = self.free(&part.source);
            rate = free_rate.micros().saturating_add(rate);
            cap = free_cap.micros().saturating_add(cap);
        }
        self.rate = Rate::from_micros(rate);
        self.cap = Tokens::from_micros(cap);
        self.level.limit(self.cap);
    }
}

fn is_shard(source: &Source, shard: &ShardId) -> bool {
    matches!(source, Source::Shard(s) if s == shard)
}
