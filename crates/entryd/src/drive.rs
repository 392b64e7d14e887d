//! Carries out what the machines ask for.

mod config;
mod dedupe;
mod limit;
mod member;
mod route;

pub(crate) use config::syncing;
pub(crate) use dedupe::deduping;
pub(crate) use limit::limiting;
pub(crate) use member::membership;
pub(crate) use route::routing;

use std::hash::Hash;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::waiting::Waiting;

/// The longest sleep of a timer task; clocks that are moved by hand are noticed after it.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);

/// Calls `tick` whenever the machine asks for it, for ever.
pub(crate) async fn timer<M, T, R>(
    host: &Arc<Host>,
    waiting: impl Fn(&Host) -> &Waiting<M, T, R>,
    next: impl Fn(&M) -> Option<Instant>,
    tick: impl Fn(&Arc<Host>, Instant),
) where
    T: Eq + Hash,
{
    loop {
        let wake = next(&waiting(host).lock().machine);
        let now = host.now();
        let sleep = wake.map_or(LONGEST_SLEEP, |at| at.saturating_duration_since(now));
        if sleep > Duration::ZERO {
            let _ = tokio::time::timeout(sleep.min(LONGEST_SLEEP), waiting(host).notified()).await;
        }
        let now = host.now();
        if wake.is_some_and(|at| at <= now) {
            tick(host, now);
        }
    }
}
