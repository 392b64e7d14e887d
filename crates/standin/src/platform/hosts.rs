//! The host list, which can be read with a lag.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use wagtail_store::Listed;

/// Stores every change of the list with its time, so that the list can be read as of an earlier time.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    changes: Mutex<Vec<(Instant, Change)>>,
}

#[derive(Debug)]
enum Change {
    Set(Listed),
    Remove(String),
}

impl HostList {
    pub(crate) fn set(&self, host: Listed) {
        self.push(Change::Set(host));
    }

    pub(crate) fn remove(&self, name: String) {
        self.push(Change::Remove(name));
    }

    /// Returns the list as it was `lag` ago.
    pub(crate) fn read(&self, lag: Duration) -> Vec<Listed> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = BTreeMap::new();
        for (_, change) in changes.iter().filter(|(at, _)| at.elapsed() >= lag) {
            match change {
                Change::Set(host) => drop(list.insert(&host.name, host)),
                Change::Remove(name) => drop(list.remove(name)),
            }
        }
        list.into_values().cloned().collect()
    }

    fn push(&self, change: Change) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push((Instant::now(), change));
    }
}
