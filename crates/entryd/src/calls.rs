//! Scheduling of platform calls: each waits until this host's share of the call rate allows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use wagtail_store::{
    Access, Outcome, PlatformError, Priority, ScheduleEffect, ScheduleInput, Scheduler,
};

use crate::host::Host;
use crate::machine::SharedMachine;

/// How long a call may wait for its start.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The scheduler, and the calls that wait for it.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    pub(crate) scheduler: SharedMachine<Scheduler, u64, Start>,
    next_id: AtomicU64,
}

/// `true` starts a call, `false` drops it.
type Start = bool;

impl PlatformCalls {
    /// Creates the state with no calls.
    pub(crate) fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler: SharedMachine::new(scheduler),
            next_id: AtomicU64::new(0),
        }
    }
}

/// A call in flight; counts as failed if dropped before [`CallGuard::finish`].
pub(crate) struct CallGuard {
    host: Arc<Host>,
    id: u64,
    outcome: Outcome,
}

impl CallGuard {
    /// Ends the call with its result.
    pub(crate) fn finish<T>(mut self, result: &Result<T, PlatformError>) {
        self.outcome = match result {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Outcome::Answered,
            Err(_) => Outcome::Failed,
        };
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let (id, outcome) = (self.id, self.outcome);
        handle(&self.host, ScheduleInput::Finished { id, outcome });
    }
}

/// Waits until a call may start.
///
/// # Errors
///
/// Fails if the call must not be made: it was not started in time, or a newer poll replaced it.
pub(crate) async fn acquire(
    host: &Arc<Host>,
    priority: Priority,
    access: Access,
) -> Result<CallGuard, PlatformError> {
    let id = host.calls.next_id.fetch_add(1, Ordering::Relaxed);
    let now = host.now();
    let start = {
        let mut scheduler = host.calls.scheduler.lock();
        let start = scheduler.add_waiter(id);
        let submit = ScheduleInput::Submit {
            id,
            priority,
            access,
            deadline: now + MAX_WAIT,
        };
        scheduler.machine.handle(now, submit);
        start
    };
    apply_effects(host);
    if start.await == Ok(true) {
        return Ok(CallGuard {
            host: host.clone(),
            id,
            outcome: Outcome::Failed,
        });
    }
    host.metrics.count("platform.dropped");
    Err(PlatformError::unavailable(
        "the scheduler did not start the call in time",
    ))
}

/// Makes a call when the scheduler starts it.
pub(crate) async fn call<T>(
    host: &Arc<Host>,
    priority: Priority,
    access: Access,
    work: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let guard = acquire(host, priority, access).await?;
    let result = work.await;
    guard.finish(&result);
    result
}

/// Passes an input to the scheduler.
pub(crate) fn handle(host: &Arc<Host>, input: ScheduleInput) {
    let now = host.now();
    host.calls.scheduler.lock().machine.handle(now, input);
    apply_effects(host);
}

/// Carries out the pending effects of the scheduler: starts and drops calls.
pub(crate) fn apply_effects(host: &Arc<Host>) {
    let mut scheduler = host.calls.scheduler.lock();
    while let Some(effect) = scheduler.machine.poll_effect() {
        let (id, start) = match effect {
            ScheduleEffect::Start { id } => (id, true),
            ScheduleEffect::Drop { id } => (id, false),
        };
        if scheduler.resolve(&id, start).is_err() && start {
            // The task that waited is gone and makes no call.
            let outcome = Outcome::NotMade;
            let now = host.now();
            scheduler
                .machine
                .handle(now, ScheduleInput::Finished { id, outcome });
        }
    }
    drop(scheduler);
    host.calls.scheduler.notify();
}
