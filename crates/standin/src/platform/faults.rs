//! The fault table and the counters of calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use wagtail_store::MemoryPlatform;
use wagtail_types::Share;

/// Configures the faults of the stand-in; none by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the connection of every call is closed before the call takes effect.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect but get no answer.
    pub lose_next: u32,
    /// The share of writes that take effect but get no answer.
    pub lose_share: Share,
    /// How many of the next writes are rejected.
    pub refuse_next: u32,
    /// Whether reads and scans of the table return the state as it was when this was set.
    pub stale: bool,
    /// Reads per second, of the object store and the host list too, above which reads are rejected.
    pub reads_cap: Option<u32>,
    /// Writes per second above which writes are rejected.
    pub writes_cap: Option<u32>,
    /// Delay until a change shows in the host list, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// Counts calls since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of the table, the object store and the host list that were let through.
    pub reads: u64,
    /// Transactions and object writes that were let through.
    pub writes: u64,
    /// The most reads received in one second.
    pub reads_peak: u32,
    /// The most writes received in one second.
    pub writes_peak: u32,
    /// Calls rejected by a rate cap or by `refuse_next`.
    pub refused: u64,
    /// Writes that took effect and whose answer was dropped.
    pub lost: u64,
    /// Calls whose connection was closed because `down` was set.
    pub cut: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    counters: Counters,
}

/// A handle to the fault table of a running stand-in. Clones share the table.
#[derive(Debug, Clone)]
pub struct FaultTable {
    state: Arc<Mutex<State>>,
    memory: Arc<MemoryPlatform>,
}

impl FaultTable {
    pub(crate) fn new(faults: Faults, memory: Arc<MemoryPlatform>) -> Self {
        let counters = Counters::default();
        let state = Arc::new(Mutex::new(State {
            faults: Faults::default(),
            counters,
        }));
        let table = Self { state, memory };
        table.set(faults);
        table
    }

    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        self.update(|current| *current = faults);
    }

    /// Changes the faults in force.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        let before = state.faults.stale;
        change(&mut state.faults);
        if state.faults.stale != before {
            self.memory.freeze_reads(state.faults.stale);
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.lock().counters);
    }

    /// Decrements `lose_next` and returns whether it was above 0.
    pub(crate) fn take_loss(&self) -> bool {
        take_one(&mut self.lock().faults.lose_next)
    }

    /// Decrements `refuse_next` and returns whether it was above 0.
    pub(crate) fn take_refusal(&self) -> bool {
        take_one(&mut self.lock().faults.refuse_next)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
