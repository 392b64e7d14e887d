//! Admission of requests: checks the route, key, body size and the team's rate limit.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{StatusCode, header, request};
use wagtail_steer::{RetryPolicy, Route, Steer, Team, TokenOutcome};
use wagtail_types::{RegionId, ServiceId};

use super::reply::Reply;
use super::request_log::RequestLog;
use crate::host::{Core, RequestContext};
use crate::registry::Topic;

/// The `Retry-After` wait if the host is still starting or no region may serve the request.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);
/// The time before the caller's deadline by which the reply must be sent, so that it arrives in
/// time.
const RETURN_MARGIN: Duration = Duration::from_millis(25);
/// The longest accepted deadline, so that time arithmetic cannot overflow.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// The `Retry-After` wait if the host may lack a newer configuration; a few transfers of one.
const OUTDATED_WAIT: Duration = Duration::from_millis(300);

/// The `Retry-After` wait for what a configuration does not let the host use; another one may.
const DISABLED_WAIT: Duration = Duration::from_secs(1);

/// Why the configuration in force does not allow a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Denial {
    NoRoute,
    UnknownKey,
    BodyTooLarge,
}

impl Denial {
    /// Returns the status, and the reasons if the configuration is current and if it may not be.
    fn describe(self) -> (StatusCode, &'static str, &'static str) {
        match self {
            Self::NoRoute => (
                StatusCode::NOT_FOUND,
                "no such route",
                "no such route, but the configuration may be outdated",
            ),
            Self::UnknownKey => (
                StatusCode::UNAUTHORIZED,
                "unknown key",
                "unknown key, but the configuration may be outdated",
            ),
            Self::BodyTooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
                "the body is too large, but the configuration may be outdated",
            ),
        }
    }
}

/// Returns the reply to a request that the configuration in force does not allow. If the host may lack
/// a newer one, the caller is told to retry, as other hosts may have it.
pub(crate) fn deny(core: &Core, denial: Denial) -> Reply {
    let (status, reason, doubtful) = denial.describe();
    if core.may_lack_changes(Topic::Operator) {
        Reply::refuse(StatusCode::SERVICE_UNAVAILABLE, doubtful, OUTDATED_WAIT)
    } else {
        Reply::fail(status, reason)
    }
}

/// A request that passed admission, with its chosen service and the limits on its execution.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) team: Option<Rc<Team>>,
    /// The hash of the object, on routes with affinity.
    pub(crate) object: Option<u32>,
    pub(crate) permitted_regions: Vec<RegionId>,
    /// The maximum size of the body in bytes.
    pub(crate) body_max: usize,
    pub(crate) arrived: Instant,
    /// The time by which the reply must be sent.
    pub(crate) deadline: Instant,
    /// The time until which the caller waits for the end of the reply.
    pub(crate) caller_deadline: Instant,
}

impl Job {
    /// Returns whether the request may be executed more than once.
    pub(crate) fn is_safe(&self) -> bool {
        self.route.retry == RetryPolicy::Safe
    }
}

/// Checks a request and takes a token of its team's rate limit. Returns the refusal otherwise.
pub(crate) async fn admit(
    context: &RequestContext,
    head: &request::Parts,
    framing_error: Option<&'static str>,
    arrived: Instant,
    request_log: &mut RequestLog,
) -> Result<Job, Box<Reply>> {
    let job = check(context, head, framing_error, arrived, request_log)?;
    if let Some(team) = &job.team
        && let TokenOutcome::Denied(wait) = context.exchange.take_token(team).await
    {
        return Err(
            Reply::refuse(StatusCode::TOO_MANY_REQUESTS, "over the team's limit", wait).into(),
        );
    }
    Ok(job)
}

fn check(
    context: &RequestContext,
    head: &request::Parts,
    framing_error: Option<&'static str>,
    arrived: Instant,
    request_log: &mut RequestLog,
) -> Result<Job, Box<Reply>> {
    let request_head = match context.codec.decode_request(head) {
        Ok(request_head) => request_head,
        Err(invalid) => return Err(Reply::fail(StatusCode::BAD_REQUEST, invalid.reason).into()),
    };
    request_log.name(&request_head.id);
    request_log.object.clone_from(&request_head.object);
    if let Some(framing_error) = framing_error {
        return Err(Reply::fail(StatusCode::BAD_REQUEST, framing_error).into());
    }
    let mut steer = context.core.steer.borrow_mut();
    let initialized = steer.is_initialized(arrived);
    let catalog = steer.catalog().filter(|_| initialized).cloned();
    let Some(catalog) = catalog else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Reply::refuse(status, "the host is starting", NOT_READY_WAIT).into());
    };
    request_log.version = catalog.version().0;
    let Some(route) = catalog.route(&request_head.host, head.uri.path()) else {
        return Err(deny(&context.core, Denial::NoRoute).into());
    };
    request_log.route = Some(route.id.clone());
    let team = request_head
        .key
        .as_ref()
        .and_then(|k| catalog.team_by_key(k))
        .cloned();
    let disabled = |reason| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Reply::refuse(status, reason, DISABLED_WAIT).into())
    };
    if request_head
        .key
        .as_ref()
        .is_some_and(|k| catalog.is_disabled(k))
    {
        return disabled("the configuration of the team cannot be used");
    }
    if team.is_none() && !route.public {
        return Err(deny(&context.core, Denial::UnknownKey).into());
    }
    request_log.team = team.as_ref().map(|t| t.id.clone());
    let limits = catalog.limits();
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<u64>().ok());
    if length.is_some_and(|l| l > limits.body.as_usize() as u64) {
        return Err(deny(&context.core, Denial::BodyTooLarge).into());
    }
    let permitted_regions = permitted_regions(
        &route.permitted_regions,
        team.as_deref().map_or(&[], |t| &t.permitted_regions),
    );
    let Some(permitted_regions) = permitted_regions else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Reply::refuse(status, "no region may serve it", NOT_READY_WAIT).into());
    };
    let Some(service) = steer.pick_service(route) else {
        return disabled("the configuration of the route cannot be used");
    };
    steer.count_request(&service, &permitted_regions, arrived);
    let timeout = request_head
        .deadline
        .unwrap_or(route.timeout)
        .min(DEADLINE_MAX);
    let time_limit = timeout.saturating_sub(RETURN_MARGIN).min(route.timeout);
    Ok(Job {
        object: request_head
            .object
            .filter(|_| route.sticky)
            .map(|o| object_hash(route, &o)),
        id: request_head.id,
        route: route.clone(),
        service,
        team,
        permitted_regions,
        body_max: limits.body.as_usize(),
        arrived,
        deadline: arrived + time_limit,
        caller_deadline: arrived + timeout,
    })
}

/// Returns the hash of an object's name. It includes the route, because equal names on different
/// routes are different objects.
fn object_hash(route: &Route, name: &str) -> u32 {
    Steer::short_hash(&format!("{}{}{name}", route.host, route.prefix))
}

/// Returns the regions that both lists allow, or `None` if there is none. An empty list allows all
/// regions.
fn permitted_regions(route: &[RegionId], team: &[RegionId]) -> Option<Vec<RegionId>> {
    match (route, team) {
        ([], other) | (other, []) => Some(other.to_vec()),
        (route, team) => {
            let both: Vec<_> = route.iter().filter(|r| team.contains(r)).cloned().collect();
            (!both.is_empty()).then_some(both)
        }
    }
}
