//! Driver of admission by quota.

use std::sync::Arc;

use slog::info;
use wagtail_peer::Control;
use wagtail_quota::{Effect, Input};

use super::route::send;
use crate::host::Host;
use crate::rows;

/// Carries out the pending effects of admission.
pub(crate) fn apply_quota(host: &Arc<Host>) {
    let mut rest = Vec::new();
    let mut quota = host.quota.lock();
    while let Some(effect) = quota.machine.poll_effect() {
        match effect {
            Effect::Resolve { ticket, resolution } => {
                // The token of a request that no longer waits is lost, never spent twice.
                let _ = quota.resolve(&ticket, resolution);
            }
            other => rest.push(other),
        }
    }
    drop(quota);
    for effect in rest {
        perform(host, effect);
    }
}

fn perform(host: &Arc<Host>, effect: Effect) {
    match effect {
        Effect::Send { to, message } => send(host, &to, Control::Quota(message)),
        Effect::Read { shard } => {
            let host = host.clone();
            tokio::spawn(async move {
                let outcome = rows::read_lease(&host, &shard).await;
                handle(&host, Input::Row { shard, outcome });
            });
        }
        Effect::Write {
            shard,
            expected,
            row,
        } => {
            let host = host.clone();
            tokio::spawn(async move {
                let attempt = row.attempt;
                let outcome = rows::write_lease(&host, &shard, expected, &row).await;
                handle(
                    &host,
                    Input::WriteDone {
                        shard,
                        attempt,
                        outcome,
                    },
                );
            });
        }
        Effect::Released => {
            info!(host.log, "quota shards released");
            host.released.notify_one();
        }
        Effect::Resolve { .. } => {}
    }
}

/// Passes an input to admission.
pub(crate) fn handle(host: &Arc<Host>, input: Input) {
    let now = host.now();
    host.quota.lock().machine.handle(now, input);
    apply_quota(host);
}
