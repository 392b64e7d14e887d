//! The faults in force and the counts of calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use wagtail_store::MemoryPlatform;
use wagtail_types::Share;

/// The faults of the stand-in; none by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is cut before it takes effect.
    pub down: bool,
    /// How long every call is delayed, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect and lose their answer.
    pub lose_next: u32,
    /// The share of writes that take effect and lose their answer.
    pub lose_share: Share,
    /// How many of the next writes are turned down.
    pub refuse_next: u32,
    /// Reads and scans see the state at the moment this was set.
    pub stale: bool,
    /// Reads a second past which reads are turned down.
    pub reads_cap: Option<u32>,
    /// Writes a second past which writes are turned down.
    pub writes_cap: Option<u32>,
    /// How far the host list lags, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Reads and scans that were carried out.
    pub reads: u64,
    /// Transactions and objects stored.
    pub writes: u64,
    /// The most reads asked for in one second.
    pub reads_peak: u32,
    /// The most writes asked for in one second.
    pub writes_peak: u32,
    /// Calls turned down.
    pub refused: u64,
    /// Answers lost.
    pub lost: u64,
    /// Calls cut while it was down.
    pub cut: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    counters: Counters,
}

/// The fault table of a running stand-in. Clones share it.
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

    /// The faults in force.
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Puts faults in force in place of those before.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        if state.faults.stale != faults.stale {
            self.memory.freeze_reads(faults.stale);
        }
        state.faults = faults;
    }

    /// Changes the faults in force.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.get();
        change(&mut faults);
        self.set(faults);
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.lock().counters);
    }

    /// Takes one off `lose_next`; whether there was one.
    pub(crate) fn take_loss(&self) -> bool {
        take(&mut self.lock().faults.lose_next)
    }

    /// Takes one off `refuse_next`; whether there was one.
    pub(crate) fn take_refusal(&self) -> bool {
        take(&mut self.lock().faults.refuse_next)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
