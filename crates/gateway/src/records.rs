//! Keeps the registry's records of requests under which endpoints ended.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use wagtail_steer::{Observation, SuspectCall};

use crate::host::Core;
use crate::registry::{Answer, Entry, Registry, RegistryError, Topic};

/// The period of reading the records while there may be some, which finds those that other hosts or the
/// operator have changed.
const READ_PERIOD: Duration = Duration::from_secs(20);
/// The pause after a change, as all hosts share the registry's rate of writes.
const CALL_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Writes, claims and reads records for the life of the process.
pub(crate) async fn keep_records<R: Registry>(core: Rc<Core>, registry: Rc<R>) {
    let mut restores = core.restores();
    let mut next_read = core.now() + READ_PERIOD;
    let mut retry_at = core.now();
    loop {
        tokio::select! {
            () = core.suspect_calls.notified() => {}
            () = tokio::time::sleep(READ_PERIOD) => {}
            _ = restores.changed() => {
                tokio::time::sleep(core.restore_delay()).await;
                next_read = core.now();
            }
        }
        let is_due = {
            let steer = core.steer.borrow();
            steer.lacks_suspect_records() || core.now() >= next_read && steer.has_suspect_records()
        };
        if is_due && core.now() >= retry_at {
            if read_records(&core, &*registry).await {
                next_read = core.now() + READ_PERIOD;
            } else {
                retry_at = core.now() + RETRY_PAUSE;
            }
        }
        make_changes(&core, &*registry).await;
    }
}

/// Makes all changes that are due, with pauses between them.
async fn make_changes<R: Registry>(core: &Core, registry: &R) {
    loop {
        let call = {
            let mut steer = core.steer.borrow_mut();
            steer.next_suspect_call(core.wall_millis(), core.now())
        };
        let Some(call) = call else {
            return;
        };
        let pause = if change(core, registry, &call).await {
            CALL_PAUSE
        } else {
            // What the registry has now is not known.
            read_records(core, registry).await;
            RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Makes a change of a record. Returns `false` if it was not made, or perhaps not.
async fn change<R: Registry>(core: &Core, registry: &R, call: &SuspectCall) -> bool {
    let Answer { generation, result } = registry.change_suspect(call).await;
    core.observe(&generation);
    let request = call.request();
    let version = match result {
        Ok(version) => version,
        Err(e) => {
            core.steer.borrow_mut().fail_suspect_call(call);
            let is_conflict = matches!(e, RegistryError::Conflict);
            let kind = if is_conflict { "conflict" } else { "failed" };
            core.metrics.count("suspect_records", kind);
            info!(core.log, "record of a suspect request was not changed"; "fingerprint" => %request, "error" => %e);
            return is_conflict && read_records(core, registry).await;
        }
    };
    let now = core.now();
    core.steer
        .borrow_mut()
        .complete_suspect_call(call, version, now);
    match call {
        SuspectCall::Write {
            record,
            trial: true,
            ..
        } => {
            core.metrics.count("suspect_records", "claimed");
            info!(core.log, "claimed a trial of a rejected request";
                "fingerprint" => %request, "trials" => record.trials.len());
        }
        SuspectCall::Write { record, .. } => {
            core.metrics.count("suspect_records", "written");
            info!(core.log, "recorded a request under which endpoints ended";
                "fingerprint" => %request, "ends" => record.ends.len());
        }
        SuspectCall::Remove { .. } => {
            core.metrics.count("suspect_records", "removed");
            info!(core.log, "removed the record of a request"; "fingerprint" => %request);
        }
    }
    true
}

/// Reads all records. Returns whether that succeeded.
pub(crate) async fn read_records<R: Registry>(core: &Core, registry: &R) -> bool {
    let answer = registry.read(Topic::Suspects).await;
    let observation = core.observe(&answer.generation);
    let fetched = match answer.result {
        Ok(fetched) if observation == Observation::Current => fetched,
        Ok(_) => return false,
        Err(e) => {
            warn!(core.log, "reading the records of suspect requests failed"; "error" => %e);
            return false;
        }
    };
    let mut records = Vec::new();
    for entry in fetched.entries {
        match entry {
            Entry::Suspect(record, version) => records.push((record, version)),
            Entry::Unusable { key, reason } => {
                warn!(core.log, "record of a suspect request is unusable; ignoring it";
                    "key" => key, "reason" => reason);
            }
            _ => {}
        }
    }
    let (version, wall, now) = (fetched.version, core.wall_millis(), core.now());
    let unknown = core
        .steer
        .borrow_mut()
        .learn_suspect_records(records, version, wall, now);
    if unknown > 0 {
        info!(core.log, "the registry has records of suspect requests that this host did not know";
            "count" => unknown);
    }
    true
}
