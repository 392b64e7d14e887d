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
use crate::job::{Job, Payload, join};
use crate::request;
use crate::run;
use crate::tracked::{End, track};

/// Team name of idempotency keys and statistics of requests without a team.
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
        let mut deduping = host.deduping.lock();
        let decision = deduping.machine.begin(host.now(), &request);
        wait_if_asked(&mut deduping, decision)
    };
    let begun = decide(host);
    drive::deduping(host);
    follow(host, job, key, &request, begun).await
}

/// Handles a request that another host has relayed because this host issued its key.
pub(crate) async fn receive(
    host: &Arc<Host>,
    job: Job,
    attempt: AttemptId,
    key: &str,
    print: u128,
) -> Result<Response<Body>, Verdict> {
    let request = to_request(&job, key, Fingerprint(print), true)?;
    let begun = {
        let mut deduping = host.deduping.lock();
        let decision = deduping
            .machine
            .receive(host.now(), attempt, host.incarnation, &request);
        wait_if_asked(&mut deduping, decision)
    };
    drive::deduping(host);
    follow(host, job, key, &request, begun).await
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
enum Begun {
    Now(Box<Resolution>),
    Later(Waiter),
}

struct Waiter {
    ticket: Ticket,
    receiver: tokio::sync::oneshot::Receiver<Resolution>,
}

type Inner = crate::waiting::Inner<wagtail_once::Deduplicator, Ticket, Resolution>;

fn wait_if_asked(deduping: &mut Inner, decision: Decision) -> Begun {
    let now = |resolution| Begun::Now(Box::new(resolution));
    match decision {
        Decision::Run(permit) => now(Resolution::Run(permit)),
        Decision::Replay(answer) => now(Resolution::Answer(answer)),
        Decision::Relay { host } => now(Resolution::Relay { host }),
        Decision::Refuse(verdict) => now(Resolution::Refuse(verdict)),
        Decision::Wait(ticket) | Decision::Claiming(ticket) => Begun::Later(Waiter {
            ticket,
            receiver: deduping.wait(ticket),
        }),
    }
}

async fn follow(
    host: &Arc<Host>,
    job: Job,
    key: &str,
    request: &Request,
    begun: Begun,
) -> Result<Response<Body>, Verdict> {
    let resolution = match begun {
        Begun::Now(resolution) => *resolution,
        Begun::Later(waiter) => wait(host, job.left(host.now()), waiter).await?,
    };
    match resolution {
        Resolution::Run(permit) => run_apart(host, job, permit).await,
        Resolution::Answer(answer) => Ok(replay(answer)),
        Resolution::Refuse(verdict) => Err(verdict),
        Resolution::Relay { host: to } => relay(host, job, key, request.fingerprint, &to).await,
    }
}

/// Cancels a ticket when its request is dropped before the resolution.
struct Cancel<'a> {
    host: &'a Arc<Host>,
    ticket: Ticket,
    armed: bool,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.host.deduping.lock().forget(&self.ticket);
            drive::dedupe_input(
                self.host,
                wagtail_once::Input::Cancelled {
                    ticket: self.ticket,
                },
            );
        }
    }
}

async fn wait(host: &Arc<Host>, left: Duration, waiter: Waiter) -> Result<Resolution, Verdict> {
    let mut cancel = Cancel {
        host,
        ticket: waiter.ticket,
        armed: true,
    };
    let ended = tokio::time::timeout(left, waiter.receiver).await;
    cancel.armed = ended.is_err();
    match ended {
        Ok(Ok(resolution)) => Ok(resolution),
        // The first attempt is still in flight.
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
    let head = run::head(
        host,
        &job,
        RelayRole::Issuer,
        Some((key.to_owned(), fingerprint.0)),
    );
    let far = host.is_far(to);
    run::forward(host, &mut job, to, head, far).await
}

/// Runs the attempt to its end even if the caller disconnects.
async fn run_apart(host: &Arc<Host>, job: Job, permit: Permit) -> Result<Response<Body>, Verdict> {
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
        Ok(response) => keep(host, response, permit).await,
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
    host.deduping
        .lock()
        .machine
        .finish(host.now(), permit, outcome);
    drive::deduping(host);
}

/// Buffers an answer and stores it under its key. One longer than the limit is streamed to the
/// caller and not stored.
async fn keep(
    host: &Arc<Host>,
    response: Response<Body>,
    permit: Permit,
) -> Result<Response<Body>, Verdict> {
    let limit = host.settings.limits.buffer.as_usize();
    let (parts, mut body) = response.into_parts();
    let mut held = bytes::BytesMut::new();
    while held.len() <= limit {
        match body.frame().await {
            None => {
                let bytes = held.freeze();
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
                    held.extend_from_slice(data);
                }
            }
        }
    }
    let host = host.clone();
    let body = track(join(held.freeze(), body), move |end| {
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
