//! The graceful end of a host.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::watch;
use wagtail_types::millis;

use crate::exchange::Exchange;
use crate::host::Core;
use crate::registry::Registry;

/// How far the end of the host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It takes callers.
    Open,
    /// It serves those who come and tells them to leave.
    Leaving,
    /// It takes no more connections.
    Closed,
}

/// The time for which a leaving host takes new connections: that of an answer of the directory and
/// of the digest that says it leaves.
const OPEN_TIME: Duration = Duration::from_secs(3);
/// The time before the end of the grace at which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// The period in which the end of the last request is looked for.
const LOOK: Duration = Duration::from_millis(50);

/// Leaves: tells the other hosts, serves what comes, and returns when all is answered or the
/// grace is almost over.
pub(crate) async fn leave<R: Registry>(
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    stage: watch::Sender<Stage>,
    grace: Duration,
) {
    let end = core.now() + grace.saturating_sub(MARGIN);
    core.leave();
    info!(core.log, "stopping"; "grace_ms" => millis(grace));
    stage.send_replace(Stage::Leaving);
    exchange.spread(true).await;
    let us = core.steer.borrow().local_host().record.clone();
    let log = core.log.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = registry.withdraw(&us).await {
            warn!(log, "host not withdrawn"; "error" => %e);
        }
    });
    tokio::time::sleep(OPEN_TIME.min(grace / 2)).await;
    stage.send_replace(Stage::Closed);
    // One receiver is left for each open connection.
    while stage.receiver_count() > 0 && core.now() < end {
        tokio::time::sleep(LOOK).await;
    }
    info!(core.log, "stopped"; "connections" => stage.receiver_count());
}
