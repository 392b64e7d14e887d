//! The lease of one shard: claiming, renewing, holding on without the table, releasing.

use std::time::{Duration, Instant};

use rand::Rng;
use wagtail_types::{AttemptId, Epoch};

use crate::io::{ReadOutcome, WriteOutcome};
use crate::message::{Row, TeamTokens};
use crate::settings::Mutant;

mod hold;
mod terms;

use self::terms::{Aim, Round, Seen, Try};
pub(crate) use self::terms::{Context, Out, Start};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// So many hosts of a zone read a shard's row all the time.
const WATCHERS: usize = 3;
/// The others read it once in so many terms.
const TERMS_UNWATCHED: u32 = 5;
const TRIES_KEPT: usize = 32;
const RENEWALS_PER_TERM: u32 = 3;

/// The lease of one shard as one host sees it.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    seen: Option<Seen>,
    until: Option<Instant>,
    written: Option<Instant>,
    busy: Option<Instant>,
    tries: Vec<Try>,
    unsure: bool,
    next: Option<Instant>,
    round: Option<Round>,
    promised: Option<Instant>,
    tried: Option<u64>,
    leaving: Option<Vec<TeamTokens>>,
}

impl Lease {
    /// When the lease ends, if this host holds it.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// The version and epoch of the row, if this host holds the lease.
    pub(crate) fn held_row(&self) -> Option<(u64, Epoch)> {
        self.until?;
        let seen = self.seen.as_ref()?;
        Some((seen.version?, seen.row.as_ref()?.epoch))
    }

    /// The holder that the row names, with the row's version and epoch.
    pub(crate) fn row(&self) -> Option<(u64, &Row)> {
        let seen = self.seen.as_ref()?;
        Some((seen.version?, seen.row.as_ref()?))
    }

    /// Ends the lease where its time is over.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Out>) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.round = None;
            out.push(Out::Lost);
            if self.leaving.take().is_some() {
                out.push(Out::Released);
            }
        }
    }

    /// Does what is due.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Out>,
    ) {
        self.hold_on(now, cx, rng, out);
        if self.busy.is_some_and(|since| now < since + CALL_TIMEOUT) {
            return;
        }
        self.busy = None;
        let due = self.next.is_none_or(|next| now >= next);
        let may_write = !self.unsure && (due || (self.until.is_none() && self.tries.is_empty()));
        if (may_write && self.try_write(now, cx, rng, out)) || !due {
            return;
        }
        self.read(now, cx, out);
    }

    /// Takes in what a read found.
    pub(crate) fn on_row(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        outcome: ReadOutcome,
        out: &mut Vec<Out>,
    ) {
        self.busy = None;
        match outcome {
            ReadOutcome::Failed => {}
            ReadOutcome::Absent => {
                self.unsure = false;
                self.seen.get_or_insert(Seen {
                    version: None,
                    row: None,
                    first: now,
                    last: now,
                });
            }
            ReadOutcome::Found { version, row } => self.on_found(now, cx, version, row, out),
        }
    }

    /// Takes in the outcome of a write.
    pub(crate) fn on_write(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        attempt: AttemptId,
        outcome: WriteOutcome,
        out: &mut Vec<Out>,
    ) {
        let Some(index) = self.tries.iter().position(|t| t.row.attempt == attempt) else {
            return;
        };
        self.busy = None;
        self.next = None;
        match outcome {
            WriteOutcome::Applied { version } => {
                let row = self.tries[index].row.clone();
                self.on_found(now, cx, version, row, out);
            }
            WriteOutcome::Conflict => {
                self.tries.remove(index);
                self.unsure = true;
                self.read(now, cx, out);
            }
            WriteOutcome::Unknown if cx.settings.has(Mutant::UnknownIsFailure) => {
                let lost = self.tries.remove(index);
                self.unsure = false;
                if let (Aim::Release, Some(tokens)) = (lost.aim, self.leaving.take()) {
                    out.push(Out::Gained(Start::Left(tokens)));
                }
            }
            WriteOutcome::Unknown => self.read(now, cx, out),
        }
    }

    /// Has the row read at once, as its holder said that it was released.
    pub(crate) fn on_released(&mut self) {
        if self.until.is_none() {
            self.next = None;
        }
    }

    /// Starts to give the shard up with these tokens.
    pub(crate) fn release(&mut self, tokens: Vec<TeamTokens>) {
        self.leaving = Some(tokens);
        self.next = None;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    fn on_found(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        version: u64,
        row: Row,
        out: &mut Vec<Out>,
    ) {
        let known = self.seen.as_ref().and_then(|s| s.version);
        if known.is_some_and(|known| known > version) {
            return;
        }
        self.unsure = false;
        if let Some(seen) = self.seen.as_mut().filter(|_| known == Some(version)) {
            seen.last = now;
            return;
        }
        let mine = self.tries.drain(..).find(|t| t.row.attempt == row.attempt);
        let was_mine = self.is_mine(cx);
        let last = self.seen.replace(Seen {
            version: Some(version),
            row: Some(row),
            first: now,
            last: now,
        });
        if let Some(last) = last
            .and_then(|s| s.row)
            .filter(|_| mine.is_some() && !was_mine)
        {
            out.push(Out::Took(last));
        }
        match mine {
            Some(Try {
                aim: Aim::Release, ..
            }) => {
                self.leaving = None;
                self.until = None;
                out.push(Out::Released);
            }
            Some(Try {
                aim: Aim::Hold(start),
                sent,
                ..
            }) => self.on_mine(now, cx, sent, start, out),
            None => self.on_other(cx, out),
        }
    }

    /// Takes in a row that no known attempt of this host wrote.
    fn on_other(&mut self, cx: &Context<'_>, out: &mut Vec<Out>) {
        if self.is_mine(cx) {
            return;
        }
        if self.until.take().is_some() {
            out.push(Out::Lost);
        }
        if self.leaving.take().is_some() {
            out.push(Out::Released);
        }
    }

    fn on_mine(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        sent: Instant,
        start: Start,
        out: &mut Vec<Out>,
    ) {
        let until = sent + cx.term();
        self.written = Some(sent);
        self.round = None;
        if until <= now {
            return;
        }
        if self.until.is_none() && self.leaving.is_none() {
            out.push(Out::Gained(start));
        }
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
        self.next = Some(sent + cx.term() / RENEWALS_PER_TERM);
    }

    fn try_write(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Out>,
    ) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let Some(aim) = self.aim(now, cx, seen) else {
            return false;
        };
        let expected = seen.version;
        let row = self.new_row(cx, &aim, AttemptId::random(rng));
        if !self.is_mine(cx) {
            self.tried = expected;
        }
        self.busy = Some(now);
        self.unsure = true;
        if self.tries.len() >= TRIES_KEPT {
            self.tries.remove(0);
        }
        self.tries.push(Try {
            row: row.clone(),
            sent: now,
            aim,
        });
        out.push(Out::Write { expected, row });
        true
    }

    fn aim(&self, now: Instant, cx: &Context<'_>, seen: &Seen) -> Option<Aim> {
        if self.leaving.is_some() {
            return self.is_mine(cx).then_some(Aim::Release);
        }
        let Some(row) = &seen.row else {
            return (now >= seen.first + cx.patience).then_some(Aim::Hold(Start::Full));
        };
        if cx.epoch < row.epoch {
            return None;
        }
        if self.is_mine(cx) {
            return Some(Aim::Hold(Start::Empty));
        }
        if row.holder.is_none() {
            let start = Start::Left(row.tokens.clone());
            return (now >= seen.first + cx.patience).then_some(Aim::Hold(start));
        }
        let wait = Self::claim_wait(cx, row);
        let bound = self.promised.is_some_and(|until| now < until);
        if bound && !cx.settings.has(Mutant::BreakPromise) {
            return None;
        }
        let start = if cx.settings.has(Mutant::FullAfterExpiry) {
            Start::Full
        } else {
            Start::Empty
        };
        (seen.last >= seen.first + wait + cx.patience).then_some(Aim::Hold(start))
    }

    /// How long a row must stand unchanged before this host may claim it.
    fn claim_wait(cx: &Context<'_>, row: &Row) -> Duration {
        let member = row.members.contains(&cx.me());
        let wait = if member {
            cx.term()
        } else {
            cx.settings.outage_term.max(cx.term())
        };
        if cx.settings.has(Mutant::IgnoreMargin) {
            return wait;
        }
        cx.drift.stretch(wait)
    }

    /// When another holder's row may be claimed, if it does not change before.
    fn claim_at(&self, cx: &Context<'_>) -> Option<Instant> {
        let seen = self.seen.as_ref()?;
        let row = seen.row.as_ref().filter(|row| row.holder.is_some())?;
        Some(seen.first + Self::claim_wait(cx, row) + cx.patience)
    }

    fn is_mine(&self, cx: &Context<'_>) -> bool {
        let row = self.seen.as_ref().and_then(|s| s.row.as_ref());
        row.is_some_and(|row| row.holder.as_ref() == Some(&cx.me()))
    }

    fn new_row(&self, cx: &Context<'_>, aim: &Aim, attempt: AttemptId) -> Row {
        let last = self.row().map(|(_, row)| row);
        let floor = last.map_or(Epoch(0), |row| row.epoch);
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
        let release = matches!(aim, Aim::Release);
        let tokens = self.leaving.clone().filter(|_| release);
        Row {
            holder: (!release).then(|| cx.me()),
            epoch: cx.reached.max(floor),
            confirmed,
            members: cx.members.to_vec(),
            attempt,
            tokens: tokens.unwrap_or_default(),
            spreads,
        }
    }

    fn read(&mut self, now: Instant, cx: &Context<'_>, out: &mut Vec<Out>) {
        self.busy = Some(now);
        let pause = if self.unsure || self.until.is_some() || self.leaving.is_some() {
            RETRY_PAUSE
        } else if cx.rank < WATCHERS {
            cx.term() / RENEWALS_PER_TERM
        } else {
            cx.term() * TERMS_UNWATCHED
        };
        let claim = self
            .claim_at(cx)
            .filter(|at| *at > now && cx.rank < WATCHERS);
        let next = now + pause;
        self.next = Some(claim.map_or(next, |at| at.min(next)));
        out.push(Out::Read);
    }
}
