//! The log line of a request: what was decided for it, on what, and how it ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::info;
use wagtail_steer::{Choice, RejectionReason, RouteId};
use wagtail_types::{TeamId, millis};

use super::attempt::Waited;
use super::reply::Reply;
use super::send::Fault;
use crate::host::Front;

/// Lines a second on requests that failed or were tried again.
const FAILED_LINES: f64 = 30.0;
/// Lines a second on requests that were answered at once.
const ANSWERED_LINES: f64 = 1.0;

/// Bounds the lines on requests.
#[derive(Debug)]
pub(crate) struct LogBudget {
    failed: f64,
    answered: f64,
    at: Instant,
    skipped: u64,
}

impl LogBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failed: FAILED_LINES,
            answered: ANSWERED_LINES,
            at: now,
            skipped: 0,
        }
    }

    /// Whether a line may be written, and how many were not since the last one.
    fn take(&mut self, plain: bool, now: Instant) -> Option<u64> {
        let gone = now.duration_since(self.at).as_secs_f64();
        self.at = now;
        self.failed = (self.failed + gone * FAILED_LINES).min(FAILED_LINES);
        self.answered = (self.answered + gone * ANSWERED_LINES).min(ANSWERED_LINES);
        let level = if plain {
            &mut self.answered
        } else {
            &mut self.failed
        };
        if *level < 1.0 {
            self.skipped += 1;
            return None;
        }
        *level -= 1.0;
        Some(std::mem::take(&mut self.skipped))
    }
}

/// What is told of one request.
pub(crate) struct Story {
    front: Rc<Front>,
    arrived: Instant,
    pub(crate) id: String,
    pub(crate) version: u64,
    pub(crate) route: Option<RouteId>,
    pub(crate) team: Option<TeamId>,
    pub(crate) object: Option<String>,
    /// Whether the request may have run.
    pub(crate) ran: bool,
    attempts: Vec<String>,
    miss: Option<(RejectionReason, Duration)>,
    told: bool,
}

impl Story {
    pub(crate) fn new(front: Rc<Front>, arrived: Instant) -> Self {
        Self {
            front,
            arrived,
            id: String::new(),
            version: 0,
            route: None,
            team: None,
            object: None,
            ran: false,
            attempts: Vec::new(),
            miss: None,
            told: false,
        }
    }

    /// Notes an attempt.
    pub(crate) fn attempt(
        &mut self,
        front: &Front,
        choice: &Choice,
        waited: &Waited,
        taken: Duration,
    ) {
        let end = match waited {
            Waited::Overdue(_) => "overdue".to_owned(),
            Waited::Ended(Ok(delivered)) => delivered.head.status.as_u16().to_string(),
            Waited::Ended(Err(fault)) => fault.to_string(),
        };
        if let Waited::Ended(Err(fault)) = waited {
            let kind = match fault {
                Fault::Unreachable(_) => "unreachable",
                Fault::Gone => "gone",
                Fault::NotRun(_) => "not-run",
                Fault::Broken(_) => "broken",
                Fault::BadAnswer(_) => "bad-answer",
            };
            front.core.metrics.count("faults", kind);
        }
        let steer = front.core.steer.borrow();
        let name = steer
            .endpoint(choice.key)
            .map_or("left", |e| e.record.id.as_str());
        self.attempts.push(format!(
            "{name} queue={} warm={} expected={} took={} end={end}",
            choice.in_flight,
            u8::from(choice.warm),
            choice.expected_time.as_millis(),
            taken.as_millis(),
        ));
    }

    /// Notes that no endpoint was found.
    pub(crate) fn missed(&mut self, miss: RejectionReason, retry: Duration) {
        self.miss = Some((miss, retry));
    }

    /// Writes the line and counts the request.
    pub(crate) fn tell(&mut self, reply: &Reply) {
        let plain = reply.status.is_success() && self.attempts.len() == 1;
        self.write(reply.status.as_u16(), reply.reason, plain);
    }

    fn write(&mut self, status: u16, reason: &str, plain: bool) {
        self.told = true;
        let now = self.front.core.now();
        let taken = now.duration_since(self.arrived);
        let route = self.route.as_ref().map_or("none", |r| &*r.0);
        let team = self.team.as_ref().map_or("none", TeamId::as_str);
        let outcome = if status < 300 { "answered" } else { reason };
        self.front.core.metrics.request(team, route, outcome, taken);
        let Some(skipped) = self.front.lines.borrow_mut().take(plain, now) else {
            return;
        };
        let miss = self
            .miss
            .map(|(m, r)| format!("{m:?} retry={}", r.as_millis()));
        info!(self.front.core.log, "request";
            "request" => &self.id,
            "route" => route,
            "team" => team,
            "object" => &self.object,
            "config" => self.version,
            "attempts" => self.attempts.join("; "),
            "miss" => miss,
            "status" => status,
            "reason" => reason,
            "ran" => self.ran,
            "ms" => millis(taken),
            "skipped" => skipped,
        );
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        if !self.told {
            self.write(499, "the caller left", false);
        }
    }
}
