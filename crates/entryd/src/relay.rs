//! Relayed requests and control messages from other hosts.

use std::sync::{Arc, Weak};

use axum::body::Body;
use http::Response;
use http_body_util::BodyExt;
use slog::error;
use wagtail_once::{Decision, Outcome, Permit};
use wagtail_peer::{Aborted, BoxFuture, Control, Handler, RelayAnswer, RelayHead, RelayRole};
use wagtail_route::Origin;
use wagtail_task::catch_sync;
use wagtail_types::{Cause, HostId, Incarnation, Reason, Verdict};

use crate::drive;
use crate::host::Host;
use crate::job::{Job, Payload};
use crate::keyed;
use crate::paced::pace;
use crate::run;

/// Passes messages and relayed requests of peers to the local host.
#[derive(Clone)]
pub(crate) struct PeerHandler(pub(crate) Weak<Host>);

impl Handler for PeerHandler {
    fn control(&self, from: &HostId, _: Incarnation, message: Control) {
        if let Some(host) = self.0.upgrade() {
            // A panic would close the connection, and with it lose the messages behind this one.
            let handled = catch_sync(|| {
                #[cfg(feature = "faults")]
                if let Some(peer) = host.peer() {
                    wagtail_task::faults::hit(&peer.addr(), &"peer-message");
                }
                drive::control(&host, from, message);
            });
            if let Err(panic) = handled {
                host.metrics.panicked("peer-message");
                error!(host.log, "message of another host could not be handled; dropping it";
                    "from" => %from, "error" => %panic);
            }
        }
    }

    fn receiving(&self, from: &HostId) {
        if let Some(host) = self.0.upgrade() {
            let from = from.clone();
            drive::sync_input(&host, wagtail_config::SyncInput::Receiving { from });
        }
    }

    fn relay(
        &self,
        from: HostId,
        head: RelayHead,
        body: wagtail_peer::Body,
    ) -> BoxFuture<Result<RelayAnswer, Verdict>> {
        let host = self.0.upgrade();
        Box::pin(async move {
            let host = host.ok_or(Verdict::not_run(Reason::Unavailable, None))?;
            let _running = host
                .lifecycle
                .enter(host.settings.limits.requests)
                .ok_or(Verdict::not_run(Reason::Overloaded, None))?;
            let answer = serve(&host, head, body).await?;
            let answer = if host.is_cross_region(&from) {
                answer.map(|body| pace(&host, body))
            } else {
                answer
            };
            Ok(to_relay_answer(answer))
        })
    }
}

async fn serve(
    host: &Arc<Host>,
    head: RelayHead,
    body: wagtail_peer::Body,
) -> Result<Response<Body>, Verdict> {
    let records = run::find_records(&host.view.load(), &head)?;
    if head.path.parse::<http::Uri>().is_err() {
        return Err(Verdict::not_run(Reason::BadRequest, None));
    }
    let limit = host.settings.limits.buffered_body.as_usize();
    let payload = Payload::read(Body::new(body.map_err(axum::Error::new)), limit).await?;
    let longest = records.service.deadline;
    let deadline = head.deadline.unwrap_or(longest).min(longest);
    let mut job = Job {
        service: records.service,
        team: records.team,
        method: head.method,
        path: head.path,
        headers: head.headers,
        deadline: host.now() + deadline,
        origin: match head.role {
            RelayRole::Owner => Origin::Relayed,
            RelayRole::Issuer => Origin::Local,
        },
        tried: head.tried,
        payload,
    };
    match (head.role, head.key, head.fingerprint) {
        (RelayRole::Owner, _, _) => run_at_most_once(host, &mut job, head.attempt).await,
        (RelayRole::Issuer, Some(key), Some(fingerprint)) => {
            keyed::receive(host, job, head.attempt, &key, fingerprint).await
        }
        (RelayRole::Issuer, _, _) => Err(Verdict::not_run(Reason::BadRequest, None)),
    }
}

/// Runs a relayed request at most once, even if its message is received repeatedly.
///
/// The message arrived over a connection to this process, so it is for the current incarnation.
async fn run_at_most_once(
    host: &Arc<Host>,
    job: &mut Job,
    attempt: wagtail_types::AttemptId,
) -> Result<Response<Body>, Verdict> {
    let decision = host
        .dedup
        .lock()
        .machine
        .receive_unkeyed(host.now(), attempt, host.incarnation);
    drive::apply_dedup(host);
    match decision {
        Decision::Run(permit) => {
            let result = run::run(host, job).await;
            finish(host, permit, &result);
            result
        }
        Decision::Refuse(verdict) => Err(verdict),
        Decision::Wait(_)
        | Decision::Claiming(_)
        | Decision::Replay(_)
        | Decision::Relay { .. } => Err(Verdict::may_have_run(Cause::Unknown)),
    }
}

fn finish(host: &Arc<Host>, permit: Permit, result: &Result<Response<Body>, Verdict>) {
    let outcome = match result {
        Ok(_) => Outcome::Unbuffered,
        Err(Verdict::MayHaveRun { cause }) => Outcome::Unknown(*cause),
        Err(verdict) => Outcome::NotRun(verdict.clone()),
    };
    host.dedup
        .lock()
        .machine
        .finish(host.now(), permit, outcome);
    drive::apply_dedup(host);
}

/// Converts a body for sending to another host.
pub(crate) fn to_peer(body: Body) -> wagtail_peer::Body {
    body.map_err(|_| Aborted).boxed_unsync()
}

/// Converts a response that another host has relayed.
pub(crate) fn from_peer(answer: RelayAnswer) -> Response<Body> {
    let mut response = Response::new(Body::new(answer.body.map_err(axum::Error::new)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn to_relay_answer(response: Response<Body>) -> RelayAnswer {
    let (parts, body) = response.into_parts();
    RelayAnswer {
        status: parts.status,
        headers: parts.headers,
        body: to_peer(body),
    }
}
