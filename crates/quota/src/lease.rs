//! Lease of one shard: claiming, renewing, extending without the table, and releasing.

use std::time::{Duration, Instant};

use rand::Rng;
use wagtail_types::{AttemptId, Epoch};

use crate::io::{ReadOutcome, WriteOutcome};
use crate::message::{Row, TeamTokens};
use crate::settings::Mutant;

mod promise;
mod types;

pub(crate) use self::types::{Action, Context, InitialTokens};
use self::types::{ObservedRow, PromiseRound, WriteAttempt, WriteIntent};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts of a zone that read a shard's row several times per lease term.
const WATCHERS: usize = 3;
/// Interval, in lease terms, at which the other hosts read the row.
const NON_WATCHER_TERMS: u32 = 5;
/// Maximum number of remembered writes that may still take effect; older ones are forgotten.
const MAX_PENDING_WRITES: usize = 32;
const RENEWALS_PER_TERM: u32 = 3;

/// Lease of one shard as the local host sees it.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Last row that was read or written.
    observed: Option<ObservedRow>,
    /// End of the lease, if the local host holds it.
    until: Option<Instant>,
    /// When the last applied write was sent.
    last_renewal: Option<Instant>,
    /// When the table call in flight was sent.
    in_flight: Option<Instant>,
    /// Writes that may still take effect.
    attempts: Vec<WriteAttempt>,
    /// Whether the row must be read before it may be written.
    outcome_unknown: bool,
    /// When the row is next read or written; `None` means at once.
    next_call: Option<Instant>,
    promise_round: Option<PromiseRound>,
    /// Until when the local host has promised not to claim the shard.
    promised_until: Option<Instant>,
    /// Version of the row that the last claim was to replace.
    claimed_version: Option<u64>,
    /// Tokens left to the next holder, while the shard is being released.
    releasing: Option<Vec<TeamTokens>>,
}

impl Lease {
    /// Returns when the lease ends; `None` if the local host does not hold it.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the version and epoch of the row if the local host holds the lease.
    pub(crate) fn held_row(&self) -> Option<(u64, Epoch)> {
        self.until?;
        let observed = self.observed.as_ref()?;
        Some((observed.version?, observed.row.as_ref()?.epoch))
    }

    /// Returns the version and contents of the last known row.
    pub(crate) fn row(&self) -> Option<(u64, &Row)> {
        let observed = self.observed.as_ref()?;
        Some((observed.version?, observed.row.as_ref()?))
    }

    /// Ends the lease if it has expired.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.promise_round = None;
            out.push(Action::Lost);
            if self.releasing.take().is_some() {
                out.push(Action::Released);
            }
        }
    }

    /// Extends the lease, and writes or reads the row if that is due.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        self.request_promises(now, cx, rng, out);
        if self
            .in_flight
            .is_some_and(|since| now < since + CALL_TIMEOUT)
        {
            return;
        }
        self.in_flight = None;
        let due = self.next_call.is_none_or(|next| now >= next);
        let may_write =
            !self.outcome_unknown && (due || (self.until.is_none() && self.attempts.is_empty()));
        if (may_write && self.try_write(now, cx, rng, out)) || !due {
            return;
        }
        self.read(now, cx, out);
    }

    /// Handles the outcome of a read.
    pub(crate) fn on_row(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        outcome: ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        self.in_flight = None;
        match outcome {
            ReadOutcome::Failed => {}
            ReadOutcome::Absent => {
                self.outcome_unknown = false;
                self.observed.get_or_insert(ObservedRow {
                    version: None,
                    row: None,
                    first_seen: now,
                    last_seen: now,
                });
            }
            ReadOutcome::Found { version, row } => self.on_row_found(now, cx, version, row, out),
        }
    }

    /// Handles the outcome of a write.
    pub(crate) fn on_write(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        attempt: AttemptId,
        outcome: WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.attempts.iter().position(|t| t.row.attempt == attempt) else {
            return;
        };
        self.in_flight = None;
        self.next_call = None;
        match outcome {
            WriteOutcome::Applied { version } => {
                let row = self.attempts[index].row.clone();
                self.on_row_found(now, cx, version, row, out);
            }
            WriteOutcome::Conflict => {
                self.attempts.remove(index);
                self.outcome_unknown = true;
                self.read(now, cx, out);
            }
            WriteOutcome::Unknown if cx.settings.has_mutant(Mutant::UnknownIsFailure) => {
                let write = self.attempts.remove(index);
                self.outcome_unknown = false;
                if let (WriteIntent::Release, Some(tokens)) = (write.intent, self.releasing.take())
                {
                    out.push(Action::Gained(InitialTokens::Inherited(tokens)));
                }
            }
            WriteOutcome::Unknown => self.read(now, cx, out),
        }
    }

    /// Schedules an immediate read, because the holder announced that it released the shard.
    pub(crate) fn on_released(&mut self) {
        if self.until.is_none() {
            self.next_call = None;
        }
    }

    /// Starts to release the shard and leave these tokens to the next holder.
    pub(crate) fn release(&mut self, tokens: Vec<TeamTokens>) {
        self.releasing = Some(tokens);
        self.next_call = None;
    }

    pub(crate) fn is_releasing(&self) -> bool {
        self.releasing.is_some()
    }

    fn on_row_found(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        version: u64,
        row: Row,
        out: &mut Vec<Action>,
    ) {
        let known = self.observed.as_ref().and_then(|s| s.version);
        if known.is_some_and(|known| known > version) {
            return;
        }
        self.outcome_unknown = false;
        if let Some(observed) = self.observed.as_mut().filter(|_| known == Some(version)) {
            observed.last_seen = now;
            return;
        }
        let own_write = self
            .attempts
            .drain(..)
            .find(|t| t.row.attempt == row.attempt);
        let was_own_row = self.is_own_row(cx);
        let last = self.observed.replace(ObservedRow {
            version: Some(version),
            row: Some(row),
            first_seen: now,
            last_seen: now,
        });
        if let Some(last) = last
            .and_then(|s| s.row)
            .filter(|_| own_write.is_some() && !was_own_row)
        {
            out.push(Action::TakenOver(last));
        }
        match own_write {
            Some(WriteAttempt {
                intent: WriteIntent::Release,
                ..
            }) => {
                self.releasing = None;
                self.until = None;
                out.push(Action::Released);
            }
            Some(WriteAttempt {
                intent: WriteIntent::Hold(tokens),
                sent,
                ..
            }) => self.on_own_write(now, cx, sent, tokens, out),
            None => self.on_foreign_row(cx, out),
        }
    }

    /// Handles a new row that no known attempt of the local host wrote.
    fn on_foreign_row(&mut self, cx: &Context<'_>, out: &mut Vec<Action>) {
        if self.is_own_row(cx) {
            return;
        }
        if self.until.take().is_some() {
            out.push(Action::Lost);
        }
        if self.releasing.take().is_some() {
            out.push(Action::Released);
        }
    }

    /// Handles a row that an attempt of the local host wrote to hold the shard.
    fn on_own_write(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        sent: Instant,
        tokens: InitialTokens,
        out: &mut Vec<Action>,
    ) {
        let until = sent + cx.term();
        self.last_renewal = Some(sent);
        self.promise_round = None;
        if until <= now {
            return;
        }
        if self.until.is_none() && self.releasing.is_none() {
            out.push(Action::Gained(tokens));
        }
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
        self.next_call = Some(sent + cx.term() / RENEWALS_PER_TERM);
    }

    fn try_write(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(observed) = &self.observed else {
            return false;
        };
        let Some(intent) = self.intent(now, cx, observed) else {
            return false;
        };
        let expected = observed.version;
        let row = self.new_row(cx, &intent, AttemptId::random(rng));
        if !self.is_own_row(cx) {
            self.claimed_version = expected;
        }
        self.in_flight = Some(now);
        self.outcome_unknown = true;
        if self.attempts.len() >= MAX_PENDING_WRITES {
            self.attempts.remove(0);
        }
        self.attempts.push(WriteAttempt {
            row: row.clone(),
            sent: now,
            intent,
        });
        out.push(Action::Write { expected, row });
        true
    }

    fn intent(
        &self,
        now: Instant,
        cx: &Context<'_>,
        observed: &ObservedRow,
    ) -> Option<WriteIntent> {
        if self.releasing.is_some() {
            return self.is_own_row(cx).then_some(WriteIntent::Release);
        }
        let Some(row) = &observed.row else {
            return (now >= observed.first_seen + cx.claim_delay)
                .then_some(WriteIntent::Hold(InitialTokens::Full));
        };
        if cx.epoch < row.epoch {
            return None;
        }
        if self.is_own_row(cx) {
            return Some(WriteIntent::Hold(InitialTokens::Empty));
        }
        if row.holder.is_none() {
            let tokens = InitialTokens::Inherited(row.tokens.clone());
            return (now >= observed.first_seen + cx.claim_delay)
                .then_some(WriteIntent::Hold(tokens));
        }
        let wait = Self::claim_wait(cx, row);
        let is_promised = self.promised_until.is_some_and(|until| now < until);
        if is_promised && !cx.settings.has_mutant(Mutant::BreakPromise) {
            return None;
        }
        let tokens = if cx.settings.has_mutant(Mutant::FullAfterExpiry) {
            InitialTokens::Full
        } else {
            InitialTokens::Empty
        };
        (observed.last_seen >= observed.first_seen + wait + cx.claim_delay)
            .then_some(WriteIntent::Hold(tokens))
    }

    /// Returns how long a row must stay unchanged before the local host may claim it.
    fn claim_wait(cx: &Context<'_>, row: &Row) -> Duration {
        let is_member = row.members.contains(&cx.local_member());
        let wait = if is_member {
            cx.term()
        } else {
            cx.settings.outage_term.max(cx.term())
        };
        if cx.settings.has_mutant(Mutant::IgnoreMargin) {
            return wait;
        }
        cx.drift.stretch(wait)
    }

    /// Returns when another holder's row may be claimed if it does not change until then.
    fn claim_at(&self, cx: &Context<'_>) -> Option<Instant> {
        let observed = self.observed.as_ref()?;
        let row = observed.row.as_ref().filter(|row| row.holder.is_some())?;
        Some(observed.first_seen + Self::claim_wait(cx, row) + cx.claim_delay)
    }

    fn is_own_row(&self, cx: &Context<'_>) -> bool {
        let row = self.observed.as_ref().and_then(|s| s.row.as_ref());
        row.is_some_and(|row| row.holder.as_ref() == Some(&cx.local_member()))
    }

    fn new_row(&self, cx: &Context<'_>, intent: &WriteIntent, attempt: AttemptId) -> Row {
        let last = self.row().map(|(_, row)| row);
        let last_epoch = last.map_or(Epoch(0), |row| row.epoch);
        let confirmed = cx.confirmed.max(last.map_or(Epoch(0), |row| row.confirmed));
        let mut spreads = cx.spreads.to_vec();
        let older = last
            .filter(|row| confirmed < row.epoch)
            .map(|row| &row.spreads);
        for past in older.into_iter().flatten() {
            if !spreads.contains(past) {
                spreads.push(past.clone());
            }
        }
        let release = matches!(intent, WriteIntent::Release);
        let tokens = self.releasing.clone().filter(|_| release);
        Row {
            holder: (!release).then(|| cx.local_member()),
            epoch: cx.reached.max(last_epoch),
            confirmed,
            members: cx.members.to_vec(),
            attempt,
            tokens: tokens.unwrap_or_default(),
            spreads,
        }
    }

    fn read(&mut self, now: Instant, cx: &Context<'_>, out: &mut Vec<Action>) {
        self.in_flight = Some(now);
        let interval = if self.outcome_unknown || self.until.is_some() || self.releasing.is_some() {
            RETRY_INTERVAL
        } else if cx.rank < WATCHERS {
            cx.term() / RENEWALS_PER_TERM
        } else {
            cx.term() * NON_WATCHER_TERMS
        };
        let claim = self
            .claim_at(cx)
            .filter(|at| *at > now && cx.rank < WATCHERS);
        let next = now + interval;
        self.next_call = Some(claim.map_or(next, |at| at.min(next)));
        out.push(Action::Read);
    }
}
