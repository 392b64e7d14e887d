//! A guard that counts a request as in flight at an endpoint until it ends.

use std::rc::Rc;
use std::time::Duration;

use wagtail_steer::{Choice, Completion, Load, Outcome, Route};

use crate::host::Core;

/// Counts a request as in flight at an endpoint. If dropped without [`complete`](Self::complete),
/// it records that the caller has left.
pub(crate) struct InFlight {
    core: Rc<Core>,
    pub(crate) choice: Choice,
    route: Rc<Route>,
    object: Option<u32>,
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
    ) -> Self {
        Self {
            core,
            choice,
            route,
            object,
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
            outcome,
            response_time,
            load,
        };
        let now = self.core.now();
        self.core.steer.borrow_mut().finish(&completion, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.completed {
            self.finish(Outcome::Left, None, None);
        }
    }
}
