//! Driver of duplicate suppression.

use std::sync::Arc;

use wagtail_once::{Effect, Input};

use crate::host::Host;
use crate::rows;

/// Carries out the pending effects of duplicate suppression.
pub(crate) fn apply_dedup(host: &Arc<Host>) {
    let mut rest = Vec::new();
    let mut lost = Vec::new();
    let mut dedup = host.dedup.lock();
    while let Some(effect) = dedup.machine.poll_effect() {
        match effect {
            // A permit that no request waits for is dropped after the lock is released.
            Effect::Resolve { ticket, to } => lost.extend(dedup.resolve(&ticket, to).err()),
            other => rest.push(other),
        }
    }
    drop(dedup);
    drop(lost);
    for effect in rest {
        perform(host, effect);
    }
}

fn perform(host: &Arc<Host>, effect: Effect) {
    let host = host.clone();
    match effect {
        Effect::Claim { claim, row } => {
            tokio::spawn(async move {
                let result = rows::write_claim(&host, claim, &row).await;
                handle(&host, Input::Claimed { claim, result });
            });
        }
        Effect::ReadClaim { claim, row } => {
            tokio::spawn(async move {
                let result = rows::read_claim(&host, claim, &row).await;
                handle(&host, Input::Claimed { claim, result });
            });
        }
        Effect::Resolve { .. } => {}
    }
}

/// Passes an input to duplicate suppression.
pub(crate) fn handle(host: &Arc<Host>, input: Input) {
    let now = host.now();
    host.dedup.lock().machine.handle(now, input);
    apply_dedup(host);
}
