//! Changes of the configuration, each committed in one transaction with the head.

use bytes::Bytes;
use derive_more::{Display, Error};
use rand::Rng;
use wagtail_config::{ConfigError, Head, RawRecord, RecordKey, Row, Snapshot, SnapshotRef, View};
use wagtail_types::{AttemptId, Epoch};

use super::{LOG_SPACE, RECORD_SPACE, head_key, load_config, parse};
use crate::{Platform, PlatformError, RetrySettings, RowKey, Txn, Write, transact_with_retry};

const EPOCHS_PER_SNAPSHOT: u64 = 64;
const MAX_ATTEMPTS: usize = 8;

/// Describes a change of records.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// The records to put.
    pub put: Vec<RawRecord>,
    /// The records to withdraw.
    pub withdraw: Vec<RecordKey>,
    /// The epoch that the change is based on: a record that it touches must not have changed since.
    /// `None` to base it on the configuration in force.
    pub base_epoch: Option<Epoch>,
}

/// Holds the result of a committed change.
#[derive(Debug, Clone)]
pub struct Committed {
    /// The epoch of the change.
    pub epoch: Epoch,
    /// The configuration that includes the change.
    pub view: View,
    /// Why a snapshot that was due was not stored; the next change tries again.
    pub snapshot_failure: Option<PlatformError>,
}

/// Tells why a change was not committed.
#[derive(Debug, Display, Error)]
pub enum CommitError {
    /// The change is invalid: it is empty, puts a record twice or one that is too large, or
    /// withdraws a record that does not exist.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The change would add faults to the configuration.
    #[display("{} fault(s), first: {}", _0.len(), _0[0])]
    Faulty(#[error(not(source))] Vec<ConfigError>),
    /// Someone else changed a record of the change in the meantime.
    #[display("{record} was changed at epoch {epoch}, since this change was made; read it again")]
    Raced {
        /// The first record, puts before withdrawals, that changed after the base epoch.
        record: RecordKey,
        /// The epoch at which it was changed.
        epoch: Epoch,
    },
    /// The platform failed. The error tells whether the change may have been applied.
    #[display("{_0}")]
    Platform(PlatformError),
}

impl From<PlatformError> for CommitError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Commits the change that `build_change` returns for the configuration in force.
///
/// If another change is committed first, `build_change` is called again with the new configuration,
/// unless both changes touch the same record.
///
/// # Errors
///
/// Fails if the change is invalid, adds faults or conflicts with another one, or if the platform
/// fails.
pub async fn commit(
    platform: &dyn Platform,
    rng: &mut (impl Rng + Send),
    mut build_change: impl FnMut(&View) -> Result<Change, CommitError> + Send,
) -> Result<Committed, CommitError> {
    let mut conflict = None;
    let mut first_epoch: Option<Epoch> = None;
    for _ in 0..MAX_ATTEMPTS {
        let view = load_config(platform).await?;
        let change = build_change(&view)?;
        let base_epoch = change.base_epoch.or(first_epoch).unwrap_or(view.epoch());
        first_epoch.get_or_insert(view.epoch());
        check_race(&view, &change, base_epoch)?;
        let next = apply_change(&view, &change)?;
        match write(platform, rng, &view, &next).await {
            Ok(snapshot_failure) => {
                return Ok(Committed {
                    epoch: next.epoch(),
                    view: next,
                    snapshot_failure,
                });
            }
            Err(error @ PlatformError::Conflict { .. }) => conflict = Some(error),
            Err(error) => return Err(error.into()),
        }
    }
    Err(conflict
        .unwrap_or_else(|| PlatformError::not_applied("too many conflicts"))
        .into())
}

fn check_race(view: &View, change: &Change, base_epoch: Epoch) -> Result<(), CommitError> {
    let put = change.put.iter().filter_map(|raw| raw.key().ok());
    for record in put.chain(change.withdraw.iter().cloned()) {
        if let Some(row) = view.row(&record).filter(|row| row.epoch > base_epoch) {
            return Err(CommitError::Raced {
                record,
                epoch: row.epoch,
            });
        }
    }
    Ok(())
}

/// Returns the configuration with the change, unless the change adds faults.
fn apply_change(view: &View, change: &Change) -> Result<View, CommitError> {
    let epoch = view.epoch().next();
    let mut rows = Vec::new();
    for raw in &change.put {
        let row = Row::put(raw, epoch).map_err(|e| CommitError::Refused(e.to_string()))?;
        if row
            .body
            .as_ref()
            .is_some_and(|body| body.len() > Row::MAX_BODY)
        {
            let limit = Row::MAX_BODY;
            return Err(CommitError::Refused(format!(
                "{} is over {limit} bytes",
                row.key
            )));
        }
        if rows.iter().any(|r: &Row| r.key == row.key) {
            return Err(CommitError::Refused(format!("{} is put twice", row.key)));
        }
        rows.push(row);
    }
    for key in &change.withdraw {
        if view.row(key).is_none_or(|row| row.body.is_none()) {
            return Err(CommitError::Refused(format!("there is no record {key}")));
        }
        rows.push(Row::withdrawn(key.clone(), epoch));
    }
    if rows.is_empty() {
        return Err(CommitError::Refused(
            "there is nothing to change".to_owned(),
        ));
    }
    let next = view.apply(epoch, rows);
    let is_new = |fault: &&ConfigError| !view.issues().contains(fault);
    let faults: Vec<_> = next.issues().iter().filter(is_new).cloned().collect();
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(CommitError::Faulty(faults))
    }
}

/// Writes the log row of the change, the head and the rows changed at `next`'s epoch in one
/// transaction. The log row comes first, because [`TxnRetry`](crate::TxnRetry) reads it back. Returns
/// why a snapshot that was due was not stored.
async fn write(
    platform: &dyn Platform,
    rng: &mut (impl Rng + Send),
    view: &View,
    next: &View,
) -> Result<Option<PlatformError>, PlatformError> {
    let attempt = AttemptId::random(rng);
    let seed = rng.random();
    let found = platform.read(&head_key()).await?;
    let old: Head = found
        .as_ref()
        .map_or(Ok(Head::default()), |row| parse(&row.value))?;
    if old.epoch != view.epoch() {
        return Err(PlatformError::Conflict { key: head_key() });
    }
    let (snapshot, snapshot_failure) = update_snapshot(platform, view, old.snapshot).await;
    let head = Head {
        epoch: next.epoch(),
        snapshot,
    };
    let changed: Vec<_> = next
        .rows()
        .filter(|row| row.epoch == next.epoch())
        .collect();
    let keys: Vec<_> = changed.iter().map(|row| &row.key).collect();
    let log = RowKey::new(LOG_SPACE, &format!("{:020}", next.epoch().0));
    let mut txn = Txn::new(attempt)
        .check(head_key(), found.map(|row| row.version))
        .check(log.clone(), None)
        .write(Write::put(log, &to_json(&keys)?).mark(next.epoch().0))
        .write(Write::put(head_key(), &to_json(&head)?).mark(next.epoch().0));
    for row in changed {
        let key = RowKey::new(RECORD_SPACE, &row.key.to_string());
        txn = txn.write(Write::put(key, &to_json(&**row)?).mark(row.epoch.0));
    }
    transact_with_retry(platform, RetrySettings::default(), txn, seed).await?;
    Ok(snapshot_failure)
}

/// Stores a snapshot of `view` if the last one is old, and returns the reference for the head. If
/// storing fails, the last snapshot stays, and the failure is returned with it.
async fn update_snapshot(
    platform: &dyn Platform,
    view: &View,
    last: Option<SnapshotRef>,
) -> (Option<SnapshotRef>, Option<PlatformError>) {
    let since = last.as_ref().map_or(0, |s| s.epoch.0);
    if view.epoch().0 < since + EPOCHS_PER_SNAPSHOT {
        return (last, None);
    }
    let (bytes, reference) = Snapshot::of(view).encode();
    match platform.put(&reference.name, Bytes::from(bytes)).await {
        Ok(()) => (Some(reference), None),
        Err(error) => (last, Some(error)),
    }
}

fn to_json(value: &impl serde::Serialize) -> Result<String, PlatformError> {
    serde_json::to_string(value).map_err(PlatformError::not_applied)
}
