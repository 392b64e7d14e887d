//! Outgoing relays.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::sleep;
use wagtail_types::{Cause, Reason, Verdict};

use crate::body::{self, Body, BodyServer, Chunks};
use crate::client::Connection;
use crate::codec;
use crate::message::{RelayAnswer, RelayHead};
use crate::peer_capnp::peer::{self, relay_results};
use crate::worker::{Remote, Shared};

/// A request to relay and the channel for its outcome.
pub(crate) struct Job {
    pub(crate) head: RelayHead,
    pub(crate) body: Body,
    pub(crate) reply: oneshot::Sender<Result<RelayAnswer, Verdict>>,
}

/// Runs a relay and sends its outcome. The relay is cancelled when the receiver of the outcome is
/// dropped.
pub(crate) async fn run(shared: Rc<Shared>, remote: Rc<Remote>, job: Job) {
    let Job {
        head,
        body,
        mut reply,
    } = job;
    let outcome = tokio::select! {
        outcome = relay(&shared, &remote, &head, body) => outcome,
        () = reply.closed() => return,
    };
    if outcome.as_ref().is_err_and(|v| !v.is_not_run()) {
        shared.counters.relays_lost.increment();
    }
    let _ = reply.send(outcome);
}

async fn relay(
    shared: &Rc<Shared>,
    remote: &Rc<Remote>,
    head: &RelayHead,
    body: Body,
) -> Result<RelayAnswer, Verdict> {
    let connection = remote.relay.get(shared, remote).await;
    let connection = connection.map_err(|_| Verdict::not_run(Reason::ConnectFailed, None))?;
    let mut chunks = Chunks::new(body);
    let first = chunks.first().await;

    let mut request = connection.channel.relay_request();
    let mut params = request.get();
    codec::relay::write_head(params.reborrow().init_head(), head);
    first.write(params.reborrow().init_body());
    if !first.is_last() {
        params.set_more(BodyServer::client(chunks));
    }
    shared.counters.relays_out.increment();
    let answer = request.send().promise;
    let lost = || Verdict::may_have_run(Cause::RelayLost);
    let response = tokio::select! {
        response = answer => response.map_err(|_| lost())?,
        () = connection.closed().wait() => return Err(lost()),
        () = detect_stall(shared, &connection) => return Err(lost()),
    };
    let results = response.get().map_err(|_| lost())?;
    read_answer(shared, results, connection).unwrap_or_else(|_| {
        shared.counters.malformed.increment();
        Err(Verdict::may_have_run(Cause::BadAnswer))
    })
}

/// Pings the other host, and closes the connection and returns once a ping goes unanswered and
/// nothing else is received for the stall timeout. The answer may wait behind large bodies.
async fn detect_stall(shared: &Shared, connection: &Connection<peer::Client>) {
    let stall_timeout = shared.settings.limits.stall_timeout;
    loop {
        sleep(stall_timeout / 2).await;
        let ping = connection.channel.ping_request().send().promise;
        let answered = connection.received().until_stalled(stall_timeout, ping);
        if !matches!(answered.await, Ok(Ok(_))) {
            connection.close();
            return;
        }
    }
}

fn read_answer(
    shared: &Rc<Shared>,
    results: relay_results::Reader<'_>,
    connection: Rc<Connection<peer::Client>>,
) -> Result<Result<RelayAnswer, Verdict>, codec::Malformed> {
    let (status, headers) = match codec::relay::read_outcome(results.get_outcome()?)? {
        Ok(answer) => answer,
        Err(verdict) => return Ok(Err(verdict)),
    };
    let first = body::Chunk::read(results.get_body()?)?;
    let more = results.has_more().then(|| results.get_more()).transpose()?;
    let shared = shared.clone();
    let broken = async move {
        tokio::select! {
            () = connection.closed().wait() => {}
            () = detect_stall(&shared, &connection) => {}
        }
    };
    Ok(Ok(RelayAnswer {
        status,
        headers,
        body: body::receive(first, more, broken),
    }))
}
