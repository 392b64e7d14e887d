//! The log of requests, which lets a test check what reached an endpoint.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;

/// Tells how a request ended at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It has not ended yet.
    Running,
    /// It was refused before it ran because slots and backlog were full.
    Shed,
    /// It was refused, or its connection was closed, before it ran for any other reason.
    Refused,
    /// It ran to completion.
    Done,
    /// Its deadline passed while it ran.
    DeadlinePassed,
    /// Its client disconnected while it waited or ran.
    Cancelled,
    /// Its client disconnected while the answer was held back.
    Unread,
}

/// Records one request as the endpoint received it.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `x-wagtail-team` header; `None` if it is missing.
    pub team: Option<String>,
    /// Value of the `x-request-id` header; `None` if it is missing.
    pub id: Option<String>,
    /// SHA-256 digest of the body, in hexadecimal; empty until the whole body has arrived.
    pub digest: String,
    /// All headers as `name: value` lines.
    #[serde(serialize_with = "as_text")]
    pub headers: Vec<u8>,
    /// When the request arrived, as time since the endpoint's start.
    pub started: Duration,
    /// When it ended, as time since the endpoint's start.
    pub ended: Option<Duration>,
    /// Whether it started to run.
    pub ran: bool,
    /// How it ended.
    pub outcome: Outcome,
}

fn as_text<S: serde::Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(bytes))
}

/// A handle to the log of an endpoint. Clones share the log.
#[derive(Debug, Clone)]
pub struct Log {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    entries: Vec<Entry>,
    limit: usize,
    dropped: u64,
}

impl Log {
    pub(crate) fn new(limit: usize) -> Self {
        let shared = Shared {
            entries: Vec::new(),
            limit,
            dropped: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Returns a copy of all entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.clone()
    }

    /// Returns the number of requests that were not logged because the log was full.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Returns the number of requests that ended with `outcome`.
    pub fn count(&self, outcome: Outcome) -> usize {
        let shared = self.lock();
        let matching = shared.entries.iter().filter(|e| e.outcome == outcome);
        matching.count()
    }

    /// Returns the number of requests that started to run.
    pub fn ran(&self) -> usize {
        self.lock().entries.iter().filter(|e| e.ran).count()
    }

    /// Appends an entry and returns its index, or `None` if the log is full.
    pub(crate) fn push(&self, entry: Entry) -> Option<usize> {
        let mut shared = self.lock();
        if shared.entries.len() >= shared.limit {
            shared.dropped += 1;
            return None;
        }
        shared.entries.push(entry);
        Some(shared.entries.len() - 1)
    }

    /// Changes the entry at `index`, if there is one.
    pub(crate) fn update(&self, index: Option<usize>, change: impl FnOnce(&mut Entry)) {
        let mut shared = self.lock();
        if let Some(entry) = index.and_then(|i| shared.entries.get_mut(i)) {
            change(entry);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
