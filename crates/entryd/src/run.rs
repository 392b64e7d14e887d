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
use crate::request::RETRY_AFTER_UNAVAILABLE;
use crate::tracked::{End, track};

const MAX_ATTEMPTS: u32 = 4;

/// Runs an admitted request. It is retried only if it is known not to have run or is idempotent.
pub(crate) async fn run(host: &Arc<Host>, job: &mut Job) -> Result<Response<Body>, Verdict> {
    let mut attempt = 0;
    let mut known: Option<Verdict> = None;
    loop {
        let failure = match run_attempt(host, job, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        // A failure without an attempt replaces no earlier verdict, and nothing replaces "may have
        // run", since a later refusal does not prove that the earlier attempt did not run.
        known = match known {
            Some(earlier) if !failure.attempted || !earlier.is_not_run() => Some(earlier),
            _ => Some(failure.verdict.clone()),
        };
        attempt += 1;
        if !(failure.retryable && attempt < MAX_ATTEMPTS && job.payload.is_available()) {
            return Err(known.unwrap_or(failure.verdict));
        }
    }
}

/// Why an attempt returned no response, and whether another may follow.
struct Failure {
    verdict: Verdict,
    /// Whether the request was sent to an endpoint or another host.
    attempted: bool,
    /// Whether the request may be retried.
    retryable: bool,
}

impl Failure {
    fn without_attempt(verdict: Verdict) -> Self {
        Self {
            verdict,
            attempted: false,
            retryable: false,
        }
    }

    fn after_attempt(verdict: Verdict, job: &Job) -> Self {
        let retryable = verdict.is_not_run() || (job.idempotent() && !is_timeout(&verdict));
        Self {
            verdict,
            attempted: true,
            retryable,
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

async fn run_attempt(
    host: &Arc<Host>,
    job: &mut Job,
    attempt: u32,
) -> Result<Response<Body>, Failure> {
    match place(host, job, attempt) {
        Placed::Dispatch(slot) => dispatch(host, job, slot).await,
        Placed::Queued(queued) => {
            let slot = queued.wait().await.map_err(Failure::without_attempt)?;
            dispatch(host, job, slot).await
        }
        Placed::Relay(guard) => relay(host, job, guard).await,
        Placed::Refused(verdict) => Err(Failure::without_attempt(verdict)),
    }
}

enum Placed {
    Dispatch(SlotGuard),
    Queued(QueueEntry),
    Relay(RelayGuard),
    Refused(Verdict),
}

fn place(host: &Arc<Host>, job: &Job, attempt: u32) -> Placed {
    let now = host.now();
    let mut routing = host.routing.lock();
    let Some(service) = routing.machine.service(&job.service.id) else {
        // The router gets a new configuration just after requests are checked against it.
        let verdict = Verdict::not_run(Reason::Unavailable, RETRY_AFTER_UNAVAILABLE);
        return Placed::Refused(verdict);
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
        Placement::Dispatch(lease) => Placed::Dispatch(SlotGuard::new(host, lease)),
        Placement::Queued(ticket) => {
            let start = routing.add_waiter(ticket);
            Placed::Queued(QueueEntry {
                host: host.clone(),
                ticket: Some(ticket),
                start,
            })
        }
        Placement::Relay(permit) => Placed::Relay(RelayGuard::new(host, permit)),
        Placement::Refuse(verdict) => Placed::Refused(verdict),
    };
    drop(routing);
    drive::apply_routing(host);
    placed
}

/// An entry in a routing queue; cancelled when dropped.
struct QueueEntry {
    host: Arc<Host>,
    ticket: Option<Ticket>,
    start: tokio::sync::oneshot::Receiver<Start>,
}

impl QueueEntry {
    async fn wait(mut self) -> Result<SlotGuard, Verdict> {
        let start = (&mut self.start).await;
        self.ticket = None;
        match start {
            Ok(Ok(lease)) => Ok(SlotGuard::new(&self.host, lease)),
            Ok(Err(verdict)) => Err(verdict),
            Err(_) => Err(Verdict::not_run(Reason::Unavailable, None)),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut routing = self.host.routing.lock();
        routing.remove_waiter(&ticket);
        routing.machine.cancel(ticket);
        drop(routing);
        // The lease may already be in the channel; its slot is given back.
        if let Ok(Ok(lease)) = self.start.try_recv() {
            drop(SlotGuard::new(&self.host, lease));
        }
        drive::apply_routing(&self.host);
    }
}

/// A leased slot at an endpoint; ends as cancelled when dropped.
pub(crate) struct SlotGuard {
    host: Arc<Host>,
    lease: Option<Lease>,
}

impl SlotGuard {
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
            drive::apply_routing(&self.host);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

/// A relay in flight; ends as lost when dropped.
struct RelayGuard {
    host: Arc<Host>,
    permit: Option<RelayPermit>,
}

impl RelayGuard {
    fn new(host: &Arc<Host>, permit: RelayPermit) -> Self {
        Self {
            host: host.clone(),
            permit: Some(permit),
        }
    }

    fn end(&mut self, outcome: RelayResult) {
        if let Some(permit) = self.permit.take() {
            let now = self.host.now();
            self.host
                .routing
                .lock()
                .machine
                .finish_relay(now, permit, outcome);
            drive::apply_routing(&self.host);
        }
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.end(RelayResult::Lost);
    }
}

async fn dispatch(
    host: &Arc<Host>,
    job: &mut Job,
    slot: SlotGuard,
) -> Result<Response<Body>, Failure> {
    let view = host.view.load_full();
    let lease = slot.lease.as_ref().map(|l| (l.endpoint.clone(), l.until));
    let known = lease.and_then(|(id, until)| Some((view.endpoints().get(&id)?.clone(), until)));
    let Some((endpoint, until)) = known else {
        slot.finish(Outcome::Cancelled);
        return Err(Failure::without_attempt(Verdict::not_run(
            Reason::NoEndpoint,
            None,
        )));
    };
    let now = host.now();
    let attempt = host.new_attempt();
    let request = job.request(attempt, now);
    let id = request.headers().get(intake::REQUEST).cloned();
    // After the lease ends, another host may use the slot.
    let left = job.time_left(now).min(until.saturating_duration_since(now));
    let sent = host.upstreams.send(endpoint.addr, request, left).await;
    match sent {
        Ok(response) => check_response(host, &endpoint.id, job, slot, id.as_ref(), response),
        Err(verdict) => {
            slot.finish(if is_timeout(&verdict) {
                Outcome::TimedOut
            } else {
                Outcome::Failed
            });
            Err(Failure::after_attempt(verdict, job))
        }
    }
}

/// Checks the head of a response and forwards its body; the slot is held until the body ends.
fn check_response(
    host: &Arc<Host>,
    endpoint: &EndpointId,
    job: &Job,
    slot: SlotGuard,
    id: Option<&HeaderValue>,
    mut response: Response<Body>,
) -> Result<Response<Body>, Failure> {
    reports::read_headers(host, endpoint, response.headers());
    if has_other_id(response.headers(), id) {
        slot.finish(Outcome::Failed);
        return Err(Failure::after_attempt(
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
        return Err(Failure::after_attempt(
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
fn has_other_id(headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
    headers
        .get(intake::REQUEST)
        .is_some_and(|echo| Some(echo) != id)
}

async fn relay(
    host: &Arc<Host>,
    job: &mut Job,
    mut guard: RelayGuard,
) -> Result<Response<Body>, Failure> {
    let Some((to, zone, cross_region)) = guard
        .permit
        .as_ref()
        .map(|p| (p.host.clone(), p.zone.clone(), p.cross_region))
    else {
        return Err(Failure::without_attempt(Verdict::not_run(
            Reason::Unavailable,
            None,
        )));
    };
    let head = relay_head(host, job, RelayRole::Owner, None);
    let answer = forward(host, job, &to, head, cross_region).await;
    guard.end(match &answer {
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
        Failure::after_attempt(verdict, job)
    })
}

/// Builds the head of a relayed request.
pub(crate) fn relay_head(
    host: &Host,
    job: &Job,
    role: RelayRole,
    key: Option<(String, u128)>,
) -> RelayHead {
    let (key, fingerprint) = key.unzip();
    RelayHead {
        attempt: host.new_attempt(),
        role,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        service: job.service.id.clone(),
        team: job.team.as_ref().map(|t| t.id.clone()),
        deadline: Some(job.time_left(host.now())),
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
    cross_region: bool,
) -> Result<Response<Body>, Verdict> {
    let Some(peer) = host.peer() else {
        return Err(Verdict::not_run(Reason::Unavailable, None));
    };
    let left = job.time_left(host.now());
    let body = job.payload.take();
    let body = if cross_region { pace(host, body) } else { body };
    let body = crate::relay::to_peer(body);
    let sent = tokio::time::timeout(left, peer.relay(to, head, body)).await;
    let answer = sent.unwrap_or(Err(Verdict::may_have_run(Cause::Timeout)))?;
    Ok(crate::relay::from_peer(answer))
}

/// Finds the service and team records that a relayed head names.
///
/// # Errors
///
/// A missing record is no reason to refuse for good: the host that relays the request has found it,
/// so the configurations of the two hosts differ.
pub(crate) fn find_records(view: &View, head: &RelayHead) -> Result<Records, Verdict> {
    let differs = || Verdict::not_run(Reason::Unavailable, RETRY_AFTER_UNAVAILABLE);
    let service = view.services().get(&head.service);
    let service = service.ok_or_else(differs)?.clone();
    let team = match &head.team {
        None => None,
        Some(id) => Some(view.teams().get(id).ok_or_else(differs)?.clone()),
    };
    Ok(Records { service, team })
}

/// The records that apply to a request.
pub(crate) struct Records {
    /// The record of the service that the head names.
    pub(crate) service: Arc<wagtail_config::Service>,
    /// The record of the team; `None` if the head names none.
    pub(crate) team: Option<Arc<wagtail_config::Team>>,
}
