//! Claims of caller-chosen keys on the table service.

use std::time::{Duration, Instant};

use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Reason, ServiceId, TeamId, Verdict};

use crate::begin::blind;
use crate::entry::{EntryId, Name, State};
use crate::settings::Mutant;
use crate::{ChosenKey, Effect, Once, Permit, Resolution};

/// The row that claims a caller-chosen key; its key is team, service and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// The team that the key counts within.
    pub team: TeamId,
    /// The service that the key counts within.
    pub service: ServiceId,
    /// The caller's key.
    pub key: ChosenKey,
    /// The host that claims it.
    pub host: HostId,
    /// The life of the host that claims it.
    pub incarnation: Incarnation,
    /// How long the row must be kept at least.
    pub lasts: Duration,
}

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The row is there under this claim, now or from an earlier write.
    Applied,
    /// Another claim was first.
    AlreadyHeldBy {
        /// The host that holds the key.
        host: HostId,
        /// The life of that host.
        incarnation: Incarnation,
    },
    /// A read found no row.
    Absent,
    /// The write may have taken effect, or the read failed.
    Unknown,
    /// The table service could not be asked.
    Unavailable,
}

impl Once {
    pub(crate) fn push_claim(&mut self, id: EntryId, claim: AttemptId) {
        if let Some(row) = self.row(id) {
            self.effects.push_back(Effect::Claim { claim, row });
        }
    }

    fn push_read(&mut self, id: EntryId, claim: AttemptId) {
        if let Some(row) = self.row(id) {
            self.effects.push_back(Effect::ReadClaim { claim, row });
        }
    }

    fn row(&self, id: EntryId) -> Option<ClaimRow> {
        let Name::Chosen { team, service, key } = &self.entries[id].name else {
            return None;
        };
        Some(ClaimRow {
            team: team.clone(),
            service: service.clone(),
            key: key.clone(),
            host: self.host.clone(),
            incarnation: self.incarnation,
            lasts: self.settings.row_life,
        })
    }

    /// Takes in an answer of the table service; one that comes late changes nothing.
    pub(crate) fn claimed(&mut self, now: Instant, claim: AttemptId, result: ClaimResult) {
        let Some(&id) = self.claims.get(&claim) else {
            return;
        };
        match self.entries[id].state {
            State::Claiming { tries, .. } => self.advance(now, id, claim, tries, result),
            State::Free { .. } => self.late(id, claim, &result),
            _ => {}
        }
    }

    fn advance(
        &mut self,
        now: Instant,
        id: EntryId,
        claim: AttemptId,
        tries: u32,
        result: ClaimResult,
    ) {
        match result {
            ClaimResult::Applied => self.run_first(now, id, claim),
            ClaimResult::AlreadyHeldBy { .. } if self.settings.broken(Mutant::IgnoreHolder) => {
                self.run_first(now, id, claim);
            }
            ClaimResult::AlreadyHeldBy { host, incarnation } => {
                self.held_elsewhere(id, &host, incarnation);
            }
            ClaimResult::Unknown if self.settings.broken(Mutant::TrustUnknown) => {
                self.run_first(now, id, claim);
            }
            ClaimResult::Unknown | ClaimResult::Absent if tries < self.settings.claim_tries => {
                let tries = tries + 1;
                self.entries[id].state = State::Claiming { claim, tries };
                if result == ClaimResult::Absent {
                    self.push_claim(id, claim);
                } else {
                    self.push_read(id, claim);
                }
            }
            ClaimResult::Unknown | ClaimResult::Absent | ClaimResult::Unavailable => {
                self.give_up(now, id, claim);
            }
        }
    }

    /// The claim is made: the first request that waits runs.
    fn run_first(&mut self, now: Instant, id: EntryId, claim: AttemptId) {
        self.claims.remove(&claim);
        if self.entries[id].waiters.is_empty() {
            self.settle(now, id, State::Free { claim: None });
            return;
        }
        let entry = &mut self.entries[id];
        let first = entry.waiters.remove(0);
        entry.state = State::Running;
        self.running += 1;
        let permit = Permit::new(id, self.dropped.clone());
        self.resolve_one(&first, Resolution::Run(permit));
    }

    /// Another claim was first: its host answers, if it is still there.
    fn held_elsewhere(&mut self, id: EntryId, host: &HostId, incarnation: Incarnation) {
        let own = *host == self.host && incarnation == self.incarnation;
        let live = *host != self.host && self.is_live(host, incarnation);
        let verdict = if own {
            Verdict::may_have_run(Cause::Unknown)
        } else if self.settings.broken(Mutant::GoneIsNotRun) {
            Verdict::not_run(Reason::ClaimFailed, None)
        } else {
            Verdict::may_have_run(Cause::IssuerGone)
        };
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let to = match waiter.attempt {
                None if live => Resolution::Relay { host: host.clone() },
                // A relayed request goes no further.
                Some(attempt) => {
                    self.note_verdict(attempt, &verdict);
                    Resolution::Refuse(verdict.clone())
                }
                None => Resolution::Refuse(verdict.clone()),
            };
            self.resolve_one(&waiter, to);
        }
        self.remove(id);
    }

    /// The claim may or may not be made, and nothing has run under it.
    fn give_up(&mut self, now: Instant, id: EntryId, claim: AttemptId) {
        let retry = Some(self.settings.claim_retry);
        for waiter in std::mem::take(&mut self.entries[id].waiters) {
            let verdict = blind(waiter.repeat, Reason::ClaimFailed, retry);
            if let Some(attempt) = waiter.attempt {
                self.note_verdict(attempt, &verdict);
            }
            self.resolve_one(&waiter, Resolution::Refuse(verdict));
        }
        self.entries[id].relayed.clear();
        self.settle(now, id, State::Free { claim: Some(claim) });
    }

    /// An answer to a claim that was given up.
    fn late(&mut self, id: EntryId, claim: AttemptId, result: &ClaimResult) {
        match result {
            ClaimResult::Applied => {
                self.claims.remove(&claim);
                self.entries[id].state = State::Free { claim: None };
            }
            ClaimResult::AlreadyHeldBy { .. } => {
                self.remove(id);
            }
            _ => {}
        }
    }
}
