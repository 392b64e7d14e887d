//! What the tasks of one host share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use slog::Logger;
use wagtail_steer::{HostState, Steer};
use wagtail_types::Clock;

use crate::conventions::Conventions;
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::request::LogBudget;

/// The state of the host that background work and requests both touch.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) steer: RefCell<Steer>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    clock: Rc<dyn ClockDebug>,
    leaving: Cell<bool>,
}

/// A clock that can stand in a `Debug` struct.
pub(crate) trait ClockDebug: Clock + std::fmt::Debug {}

impl<C: Clock + std::fmt::Debug> ClockDebug for C {}

impl Core {
    pub(crate) fn new(steer: Steer, log: Logger, clock: Rc<dyn ClockDebug>) -> Self {
        Self {
            steer: RefCell::new(steer),
            log,
            metrics: Metrics::new(),
            clock,
            leaving: Cell::new(false),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Starts the end of the host; it is never ready again.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    pub(crate) fn state(&self) -> HostState {
        if self.is_leaving() {
            HostState::Leaving
        } else if self.steer.borrow().is_informed() {
            HostState::Ready
        } else {
            HostState::Starting
        }
    }
}

/// What a request needs.
pub(crate) struct Front {
    pub(crate) core: Rc<Core>,
    pub(crate) exchange: Rc<Exchange>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) conventions: Rc<dyn Conventions>,
    pub(crate) lines: RefCell<LogBudget>,
}
