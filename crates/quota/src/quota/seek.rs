//! Asking other hosts for tokens and rate.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::{Ask, Quota, Team};
use crate::bucket::{Part, Source};
use crate::demand::{per_second, rate_of};
use crate::message::{Hint, LoanId, Message};
use crate::settings::Mutant;

/// A host with fewer tokens is not asked.
const LEAST_ESTIMATE: Tokens = Tokens::from_micros(200_000);
/// At most so many hosts are asked at once.
const FANOUT: usize = 4;
/// At most so many hosts are asked ahead of demand.
const FANOUT_AHEAD: usize = 2;
/// The pause between asks ahead of demand.
const AHEAD_PAUSE: Duration = Duration::from_millis(50);
/// The rate that a host asks for, over its demand.
const WANTED_DEMAND: f64 = 1.1;
/// A borrowed rate is given back when the rest is this much over the demand.
const SURPLUS_DEMAND: f64 = 1.5;
/// Tokens about to lose their room are given back this long before.
const RETURN_AHEAD: Duration = Duration::from_millis(150);

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
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if now < team.next_ask || team.asking > 0 {
            return;
        }
        let wanted = team.ahead(now, self.settings.prefetch_horizon);
        let low = team.bucket.level() < wanted;
        let slow = team.wanted_rate(now) > Rate::ZERO;
        if !low && !slow {
            return;
        }
        team.next_ask = now + AHEAD_PAUSE;
        let need = (wanted + wanted).saturating_sub(team.bucket.level());
        let found = self.candidates(now, id, need);
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
        let until = if late {
            now + offer.life
        } else {
            sent + offer.life
        };
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
        let timeout = self.settings.gather_timeout;
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

    /// Keeps up loans, returns what is not needed, and tells hosts that asked in vain.
    pub(super) fn step_teams(&mut self, now: Instant) {
        let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
        for id in ids {
            if let Some(team) = self.teams.get_mut(&id) {
                team.bucket.advance(now);
            }
            self.keep_loans(now, &id);
            self.serve(now, &id);
            self.tell_owed(now, &id);
            let active = self
                .teams
                .get(&id)
                .is_some_and(|t| t.bucket.demand.at(now) > 0.1);
            if active {
                self.prefetch(now, &id);
            }
        }
    }

    /// Returns everything borrowed.
    pub(super) fn return_all(&mut self) {
        let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
        for id in ids {
            let Some(team) = self.teams.get(&id) else {
                continue;
            };
            let sources: Vec<Source> = team
                .bucket
                .parts()
                .iter()
                .map(|p| p.source.clone())
                .collect();
            for source in sources {
                self.give_back(&id, &source);
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

    fn keep_loans(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get(id) else {
            return;
        };
        let demand = team.bucket.demand.at(now);
        let rate = per_second(team.bucket.rate());
        let mut parts: Vec<Part> = team.bucket.parts().to_vec();
        parts.retain(|p| p.until.is_some());
        for part in parts {
            let Source::Loan { from, loan } = &part.source else {
                continue;
            };
            let left = part
                .until
                .map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
            let rest = rate - per_second(part.rate);
            let lasting = part.rate > Rate::ZERO;
            if lasting && rest > SURPLUS_DEMAND * demand {
                self.give_back(id, &part.source);
            } else if lasting && left < self.settings.loan_term / 2 && rest < demand * WANTED_DEMAND
            {
                self.ask_more(now, id, from, *loan);
            } else if left < RETURN_AHEAD && self.is_excess(id, part.cap) {
                self.give_back(id, &part.source);
            }
        }
    }

    fn is_excess(&self, id: &TeamId, cap: Tokens) -> bool {
        self.teams.get(id).is_some_and(|team| {
            let rest = team.bucket.cap().saturating_sub(cap);
            team.waiting.is_empty() && team.bucket.level() > rest
        })
    }

    fn give_back(&mut self, id: &TeamId, source: &Source) {
        let Source::Loan { from, loan } = source else {
            return;
        };
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if let Some(tokens) = team.bucket.give_back(source) {
            let message = Message::Return {
                loan: *loan,
                team: id.clone(),
                tokens,
            };
            self.send(from.clone(), message);
        }
    }

    fn ask_more(&mut self, now: Instant, id: &TeamId, from: &HostId, loan: LoanId) {
        let asked = self
            .asks
            .values()
            .any(|a| a.extend == Some(loan) && a.to == *from);
        if !asked {
            self.ask(
                now,
                id,
                from.clone(),
                Tokens::ZERO,
                Tokens::ZERO,
                Some(loan),
            );
        }
    }

    fn ask(
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
            self.asks
                .values()
                .any(|a| a.to == *host && a.team == *id && a.extend.is_none())
        };
        let mut found = Vec::new();
        for host in hosts {
            let Some(peer) = self.peers.get(host).filter(|_| !asked(host)) else {
                continue;
            };
            let guess = || team.limit.burst.part(1, team.shards().len() as u64);
            let estimate = team.hints.estimate(host, now).unwrap_or_else(guess);
            if estimate >= LEAST_ESTIMATE {
                let order = (estimate < need, peer.distance, std::cmp::Reverse(estimate));
                found.push((order, host.clone(), estimate));
            }
        }
        found.sort();
        found
            .into_iter()
            .map(|(_, host, estimate)| (host, estimate))
            .collect()
    }

    /// Tells hosts that asked in vain once there are tokens for them.
    fn tell_owed(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get_mut(id).filter(|team| !team.owed.is_empty()) else {
            return;
        };
        if team.hint(now).level < Tokens::ONE {
            return;
        }
        let owed = std::mem::take(&mut team.owed);
        for host in owed {
            let message = self.gossip_about(now, std::slice::from_ref(id));
            self.send(host, message);
        }
    }
}

impl Team {
    fn accept(&mut self, from: &HostId, offer: &Offer, until: Instant) {
        if offer.cap == Tokens::ZERO {
            return;
        }
        let source = Source::Loan {
            from: from.clone(),
            loan: offer.loan,
        };
        let part = Part {
            source,
            rate: offer.rate,
            cap: offer.cap,
            until: Some(until),
        };
        self.bucket.borrow(part, offer.tokens.min(offer.cap));
    }

    /// Tokens for the demand of the coming moments.
    fn ahead(&self, now: Instant, horizon: Duration) -> Tokens {
        rate_of(self.bucket.demand.at(now)).over(horizon)
    }

    /// The rate that this host lacks for its demand.
    fn wanted_rate(&self, now: Instant) -> Rate {
        let demand = self.bucket.demand.at(now) * WANTED_DEMAND;
        rate_of((demand - per_second(self.bucket.rate())).max(0.0))
    }
}
