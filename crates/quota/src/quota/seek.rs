//! Asking other hosts for tokens and rate.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::{Ask, Quota, Team};
use crate::bucket::{Part, Source};
use crate::demand::{per_second, rate_of};
use crate::message::{Hint, LoanId, Message};
use crate::settings::Mutant;

/// No loan is taken for longer, whatever its lender says.
const LIFE_MAX: Duration = Duration::from_secs(60);
/// A host with fewer tokens is not asked.
const LEAST_ESTIMATE: Tokens = Tokens::from_micros(200_000);
/// At most so many hosts are asked at once.
const FANOUT: usize = 4;
/// At most so many hosts are asked ahead of demand.
const FANOUT_AHEAD: usize = 2;
/// The pause between asks ahead of demand.
const AHEAD_PAUSE: Duration = Duration::from_millis(20);
/// Hosts keep ready at most this part of the time in which the burst fills.
const AHEAD_PARTS: u32 = 10;
/// With demand for this much in the coming moments, a whole token is kept ready.
const LEAST_AHEAD: Tokens = Tokens::from_micros(250_000);
/// The pause between asks for rate alone.
const RATE_PAUSE: Duration = Duration::from_secs(1);
/// The rate that a host asks for, over its demand.
pub(super) const WANTED_DEMAND: f64 = 1.1;

/// What a loan message brings.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) loan: LoanId,
    pub(super) rate: Rate,
    pub(super) cap: Tokens,
    pub(super) tokens: Tokens,
    pub(super) life: Duration,
    pub(super) hint: Hint,
}

impl Quota {
    /// Asks for what the waiting requests and `more` lack; false where there is no hope.
    pub(super) fn seek(&mut self, now: Instant, id: &TeamId, more: Tokens) -> bool {
        let Some(team) = self.teams.get(id) else {
            return false;
        };
        let waiting = Tokens::whole(team.waiting.len() as u64) + more;
        let coming = self.coming(id);
        let lack = waiting
            .saturating_sub(team.bucket.level())
            .saturating_sub(coming);
        if lack == Tokens::ZERO {
            return true;
        }
        let ahead = team.ahead(now, self.settings.prefetch_horizon);
        let found = self.candidates(now, id, lack);
        let mut expected = Tokens::ZERO;
        let mut chosen = Vec::new();
        for (host, estimate) in found.into_iter().take(FANOUT) {
            if expected >= lack + lack.part(1, 2) {
                break;
            }
            expected += estimate;
            chosen.push((host, estimate));
        }
        if expected < lack {
            return false;
        }
        for (host, estimate) in chosen {
            self.ask(now, id, host, lack + ahead, estimate.min(lack), None);
        }
        true
    }

    /// Asks ahead of demand where tokens or rate run short.
    pub(super) fn prefetch(&mut self, now: Instant, id: &TeamId) {
        let coming = self.coming(id);
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if now < team.next_ask {
            return;
        }
        let wanted = team.ahead(now, self.settings.prefetch_horizon);
        let slow = team.wanted_rate(now) > Rate::ZERO && now >= team.next_rate_ask;
        if team.bucket.level().saturating_add(coming) >= wanted && !slow {
            return;
        }
        team.next_ask = now + AHEAD_PAUSE;
        if slow {
            team.next_rate_ask = now + RATE_PAUSE;
        }
        let need = (wanted + wanted)
            .saturating_sub(team.bucket.level())
            .saturating_sub(coming);
        let mut found = self.candidates(now, id, need);
        if slow && let Some(team) = self.teams.get(id) {
            found.sort_by_key(|(host, _)| Reverse(team.hints.spare(host)));
        }
        for (host, estimate) in found.into_iter().take(FANOUT_AHEAD) {
            self.ask(now, id, host, need, estimate.min(need), None);
        }
    }

    pub(super) fn on_loan(
        &mut self,
        now: Instant,
        from: &HostId,
        id: u64,
        team_id: &TeamId,
        offer: &Offer,
    ) {
        let known = self
            .asks
            .get(&id)
            .filter(|a| a.to == *from && a.team == *team_id);
        let Some((sent, extend)) = known.map(|ask| (ask.sent, ask.extend)) else {
            return;
        };
        if !self.settings.has(Mutant::CreditTwice) {
            self.asks.remove(&id);
        }
        let late = self.settings.has(Mutant::LateCredit);
        let Some(team) = self.teams.get_mut(team_id) else {
            return;
        };
        team.bucket.advance(now);
        team.hints.note(from, offer.hint, now);
        let life = offer.life.min(LIFE_MAX);
        let until = if late { now + life } else { sent + life };
        match extend {
            Some(loan) if loan == offer.loan => {
                team.bucket.prolong(from, loan, until);
            }
            None if until > now => team.accept(from, offer, until),
            Some(_) | None => {}
        }
        if extend.is_none() {
            self.answered(now, team_id);
        }
    }

    /// Drops asks that had no answer in time.
    pub(super) fn step_asks(&mut self, now: Instant) {
        let late = self.settings.has(Mutant::LateCredit);
        let timeout = self.settings.gather_timeout * if late { 4 } else { 1 };
        let over = self
            .asks
            .iter()
            .filter(|(_, ask)| now >= ask.sent + timeout);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            let Some(ask) = self.asks.remove(&id) else {
                continue;
            };
            if let Some(team) = self.teams.get_mut(&ask.team) {
                team.hints.note(&ask.to, Hint::default(), now);
            }
            if ask.extend.is_none() {
                self.answered(now, &ask.team);
            }
        }
    }

    fn answered(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.asking = team.asking.saturating_sub(1);
        let enough = Tokens::whole(team.waiting.len() as u64) <= team.bucket.level();
        if !enough && team.asking == 0 {
            self.seek(now, id, Tokens::ZERO);
        }
        self.serve(now, id);
    }

    pub(super) fn ask(
        &mut self,
        now: Instant,
        id: &TeamId,
        to: HostId,
        need: Tokens,
        expected: Tokens,
        extend: Option<LoanId>,
    ) {
        let number = self.new_id();
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if extend.is_none() {
            team.asking += 1;
        }
        let message = Message::Ask {
            id: number,
            team: id.clone(),
            need,
            rate: team.wanted_rate(now),
            extend,
            hint: team.hint(now),
        };
        let ask = Ask {
            to: to.clone(),
            team: id.clone(),
            sent: now,
            need: expected,
            extend,
        };
        self.asks.insert(number, ask);
        self.counters.asks += 1;
        self.send(to, message);
    }

    /// Tokens that asks under way will probably bring.
    fn coming(&self, id: &TeamId) -> Tokens {
        let asks = self
            .asks
            .values()
            .filter(|a| a.team == *id && a.extend.is_none());
        asks.fold(Tokens::ZERO, |sum, ask| sum + ask.need)
    }

    /// Hosts that probably have tokens: those that have enough first, then nearest, then richest.
    fn candidates(&self, now: Instant, id: &TeamId, need: Tokens) -> Vec<(HostId, Tokens)> {
        let Some(team) = self.teams.get(id) else {
            return Vec::new();
        };
        let holders = team
            .shards()
            .iter()
            .filter_map(|s| self.notes.get(s))
            .map(|n| &n.holder);
        let mut hosts: Vec<&HostId> = holders.chain(team.hints.hosts()).collect();
        hosts.sort();
        hosts.dedup();
        let asked = |host: &HostId| {
            let asks = self.asks.values();
            let asks = asks.filter(|a| a.to == *host && a.team == *id && a.extend.is_none());
            asks.fold(Tokens::ZERO, |sum, ask| sum + ask.need)
        };
        let mut found = Vec::new();
        for host in hosts {
            let Some(peer) = self.peers.get(host) else {
                continue;
            };
            let guess = || team.limit.burst.part(1, team.shards().len() as u64);
            let estimate = team.hints.estimate(host, now).unwrap_or_else(guess);
            let estimate = estimate.min(team.limit.burst).saturating_sub(asked(host));
            if estimate >= LEAST_ESTIMATE {
                let order = (estimate < need, peer.distance, Reverse(estimate));
                found.push((order, host.clone(), estimate));
            }
        }
        found.sort();
        found
            .into_iter()
            .map(|(_, host, estimate)| (host, estimate))
            .collect()
    }
}

impl Team {
    fn accept(&mut self, from: &HostId, offer: &Offer, until: Instant) {
        let cap = offer.cap.min(self.limit.burst);
        if cap == Tokens::ZERO {
            return;
        }
        let source = Source::Loan {
            from: from.clone(),
            loan: offer.loan,
        };
        let part = Part {
            source,
            rate: offer.rate.min(self.limit.rate),
            cap,
            until: Some(until),
        };
        self.bucket.borrow(part, offer.tokens.min(cap));
    }

    /// Tokens for the demand of the coming moments, a whole one at least where that is likely used.
    ///
    /// What all hosts keep ready together must be small against the burst, and nothing is kept away
    /// from the only holder for less than a request.
    pub(super) fn ahead(&self, now: Instant, horizon: Duration) -> Tokens {
        let full = self
            .limit
            .rate
            .time_for(self.limit.burst)
            .unwrap_or_default();
        let horizon = horizon.min(full / AHEAD_PARTS);
        let ahead = rate_of(self.bucket.demand.at(now)).over(horizon);
        let alone = self.shards().len() == 1 && ahead < Tokens::ONE;
        if alone {
            Tokens::ZERO
        } else if ahead >= LEAST_AHEAD {
            ahead.max(Tokens::ONE)
        } else {
            ahead
        }
    }

    /// The rate that this host lacks for its demand.
    fn wanted_rate(&self, now: Instant) -> Rate {
        if self.shards().len() == 1 {
            return Rate::ZERO;
        }
        let demand = self.bucket.demand.at(now) * WANTED_DEMAND;
        rate_of((demand - per_second(self.bucket.rate())).max(0.0))
    }
}
