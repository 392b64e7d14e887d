//! Incoming relays.

use std::rc::Rc;

use capnp::capability::Rc as CapRc;
use tokio::task::JoinHandle;
use wagtail_types::{Cause, Reason, Verdict};

use crate::body::{self, Body, BodyServer, Chunk, Chunks};
use crate::client::CloseSignal;
use crate::codec;
use crate::handshake::Identity;
use crate::message::{RelayAnswer, RelayHead};
use crate::peer_capnp::peer;
use crate::worker::Shared;

/// Serves the calls of one relay connection.
pub(crate) struct RelayServer {
    pub(crate) shared: Rc<Shared>,
    pub(crate) from: Identity,
    pub(crate) closed: CloseSignal,
}

impl peer::Server for RelayServer {
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

impl RelayServer {
    async fn run(&self, params: &peer::RelayParams) -> Result<RelayAnswer, Verdict> {
        let counters = &self.shared.counters;
        counters.relays_in.increment();
        let Ok(permit) = self.shared.relays.clone().try_acquire_owned() else {
            counters.relays_refused.increment();
            return Err(Verdict::not_run(Reason::Overloaded, None));
        };
        let (head, body) = self.read_request(params).map_err(|_| {
            counters.malformed.increment();
            Verdict::not_run(Reason::BadRequest, None)
        })?;
        let work = self
            .shared
            .handler
            .relay(self.from.host.clone(), head, body);
        let task = HandlerTask {
            handle: self.shared.runtime.spawn(work),
            shared: self.shared.clone(),
        };
        let outcome = task.outcome().await;
        drop(permit);
        outcome
    }

    fn read_request(
        &self,
        params: &peer::RelayParams,
    ) -> Result<(RelayHead, Body), codec::Malformed> {
        let params = params.get()?;
        let head = codec::relay::read_head(params.get_head()?)?;
        let first = Chunk::read(params.get_body()?)?;
        let more = params.has_more().then(|| params.get_more()).transpose()?;
        let body = body::receive(first, more, self.closed.clone().wait());
        Ok((head, body))
    }
}

/// The handler's task of one call; it is aborted when the call is dropped.
struct HandlerTask {
    handle: JoinHandle<Result<RelayAnswer, Verdict>>,
    shared: Rc<Shared>,
}

impl HandlerTask {
    async fn outcome(mut self) -> Result<RelayAnswer, Verdict> {
        let result = (&mut self.handle).await;
        result.unwrap_or_else(|_| Err(Verdict::may_have_run(Cause::Unknown)))
    }
}

impl Drop for HandlerTask {
    fn drop(&mut self) {
        if !self.handle.is_finished() {
            self.shared.counters.relays_cancelled.increment();
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
    if codec::relay::headers_bytes(&answer.headers) > shared.settings.limits.head_size.as_usize() {
        let verdict = Verdict::may_have_run(Cause::BadAnswer);
        codec::relay::write_verdict(outcome.init_verdict(), &verdict);
        return;
    }
    codec::relay::write_answer(outcome.init_answer(), answer.status, &answer.headers);
    let mut chunks = Chunks::new(answer.body);
    let first = chunks.first().await;
    first.write(results.reborrow().init_body());
    if !first.is_last() {
        results.set_more(BodyServer::client(chunks));
    }
}
