//! Sends a request to endpoints until one responds or no further attempt is allowed.

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode, header, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use slog::info;
use wagtail_steer::{
    Choice, EndpointKey, Fingerprint, Outcome, Placement, PlacementRequest, RejectionReason,
};

use super::admit::{Denial, Job, deny};
use super::in_flight::InFlight;
use super::reply::{Reply, refuse_for_memory, refuse_stopping};
use super::request_log::RequestLog;
use super::send::{AttemptError, Outgoing, ReceivedResponse, remove_hop_headers, send};
use crate::codec::Execution;
use crate::host::{Core, RequestContext};
use crate::memory::{Claim, NoRoom};
use crate::tracker::RequestStage;

/// The maximum number of endpoints tried after the first one. Mainly bounds failed connections,
/// because the route limits the number of sends.
const FURTHER_ENDPOINTS_MAX: usize = 3;
/// The multiple of its expected time after which a safe request is sent to another endpoint.
const OVERDUE_FACTOR: f64 = 3.0;
/// The shortest time after which a safe request is sent to another endpoint.
const OVERDUE_MIN: Duration = Duration::from_millis(700);
/// The number of bytes of an answer that must arrive in [`OVERDUE_MIN`] for a request that is overdue
/// to stay at its endpoint.
const PROGRESS_MIN_BYTES: usize = 1_024;
/// The time after the deadline for which the endpoint's own deadline response is awaited.
const DEADLINE_GRACE: Duration = Duration::from_millis(40);
/// The number of ended endpoints from which on each send of a request is logged.
const LOGGED_ENDS_MIN: usize = 2;
/// The `Retry-After` wait after a failure that does not tell when capacity is expected.
const DEFAULT_RETRY_WAIT: Duration = Duration::from_millis(300);

/// The state of a request after the attempts so far.
#[derive(Debug, Default)]
struct Progress {
    fingerprint: Fingerprint,
    tried: Vec<EndpointKey>,
    /// The number of attempts in which the endpoint may have received the request.
    sent: u32,
    /// Whether an endpoint may have executed the request.
    may_have_run: bool,
    /// An error response of an endpoint, which is forwarded if no later attempt succeeds.
    failure: Option<ReceivedResponse>,
    retry_after: Option<Duration>,
}

/// Sends a request until there is a reply for the caller. Returns the team's token if no endpoint
/// can have executed the request.
pub(crate) async fn run(
    context: &RequestContext,
    job: &Job,
    head: &request::Parts,
    body: Incoming,
    request_log: &mut RequestLog,
) -> Reply {
    let reply = run_attempts(context, job, head, body, request_log).await;
    let mut claim = context.core.memory.claim(job.team.as_ref().map(|t| &t.id));
    claim.add(reply.buffered());
    request_log.hold(claim);
    if !request_log.may_have_run
        && let Some(team) = &job.team
    {
        context.exchange.return_token(team);
    }
    reply
}

async fn run_attempts(
    context: &RequestContext,
    job: &Job,
    head: &request::Parts,
    body: Incoming,
    request_log: &mut RequestLog,
) -> Reply {
    request_log.enter(RequestStage::Body);
    let team = job.team.as_ref().map(|t| &t.id);
    // Held until the request has ended, as a further attempt sends the body again.
    let mut claim = context.core.memory.claim(team);
    let body = match read_request_body(&context.core, job, body, &mut claim).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let mut progress = Progress {
        fingerprint: fingerprint(job, head, &body),
        ..Progress::default()
    };
    let mut replacement: Option<InFlight> = None;
    loop {
        request_log.enter(RequestStage::Placement);
        if replacement.is_none()
            && !progress.tried.is_empty()
            && !may_try_again(context, job, &progress)
        {
            if let Some(wait) = wait_for_endpoints(context, job, &progress) {
                progress.retry_after = Some(wait);
            }
            return final_reply(progress, None, head);
        }
        let in_flight = match replacement.take().map_or_else(
            || place_request(context, job, &progress, progress.sent > 0),
            Ok,
        ) {
            Ok(in_flight) => in_flight,
            Err((rejection, retry_after)) => {
                request_log.record_rejection(rejection, retry_after, progress.fingerprint);
                return final_reply(progress, Some((rejection, retry_after)), head);
            }
        };
        if !ends_in_time(&context.core, in_flight.choice.expected_time) {
            return refuse_late(&context.core, progress, head);
        }
        progress.tried.push(in_flight.choice.key);
        log_suspect(&context.core, &in_flight.choice, progress.fingerprint);
        request_log.enter(RequestStage::Sent);
        let started = context.core.now();
        let mut attempt_end =
            await_attempt(context, job, head, &body, &in_flight.choice, &progress).await;
        let elapsed = context.core.now().duration_since(started);
        request_log.record_attempt(
            context,
            &in_flight.choice,
            &attempt_end,
            elapsed,
            progress.fingerprint,
        );
        if let AttemptEnd::Overdue(next) = &mut attempt_end {
            replacement = next.take();
        }
        if let Some(reply) = record_end(
            context,
            job,
            head,
            in_flight,
            attempt_end,
            elapsed,
            &mut progress,
        ) {
            request_log.may_have_run = true;
            return reply;
        }
        request_log.may_have_run = progress.may_have_run;
    }
}

async fn read_request_body(
    core: &Core,
    job: &Job,
    body: Incoming,
    claim: &mut Claim,
) -> Result<Bytes, Reply> {
    let remaining = job.deadline.saturating_duration_since(core.now());
    let read = tokio::time::timeout(remaining, collect(body, job.body_max, claim));
    let read = tokio::select! {
        biased;
        read = read => read,
        () = core.stop.last_start() => return Err(refuse_stopping(core)),
    };
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(deny(core, Denial::BodyTooLarge)),
        Ok(Err(BodyError::NoRoom)) => Err(refuse_for_memory(core)),
        Ok(Err(BodyError::Broken)) => {
            Err(Reply::fail(StatusCode::BAD_REQUEST, "the body is broken"))
        }
        Err(_) => Err(Reply::fail(
            StatusCode::REQUEST_TIMEOUT,
            "the body came too slowly",
        )),
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy)]
enum BodyError {
    TooLarge,
    /// The memory for it is not there.
    NoRoom,
    Broken,
}

/// Reads a body of at most `max` bytes, within what the memory budget allows. The memory of a body whose length is known
/// is claimed before any of it is read.
async fn collect(mut body: Incoming, max: usize, claim: &mut Claim) -> Result<Bytes, BodyError> {
    let exact = body.size_hint().exact();
    let known = exact.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if known.is_some_and(|length| length > max) {
        return Err(BodyError::TooLarge);
    }
    let known = known.unwrap_or_default();
    claim.grow(known).map_err(|NoRoom| BodyError::NoRoom)?;
    let mut bytes = BytesMut::with_capacity(known);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        let size = bytes.len() + data.len();
        if size > max {
            return Err(BodyError::TooLarge);
        }
        if exact.is_none() {
            claim.grow(data.len()).map_err(|NoRoom| BodyError::NoRoom)?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Returns what identifies a request to endpoints, however often callers repeat it.
fn fingerprint(job: &Job, head: &request::Parts, body: &Bytes) -> Fingerprint {
    let team = job.team.as_ref().map_or("", |t| t.id.as_str());
    let target = head.uri.path_and_query().map_or("", |p| p.as_str());
    let object = job.object.unwrap_or_default().to_le_bytes();
    Fingerprint::new(&[
        team.as_bytes(),
        job.route.host.as_bytes(),
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        &object,
        body,
    ])
}

fn placement_request<'a>(job: &'a Job, progress: &Progress, now: Instant) -> PlacementRequest<'a> {
    PlacementRequest {
        route: &job.route,
        service: &job.service,
        object: job.object,
        permitted_regions: &job.permitted_regions,
        fingerprint: progress.fingerprint,
        tried: &[],
        repeated: false,
        elapsed: now.duration_since(job.arrived),
        remaining: job.deadline.saturating_duration_since(now),
    }
}

/// Returns the time until an endpoint takes requests again, if all of them pause.
fn wait_for_endpoints(
    context: &RequestContext,
    job: &Job,
    progress: &Progress,
) -> Option<Duration> {
    let now = context.core.now();
    let request = placement_request(job, progress, now);
    context
        .core
        .steer
        .borrow()
        .wait_for_endpoints(&request, now)
}

/// Returns whether a request that is expected to take `expected` ends before the host does.
fn ends_in_time(core: &Core, expected: Duration) -> bool {
    let now = core.now();
    core.stop.departure().is_none_or(|departure| {
        let elsewhere = core.steer.borrow().has_ready_peer(now);
        departure.permits(expected, elsewhere, now)
    })
}

/// Returns the reply to a request that is not passed on because the host would end before it.
fn refuse_late(core: &Core, progress: Progress, head: &request::Parts) -> Reply {
    if progress.may_have_run {
        final_reply(progress, None, head)
    } else {
        refuse_stopping(core)
    }
}

/// Selects an endpoint and counts the request as in flight there.
fn place_request(
    context: &RequestContext,
    job: &Job,
    progress: &Progress,
    repeated: bool,
) -> Result<InFlight, (RejectionReason, Duration)> {
    let now = context.core.now();
    let request = PlacementRequest {
        tried: &progress.tried,
        repeated,
        ..placement_request(job, progress, now)
    };
    let placement = context.core.steer.borrow_mut().place(&request, now);
    match placement {
        Placement::Send(choice) => Ok(InFlight::new(
            context.core.clone(),
            choice,
            job.route.clone(),
            job.object,
            progress.fingerprint,
        )),
        Placement::Reject {
            reason,
            retry_after,
        } => Err((reason, retry_after)),
    }
}

/// Logs that a request is sent although several endpoints ended under equal ones.
fn log_suspect(core: &Core, choice: &Choice, fingerprint: Fingerprint) {
    if let Some(ended @ LOGGED_ENDS_MIN..) = choice.ended {
        info!(core.log, "sending a request under which endpoints ended";
            "fingerprint" => %fingerprint, "ended" => ended);
        core.metrics.count("suspect_requests", "sent");
    }
}

/// Returns whether another endpoint may be tried. Takes a retry from the service's budget if an
/// endpoint may already have received the request.
fn may_try_again(context: &RequestContext, job: &Job, progress: &Progress) -> bool {
    let now = context.core.now();
    if now >= job.deadline || progress.tried.len() > FURTHER_ENDPOINTS_MAX {
        return false;
    }
    if progress.sent == 0 {
        return true;
    }
    (job.is_safe() || !progress.may_have_run)
        && progress.sent < job.route.attempts
        && take_retry(&context.core, job)
}

/// Takes a retry from the service's budget, and counts whether there was one.
fn take_retry(core: &Core, job: &Job) -> bool {
    let taken = core.steer.borrow_mut().take_retry(&job.service, core.now());
    core.metrics
        .count("retries", if taken { "taken" } else { "refused" });
    taken
}

/// How the wait for an attempt ended.
pub(crate) enum AttemptEnd {
    /// A response arrived, or the attempt failed, while it was still awaited.
    Finished(Result<ReceivedResponse, AttemptError>),
    /// The attempt took too long. The request continues at the given endpoint; `None` if its
    /// deadline has passed.
    Overdue(Option<InFlight>),
}

impl AttemptEnd {
    fn has_no_answer(&self) -> bool {
        matches!(
            self,
            Self::Overdue(_) | Self::Finished(Err(AttemptError::Broken(_)))
        )
    }
}

/// Sends the request and waits for the response. A safe request that is overdue may move to another
/// endpoint before its deadline, unless its response is arriving.
async fn await_attempt(
    context: &RequestContext,
    job: &Job,
    head: &request::Parts,
    body: &Bytes,
    choice: &Choice,
    progress: &Progress,
) -> AttemptEnd {
    let received = Cell::new(0);
    let outgoing = Outgoing {
        head,
        body,
        fingerprint: progress.fingerprint,
        repeated: progress.tried.len() > 1,
    };
    let mut attempt = std::pin::pin!(send(context, job, outgoing, choice.key, &received));
    let remaining =
        |extra: Duration| (job.deadline + extra).saturating_duration_since(context.core.now());
    let overdue_after = choice
        .expected_time
        .mul_f64(OVERDUE_FACTOR)
        .max(OVERDUE_MIN);
    let may_move = job.is_safe() && progress.sent + 1 < job.route.attempts;
    if may_move && overdue_after + choice.expected_time < remaining(Duration::ZERO) {
        let mut wait = overdue_after;
        let is_overdue = loop {
            let before = received.get();
            if let Ok(result) = tokio::time::timeout(wait, &mut attempt).await {
                return AttemptEnd::Finished(result);
            }
            if received.get() < before + PROGRESS_MIN_BYTES {
                break true;
            }
            if remaining(Duration::ZERO) <= OVERDUE_MIN {
                break false;
            }
            wait = OVERDUE_MIN;
        };
        if is_overdue && let Some(next) = place_elsewhere(context, job, progress) {
            return AttemptEnd::Overdue(Some(next));
        }
    }
    match tokio::time::timeout(remaining(DEADLINE_GRACE), &mut attempt).await {
        Ok(result) => AttemptEnd::Finished(result),
        Err(_) => AttemptEnd::Overdue(None),
    }
}

/// Selects another endpoint for an overdue request if one has a free slot; otherwise it is better
/// to keep waiting.
fn place_elsewhere(context: &RequestContext, job: &Job, progress: &Progress) -> Option<InFlight> {
    // A stopping host must not add failures of its own to requests that are being executed.
    if context.core.is_leaving()
        || !context
            .core
            .steer
            .borrow()
            .may_retry(&job.service, context.core.now())
    {
        return None;
    }
    let next = place_request(context, job, progress, true)
        .ok()
        .filter(|in_flight| in_flight.choice.slot_free)?;
    // The borrow ends before `next` is dropped, which borrows the state again.
    let taken = take_retry(&context.core, job);
    taken.then_some(next)
}

/// Records the end of an attempt. Returns a reply if no further attempt is needed.
fn record_end(
    context: &RequestContext,
    job: &Job,
    head: &request::Parts,
    in_flight: InFlight,
    attempt_end: AttemptEnd,
    elapsed: Duration,
    progress: &mut Progress,
) -> Option<Reply> {
    let key = in_flight.choice.key;
    if elapsed >= OVERDUE_MIN && attempt_end.has_no_answer() {
        // Idle connections to the endpoint may have fallen silent as well.
        context.pool.drop_endpoint(key);
    }
    let result = match attempt_end {
        AttemptEnd::Finished(result) => result,
        AttemptEnd::Overdue(_) => {
            progress.sent += 1;
            progress.may_have_run = true;
            in_flight.complete(Outcome::Overdue, None, None);
            return None;
        }
    };
    match result {
        Ok(mut received) => {
            progress.sent += 1;
            progress.may_have_run = true;
            let failed = received.head.status.is_server_error();
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            let in_flight = if received.body.is_streaming() && !failed {
                Some(in_flight)
            } else {
                in_flight.complete(outcome, Some(elapsed), received.info.load);
                None
            };
            received.body.bind(job.caller_deadline.into(), in_flight);
            if failed && job.is_safe() {
                progress.failure = Some(received);
                return None;
            }
            Some(forward(received, head))
        }
        Err(AttemptError::Unreachable(_)) => {
            context.pool.drop_endpoint(key);
            in_flight.complete(Outcome::Unreachable, None, None);
            None
        }
        Err(AttemptError::Gone) => {
            in_flight.complete(Outcome::Left, None, None);
            None
        }
        Err(AttemptError::NotRun(received)) => {
            progress.sent += 1;
            let outcome = if received.info.execution == Execution::Replaced {
                Outcome::Replaced
            } else if received.info.signals.pause.is_some() {
                Outcome::Paused
            } else {
                Outcome::Shed
            };
            let load = received.info.load;
            progress.retry_after = Some(load.map_or(DEFAULT_RETRY_WAIT, |l| l.retry_after()));
            in_flight.complete(outcome, None, received.info.load);
            None
        }
        Err(AttemptError::Broken(_) | AttemptError::BadAnswer(_)) => {
            progress.sent += 1;
            progress.may_have_run = true;
            in_flight.complete(Outcome::Failed, None, None);
            None
        }
    }
}

/// Builds the reply that forwards a response of an endpoint to the caller.
fn forward(received: ReceivedResponse, head: &request::Parts) -> Reply {
    let mut headers = received.head.headers;
    remove_hop_headers(&mut headers);
    if head.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    Reply::forward(received.head.status, headers, received.body)
}

/// Returns the reply for a request after its last attempt.
fn final_reply(
    progress: Progress,
    rejection: Option<(RejectionReason, Duration)>,
    head: &request::Parts,
) -> Reply {
    if let Some(failure) = progress.failure {
        return forward(failure, head);
    }
    if progress.may_have_run {
        return Reply::fail(StatusCode::BAD_GATEWAY, "no whole answer; it may have run");
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let wait = progress.retry_after.unwrap_or(DEFAULT_RETRY_WAIT);
    match rejection {
        Some((RejectionReason::NoEndpoint, retry_after)) => {
            Reply::refuse(status, "no endpoint", retry_after)
        }
        Some((RejectionReason::Full, retry_after)) => {
            Reply::refuse(status, "endpoints are full", retry_after)
        }
        Some((RejectionReason::TooLate, retry_after)) => {
            Reply::refuse(status, "no answer in time", retry_after)
        }
        Some((RejectionReason::Suspect, retry_after)) => {
            Reply::refuse(status, "endpoints ended under equal requests", retry_after)
        }
        None => Reply::refuse(status, "endpoints refused it", wait),
    }
}
