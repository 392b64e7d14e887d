//! Extending a lease while the table is unreachable, by promises of the hosts that may claim it.

use std::time::Instant;

use rand::Rng;

use super::Lease;
use super::types::{Action, Context, PromiseRound};
use crate::message::Member;

const PROMISE_ROUNDS_PER_TERM: u32 = 12;

impl Lease {
    /// Promises not to claim the shard for one lease term; returns false if refused.
    pub(crate) fn promise(&mut self, now: Instant, cx: &Context<'_>, version: u64) -> bool {
        let superseded = self
            .observed
            .as_ref()
            .and_then(|s| s.version)
            .is_some_and(|v| v > version);
        if superseded
            || self.until.is_some()
            || self
                .claimed_version
                .is_some_and(|claimed| claimed >= version)
        {
            return false;
        }
        let until = now + cx.drift.stretch(cx.term());
        self.promised_until = Some(self.promised_until.map_or(until, |p| p.max(until)));
        true
    }

    /// Handles a promise, and extends the lease once every listed member has promised.
    pub(crate) fn on_promise(&mut self, now: Instant, cx: &Context<'_>, id: u64, from: &Member) {
        let Some(round) = self.promise_round.as_mut().filter(|r| r.id == id) else {
            return;
        };
        round.pending.retain(|m| m != from);
        if round.pending.is_empty() {
            let sent = round.sent;
            self.promise_round = None;
            self.extend(now, cx, sent);
        }
    }

    /// Starts a round of promise requests in the second half of a lease.
    ///
    /// The lease is extended at once if no other host may claim the shard.
    pub(super) fn request_promises(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(until) = self.until else {
            return;
        };
        if self.releasing.is_some() || now + cx.term() / 2 < until {
            return;
        }
        let interval = cx.term() / PROMISE_ROUNDS_PER_TERM;
        if self
            .promise_round
            .as_ref()
            .is_some_and(|r| now < r.sent + interval)
        {
            return;
        }
        let Some((version, pending)) = self.row().map(|(v, row)| (v, row.members.clone())) else {
            return;
        };
        if pending.is_empty() {
            self.extend(now, cx, now);
            return;
        }
        let id = rng.random();
        for member in &pending {
            out.push(Action::RequestPromise {
                to: member.host.clone(),
                version,
                id,
            });
        }
        self.promise_round = Some(PromiseRound {
            id,
            sent: now,
            pending,
        });
    }

    /// Extends a lease that has not ended yet, within the outage term.
    fn extend(&mut self, now: Instant, cx: &Context<'_>, sent: Instant) {
        let limit = self
            .last_renewal
            .map(|w| w + cx.settings.outage_term.max(cx.term()));
        let (Some(until), Some(limit)) = (self.until, limit) else {
            return;
        };
        if now < until {
            self.until = Some(until.max((sent + cx.term()).min(limit)));
        }
    }
}
