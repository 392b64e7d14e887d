//! Places a request and runs it at an endpoint or through another host.

use std::sync::Arc;

use axum::body::Body;
use http::{HeaderMap, HeaderValue, Response};
use wagtail_config::View;
use wagtail_peer::{RelayHead, RelayRole};
use wagtail_route::{Lease, Outcome, Placement, RelayPermit, RelayResult, Request, Ticket};
use wagtail_types::{Cause, EndpointId, Reason, Verdict};

use crate::answer::{self, NOT_RUN, VERDICT};
use crate::drive;
use crate::host::{Host, Start};
use crate::intake;
use crate::job::Job;
use crate::paced::pace;
use crate::reports;
use crate::tracked::{End, track};

const MAX_ATTEMPTS: u32 = 4;

/// Runs an admitted request. It is retried only if it is known not to have run or is idempotent.
pub(crate) async fn run(host: &Arc<Host>, job: &mut Job) -> Result<Response<Body>, Verdict> {
    let mut attempt = 0;
    let mut known: Option<Verdict> = None;
    loop {
        let failure = match once(host, job, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        // An attempt that may have run stays so: a later refusal, or finding no endpoint, does not
        // prove otherwise.
        known = match known {
            Some(earlier) if !failure.attempted || !earlier.is_not_run() => Some(earlier),
            _ => Some(failure.verdict.clone()),
        };
        attempt += 1;
        if !(failure.again && attempt < MAX_ATTEMPTS && job.payload.is_there()) {
            return Err(known.unwrap_or(failure.verdict));
        }
    }
}

/// A failed attempt.
struct Failure {
    verdict: Verdict,
    /// Whether the request was sent to an endpoint or another host.
    attempted: bool,
    /// Whether the request may be retried.
    again: bool,
}

impl Failure {
    fn last(verdict: Verdict) -> Self {
        Self {
            verdict,
            attempted: false,
            again: false,
        }
    }

    fn of_attempt(verdict: Verdict, job: &Job) -> Self {
        let again = verdict.is_not_run() || (job.idempotent() && !is_timeout(&verdict));
        Self {
            verdict,
            attempted: true,
            again,
        }
    }
}

fn is_timeout(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::MayHaveRun {
            cause: Cause::Timeout
        }
    )
}

async fn once(host: &Arc<Host>, job: &mut Job, attempt: u32) -> Result<Response<Body>, Failure> {
    match place(host, job, attempt) {
        Placed::Now(slot) => dispatch(host, job, slot).await,
        Placed::Later(queued) => {
            let slot = queued.wait().await.map_err(Failure::last)?;
            dispatch(host, job, slot).await
        }
        Placed::Elsewhere(pass) => relay(host, job, pass).await,
        Placed::Nowhere(verdict) => Err(Failure::last(verdict)),
    }
}

enum Placed {
    Now(Slot),
    Later(Queued),
    Elsewhere(Passing),
    Nowhere(Verdict),
}

fn place(host: &Arc<Host>, job: &Job, attempt: u32) -> Placed {
    let now = host.now();
    let mut routing = host.routing.lock();
    let Some(service) = routing.machine.service(&job.service.id) else {
        return Placed::Nowhere(Verdict::not_run(Reason::UnknownService, None));
    };
    let team = job.team.as_ref().and_then(|t| routing.machine.team(&t.id));
    let request = Request {
        service,
        team,
        weight: job.service.weight,
        deadline: job.deadline,
        idempotent: job.idempotent(),
        origin: job.origin,
        attempt,
        tried: &job.tried,
    };
    let placed = match routing.machine.place(now, &request) {
        Placement::Dispatch(lease) => Placed::Now(Slot::new(host, lease)),
        Placement::Queued(ticket) => {
            let start = routing.wait(ticket);
            Placed::Later(Queued {
                host: host.clone(),
                ticket: Some(ticket),
                start,
            })
        }
        Placement::Relay(pass) => Placed::Elsewhere(Passing::new(host, pass)),
        Placement::Refuse(verdict) => Placed::Nowhere(verdict),
    };
    drop(routing);
    drive::routing(host);
    placed
}

/// An entry in a routing queue; cancelled when dropped.
struct Queued {
    host: Arc<Host>,
    ticket: Option<Ticket>,
    start: tokio::sync::oneshot::Receiver<Start>,
}

impl Queued {
    async fn wait(mut self) -> Result<Slot, Verdict> {
        let start = (&mut self.start).await;
        self.ticket = None;
        match start {
            Ok(Ok(lease)) => Ok(Slot::new(&self.host, lease)),
            Ok(Err(verdict)) => Err(verdict),
            Err(_) => Err(Verdict::not_run(Reason::Unavailable, None)),
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut routing = self.host.routing.lock();
        routing.forget(&ticket);
        routing.machine.cancel(ticket);
        drop(routing);
        // The lease may already be in the channel; its slot is given back.
        if let Ok(Ok(lease)) = self.start.try_recv() {
            drop(Slot::new(&self.host, lease));
        }
        drive::routing(&self.host);
    }
}

/// A leased slot at an endpoint; ends as cancelled when dropped.
pub(crate) struct Slot {
    host: Arc<Host>,
    lease: Option<Lease>,
}

impl Slot {
    pub(crate) fn new(host: &Arc<Host>, lease: Lease) -> Self {
        Self {
            host: host.clone(),
            lease: Some(lease),
        }
    }

    fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(lease) = self.lease.take() {
            let now = self.host.now();
            self.host.routing.lock().machine.finish(now, lease, outcome);
            drive::routing(&self.host);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

/// A relay in flight; ends as lost when dropped.
struct Passing {
    host: Arc<Host>,
    pass: Option<RelayPermit>,
}

impl Passing {
    fn new(host: &Arc<Host>, pass: RelayPermit) -> Self {
        Self {
            host: host.clone(),
            pass: Some(pass),
        }
    }

    fn end(&mut self, outcome: RelayResult) {
        if let Some(pass) = self.pass.take() {
            let now = self.host.now();
            self.host
                .routing
                .lock()
                .machine
                .finish_relay(now, pass, outcome);
            drive::routing(&self.host);
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.end(RelayResult::Lost);
    }
}

async fn dispatch(host: &Arc<Host>, job: &mut Job, slot: Slot) -> Result<Response<Body>, Failure> {
    let view = host.view.load_full();
    let lease = slot.lease.as_ref().map(|l| (l.endpoint.clone(), l.until));
    let known = lease.and_then(|(id, until)| Some((view.endpoints().get(&id)?.clone(), until)));
    let Some((endpoint, until)) = known else {
        slot.finish(Outcome::Cancelled);
        return Err(Failure::last(Verdict::not_run(Reason::NoEndpoint, None)));
    };
    let now = host.now();
    let attempt = host.attempt();
    let request = job.request(attempt, now);
    let id = request.headers().get(intake::REQUEST).cloned();
    // After the lease ends, another host may use the slot.
    let left = job.left(now).min(until.saturating_duration_since(now));
    let sent = host.upstreams.send(endpoint.addr, request, left).await;
    match sent {
        Ok(response) => judge(host, &endpoint.id, job, slot, id.as_ref(), response),
        Err(verdict) => {
            slot.finish(if is_timeout(&verdict) {
                Outcome::TimedOut
            } else {
                Outcome::Failed
            });
            Err(Failure::of_attempt(verdict, job))
        }
    }
}

/// Checks the head of a response and forwards its body; the slot is held until the body ends.
fn judge(
    host: &Arc<Host>,
    endpoint: &EndpointId,
    job: &Job,
    slot: Slot,
    id: Option<&HeaderValue>,
    mut response: Response<Body>,
) -> Result<Response<Body>, Failure> {
    reports::passive(host, endpoint, response.headers());
    if is_crossed(response.headers(), id) {
        slot.finish(Outcome::Failed);
        return Err(Failure::of_attempt(
            Verdict::may_have_run(Cause::BadAnswer),
            job,
        ));
    }
    if response
        .headers()
        .get(VERDICT)
        .is_some_and(|v| v == NOT_RUN)
    {
        slot.finish(Outcome::Refused);
        return Err(Failure::of_attempt(
            Verdict::not_run(Reason::EndpointRefused, None),
            job,
        ));
    }
    answer::strip(response.headers_mut());
    Ok(response.map(|body| {
        track(body, move |end| {
            slot.finish(match end {
                End::Whole => Outcome::Answered,
                End::Broken => Outcome::Failed,
                End::Dropped => Outcome::Cancelled,
            });
        })
    }))
}

/// Returns whether the response carries the id of another request.
fn is_crossed(headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
    headers
        .get(intake::REQUEST)
        .is_some_and(|echo| Some(echo) != id)
}

async fn relay(
    host: &Arc<Host>,
    job: &mut Job,
    mut passing: Passing,
) -> Result<Response<Body>, Failure> {
    let Some((to, zone, far)) = passing
        .pass
        .as_ref()
        .map(|p| (p.host.clone(), p.zone.clone(), p.cross_region))
    else {
        return Err(Failure::last(Verdict::not_run(Reason::Unavailable, None)));
    };
    let head = head(host, job, RelayRole::Owner, None);
    let answer = forward(host, job, &to, head, far).await;
    passing.end(match &answer {
        Ok(_) | Err(Verdict::MayHaveRun { .. }) => RelayResult::Taken,
        Err(Verdict::NotRun { reason, .. }) => match reason {
            Reason::ConnectFailed => RelayResult::Lost,
            // The peer had a slot; its endpoint refused the request.
            Reason::EndpointRefused => RelayResult::Taken,
            _ => RelayResult::NoSlot,
        },
    });
    answer.map_err(|verdict| {
        job.tried.push(zone);
        Failure::of_attempt(verdict, job)
    })
}

/// Builds the head of a relayed request.
pub(crate) fn head(
    host: &Host,
    job: &Job,
    role: RelayRole,
    key: Option<(String, u128)>,
) -> RelayHead {
    let (key, fingerprint) = key.unzip();
    RelayHead {
        attempt: host.attempt(),
        role,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        service: job.service.id.clone(),
        team: job.team.as_ref().map(|t| t.id.clone()),
        deadline: Some(job.left(host.now())),
        idempotent: job.idempotent(),
        key,
        fingerprint,
        tried: job.tried.clone(),
    }
}

/// Sends a request to another host and waits for the head of the response.
pub(crate) async fn forward(
    host: &Arc<Host>,
    job: &mut Job,
    to: &wagtail_types::HostId,
    head: RelayHead,
    far: bool,
) -> Result<Response<Body>, Verdict> {
    let Some(peer) = host.peer() else {
        return Err(Verdict::not_run(Reason::Unavailable, None));
    };
    let left = job.left(host.now());
    let body = job.payload.take();
    let body = if far { pace(host, body) } else { body };
    let body = crate::relay::to_peer(body);
    let sent = tokio::time::timeout(left, peer.relay(to, head, body)).await;
    let answer = sent.unwrap_or(Err(Verdict::may_have_run(Cause::Timeout)))?;
    Ok(crate::relay::from_peer(answer))
}

/// Finds the service and team records that a relayed head names.
pub(crate) fn named(view: &View, head: &RelayHead) -> Result<Named, Verdict> {
    let service = view.services().get(&head.service);
    let service = service
        .ok_or(Verdict::not_run(Reason::UnknownService, None))?
        .clone();
    let team = match &head.team {
        None => None,
        Some(id) => {
            let team = view.teams().get(id);
            Some(
                team.ok_or(Verdict::not_run(Reason::Forbidden, None))?
                    .clone(),
            )
        }
    };
    Ok(Named { service, team })
}

/// The records that apply to a request.
pub(crate) struct Named {
    /// The service.
    pub(crate) service: Arc<wagtail_config::Service>,
    /// The team.
    pub(crate) team: Option<Arc<wagtail_config::Team>>,
}
