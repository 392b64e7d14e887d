//! What every call passes before and after it takes effect.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wagtail_store::PlatformError;

use super::{Counters, FaultTable};

const LOSS_SEED: u64 = 1;
const WINDOW: Duration = Duration::from_secs(1);

/// Whether a call only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

/// How a call fails before it takes effect.
#[derive(Debug)]
pub(crate) enum Stopped {
    /// The connection is to be cut.
    Cut,
    /// The call is turned down.
    Refused(PlatformError),
}

#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) faults: FaultTable,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    start: Instant,
    reads: u32,
    writes: u32,
}

impl Gate {
    pub(crate) fn new(faults: FaultTable) -> Self {
        let state = State {
            rng: StdRng::seed_from_u64(LOSS_SEED),
            start: Instant::now(),
            reads: 0,
            writes: 0,
        };
        Self {
            faults,
            state: Mutex::new(state),
        }
    }

    /// Lets a call through, late where the table says so.
    pub(crate) async fn enter(&self, access: Access) -> Result<(), Stopped> {
        let delay = self.faults.get().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let faults = self.faults.get();
        if faults.down {
            self.faults.count(|c| c.cut += 1);
            return Err(Stopped::Cut);
        }
        let cap = match access {
            Access::Read => faults.reads_cap,
            Access::Write => faults.writes_cap,
        };
        let asked = self.arrive(access);
        if cap.is_some_and(|cap| asked > cap) {
            return Err(self.refuse("the rate cap is reached", Some(WINDOW)));
        }
        if access == Access::Write && self.faults.take_refusal() {
            return Err(self.refuse("turned down by the fault table", None));
        }
        self.faults.count(|c| *counter(c, access) += 1);
        Ok(())
    }

    /// Whether the answer to a write that took effect is lost.
    pub(crate) fn loses_answer(&self) -> bool {
        let share = self.faults.get().lose_share.as_f64();
        let drawn = share > 0.0 && self.lock().rng.random_bool(share);
        let lost = self.faults.take_loss() || drawn;
        if lost {
            self.faults.count(|c| c.lost += 1);
        }
        lost
    }

    fn refuse(&self, reason: &str, retry: Option<Duration>) -> Stopped {
        self.faults.count(|c| c.refused += 1);
        let reason = reason.to_owned();
        Stopped::Refused(PlatformError::NotApplied { reason, retry })
    }

    /// Counts a call; how many of its kind the present second has seen.
    fn arrive(&self, access: Access) -> u32 {
        let mut state = self.lock();
        if state.start.elapsed() >= WINDOW {
            state.start = Instant::now();
            state.reads = 0;
            state.writes = 0;
        }
        let count = match access {
            Access::Read => &mut state.reads,
            Access::Write => &mut state.writes,
        };
        *count += 1;
        let asked = *count;
        self.faults.count(|c| {
            let peak = match access {
                Access::Read => &mut c.reads_peak,
                Access::Write => &mut c.writes_peak,
            };
            *peak = (*peak).max(asked);
        });
        asked
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn counter(counters: &mut Counters, access: Access) -> &mut u64 {
    match access {
        Access::Read => &mut counters.reads,
        Access::Write => &mut counters.writes,
    }
}
