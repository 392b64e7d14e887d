//! Borrowing tokens and rate from peers.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::{LoanRequest, Quota, Team};
use crate::bucket::{Allocation, Source};
use crate::demand::{per_second, rate_of};
use crate::message::{Hint, LoanId, Message};
use crate::settings::Mutant;

/// Upper bound on the duration of a borrowed loan, whatever its lender says.
const MAX_LOAN_TERM: Duration = Duration::from_secs(60);
/// Smallest estimate of a peer's tokens for which a loan is requested from it.
const MIN_ESTIMATE: Tokens = Tokens::from_micros(200_000);
/// Maximum number of peers from which a loan is requested at once.
const REQUEST_FANOUT: usize = 4;
/// Maximum number of peers from which a loan is requested at once ahead of demand.
const PREFETCH_FANOUT: usize = 2;
/// Minimum interval between loan requests ahead of demand.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(20);
/// A host prefetches for at most the time in which the burst fills, divided by this.
const PREFETCH_DIVISOR: u32 = 10;
/// If the prefetch horizon needs at least this much, a whole token is kept ready.
const MIN_PREFETCH: Tokens = Tokens::from_micros(250_000);
/// Minimum interval between loan requests made only for lack of rate.
const RATE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Rate that a host wants, as a multiple of its demand.
pub(super) const WANTED_RATE_FACTOR: f64 = 1.1;

/// Contents of a received loan message.
#[derive(Debug)]
pub(super) struct ReceivedLoan {
    pub(super) loan: LoanId,
    pub(super) rate: Rate,
    pub(super) cap: Tokens,
    pub(super) tokens: Tokens,
    pub(super) duration: Duration,
    pub(super) hint: Hint,
}

impl Quota {
    /// Requests loans of the tokens that the waiting requests and `extra` lack.
    ///
    /// Returns false if the peers probably cannot cover the deficit.
    pub(super) fn request_tokens(&mut self, now: Instant, id: &TeamId, extra: Tokens) -> bool {
        let Some(team) = self.teams.get(id) else {
            return false;
        };
        let needed = Tokens::whole(team.waiting.len() as u64) + extra;
        let incoming = self.incoming_tokens(id);
        let deficit = needed
            .saturating_sub(team.bucket.level())
            .saturating_sub(incoming);
        if deficit == Tokens::ZERO {
            return true;
        }
        let reserve = team.prefetch_target(now, self.settings.prefetch_horizon);
        let found = self.candidates(now, id, deficit);
        let mut expected = Tokens::ZERO;
        let mut chosen = Vec::new();
        for (host, estimate) in found.into_iter().take(REQUEST_FANOUT) {
            if expected >= deficit + deficit.part(1, 2) {
                break;
            }
            expected += estimate;
            chosen.push((host, estimate));
        }
        if expected < deficit {
            return false;
        }
        for (host, estimate) in chosen {
            self.send_loan_request(
                now,
                id,
                host,
                deficit + reserve,
                estimate.min(deficit),
                None,
            );
        }
        true
    }

    /// Requests loans ahead of demand if tokens or rate run short.
    pub(super) fn prefetch(&mut self, now: Instant, id: &TeamId) {
        let incoming = self.incoming_tokens(id);
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if now < team.next_prefetch {
            return;
        }
        let target = team.prefetch_target(now, self.settings.prefetch_horizon);
        let needs_rate = team.rate_deficit(now) > Rate::ZERO && now >= team.rate_due;
        if team.bucket.level().saturating_add(incoming) >= target && !needs_rate {
            return;
        }
        team.next_prefetch = now + PREFETCH_INTERVAL;
        if needs_rate {
            team.rate_due = now + RATE_REQUEST_INTERVAL;
        }
        let need = (target + target)
            .saturating_sub(team.bucket.level())
            .saturating_sub(incoming);
        let mut found = self.candidates(now, id, need);
        if needs_rate && let Some(team) = self.teams.get(id) {
            found.sort_by_key(|(host, _)| Reverse(team.hints.spare_rate(host)));
        }
        for (host, estimate) in found.into_iter().take(PREFETCH_FANOUT) {
            self.send_loan_request(now, id, host, need, estimate.min(need), None);
        }
    }

    pub(super) fn on_loan(
        &mut self,
        now: Instant,
        from: &HostId,
        id: u64,
        team_id: &TeamId,
        received: &ReceivedLoan,
    ) {
        let known = self
            .loan_requests
            .get(&id)
            .filter(|r| r.to == *from && r.team == *team_id);
        let Some((sent, extend)) = known.map(|request| (request.sent, request.extend)) else {
            return;
        };
        if !self.settings.has_mutant(Mutant::CreditTwice) {
            self.loan_requests.remove(&id);
        }
        let credits_late = self.settings.has_mutant(Mutant::LateCredit);
        let Some(team) = self.teams.get_mut(team_id) else {
            return;
        };
        team.bucket.advance(now);
        team.hints.record(from, received.hint, now);
        let duration = received.duration.min(MAX_LOAN_TERM);
        let until = if credits_late {
            now + duration
        } else {
            sent + duration
        };
        match extend {
            Some(loan) if loan == received.loan => {
                team.bucket.extend_borrowed(from, loan, until);
            }
            None if until > now => team.accept(from, received, until),
            Some(_) | None => {}
        }
        if extend.is_none() {
            self.finish_loan_request(now, team_id);
        }
    }

    /// Drops loan requests that were not answered in time.
    pub(super) fn expire_loan_requests(&mut self, now: Instant) {
        let credits_late = self.settings.has_mutant(Mutant::LateCredit);
        let timeout = self.settings.borrow_timeout * if credits_late { 4 } else { 1 };
        let expired = self
            .loan_requests
            .iter()
            .filter(|(_, request)| now >= request.sent + timeout);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(request) = self.loan_requests.remove(&id) else {
                continue;
            };
            if let Some(team) = self.teams.get_mut(&request.team) {
                team.hints.record(&request.to, Hint::default(), now);
            }
            if request.extend.is_none() {
                self.finish_loan_request(now, &request.team);
            }
        }
    }

    fn finish_loan_request(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        team.pending_loans = team.pending_loans.saturating_sub(1);
        let enough = Tokens::whole(team.waiting.len() as u64) <= team.bucket.level();
        if !enough && team.pending_loans == 0 {
            self.request_tokens(now, id, Tokens::ZERO);
        }
        self.serve(now, id);
    }

    pub(super) fn send_loan_request(
        &mut self,
        now: Instant,
        id: &TeamId,
        to: HostId,
        need: Tokens,
        expected: Tokens,
        extend: Option<LoanId>,
    ) {
        let request_id = self.new_id();
        let Some(team) = self.teams.get_mut(id) else {
            return;
        };
        if extend.is_none() {
            team.pending_loans += 1;
        }
        let message = Message::LoanRequest {
            id: request_id,
            team: id.clone(),
            need,
            rate: team.rate_deficit(now),
            extend,
            hint: team.hint(now),
        };
        let request = LoanRequest {
            to: to.clone(),
            team: id.clone(),
            sent: now,
            expected_tokens: expected,
            extend,
        };
        self.loan_requests.insert(request_id, request);
        self.counters.loan_requests += 1;
        self.send(to, message);
    }

    /// Returns the tokens that loan requests in flight will probably bring.
    fn incoming_tokens(&self, id: &TeamId) -> Tokens {
        let requests = self
            .loan_requests
            .values()
            .filter(|r| r.team == *id && r.extend.is_none());
        requests.fold(Tokens::ZERO, |sum, request| sum + request.expected_tokens)
    }

    /// Returns peers that probably have tokens, with the estimated number.
    ///
    /// Peers that can cover `need` come first, then the nearest, then those with the most tokens.
    fn candidates(&self, now: Instant, id: &TeamId, need: Tokens) -> Vec<(HostId, Tokens)> {
        let Some(team) = self.teams.get(id) else {
            return Vec::new();
        };
        let holders = team
            .shards()
            .iter()
            .filter_map(|s| self.known_holders.get(s))
            .map(|h| &h.holder);
        let mut hosts: Vec<&HostId> = holders.chain(team.hints.hosts()).collect();
        hosts.sort();
        hosts.dedup();
        let requested = |host: &HostId| {
            let requests = self.loan_requests.values();
            let requests =
                requests.filter(|r| r.to == *host && r.team == *id && r.extend.is_none());
            requests.fold(Tokens::ZERO, |sum, request| sum + request.expected_tokens)
        };
        let mut found = Vec::new();
        for host in hosts {
            let Some(peer) = self.peers.get(host) else {
                continue;
            };
            let equal_share = || team.limit.burst.part(1, team.shards().len() as u64);
            let estimate = team.hints.estimate(host, now).unwrap_or_else(equal_share);
            let estimate = estimate
                .min(team.limit.burst)
                .saturating_sub(requested(host));
            if estimate >= MIN_ESTIMATE {
                let order = (estimate < need, peer.latency, Reverse(estimate));
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
    fn accept(&mut self, from: &HostId, received: &ReceivedLoan, until: Instant) {
        let cap = received.cap.min(self.limit.burst);
        if cap == Tokens::ZERO {
            return;
        }
        let source = Source::Loan {
            from: from.clone(),
            loan: received.loan,
        };
        let allocation = Allocation {
            source,
            rate: received.rate.min(self.limit.rate),
            cap,
            until: Some(until),
        };
        self.bucket.borrow(allocation, received.tokens.min(cap));
    }

    /// Returns how many tokens to keep ready for the demand within `horizon`.
    ///
    /// This is at least one whole token if one is likely to be used. What all hosts keep ready
    /// together must be small compared to the burst. If a single host holds the whole limit,
    /// nothing is withheld from it for less than one request.
    pub(super) fn prefetch_target(&self, now: Instant, horizon: Duration) -> Tokens {
        let fill_time = self
            .limit
            .rate
            .time_for(self.limit.burst)
            .unwrap_or_default();
        let horizon = horizon.min(fill_time / PREFETCH_DIVISOR);
        let reserve = rate_of(self.bucket.demand.estimate(now)).over(horizon);
        let sole_shard = self.shards().len() == 1 && reserve < Tokens::ONE;
        if sole_shard {
            Tokens::ZERO
        } else if reserve >= MIN_PREFETCH {
            reserve.max(Tokens::ONE)
        } else {
            reserve
        }
    }

    /// Returns the rate that the local host lacks for its demand.
    fn rate_deficit(&self, now: Instant) -> Rate {
        if self.shards().len() == 1 {
            return Rate::ZERO;
        }
        let demand = self.bucket.demand.estimate(now) * WANTED_RATE_FACTOR;
        rate_of((demand - per_second(self.bucket.rate())).max(0.0))
    }
}
