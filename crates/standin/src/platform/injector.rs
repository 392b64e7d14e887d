//! Applies the fault table to each call, before and after the call takes effect.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wagtail_store::PlatformError;

use super::{Counters, FaultTable};

const LOSS_SEED: u64 = 1;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Classifies a call by whether it only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Describes how a call fails before it takes effect.
#[derive(Debug)]
pub(crate) enum Rejection {
    /// The connection is closed without an answer.
    Cut,
    /// The call is answered with an error.
    Refused(PlatformError),
}

/// Delays, rejects and counts calls as the fault table says.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) faults: FaultTable,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    window_start: Instant,
    reads: u32,
    writes: u32,
}

impl FaultInjector {
    pub(crate) fn new(faults: FaultTable) -> Self {
        let state = State {
            rng: StdRng::seed_from_u64(LOSS_SEED),
            window_start: Instant::now(),
            reads: 0,
            writes: 0,
        };
        Self {
            faults,
            state: Mutex::new(state),
        }
    }

    /// Admits a call after the configured delay, or returns how it fails.
    pub(crate) async fn admit(&self, kind: CallKind) -> Result<(), Rejection> {
        let delay = self.faults.get().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let faults = self.faults.get();
        if faults.down {
            self.faults.count(|c| c.cut += 1);
            return Err(Rejection::Cut);
        }
        let cap = match kind {
            CallKind::Read => faults.reads_cap,
            CallKind::Write => faults.writes_cap,
        };
        let arrivals = self.count_arrival(kind);
        if cap.is_some_and(|cap| arrivals > cap) {
            return Err(self.reject("the rate cap is reached", Some(RATE_WINDOW)));
        }
        if kind == CallKind::Write && self.faults.take_refusal() {
            return Err(self.reject("turned down by the fault table", None));
        }
        self.faults.count(|c| *counter(c, kind) += 1);
        Ok(())
    }

    /// Returns whether to drop the answer to a write that took effect, and counts it if so.
    pub(crate) fn drops_answer(&self) -> bool {
        let share = self.faults.get().lose_share.as_f64();
        let by_share = share > 0.0 && self.lock().rng.random_bool(share);
        let lost = self.faults.take_loss() || by_share;
        if lost {
            self.faults.count(|c| c.lost += 1);
        }
        lost
    }

    fn reject(&self, reason: &str, retry: Option<Duration>) -> Rejection {
        self.faults.count(|c| c.refused += 1);
        let reason = reason.to_owned();
        Rejection::Refused(PlatformError::NotApplied { reason, retry })
    }

    /// Counts a call and returns how many of its kind have arrived in the current second.
    fn count_arrival(&self, kind: CallKind) -> u32 {
        let mut state = self.lock();
        if state.window_start.elapsed() >= RATE_WINDOW {
            state.window_start = Instant::now();
            state.reads = 0;
            state.writes = 0;
        }
        let count = match kind {
            CallKind::Read => &mut state.reads,
            CallKind::Write => &mut state.writes,
        };
        *count += 1;
        let arrivals = *count;
        self.faults.count(|c| {
            let peak = match kind {
                CallKind::Read => &mut c.reads_peak,
                CallKind::Write => &mut c.writes_peak,
            };
            *peak = (*peak).max(arrivals);
        });
        arrivals
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn counter(counters: &mut Counters, kind: CallKind) -> &mut u64 {
    match kind {
        CallKind::Read => &mut counters.reads,
        CallKind::Write => &mut counters.writes,
    }
}
