//! Renewing loans, and returning what is not needed.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::borrow::WANTED_RATE_FACTOR;
use super::{Quota, Team};
use crate::bucket::{Allocation, Source};
use crate::demand::per_second;
use crate::message::{LoanId, Message};

/// A borrowed rate is returned if the remaining rate exceeds the demand by this factor.
const SURPLUS_RATE_FACTOR: f64 = 1.5;
/// Tokens that will exceed the capacity when a loan ends are returned this long before.
const RETURN_LEAD: Duration = Duration::from_millis(150);

impl Quota {
    /// Renews loans, returns what is not needed, and notifies peers that were refused a loan.
    pub(super) fn step_teams(&mut self, now: Instant) {
        let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
        for id in ids {
            if let Some(team) = self.teams.get_mut(&id) {
                team.bucket.advance(now);
            }
            self.renew_loans(now, &id);
            self.serve(now, &id);
            self.notify_unserved(now, &id);
            let active = self
                .teams
                .get(&id)
                .is_some_and(|t| t.bucket.demand.estimate(now) > 0.1);
            if active {
                self.prefetch(now, &id);
            }
        }
    }

    /// Returns loans of tokens that are spent or not needed, because the lender lacks them.
    pub(super) fn return_idle_loans(&mut self, now: Instant, id: &TeamId) {
        while let Some(source) = self
            .teams
            .get(id)
            .and_then(|team| team.idle_loan(now, self))
        {
            if !self.return_loan(id, &source) {
                return;
            }
        }
    }

    /// Returns all loans to their lenders.
    pub(super) fn return_all_loans(&mut self) {
        let ids: Vec<TeamId> = self.teams.keys().cloned().collect();
        for id in ids {
            let Some(team) = self.teams.get(&id) else {
                continue;
            };
            let sources: Vec<Source> = team
                .bucket
                .allocations()
                .iter()
                .map(|a| a.source.clone())
                .collect();
            for source in sources {
                self.return_loan(&id, &source);
            }
        }
    }

    fn renew_loans(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self.teams.get(id) else {
            return;
        };
        let demand = team.bucket.demand.estimate(now);
        let rate = per_second(team.bucket.rate());
        let mut allocations: Vec<Allocation> = team.bucket.allocations().to_vec();
        allocations.retain(|a| a.until.is_some());
        for allocation in allocations {
            let Source::Loan { from, loan } = &allocation.source else {
                continue;
            };
            let left = allocation
                .until
                .map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
            let rest = rate - per_second(allocation.rate);
            let has_rate = allocation.rate > Rate::ZERO;
            if has_rate && rest > SURPLUS_RATE_FACTOR * demand {
                self.return_loan(id, &allocation.source);
            } else if has_rate
                && left < self.settings.loan_term / 2
                && rest < demand * WANTED_RATE_FACTOR
            {
                self.request_renewal(now, id, from, *loan);
            } else if left < RETURN_LEAD && self.would_overflow(id, allocation.cap) {
                self.return_loan(id, &allocation.source);
            }
        }
    }

    fn would_overflow(&self, id: &TeamId, cap: Tokens) -> bool {
        self.teams.get(id).is_some_and(|team| {
            let rest = team.bucket.cap().saturating_sub(cap);
            team.waiting.is_empty() && team.bucket.level() > rest
        })
    }

    fn return_loan(&mut self, id: &TeamId, source: &Source) -> bool {
        let Source::Loan { from, loan } = source else {
            return false;
        };
        let team = self.teams.get_mut(id);
        let Some(tokens) = team.and_then(|team| team.bucket.end_borrowed(source)) else {
            return false;
        };
        let (loan, team) = (*loan, id.clone());
        self.send(from.clone(), Message::Return { loan, team, tokens });
        true
    }

    fn request_renewal(&mut self, now: Instant, id: &TeamId, from: &HostId, loan: LoanId) {
        let in_flight = self
            .loan_requests
            .values()
            .any(|r| r.extend == Some(loan) && r.to == *from);
        if !in_flight {
            self.send_loan_request(
                now,
                id,
                from.clone(),
                Tokens::ZERO,
                Tokens::ZERO,
                Some(loan),
            );
        }
    }

    /// Notifies peers that were refused a loan once there are tokens to lend.
    fn notify_unserved(&mut self, now: Instant, id: &TeamId) {
        let Some(team) = self
            .teams
            .get_mut(id)
            .filter(|team| !team.unserved.is_empty())
        else {
            return;
        };
        if team.hint(now).level < Tokens::ONE {
            return;
        }
        let peers = std::mem::take(&mut team.unserved);
        for host in peers {
            let message = self.gossip_about(now, std::slice::from_ref(id));
            self.send(host, message);
        }
    }
}

impl Team {
    fn idle_loan(&self, now: Instant, quota: &Quota) -> Option<Source> {
        let horizon = quota.settings.prefetch_horizon;
        let idle = self.waiting.is_empty() && self.prefetch_target(now, horizon) == Tokens::ZERO;
        self.bucket.idle_token_loan(idle)
    }
}
