//! Handling of a caller's request: validation, authorization, admission and execution.

use std::sync::Arc;
use std::time::Instant;

use axum::body::Body;
use axum::extract::State;
use http::{Request, Response};
use tokio::sync::OwnedSemaphorePermit;
use wagtail_config::{CutOff, Service, Team, View};
use wagtail_quota::{Admission, Resolution};
use wagtail_route::Origin;
use wagtail_types::{KeyDigest, Reason, ServiceId, TeamId, Verdict};

use crate::answer;
use crate::drive;
use crate::host::Host;
use crate::intake::RequestHead;
use crate::job::{Job, Payload};
use crate::keyed::{self, OPEN_TEAM};
use crate::lifecycle::Running;
use crate::run;
use crate::stats::Series;
use crate::tracked::{End, track};

/// Retry delay for callers of a host that is cut off or does not have the configuration yet.
pub(crate) const RETRY_AFTER_UNAVAILABLE: std::time::Duration = std::time::Duration::from_secs(1);
/// Unit in which the memory for buffered bodies is counted.
pub(crate) const BODY_UNIT_BYTES: u64 = 1_024;
/// Retry delay for callers of a host whose limit on requests or body memory is reached.
const RETRY_AFTER_OVERLOAD: std::time::Duration = std::time::Duration::from_millis(200);

/// A verdict with a detail text for the caller.
struct Refusal {
    verdict: Verdict,
    detail: Option<&'static str>,
}

impl From<Verdict> for Refusal {
    fn from(verdict: Verdict) -> Self {
        Self {
            verdict,
            detail: None,
        }
    }
}

/// Handles one request of a caller.
pub(crate) async fn serve(State(host): State<Arc<Host>>, request: Request<Body>) -> Response<Body> {
    let start = host.now();
    let Some(running) = host.lifecycle.enter(host.settings.limits.requests) else {
        host.metrics.count("requests.over_limit");
        let verdict = Verdict::not_run(Reason::Overloaded, RETRY_AFTER_OVERLOAD);
        return answer::from_verdict(&verdict, None);
    };
    let (parts, body) = request.into_parts();
    let length = hyper::body::Body::size_hint(&body);
    if length.lower() > host.settings.limits.body.0 {
        return refuse(&host, &too_long());
    }
    let head = match RequestHead::try_from(parts) {
        Ok(head) => head,
        Err(detail) => return refuse(&host, &bad(detail)),
    };
    let series = series(&host, &head);
    let result = admit_and_run(&host, head, body, length.exact()).await;
    record_at_end(&host, series, start, running, result)
}

fn bad(detail: &'static str) -> Refusal {
    Refusal {
        verdict: Verdict::not_run(Reason::BadRequest, None),
        detail: Some(detail),
    }
}

fn too_long() -> Refusal {
    bad("the body is longer than this host takes")
}

/// Refuses a malformed request, which belongs to no series.
fn refuse(host: &Host, refusal: &Refusal) -> Response<Body> {
    host.metrics.count("requests.malformed");
    answer::from_verdict(&refusal.verdict, refusal.detail)
}

/// Returns the statistics series of a request; `None` if its service is not configured.
fn series(host: &Host, head: &RequestHead) -> Option<Series> {
    let view = host.view.load();
    let service = view.services().get(&head.service)?;
    let team = head.digest.as_ref().and_then(|d| view.team_of(d));
    let team = match team {
        Some(team) => team.id.clone(),
        None => OPEN_TEAM.parse().ok()?,
    };
    Some(Series {
        team,
        service: service.id.clone(),
    })
}

async fn admit_and_run(
    host: &Arc<Host>,
    head: RequestHead,
    body: Body,
    length: Option<u64>,
) -> Result<Response<Body>, Refusal> {
    let view = host.view.load_full();
    let (service, team) = authorize(host, &view, &head.service, head.digest.as_ref())?;
    // The next holder of a slot waits for the service's deadline, so no request may run longer.
    let timeout = head
        .deadline
        .unwrap_or(service.deadline)
        .min(service.deadline);
    let limits = &host.settings.limits;
    let body = Body::new(http_body_util::Limited::new(body, limits.body.as_usize()));
    let deadline = host.now() + timeout;
    // The fingerprint of a keyed request covers the whole body, so the body is read first.
    let (buffer, _reserved) = match &head.idempotency {
        Some(_) => (limits.body.as_usize(), Some(reserve_body(host, length)?)),
        None => (limits.buffered_body.as_usize(), None),
    };
    let payload = tokio::time::timeout(timeout, Payload::read(body, buffer));
    let payload = payload
        .await
        .map_err(|_| Verdict::not_run(Reason::DeadlinePassed, None))??;
    let mut job = Job {
        service,
        team,
        method: head.method,
        path: head.path,
        headers: head.headers,
        deadline,
        origin: Origin::Local,
        tried: Vec::new(),
        payload,
    };
    if let Some(key) = head.idempotency {
        return Ok(keyed::begin(host, job, &key, head.repeat).await?);
    }
    admit(host, job.team.clone(), job.deadline).await?;
    Ok(run::run(host, &mut job).await?)
}

/// Reserves memory for a body that is buffered whole.
fn reserve_body(host: &Host, length: Option<u64>) -> Result<OwnedSemaphorePermit, Verdict> {
    let bytes = length.unwrap_or(host.settings.limits.body.0);
    let units = u32::try_from(bytes.div_ceil(BODY_UNIT_BYTES)).unwrap_or(u32::MAX);
    let reserved = host.body_memory.clone().try_acquire_many_owned(units);
    reserved.map_err(|_| Verdict::not_run(Reason::Overloaded, RETRY_AFTER_OVERLOAD))
}

/// Checks that an API key may use a service and returns the service and team records.
fn authorize(
    host: &Host,
    view: &View,
    service: &ServiceId,
    digest: Option<&KeyDigest>,
) -> Result<(Arc<Service>, Option<Arc<Team>>), Verdict> {
    let refuse = |reason| deny(host, view, reason);
    if view.epoch().0 == 0 {
        return Err(Verdict::not_run(
            Reason::Unavailable,
            RETRY_AFTER_UNAVAILABLE,
        ));
    }
    let team = digest.map(|d| view.team_of(d).cloned());
    let Some(service) = view.services().get(service).cloned() else {
        return Err(refuse(Reason::UnknownService));
    };
    match team {
        None if service.open => Ok((service, None)),
        None | Some(None) => Err(refuse(Reason::Unauthorized)),
        Some(Some(team)) => {
            if !team.services.contains(&service.id) && !service.open {
                return Err(refuse(Reason::Forbidden));
            }
            if is_stale(host) && team.cutoff == CutOff::Refuse && !service.open {
                return Err(Verdict::not_run(Reason::CutOff, RETRY_AFTER_UNAVAILABLE));
            }
            Ok((service, Some(team)))
        }
    }
}

/// Returns whether this host has been cut off for longer than its records may be trusted.
fn is_stale(host: &Host) -> bool {
    host.cut_off(host.now())
        .is_some_and(|t| t > host.settings.times.staleness)
}

/// Refuses a request for what `view` lacks: for good only if it is the newest, as far as this host
/// knows.
fn deny(host: &Host, view: &View, reason: Reason) -> Verdict {
    let newer = host.config_sync.lock().machine.knows_newer(view.epoch());
    if newer {
        Verdict::not_run(Reason::Unavailable, RETRY_AFTER_UNAVAILABLE)
    } else if is_stale(host) {
        Verdict::not_run(Reason::CutOff, RETRY_AFTER_UNAVAILABLE)
    } else {
        Verdict::not_run(reason, None)
    }
}

/// Spends a token of the team; waits if the token has to come from another host.
pub(crate) async fn admit(
    host: &Arc<Host>,
    team: Option<Arc<Team>>,
    deadline: Instant,
) -> Result<(), Verdict> {
    let Some(team) = team else { return Ok(()) };
    let now = host.now();
    let (admission, receiver) = {
        let mut quota = host.quota.lock();
        let admission = quota.machine.admit(now, &team.id, deadline);
        let receiver = match admission {
            Admission::Waiting(ticket) => Some(quota.add_waiter(ticket)),
            Admission::Granted | Admission::Refused { .. } => None,
        };
        (admission, receiver)
    };
    drive::apply_quota(host);
    let over_rate = |retry| Verdict::not_run(Reason::OverRate, retry);
    match (admission, receiver) {
        (Admission::Granted, _) => Ok(()),
        (Admission::Refused { retry }, _) => Err(over_rate(Some(retry))),
        (Admission::Waiting(_), None) => Err(over_rate(None)),
        (Admission::Waiting(_), Some(receiver)) => match receiver.await {
            Ok(Resolution::Granted) => Ok(()),
            Ok(Resolution::Refused { retry }) => Err(over_rate(Some(retry))),
            Err(_) => Err(Verdict::not_run(Reason::Unavailable, None)),
        },
    }
}

/// Records a request once its response has ended.
fn record_at_end(
    host: &Arc<Host>,
    series: Option<Series>,
    start: Instant,
    running: Running,
    result: Result<Response<Body>, Refusal>,
) -> Response<Body> {
    match result {
        Err(refusal) => {
            record(host, series.as_ref(), start, Some(&refusal.verdict));
            answer::from_verdict(&refusal.verdict, refusal.detail)
        }
        Ok(response) => {
            let host = host.clone();
            response.map(|body| {
                track(body, move |end| {
                    let cut = Verdict::may_have_run(wagtail_types::Cause::BadAnswer);
                    let failure = (end == End::Broken).then_some(&cut);
                    record(&host, series.as_ref(), start, failure);
                    drop(running);
                })
            })
        }
    }
}

fn record(host: &Host, series: Option<&Series>, start: Instant, failure: Option<&Verdict>) {
    let now = host.now();
    match series {
        Some(series) => {
            let elapsed = now.saturating_duration_since(start);
            host.stats.record(now, series, elapsed, failure);
            host.metrics.request(&series.team, &series.service, failure);
        }
        None => host.metrics.count("requests.unknown_service"),
    }
}

/// Returns the team that an API key belongs to in the configuration in force.
pub(crate) fn team_of(host: &Host, digest: Option<&KeyDigest>) -> Option<TeamId> {
    let view = host.view.load();
    view.team_of(digest?).map(|t| t.id.clone())
}
