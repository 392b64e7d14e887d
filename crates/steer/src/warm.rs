//! Which objects an endpoint has handled recently.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long an object is taken to stay warm; entries older than this are dropped.
const KEPT: Duration = Duration::from_secs(60);

/// The most recent objects of one endpoint, least recently used out first.
#[derive(Debug)]
pub struct WarmSet {
    cap: usize,
    seen: HashMap<u64, Instant>,
}

impl WarmSet {
    /// An empty set that holds `cap` objects.
    pub fn new(cap: usize) -> Self {
        Self { cap, seen: HashMap::new() }
    }

    /// Whether the object was handled recently.
    pub fn has(&self, object: u64, now: Instant) -> bool {
        self.seen.get(&object).is_some_and(|&at| now.duration_since(at) < KEPT)
    }

    /// Notes that the object was handled.
    pub fn note(&mut self, object: u64, now: Instant) {
        self.seen.insert(object, now);
        if self.seen.len() > self.cap {
            let oldest = self.seen.iter().min_by_key(|(_, at)| **at).map(|(&o, _)| o);
            if let Some(oldest) = oldest {
                self.seen.remove(&oldest);
            }
        }
    }

    /// Forgets an object that turned out not to be warm.
    pub fn forget(&mut self, object: u64) {
        self.seen.remove(&object);
    }
}
