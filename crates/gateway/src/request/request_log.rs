//! The log record of a request: the decisions, what they were based on, and the outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::info;
use wagtail_steer::{Choice, Fingerprint, RejectionReason, RouteId};
use wagtail_types::{TeamId, millis};

use super::attempt::AttemptEnd;
use super::reply::Reply;
use super::send::AttemptError;
use crate::host::RequestContext;
use crate::memory::Claim;
use crate::tracker::{RequestStage, Tracked};

/// The maximum number of log records per second for requests that failed or had several attempts.
const FAILED_LINES_PER_SECOND: f64 = 30.0;
/// The maximum number of log records per second for requests that succeeded at the first attempt.
const ANSWERED_LINES_PER_SECOND: f64 = 1.0;

/// Limits the rate of log records for requests.
#[derive(Debug)]
pub(crate) struct LogBudget {
    /// The tokens for requests that failed or had several attempts.
    failed: f64,
    /// The tokens for requests that succeeded at the first attempt.
    answered: f64,
    refilled_at: Instant,
    skipped: u64,
}

impl LogBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failed: FAILED_LINES_PER_SECOND,
            answered: ANSWERED_LINES_PER_SECOND,
            refilled_at: now,
            skipped: 0,
        }
    }

    /// Returns `None` if no record may be written now, otherwise the number of records skipped
    /// since the last one.
    fn take(&mut self, routine: bool, now: Instant) -> Option<u64> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.failed =
            (self.failed + elapsed * FAILED_LINES_PER_SECOND).min(FAILED_LINES_PER_SECOND);
        self.answered =
            (self.answered + elapsed * ANSWERED_LINES_PER_SECOND).min(ANSWERED_LINES_PER_SECOND);
        let tokens = if routine {
            &mut self.answered
        } else {
            &mut self.failed
        };
        if *tokens < 1.0 {
            self.skipped += 1;
            return None;
        }
        *tokens -= 1.0;
        Some(std::mem::take(&mut self.skipped))
    }
}

/// The log record of one request. It is written when the request finishes, or on drop if the caller
/// left before.
pub(crate) struct RequestLog {
    context: Rc<RequestContext>,
    tracked: Rc<Tracked>,
    pub(crate) arrived: Instant,
    id: String,
    /// The version of the configuration that the request was routed by.
    pub(crate) version: u64,
    pub(crate) route: Option<RouteId>,
    pub(crate) team: Option<TeamId>,
    pub(crate) object: Option<String>,
    /// Whether an endpoint may have executed the request.
    pub(crate) may_have_run: bool,
    /// Identifies what the request asks, if a connection broke under it or endpoints ended under equal
    /// ones.
    fingerprint: Option<Fingerprint>,
    attempts: Vec<String>,
    rejection: Option<(RejectionReason, Duration)>,
    written: bool,
}

impl RequestLog {
    pub(crate) fn new(context: Rc<RequestContext>, tracked: Rc<Tracked>, arrived: Instant) -> Self {
        Self {
            context,
            tracked,
            arrived,
            id: String::new(),
            version: 0,
            route: None,
            team: None,
            object: None,
            may_have_run: false,
            fingerprint: None,
            attempts: Vec::new(),
            rejection: None,
            written: false,
        }
    }

    /// Sets the id of the request.
    pub(crate) fn name(&mut self, id: &str) {
        id.clone_into(&mut self.id);
        self.tracked.name(id);
    }

    pub(crate) fn stage(&self) -> Option<RequestStage> {
        self.tracked.stage()
    }

    /// Holds memory until the response is sent.
    pub(crate) fn hold(&self, claim: Claim) {
        self.tracked.hold(claim);
    }

    /// Records how far the request has come.
    pub(crate) fn enter(&self, stage: RequestStage) {
        self.tracked.enter(stage);
    }

    /// Records an attempt and its end.
    pub(crate) fn record_attempt(
        &mut self,
        context: &RequestContext,
        choice: &Choice,
        attempt_end: &AttemptEnd,
        elapsed: Duration,
        fingerprint: Fingerprint,
    ) {
        if let AttemptEnd::Finished(Err(AttemptError::Broken(_))) = attempt_end {
            self.fingerprint = Some(fingerprint);
        }
        let end = match attempt_end {
            AttemptEnd::Overdue(_) => "overdue".to_owned(),
            AttemptEnd::Finished(Ok(received)) => received.head.status.as_u16().to_string(),
            AttemptEnd::Finished(Err(error)) => error.to_string(),
        };
        if let AttemptEnd::Finished(Err(error)) = attempt_end {
            let kind = match error {
                AttemptError::Unreachable(_) => "unreachable",
                AttemptError::Gone => "gone",
                AttemptError::NotRun(_) => "not-run",
                AttemptError::Broken(_) => "broken",
                AttemptError::BadAnswer(_) => "bad-answer",
            };
            context.core.metrics.count("faults", kind);
        }
        let steer = context.core.steer.borrow();
        let name = steer
            .endpoint(choice.key)
            .map_or("left", |e| e.record.id.as_str());
        self.attempts.push(format!(
            "{name} queue={} warm={} expected={} took={} end={end}",
            choice.in_flight,
            u8::from(choice.warm),
            choice.expected_time.as_millis(),
            elapsed.as_millis(),
        ));
    }

    /// Records why no endpoint was found, and the wait after which to retry.
    pub(crate) fn record_rejection(
        &mut self,
        rejection: RejectionReason,
        retry_after: Duration,
        fingerprint: Fingerprint,
    ) {
        self.rejection = Some((rejection, retry_after));
        if rejection == RejectionReason::Suspect {
            self.fingerprint = Some(fingerprint);
        }
    }

    /// Writes the record and counts the request in the metrics.
    pub(crate) fn finish(&mut self, reply: &Reply) {
        let routine = reply.status.is_success() && self.attempts.len() == 1;
        self.write(reply.status.as_u16(), reply.reason, routine);
    }

    fn write(&mut self, status: u16, reason: &str, routine: bool) {
        self.written = true;
        let now = self.context.core.now();
        let elapsed = now.duration_since(self.arrived);
        let route = self.route.as_ref().map_or("none", |r| &*r.0);
        let team = self.team.as_ref().map_or("none", TeamId::as_str);
        let outcome = if status < 300 { "answered" } else { reason };
        self.context
            .core
            .metrics
            .request(team, route, outcome, elapsed);
        let Some(skipped) = self.context.log_budget.borrow_mut().take(routine, now) else {
            return;
        };
        let rejection = self
            .rejection
            .map(|(reason, wait)| format!("{reason:?} retry={}", wait.as_millis()));
        info!(self.context.core.log, "request";
            "request" => &self.id,
            "route" => route,
            "team" => team,
            "object" => &self.object,
            "config" => self.version,
            "attempts" => self.attempts.join("; "),
            "miss" => rejection,
            "status" => status,
            "reason" => reason,
            "ran" => self.may_have_run,
            "fingerprint" => self.fingerprint.map(|f| f.to_string()),
            "ms" => millis(elapsed),
            "stop_ms" => self.context.core.stop.departure().map(|d| millis(d.age(now))),
            "skipped" => skipped,
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.written {
            // Not sent; the status by which logs commonly mark a request that its client closed.
            self.write(499, "the caller left", false);
        }
    }
}
