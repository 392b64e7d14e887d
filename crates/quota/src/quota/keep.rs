//! Keeping up loans, and giving back what is not needed.

use std::time::{Duration, Instant};

use wagtail_types::{HostId, Rate, TeamId, Tokens};

use super::seek::WANTED_DEMAND;
use super::{Quota, Team};
use crate::bucket::{Part, Source};
use crate::demand::per_second;
use crate::message::{LoanId, Message};

/// A borrowed rate is given back when the rest is this much over the demand.
const SURPLUS_DEMAND: f64 = 1.5;
/// Tokens about to lose their room are given back this long before.
const RETURN_AHEAD: Duration = Duration::from_millis(150);

impl Quota {
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

    /// Gives back loans of tokens that are spent or not needed, as they are missing at the lender.
    pub(super) fn settle(&mut self, now: Instant, id: &TeamId) {
        while let Some(source) = self
            .teams
            .get(id)
            .and_then(|team| team.idle_loan(now, self))
        {
            if !self.give_back(id, &source) {
                return;
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

    fn give_back(&mut self, id: &TeamId, source: &Source) -> bool {
        let Source::Loan { from, loan } = source else {
            return false;
        };
        let team = self.teams.get_mut(id);
        let Some(tokens) = team.and_then(|team| team.bucket.give_back(source)) else {
            return false;
        };
        let (loan, team) = (*loan, id.clone());
        self.send(from.clone(), Message::Return { loan, team, tokens });
        true
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
    fn idle_loan(&self, now: Instant, quota: &Quota) -> Option<Source> {
        let horizon = quota.settings.prefetch_horizon;
        let idle = self.waiting.is_empty() && self.ahead(now, horizon) == Tokens::ZERO;
        self.bucket.loan_of_tokens(idle)
    }
}
