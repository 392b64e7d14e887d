//! Relays from other hosts.

use std::rc::Rc;

use capnp::capability::Rc as CapRc;
use tokio::task::JoinHandle;
use wagtail_types::{Cause, Reason, Verdict};

use crate::body::{self, Body, Piece, Pieces, Source};
use crate::client::Closed;
use crate::codec;
use crate::handshake::Identity;
use crate::message::{RelayAnswer, RelayHead};
use crate::peer_capnp::peer;
use crate::worker::Shared;

/// Serves one relay connection.
pub(crate) struct Served {
    pub(crate) shared: Rc<Shared>,
    pub(crate) from: Identity,
    pub(crate) closed: Closed,
}

impl peer::Server for Served {
    async fn ping(
        self: CapRc<Self>,
        _: peer::PingParams,
        _: peer::PingResults,
    ) -> capnp::Result<()> {
        Ok(())
    }

    async fn relay(
        self: CapRc<Self>,
        params: peer::RelayParams,
        mut results: peer::RelayResults,
    ) -> capnp::Result<()> {
        match self.run(&params).await {
            Ok(answer) => write_answer(&self.shared, results.get(), answer).await,
            Err(verdict) => {
                codec::relay::write_verdict(results.get().init_outcome().init_verdict(), &verdict);
            }
        }
        Ok(())
    }
}

impl Served {
    async fn run(&self, params: &peer::RelayParams) -> Result<RelayAnswer, Verdict> {
        let counters = &self.shared.counters;
        counters.relays_in.up();
        let Ok(permit) = self.shared.relays.clone().try_acquire_owned() else {
            counters.relays_refused.up();
            return Err(Verdict::not_run(Reason::Overloaded, None));
        };
        let (head, body) = self.read(params).map_err(|_| {
            counters.malformed.up();
            Verdict::not_run(Reason::BadRequest, None)
        })?;
        let work = self
            .shared
            .handler
            .relay(self.from.host.clone(), head, body);
        let task = Task {
            handle: self.shared.runtime.spawn(work),
            shared: self.shared.clone(),
        };
        let outcome = task.outcome().await;
        drop(permit);
        outcome
    }

    fn read(&self, params: &peer::RelayParams) -> Result<(RelayHead, Body), codec::Malformed> {
        let params = params.get()?;
        let head = codec::relay::read_head(params.get_head()?)?;
        let first = Piece::read(params.get_body()?)?;
        let more = params.has_more().then(|| params.get_more()).transpose()?;
        let body = body::receive(first, more, self.closed.clone(), Rc::new(()));
        Ok((head, body))
    }
}

/// A handler's work, which ends with the call it belongs to.
struct Task {
    handle: JoinHandle<Result<RelayAnswer, Verdict>>,
    shared: Rc<Shared>,
}

impl Task {
    async fn outcome(mut self) -> Result<RelayAnswer, Verdict> {
        let joined = (&mut self.handle).await;
        joined.unwrap_or_else(|_| Err(Verdict::may_have_run(Cause::Unknown)))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if !self.handle.is_finished() {
            self.shared.counters.relays_cancelled.up();
            self.handle.abort();
        }
    }
}

async fn write_answer(
    shared: &Shared,
    mut results: peer::relay_results::Builder<'_>,
    answer: RelayAnswer,
) {
    let outcome = results.reborrow().init_outcome();
    if codec::relay::headers_bytes(&answer.headers) > shared.settings.limits.head.as_usize() {
        let verdict = Verdict::may_have_run(Cause::BadAnswer);
        codec::relay::write_verdict(outcome.init_verdict(), &verdict);
        return;
    }
    codec::relay::write_answer(outcome.init_answer(), answer.status, &answer.headers);
    let mut pieces = Pieces::new(answer.body);
    let first = pieces.first().await;
    first.write(results.reborrow().init_body());
    if !first.is_last() {
        results.set_more(Source::client(pieces));
    }
}
