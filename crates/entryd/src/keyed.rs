//! Requests with idempotency keys.
//!
//! The attempt runs in its own task, so that a caller that disconnects does not cancel a request
//! whose duplicates wait for its answer.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use wagtail_once::{
    Answer, Decision, Fingerprint, Key, Outcome, Permit, Request, Resolution, Ticket,
};
use wagtail_peer::RelayRole;
use wagtail_types::{AttemptId, Cause, HostId, Reason, TeamId, Verdict};

use crate::drive;
use crate::host::Host;
use crate::job::{Job, Payload, prepend};
use crate::request;
use crate::run;
use crate::tracked::{End, track};

/// Team name under which requests without a team are recorded and their idempotency keys scoped.
pub(crate) const OPEN_TEAM: &str = "open";

/// Handles a caller's request under its idempotency key.
pub(crate) async fn begin(
    host: &Arc<Host>,
    job: Job,
    key: &str,
    repeat: bool,
) -> Result<Response<Body>, Verdict> {
    let request = to_request(&job, key, fingerprint(&job), repeat)?;
    let decide = |host: &Host| {
        let mut dedup = host.dedup.lock();
        let decision = dedup.machine.begin(host.now(), &request);
        add_waiter_if_pending(&mut dedup, decision)
    };
    let decided = decide(host);
    drive::apply_dedup(host);
    carry_out(host, job, key, &request, decided).await
}

/// Handles a request that another host has relayed because this host issued or claimed its key.
pub(crate) async fn receive(
    host: &Arc<Host>,
    job: Job,
    attempt: AttemptId,
    key: &str,
    fingerprint: u128,
) -> Result<Response<Body>, Verdict> {
    let request = to_request(&job, key, Fingerprint(fingerprint), true)?;
    let decided = {
        let mut dedup = host.dedup.lock();
        let decision = dedup
            .machine
            .receive(host.now(), attempt, host.incarnation, &request);
        add_waiter_if_pending(&mut dedup, decision)
    };
    drive::apply_dedup(host);
    carry_out(host, job, key, &request, decided).await
}

fn to_request(
    job: &Job,
    key: &str,
    fingerprint: Fingerprint,
    repeat: bool,
) -> Result<Request, Verdict> {
    let bad = |_| Verdict::not_run(Reason::BadRequest, None);
    let open = || OPEN_TEAM.parse::<TeamId>().map_err(bad);
    Ok(Request {
        team: job.team.as_ref().map_or_else(open, |t| Ok(t.id.clone()))?,
        service: job.service.id.clone(),
        key: key.parse::<Key>().map_err(bad)?,
        fingerprint,
        repeat,
    })
}

fn fingerprint(job: &Job) -> Fingerprint {
    let body = match &job.payload {
        Payload::Whole(bytes) => bytes.as_ref(),
        Payload::Stream(_) | Payload::Sent => &[],
    };
    Fingerprint::of(job.method.as_str(), &job.path, body)
}

/// A resolution, or the channel that delivers it later.
enum Decided {
    Resolved(Box<Resolution>),
    Pending(Waiter),
}

struct Waiter {
    ticket: Ticket,
    receiver: tokio::sync::oneshot::Receiver<Resolution>,
}

type Inner = crate::machine::Inner<wagtail_once::Deduplicator, Ticket, Resolution>;

fn add_waiter_if_pending(dedup: &mut Inner, decision: Decision) -> Decided {
    let resolved = |resolution| Decided::Resolved(Box::new(resolution));
    match decision {
        Decision::Run(permit) => resolved(Resolution::Run(permit)),
        Decision::Replay(answer) => resolved(Resolution::Answer(answer)),
        Decision::Relay { host } => resolved(Resolution::Relay { host }),
        Decision::Refuse(verdict) => resolved(Resolution::Refuse(verdict)),
        Decision::Wait(ticket) | Decision::Claiming(ticket) => Decided::Pending(Waiter {
            ticket,
            receiver: dedup.add_waiter(ticket),
        }),
    }
}

async fn carry_out(
    host: &Arc<Host>,
    job: Job,
    key: &str,
    request: &Request,
    decided: Decided,
) -> Result<Response<Body>, Verdict> {
    let resolution = match decided {
        Decided::Resolved(resolution) => *resolution,
        Decided::Pending(waiter) => wait(host, job.time_left(host.now()), waiter).await?,
    };
    match resolution {
        Resolution::Run(permit) => run_detached(host, job, permit).await,
        Resolution::Answer(answer) => Ok(replay(answer)),
        Resolution::Refuse(verdict) => Err(verdict),
        Resolution::Relay { host: to } => relay(host, job, key, request.fingerprint, &to).await,
    }
}

/// Cancels a ticket when its request is dropped before the resolution.
struct CancelGuard<'a> {
    host: &'a Arc<Host>,
    ticket: Ticket,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.host.dedup.lock().remove_waiter(&self.ticket);
            drive::dedup_input(
                self.host,
                wagtail_once::Input::Cancelled {
                    ticket: self.ticket,
                },
            );
        }
    }
}

async fn wait(host: &Arc<Host>, left: Duration, waiter: Waiter) -> Result<Resolution, Verdict> {
    let mut guard = CancelGuard {
        host,
        ticket: waiter.ticket,
        armed: true,
    };
    let ended = tokio::time::timeout(left, waiter.receiver).await;
    guard.armed = ended.is_err();
    match ended {
        Ok(Ok(resolution)) => Ok(resolution),
        // The attempt that the request waits for may still run.
        Ok(Err(_)) | Err(_) => Err(Verdict::may_have_run(Cause::Timeout)),
    }
}

async fn relay(
    host: &Arc<Host>,
    mut job: Job,
    key: &str,
    fingerprint: Fingerprint,
    to: &HostId,
) -> Result<Response<Body>, Verdict> {
    let head = run::relay_head(
        host,
        &job,
        RelayRole::Issuer,
        Some((key.to_owned(), fingerprint.0)),
    );
    let cross_region = host.is_cross_region(to);
    run::forward(host, &mut job, to, head, cross_region).await
}

/// Runs the attempt to its end even if the caller disconnects.
async fn run_detached(
    host: &Arc<Host>,
    job: Job,
    permit: Permit,
) -> Result<Response<Body>, Verdict> {
    let host = host.clone();
    let task = tokio::spawn(async move { attempt(&host, job, permit).await });
    task.await
        .unwrap_or(Err(Verdict::may_have_run(Cause::Unknown)))
}

async fn attempt(
    host: &Arc<Host>,
    mut job: Job,
    permit: Permit,
) -> Result<Response<Body>, Verdict> {
    let result = match request::admit(host, job.team.clone(), job.deadline).await {
        Ok(()) => run::run(host, &mut job).await,
        Err(verdict) => Err(verdict),
    };
    match result {
        Ok(response) => store_answer(host, response, permit).await,
        Err(verdict) => {
            let outcome = match &verdict {
                Verdict::MayHaveRun { cause } => Outcome::Unknown(*cause),
                Verdict::NotRun { .. } => Outcome::NotRun(verdict.clone()),
            };
            finish(host, permit, outcome);
            Err(verdict)
        }
    }
}

fn finish(host: &Arc<Host>, permit: Permit, outcome: Outcome) {
    host.dedup
        .lock()
        .machine
        .finish(host.now(), permit, outcome);
    drive::apply_dedup(host);
}

/// Buffers an answer and stores it under its key. One longer than the limit is streamed to the
/// caller and not stored.
async fn store_answer(
    host: &Arc<Host>,
    response: Response<Body>,
    permit: Permit,
) -> Result<Response<Body>, Verdict> {
    let limit = host.settings.limits.buffered_body.as_usize();
    let (parts, mut body) = response.into_parts();
    let mut buffered = bytes::BytesMut::new();
    while buffered.len() <= limit {
        match body.frame().await {
            None => {
                let bytes = buffered.freeze();
                let headers = parts
                    .headers
                    .iter()
                    .map(|(n, v)| (n.as_str().to_owned(), Bytes::copy_from_slice(v.as_bytes())))
                    .collect();
                let answer = Answer::new(parts.status.as_u16(), headers, bytes.clone());
                finish(host, permit, Outcome::Answer(answer));
                return Ok(Response::from_parts(parts, Body::from(bytes)));
            }
            Some(Err(_)) => {
                finish(host, permit, Outcome::Unknown(Cause::BadAnswer));
                return Err(Verdict::may_have_run(Cause::BadAnswer));
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buffered.extend_from_slice(data);
                }
            }
        }
    }
    let host = host.clone();
    let body = track(prepend(buffered.freeze(), body), move |end| {
        let outcome = match end {
            End::Whole => Outcome::Unbuffered,
            End::Broken | End::Dropped => Outcome::Unknown(Cause::BadAnswer),
        };
        finish(&host, permit, outcome);
    });
    Ok(Response::from_parts(parts, body))
}

fn replay(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_maybe_shared(value),
        ) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
