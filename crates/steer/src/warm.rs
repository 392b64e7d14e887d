//! Which objects an endpoint has handled recently.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long an object is taken to stay warm; entries older than this are dropped.
const KEPT: Duration = Duration::from_secs(60);

/// The time after which other hosts are told again that an object is warm.
pub const TELL_EVERY: Duration = Duration::from_secs(5);

/// The most recent objects of one endpoint, least recently used out first.
#[derive(Debug)]
pub struct WarmSet {
    cap: usize,
    seen: HashMap<u32, Instant>,
}

impl WarmSet {
    /// An empty set that holds `cap` objects.
    pub fn new(cap: usize) -> Self {
        Self { cap, seen: HashMap::new() }
    }

    /// Whether the object was handled recently.
    pub fn has(&self, object: u32, now: Instant) -> bool {
        self.seen.get(&object).is_some_and(|&at| now.duration_since(at) < KEPT)
    }

    /// Notes that the object was handled; `true` if that was not known for [`TELL_EVERY`].
    pub fn note(&mut self, object: u32, now: Instant) -> bool {
        let before = self.seen.insert(object, now);
        if self.seen.len() > self.cap {
            let oldest = self.seen.iter().min_by_key(|(_, at)| **at).map(|(&o, _)| o);
            if let Some(oldest) = oldest {
                self.seen.remove(&oldest);
            }
        }
        before.is_none_or(|at| now.duration_since(at) >= TELL_EVERY)
    }

    /// Forgets an object that turned out not to be warm.
    pub fn forget(&mut self, object: u32) {
        self.seen.remove(&object);
    }
}
