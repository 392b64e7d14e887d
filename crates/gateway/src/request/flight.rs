//! A request at an endpoint, counted until it ends in whatever way.

use std::rc::Rc;
use std::time::Duration;

use wagtail_steer::{Choice, Completion, Load, Outcome, Route};

use crate::host::Core;

/// Counts a request at an endpoint; dropped without an end, the caller has left.
pub(crate) struct Flight {
    core: Rc<Core>,
    pub(crate) choice: Choice,
    route: Rc<Route>,
    object: Option<u32>,
    ended: bool,
}

impl Flight {
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
            ended: false,
        }
    }

    /// Ends the request.
    pub(crate) fn end(
        mut self,
        outcome: Outcome,
        response_time: Option<Duration>,
        load: Option<Load>,
    ) {
        self.finish(outcome, response_time, load);
    }

    fn finish(&mut self, outcome: Outcome, response_time: Option<Duration>, load: Option<Load>) {
        self.ended = true;
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

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(Outcome::Left, None, None);
        }
    }
}
