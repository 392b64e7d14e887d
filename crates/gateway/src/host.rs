//! What the tasks of one host share.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::Notify;
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
    /// Changes that other hosts pass on, by the number of their topic.
    pub(crate) feeds: [Feed; 2],
    clock: Rc<dyn ClockDebug>,
    leaving: Cell<bool>,
}

/// Changes of one topic that were passed on and not yet taken.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    pages: RefCell<VecDeque<(u64, Bytes)>>,
    arrived: Notify,
}

/// Pages that wait to be taken; more are dropped, and the follower asks for itself.
const FEED_MAX: usize = 8;

impl Feed {
    /// Takes in changes that follow on a version.
    pub(crate) fn push(&self, after: u64, page: Bytes) {
        let mut pages = self.pages.borrow_mut();
        if pages.len() < FEED_MAX {
            pages.push_back((after, page));
        }
        drop(pages);
        self.arrived.notify_one();
    }

    /// Waits for the next changes.
    pub(crate) async fn next(&self) -> (u64, Bytes) {
        loop {
            let next = self.pages.borrow_mut().pop_front();
            match next {
                Some(next) => return next,
                None => self.arrived.notified().await,
            }
        }
    }

    /// Drops what waits.
    pub(crate) fn clear(&self) {
        self.pages.borrow_mut().clear();
    }
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
            feeds: Default::default(),
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
        } else if self.steer.borrow().is_initialized() {
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
