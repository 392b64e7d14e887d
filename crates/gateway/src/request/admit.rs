//! Whether a request may run at all: its route, key, size and its team's limit.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{StatusCode, header, request};
use wagtail_steer::{RetryPolicy, Route, Steer, Team, TokenOutcome};
use wagtail_types::{RegionId, ServiceId};

use super::reply::Reply;
use super::story::Story;
use crate::host::Front;

/// The wait that is advised where no configuration or service is known yet.
const UNREADY_WAIT: Duration = Duration::from_millis(500);
/// The time before a caller's deadline at which its answer must leave, so that it arrives.
const WAY_BACK: Duration = Duration::from_millis(25);
/// A bound on deadlines, so that time arithmetic cannot overflow.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) team: Option<Rc<Team>>,
    pub(crate) object: Option<u32>,
    pub(crate) homes: Vec<RegionId>,
    pub(crate) body_max: usize,
    pub(crate) arrived: Instant,
    /// When the caller must have its answer.
    pub(crate) end: Instant,
}

impl Job {
    pub(crate) fn is_safe(&self) -> bool {
        self.route.retry == RetryPolicy::Safe
    }
}

/// Checks a request and takes a token of its team.
pub(crate) async fn admit(
    front: &Front,
    head: &request::Parts,
    fault: Option<&'static str>,
    arrived: Instant,
    story: &mut Story,
) -> Result<Job, Box<Reply>> {
    let job = check(front, head, fault, arrived, story)?;
    if let Some(team) = &job.team
        && let TokenOutcome::Denied(wait) = front.exchange.token(team).await
    {
        return Err(
            Reply::refuse(StatusCode::TOO_MANY_REQUESTS, "over the team's limit", wait).into(),
        );
    }
    Ok(job)
}

fn check(
    front: &Front,
    head: &request::Parts,
    fault: Option<&'static str>,
    arrived: Instant,
    story: &mut Story,
) -> Result<Job, Box<Reply>> {
    let caller = match front.conventions.caller(head) {
        Ok(caller) => caller,
        Err(refusal) => return Err(Reply::fail(StatusCode::BAD_REQUEST, refusal.reason).into()),
    };
    story.id.clone_from(&caller.id);
    story.object.clone_from(&caller.object);
    if let Some(fault) = fault {
        return Err(Reply::fail(StatusCode::BAD_REQUEST, fault).into());
    }
    let mut steer = front.core.steer.borrow_mut();
    let catalog = steer.catalog().filter(|_| steer.is_initialized()).cloned();
    let Some(catalog) = catalog else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Reply::refuse(status, "the host is starting", UNREADY_WAIT).into());
    };
    story.version = catalog.version().0;
    let Some(route) = catalog.route(&caller.host, head.uri.path()) else {
        return Err(Reply::fail(StatusCode::NOT_FOUND, "no such route").into());
    };
    story.route = Some(route.id.clone());
    let team = caller
        .key
        .as_ref()
        .and_then(|k| catalog.team_by_key(k))
        .cloned();
    if team.is_none() && !route.public {
        return Err(Reply::fail(StatusCode::UNAUTHORIZED, "unknown key").into());
    }
    story.team = team.as_ref().map(|t| t.id.clone());
    let limits = catalog.limits();
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<u64>().ok());
    if length.is_some_and(|l| l > limits.body.as_usize() as u64) {
        return Err(Reply::fail(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large").into());
    }
    let homes = homes(
        &route.permitted_regions,
        team.as_deref().map_or(&[], |t| &t.permitted_regions),
    );
    let Some(homes) = homes else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Reply::refuse(status, "no region may serve it", UNREADY_WAIT).into());
    };
    let Some(service) = steer.pick_service(route) else {
        return Err(Reply::fail(StatusCode::NOT_FOUND, "the route has no service").into());
    };
    steer.count_request(&service, &homes, arrived);
    let deadline = caller.deadline.unwrap_or(route.timeout).min(DEADLINE_MAX);
    let span = deadline.saturating_sub(WAY_BACK).min(route.timeout);
    Ok(Job {
        object: caller
            .object
            .filter(|_| route.sticky)
            .map(|o| object(route, &o)),
        id: caller.id,
        route: route.clone(),
        service,
        team,
        homes,
        body_max: limits.body.as_usize(),
        arrived,
        end: arrived + span,
    })
}

/// Objects of different routes are different, whatever their names.
fn object(route: &Route, name: &str) -> u32 {
    Steer::object_hash(&format!("{}{}{name}", route.host, route.prefix))
}

/// The regions that both lists allow; an empty list allows all. `None` if there is none.
fn homes(route: &[RegionId], team: &[RegionId]) -> Option<Vec<RegionId>> {
    match (route, team) {
        ([], other) | (other, []) => Some(other.to_vec()),
        (route, team) => {
            let both: Vec<_> = route.iter().filter(|r| team.contains(r)).cloned().collect();
            (!both.is_empty()).then_some(both)
        }
    }
}
