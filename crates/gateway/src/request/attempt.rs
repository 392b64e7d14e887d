//! Attempts at endpoints until one answers or nothing more may be tried.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode, header, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use wagtail_steer::{
    Choice, EndpointKey, Load, Outcome, Placement, PlacementRequest, RejectionReason,
};

use super::admit::Job;
use super::flight::Flight;
use super::reply::Reply;
use super::send::{Delivered, Fault, send, strip};
use super::story::Story;
use crate::conventions::Standing;
use crate::host::Front;

/// The most endpoints that are tried for a connection.
const CONNECTS_MAX: usize = 3;
/// The part of its expected time after which a safe request is asked for elsewhere.
const PATIENCE: f64 = 3.0;
/// The least time before a safe request is asked for elsewhere.
const PATIENCE_MIN: Duration = Duration::from_millis(700);
/// The time past the end for which the endpoint's own answer to its deadline is awaited.
const LAST_WAIT: Duration = Duration::from_millis(40);
/// The wait that is advised after a failure that says nothing of when room is expected.
const FAULT_WAIT: Duration = Duration::from_millis(300);

/// What is known of a request after the attempts so far.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<EndpointKey>,
    /// Endpoints that may have got the request.
    sends: u32,
    /// Whether it may have run.
    ran: bool,
    /// A failure of the endpoint's own, to pass on if nothing better comes.
    failure: Option<Delivered>,
    retry: Option<Duration>,
}

/// Sends a request until there is an answer for the caller.
pub(crate) async fn run(
    front: &Front,
    job: &Job,
    head: &request::Parts,
    body: Incoming,
    story: &mut Story,
) -> Reply {
    let reply = drive(front, job, head, body, story).await;
    if !story.ran
        && let Some(team) = &job.team
    {
        front.exchange.give_back(team);
    }
    reply
}

async fn drive(
    front: &Front,
    job: &Job,
    head: &request::Parts,
    body: Incoming,
    story: &mut Story,
) -> Reply {
    let body = match read(job, body, front.core.now()).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let mut progress = Progress::default();
    let mut moved: Option<Flight> = None;
    loop {
        if moved.is_none() && !progress.tried.is_empty() && !may_go_on(front, job, &progress) {
            return conclude(progress, None, head);
        }
        let flight = match moved
            .take()
            .map_or_else(|| look(front, job, &progress.tried), Ok)
        {
            Ok(flight) => flight,
            Err((miss, retry)) => {
                story.missed(miss, retry);
                return conclude(progress, Some((miss, retry)), head);
            }
        };
        progress.tried.push(flight.choice.key);
        let began = front.core.now();
        let mut waited = wait(front, job, head, &body, &flight.choice, &progress).await;
        let taken = front.core.now().duration_since(began);
        story.attempt(front, &flight.choice, &waited, taken);
        if let Waited::Overdue(next) = &mut waited {
            moved = next.take();
        }
        if let Some(reply) = settle(front, job, head, flight, waited, taken, &mut progress) {
            story.ran = true;
            return reply;
        }
        story.ran = progress.ran;
    }
}

async fn read(job: &Job, body: Incoming, now: Instant) -> Result<Bytes, Reply> {
    let left = job.end.saturating_duration_since(now);
    match tokio::time::timeout(left, Limited::new(body, job.body_max).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Reply::fail(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(_)) => Err(Reply::fail(StatusCode::BAD_REQUEST, "the body is broken")),
        Err(_) => Err(Reply::fail(
            StatusCode::REQUEST_TIMEOUT,
            "the body came too slowly",
        )),
    }
}

/// Looks for an endpoint, and counts the request there.
fn look(
    front: &Front,
    job: &Job,
    tried: &[EndpointKey],
) -> Result<Flight, (RejectionReason, Duration)> {
    let now = front.core.now();
    let request = PlacementRequest {
        route: &job.route,
        service: &job.service,
        object: job.object,
        permitted_regions: &job.homes,
        tried,
        elapsed: now.duration_since(job.arrived),
        remaining: job.end.saturating_duration_since(now),
    };
    let placement = front.core.steer.borrow_mut().place(&request, now);
    match placement {
        Placement::Send(choice) => Ok(Flight::new(
            front.core.clone(),
            choice,
            job.route.clone(),
            job.object,
        )),
        Placement::Reject {
            reason,
            retry_after,
        } => Err((reason, retry_after)),
    }
}

/// Whether a further endpoint may be tried.
fn may_go_on(front: &Front, job: &Job, progress: &Progress) -> bool {
    let now = front.core.now();
    if now >= job.end || progress.tried.len() > CONNECTS_MAX {
        return false;
    }
    if progress.sends == 0 {
        return true;
    }
    (job.is_safe() || !progress.ran)
        && progress.sends < job.route.attempts
        && front.core.steer.borrow_mut().take_retry(&job.service, now)
}

/// The end of waiting for an attempt.
pub(crate) enum Waited {
    /// The attempt ended.
    Ended(Result<Delivered, Fault>),
    /// It took too long; the request goes on at another endpoint, or its time is over.
    Overdue(Option<Flight>),
}

async fn wait(
    front: &Front,
    job: &Job,
    head: &request::Parts,
    body: &Bytes,
    choice: &Choice,
    progress: &Progress,
) -> Waited {
    let mut attempt = std::pin::pin!(send(front, job, head, body, choice.key));
    let left = |extra: Duration| (job.end + extra).saturating_duration_since(front.core.now());
    let patience = choice.expected_time.mul_f64(PATIENCE).max(PATIENCE_MIN);
    let spare = job.is_safe() && progress.sends + 1 < job.route.attempts;
    if spare && patience + choice.expected_time < left(Duration::ZERO) {
        if let Ok(result) = tokio::time::timeout(patience, &mut attempt).await {
            return Waited::Ended(result);
        }
        if let Some(next) = elsewhere(front, job, &progress.tried) {
            return Waited::Overdue(Some(next));
        }
    }
    match tokio::time::timeout(left(LAST_WAIT), &mut attempt).await {
        Ok(result) => Waited::Ended(result),
        Err(_) => Waited::Overdue(None),
    }
}

/// A free endpoint for a request whose endpoint is overdue. Without one it is better to wait on.
fn elsewhere(front: &Front, job: &Job, tried: &[EndpointKey]) -> Option<Flight> {
    // A host that stops must not add failures of its own to requests that are at work.
    if front.core.is_leaving()
        || !front
            .core
            .steer
            .borrow()
            .may_retry(&job.service, front.core.now())
    {
        return None;
    }
    let next = look(front, job, tried)
        .ok()
        .filter(|flight| flight.choice.slot_free)?;
    front
        .core
        .steer
        .borrow_mut()
        .take_retry(&job.service, front.core.now())
        .then_some(next)
}

/// Takes the end of an attempt; a reply if it is the last one.
fn settle(
    front: &Front,
    job: &Job,
    head: &request::Parts,
    flight: Flight,
    waited: Waited,
    taken: Duration,
    progress: &mut Progress,
) -> Option<Reply> {
    let key = flight.choice.key;
    let result = match waited {
        Waited::Ended(result) => result,
        Waited::Overdue(_) => {
            progress.sends += 1;
            progress.ran = true;
            flight.end(Outcome::Overdue, None, None);
            return None;
        }
    };
    match result {
        Ok(delivered) => {
            progress.sends += 1;
            progress.ran = true;
            let failed = delivered.head.status.is_server_error();
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            };
            flight.end(outcome, Some(taken), delivered.answer.load);
            if failed && job.is_safe() {
                progress.failure = Some(delivered);
                return None;
            }
            Some(pass(delivered, head))
        }
        Err(Fault::Unreachable(_)) => {
            front.pool.drop_endpoint(key);
            flight.end(Outcome::Unreachable, None, None);
            None
        }
        Err(Fault::Gone) => {
            flight.end(Outcome::Left, None, None);
            None
        }
        Err(Fault::NotRun(delivered)) => {
            progress.sends += 1;
            let outcome = if delivered.answer.standing == Standing::Replaced {
                Outcome::Replaced
            } else {
                Outcome::Shed
            };
            progress.retry = Some(room(delivered.answer.load));
            flight.end(outcome, None, delivered.answer.load);
            None
        }
        Err(Fault::Broken(_) | Fault::BadAnswer(_)) => {
            progress.sends += 1;
            progress.ran = true;
            flight.end(Outcome::Failed, None, None);
            None
        }
    }
}

/// When an endpoint that refused for want of room may have some.
fn room(load: Option<Load>) -> Duration {
    load.map_or(FAULT_WAIT, |l| {
        FAULT_WAIT.mul_f64(1.0 + f64::from(l.waiting) / f64::from(l.slots.max(1)))
    })
}

fn pass(delivered: Delivered, head: &request::Parts) -> Reply {
    let mut headers = delivered.head.headers;
    strip(&mut headers);
    if head.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    Reply::pass(delivered.head.status, headers, delivered.body)
}

/// The last word on a request that nothing more is tried for.
fn conclude(
    progress: Progress,
    miss: Option<(RejectionReason, Duration)>,
    head: &request::Parts,
) -> Reply {
    if let Some(failure) = progress.failure {
        return pass(failure, head);
    }
    if progress.ran {
        return Reply::fail(StatusCode::BAD_GATEWAY, "no whole answer; it may have run");
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let wait = progress.retry.unwrap_or(FAULT_WAIT);
    match miss {
        Some((RejectionReason::NoEndpoint, retry)) => Reply::refuse(status, "no endpoint", retry),
        Some((RejectionReason::Full, retry)) => Reply::refuse(status, "endpoints are full", retry),
        Some((RejectionReason::TooLate, retry)) => {
            Reply::refuse(status, "no answer in time", retry)
        }
        None => Reply::refuse(status, "endpoints refused it", wait),
    }
}
