//! Claims of caller-chosen keys, stored in the table service.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, ServiceId, TeamId, Verdict};

use crate::begin::unresolved_verdict;
use crate::entry::{EntryId, EntryKey, State};
use crate::settings::Mutant;
use crate::{ChosenKey, Deduplicator, Effect, Permit, Resolution};

/// A row that claims a caller-chosen key; its row key consists of team, service and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// The team in whose scope the key lies.
    pub team: TeamId,
    /// The service in whose scope the key lies.
    pub service: ServiceId,
    /// The caller's key.
    pub key: ChosenKey,
    /// The host that claims the key.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
    /// The minimum time for which the row must be retained.
    pub retention: Duration,
}

/// The result of writing or reading a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The row exists and belongs to this claim, from this write or an earlier one.
    Applied,
    /// The row belongs to another claim.
    AlreadyHeldBy {
        /// The host that has claimed the key.
        host: HostId,
        /// The incarnation of that host.
        incarnation: Incarnation,
    },
    /// A read found no row.
    Absent,
    /// The write may have taken effect, or the read failed.
    Unknown,
    /// The table service could not be called.
    Unavailable,
}

impl Deduplicator {
    pub(crate) fn push_claim(&mut self, id: EntryId, claim: AttemptId) {
        if let Some(row) = self.claim_row(id) {
            self.effects.push_back(Effect::Claim { claim, row });
        }
    }

    fn push_read(&mut self, id: EntryId, claim: AttemptId) {
        if let Some(row) = self.claim_row(id) {
            self.effects.push_back(Effect::ReadClaim { claim, row });
        }
    }

    fn claim_row(&self, id: EntryId) -> Option<ClaimRow> {
        let EntryKey::Chosen { team, service, key } = &self.entries[id].key else {
            return None;
        };
        Some(ClaimRow {
            team: team.clone(),
            service: service.clone(),
            key: key.clone(),
            host: self.host.clone(),
            incarnation: self.incarnation,
            retention: self.settings.row_retention,
        })
    }

    /// Processes a result of the table service; results for claims already settled are ignored.
    pub(crate) fn handle_claim_result(
        &mut self,
        now: Instant,
        claim: AttemptId,
        result: ClaimResult,
    ) {
        let Some(&id) = self.claims.get(&claim) else {
            return;
        };
        match self.entries[id].state {
            State::Claiming { retries, .. } => self.advance_claim(now, id, claim, retries, result),
            State::NotRun { .. } => self.handle_late_result(id, claim, &result),
            _ => {}
        }
    }

    fn advance_claim(
        &mut self,
        now: Instant,
        id: EntryId,
        claim: AttemptId,
        retries: u32,
        result: ClaimResult,
    ) {
        match result {
            ClaimResult::Applied => self.run_first_waiter(now, id, claim),
            ClaimResult::AlreadyHeldBy { .. } if self.settings.has_mutant(Mutant::IgnoreHolder) => {
                self.run_first_waiter(now, id, claim);
            }
            ClaimResult::AlreadyHeldBy { host, incarnation } => {
                self.claim_lost(id, &host, incarnation);
            }
            ClaimResult::Unknown if self.settings.has_mutant(Mutant::TrustUnknownClaim) => {
                self.run_first_waiter(now, id, claim);
            }
            ClaimResult::Unknown | ClaimResult::Absent if retries < self.settings.claim_retries => {
                let retries = retries + 1;
                self.entries[id].state = State::Claiming { claim, retries };
                if result == ClaimResult::Absent {
                    self.push_claim(id, claim);
                } else {
                    self.push_read(id, claim);
                }
            }
            ClaimResult::Unknown | ClaimResult::Absent | ClaimResult::Unavailable => {
                self.abandon_claim(now, id, claim);
            }
        }
    }

    /// Runs the first waiting request after its claim was applied.
    fn run_first_waiter(&mut self, now: Instant, id: EntryId, claim: AttemptId) {
        self.claims.remove(&claim);
        if self.entries[id].waiters.is_empty() {
            self.store_outcome(now, id, State::NotRun { claim: None });
            return;
        }
        let entry = &mut self.entries[id];
        let first = entry.waiters.remove(0);
        entry.state = State::Running;
        self.running += 1;
        let permit = Permit::new(id, self.dropped.clone());
        self.resolve_waiter(&first, Resolution::Run(permit));
    }

    /// Relays waiting requests to the host that holds the key, or refuses them if it is gone.
    fn claim_lost(&mut self, id: EntryId, host: &HostId, incarnation: Incarnation) {
        let is_own = *host == self.host && incarnation == self.incarnation;
        let is_alive = *host != self.host && self.may_be_alive(host, incarnation);
        let verdict = if is_own {
            Verdict::may_have_run(Cause::Unknown)
        } else if self.settings.has_mutant(Mutant::LostHostNotRun) {
            Verdict::not_run(Reason::ClaimFailed, None)
        } else {
            Verdict::may_have_run(Cause::IssuerGone)
        };
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let to = match waiter.attempt {
                None if is_alive => Resolution::Relay { host: host.clone() },
                // A relayed request is never relayed again.
                Some(attempt) => {
                    self.record_verdict(attempt, &verdict);
                    Resolution::Refuse(verdict.clone())
                }
                None => Resolution::Refuse(verdict.clone()),
            };
            self.resolve_waiter(&waiter, to);
        }
        self.remove_entry(id);
    }

    /// Refuses waiting requests after a claim that may or may not have been applied.
    ///
    /// Nothing has run under it, so the next attempt uses the same claim.
    fn abandon_claim(&mut self, now: Instant, id: EntryId, claim: AttemptId) {
        let retry_after = Some(self.settings.retry_after);
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let verdict = unresolved_verdict(waiter.repeat, Reason::ClaimFailed, retry_after);
            if let Some(attempt) = waiter.attempt {
                self.record_verdict(attempt, &verdict);
            }
            self.resolve_waiter(&waiter, Resolution::Refuse(verdict));
        }
        self.entries[id].relayed.clear();
        self.store_outcome(now, id, State::NotRun { claim: Some(claim) });
    }

    /// Processes a result for a claim that was abandoned.
    fn handle_late_result(&mut self, id: EntryId, claim: AttemptId, result: &ClaimResult) {
        match result {
            ClaimResult::Applied => {
                self.claims.remove(&claim);
                self.entries[id].state = State::NotRun { claim: None };
            }
            ClaimResult::AlreadyHeldBy { .. } => {
                self.remove_entry(id);
            }
            _ => {}
        }
    }
}
