//! The log of requests, from which a test can prove what reached an endpoint.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;

/// How a request ended at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is still running.
    Running,
    /// It was refused before it ran, as no slot was free.
    Shed,
    /// It was refused before it ran for any other reason.
    Refused,
    /// It ran to its end.
    Done,
    /// It ran until its deadline.
    DeadlinePassed,
    /// Its client went away while it waited or ran.
    Cancelled,
    /// Its client went away while the answer was sent.
    Unread,
}

/// One request as the endpoint saw it.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The team header.
    pub team: Option<String>,
    /// The request id header.
    pub id: Option<String>,
    /// SHA-256 digest of the body, in hexadecimal; empty until the body is whole.
    pub digest: String,
    /// Every header line, as `name: value` lines.
    #[serde(serialize_with = "as_text")]
    pub headers: Vec<u8>,
    /// When the request arrived, counted from the endpoint's start.
    pub started: Duration,
    /// When it ended.
    pub ended: Option<Duration>,
    /// Whether any part of it ran.
    pub ran: bool,
    /// How it ended.
    pub outcome: Outcome,
}

fn as_text<S: serde::Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(bytes))
}

/// A shared handle on the log.
#[derive(Debug, Clone)]
pub struct Log {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    entries: Vec<Entry>,
    limit: usize,
    lost: u64,
}

impl Log {
    pub(crate) fn new(limit: usize) -> Self {
        let shared = Shared {
            entries: Vec::new(),
            limit,
            lost: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// A copy of every entry so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.clone()
    }

    /// Requests that no longer fitted into the log.
    pub fn lost(&self) -> u64 {
        self.lock().lost
    }

    /// How many requests ended so.
    pub fn count(&self, outcome: Outcome) -> usize {
        let shared = self.lock();
        let hits = shared.entries.iter().filter(|e| e.outcome == outcome);
        hits.count()
    }

    /// How many requests ran, wholly or in part.
    pub fn ran(&self) -> usize {
        self.lock().entries.iter().filter(|e| e.ran).count()
    }

    pub(crate) fn push(&self, entry: Entry) -> Option<usize> {
        let mut shared = self.lock();
        if shared.entries.len() >= shared.limit {
            shared.lost += 1;
            return None;
        }
        shared.entries.push(entry);
        Some(shared.entries.len() - 1)
    }

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
