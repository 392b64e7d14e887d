//! A guard that counts a request as in flight at an endpoint until it ends.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use wagtail_steer::{Choice, Completion, Fingerprint, Load, Outcome, Route};

use crate::host::Core;

/// Counts a request as in flight at an endpoint. If dropped without [`complete`](Self::complete),
/// it records that the caller has left.
pub(crate) struct InFlight {
    core: Rc<Core>,
    pub(crate) choice: Choice,
    route: Rc<Route>,
    object: Option<u32>,
    fingerprint: Fingerprint,
    completed: bool,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("InFlight")
            .field("choice", &self.choice)
            .finish_non_exhaustive()
    }
}

impl InFlight {
    pub(crate) fn new(
        core: Rc<Core>,
        choice: Choice,
        route: Rc<Route>,
        object: Option<u32>,
        fingerprint: Fingerprint,
    ) -> Self {
        Self {
            core,
            choice,
            route,
            object,
            fingerprint,
            completed: false,
        }
    }

    /// Records the outcome of the request and ends the count.
    pub(crate) fn complete(
        mut self,
        outcome: Outcome,
        response_time: Option<Duration>,
        load: Option<Load>,
    ) {
        self.finish(outcome, response_time, load);
    }

    fn finish(&mut self, outcome: Outcome, response_time: Option<Duration>, load: Option<Load>) {
        self.completed = true;
        let completion = Completion {
            choice: &self.choice,
            route: &self.route,
            object: self.object,
            fingerprint: self.fingerprint,
            outcome,
            response_time,
            load,
        };
        let now = self.core.now();
        let mut steer = self.core.steer.borrow_mut();
        let cleared = steer.finish(&completion, now);
        if steer.has_suspect_news() {
            self.core.suspect_news.notify_one();
        }
        if cleared {
            info!(self.core.log, "request ended well; endpoints that ended under equal ones no longer count";
                "fingerprint" => %self.fingerprint);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.completed {
            self.finish(Outcome::Left, None, None);
        }
    }
}
