//! The graceful shutdown of a host.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::watch;
use wagtail_types::millis;

use crate::exchange::Exchange;
use crate::host::Core;
use crate::registry::Registry;
use crate::work::{Work, contain};

/// The stages of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShutdownStage {
    /// The host accepts connections.
    Open,
    /// The host still accepts connections, and closes each after its response.
    Leaving,
    /// The host accepts no further connections.
    Closed,
}

/// The time for which a leaving host still accepts connections, because directory responses remain
/// valid for some time and the digest with its state must reach the other hosts.
const ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The time before the end of the grace time at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The period of the check for whether the last connection has closed.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Shuts the host down: informs the other hosts, keeps serving requests, and returns when all
/// connections have closed or the grace time is almost over.
pub(crate) async fn shut_down<R: Registry>(
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    stage: &watch::Sender<ShutdownStage>,
    grace: Duration,
) {
    let began = core.now();
    let deadline = began + grace.saturating_sub(EXIT_MARGIN);
    core.start_leaving();
    info!(core.log, "stopping"; "grace_ms" => millis(grace));
    stage.send_replace(ShutdownStage::Leaving);
    contain(&core, Work::LeaveNotice, exchange.send_digest(true)).await;
    exchange.hand_over_tokens();
    tokio::task::spawn_local(withdraw(core.clone(), registry));
    tokio::time::sleep(ACCEPT_TIME.min(grace / 2)).await;
    stage.send_replace(ShutdownStage::Closed);
    // Each open connection holds one receiver.
    while stage.receiver_count() > 0 && core.now() < deadline {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    let now = core.now();
    let age = now.duration_since(began);
    let unanswered = core.tracker.report(&core.log, &core.metrics, age, now);
    info!(core.log, "stopped"; "connections" => stage.receiver_count(),
        "delivered" => core.tracker.delivered.get(), "unanswered" => unanswered,
        "stop_ms" => millis(age));
}

/// Removes the registration of this host, and not that of its next process, however late the registry does
/// it.
async fn withdraw<R: Registry>(core: Rc<Core>, registry: Rc<R>) {
    let record = core.steer.borrow().local_host().record.clone();
    let removal = async {
        let version = match core.registration.get() {
            Some(version) => version,
            // The last write was not confirmed, so that the version is not known.
            None => {
                registry
                    .announce(&record, core.wall_millis())
                    .await
                    .result?
            }
        };
        registry.withdraw(&record, version).await.result
    };
    if let Some(Err(e)) = contain(&core, Work::LeaveNotice, removal).await {
        warn!(core.log, "host registration could not be removed"; "error" => %e);
    }
}
