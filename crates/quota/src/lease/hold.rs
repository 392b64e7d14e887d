//! Holding a lease while the table is out of reach, by promises of those who could claim it.

use std::time::Instant;

use rand::Rng;

use super::Lease;
use super::terms::{Context, Out, Round};
use crate::message::Member;

const HOLDS_PER_TERM: u32 = 12;

impl Lease {
    /// Answers whether this host promises not to claim for one term.
    pub(crate) fn promise(&mut self, now: Instant, cx: &Context<'_>, version: u64) -> bool {
        let passed = self
            .seen
            .as_ref()
            .and_then(|s| s.version)
            .is_some_and(|v| v > version);
        if passed || self.until.is_some() || self.tried.is_some_and(|tried| tried >= version) {
            return false;
        }
        let until = now + cx.drift.stretch(cx.term());
        self.promised = Some(self.promised.map_or(until, |p| p.max(until)));
        true
    }

    /// Takes in a promise.
    pub(crate) fn on_held(&mut self, now: Instant, cx: &Context<'_>, id: u64, from: &Member) {
        let Some(round) = self.round.as_mut().filter(|r| r.id == id) else {
            return;
        };
        round.left.retain(|m| m != from);
        if round.left.is_empty() {
            let sent = round.sent;
            self.round = None;
            self.prolong(now, cx, sent);
        }
    }

    pub(super) fn hold_on(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Out>,
    ) {
        let Some(until) = self.until else {
            return;
        };
        if self.leaving.is_some() || now + cx.term() / 2 < until {
            return;
        }
        let pause = cx.term() / HOLDS_PER_TERM;
        if self.round.as_ref().is_some_and(|r| now < r.sent + pause) {
            return;
        }
        let Some((version, left)) = self.row().map(|(v, row)| (v, row.members.clone())) else {
            return;
        };
        if left.is_empty() {
            self.prolong(now, cx, now);
            return;
        }
        let id = rng.random();
        for member in &left {
            out.push(Out::Hold {
                to: member.host.clone(),
                version,
                id,
            });
        }
        self.round = Some(Round {
            id,
            sent: now,
            left,
        });
    }

    /// Moves the end of a lease that has not ended yet.
    fn prolong(&mut self, now: Instant, cx: &Context<'_>, from: Instant) {
        let limit = self
            .written
            .map(|w| w + cx.settings.outage_term.max(cx.term()));
        let (Some(until), Some(limit)) = (self.until, limit) else {
            return;
        };
        if now < until {
            self.until = Some(until.max((from + cx.term()).min(limit)));
        }
    }
}
