//! The requests that a host has read and whose responses it has not sent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use slog::{Logger, warn};
use slotmap::{SlotMap, new_key_type};
use wagtail_types::millis;

use crate::memory::Claim;
use crate::metrics::Metrics;

/// The maximum number of lines on requests that a process leaves without a whole response.
const LINES_MAX: usize = 64;

new_key_type! {
    struct RequestKey;
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum RequestStage {
    /// It is checked, and waits for a token of its team.
    #[display("admission")]
    Admission,
    /// Its body is being read.
    #[display("body")]
    Body,
    /// It waits for an endpoint.
    #[display("placement")]
    Placement,
    /// It may have been passed on to an endpoint.
    #[display("sent")]
    Sent,
    /// It has a response, which is being sent or waits behind others on its connection.
    #[display("response")]
    Response,
}

#[derive(Debug)]
struct Entry {
    id: String,
    arrived: Instant,
    stage: RequestStage,
    /// The memory of its response.
    claim: Option<Claim>,
}

/// The requests whose responses have not been sent, and how many ended while the host was leaving.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    entries: RefCell<SlotMap<RequestKey, Entry>>,
    /// Requests whose responses were sent while the host was leaving.
    pub(crate) delivered: Cell<u32>,
    /// Requests that were refused because they would not have ended in time.
    pub(crate) refused: Cell<u32>,
    /// Requests that got a response of the host because the time was over.
    pub(crate) cut: Cell<u32>,
}

impl Tracker {
    /// Adds a request. It is removed when the result is dropped.
    pub(crate) fn track(self: &Rc<Self>, arrived: Instant) -> Tracked {
        let entry = Entry {
            id: String::new(),
            arrived,
            stage: RequestStage::Admission,
            claim: None,
        };
        Tracked {
            key: self.entries.borrow_mut().insert(entry),
            tracker: self.clone(),
        }
    }

    /// Logs and counts the requests that the process leaves without a whole response, and returns their
    /// number.
    pub(crate) fn report(
        &self,
        log: &Logger,
        metrics: &Metrics,
        age: Duration,
        now: Instant,
    ) -> usize {
        let entries = self.entries.borrow();
        for entry in entries.values() {
            metrics.count("stop_unanswered", &entry.stage.to_string());
        }
        for entry in entries.values().take(LINES_MAX) {
            warn!(log, "request ends without its whole response because the host stops";
                "request" => &entry.id, "stage" => %entry.stage,
                "age_ms" => millis(now.duration_since(entry.arrived)),
                "stop_ms" => millis(age));
        }
        entries.len()
    }
}

/// A request whose response has not been sent.
#[derive(Debug)]
pub(crate) struct Tracked {
    tracker: Rc<Tracker>,
    key: RequestKey,
}

impl Tracked {
    pub(crate) fn name(&self, id: &str) {
        if let Some(entry) = self.tracker.entries.borrow_mut().get_mut(self.key) {
            id.clone_into(&mut entry.id);
        }
    }

    pub(crate) fn enter(&self, stage: RequestStage) {
        if let Some(entry) = self.tracker.entries.borrow_mut().get_mut(self.key) {
            entry.stage = stage;
        }
    }

    /// Holds memory until the response is sent.
    pub(crate) fn hold(&self, claim: Claim) {
        if let Some(entry) = self.tracker.entries.borrow_mut().get_mut(self.key) {
            entry.claim = Some(claim);
        }
    }

    pub(crate) fn stage(&self) -> Option<RequestStage> {
        let entries = self.tracker.entries.borrow();
        entries.get(self.key).map(|e| e.stage)
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.tracker.entries.borrow_mut().remove(self.key);
    }
}
