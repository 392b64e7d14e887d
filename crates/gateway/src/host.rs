//! The state that the tasks of one host share.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::Notify;
use wagtail_steer::{HostState, Steer};
use wagtail_types::Clock;

use crate::codec::HttpCodec;
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::request::LogBudget;

/// The state that background tasks and requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) steer: RefCell<Steer>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Changes relayed by other hosts, indexed by topic number; the topic of hosts is not relayed.
    pub(crate) feeds: [Feed; 2],
    clock: Rc<dyn DebugClock>,
    leaving: Cell<bool>,
}

/// The queue of relayed changes of one topic that are not yet applied.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// The pages, each with the version that it follows.
    pages: RefCell<VecDeque<(u64, Bytes)>>,
    arrived: Notify,
}

/// The maximum number of queued pages; further ones are dropped, and the host then asks the
/// registry for the missing changes.
const FEED_PAGES_MAX: usize = 8;

impl Feed {
    /// Queues a page of changes that follow version `after`.
    pub(crate) fn push(&self, after: u64, page: Bytes) {
        let mut pages = self.pages.borrow_mut();
        if pages.len() < FEED_PAGES_MAX {
            pages.push_back((after, page));
        }
        drop(pages);
        self.arrived.notify_one();
    }

    /// Waits for the next page; returns it with the version that it follows.
    pub(crate) async fn next(&self) -> (u64, Bytes) {
        loop {
            let next = self.pages.borrow_mut().pop_front();
            match next {
                Some(next) => return next,
                None => self.arrived.notified().await,
            }
        }
    }

    /// Drops all queued pages.
    pub(crate) fn clear(&self) {
        self.pages.borrow_mut().clear();
    }
}

/// A clock that implements `Debug`, so that structs with a clock can derive it.
pub(crate) trait DebugClock: Clock + std::fmt::Debug {}

impl<C: Clock + std::fmt::Debug> DebugClock for C {}

impl Core {
    pub(crate) fn new(steer: Steer, log: Logger, clock: Rc<dyn DebugClock>) -> Self {
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

    /// Marks the host as leaving; it never becomes ready again.
    pub(crate) fn start_leaving(&self) {
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

/// What the handling of a request needs.
pub(crate) struct RequestContext {
    pub(crate) core: Rc<Core>,
    pub(crate) exchange: Rc<Exchange>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) codec: Rc<dyn HttpCodec>,
    pub(crate) log_budget: RefCell<LogBudget>,
}
