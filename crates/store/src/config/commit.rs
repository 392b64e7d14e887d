//! Changes of the configuration, each in one transaction with the head.

use bytes::Bytes;
use derive_more::{Display, Error};
use rand::Rng;
use wagtail_config::{ConfigError, Head, Raw, RecordKey, Row, Snapshot, SnapshotRef, View};
use wagtail_types::{AttemptId, Epoch};

use super::{LOG, RECORDS, head_key, load_config, parse};
use crate::{Platform, PlatformError, RowKey, SettleSettings, Txn, Write, settle};

const SNAPSHOT_EPOCHS: u64 = 64;
const CONFLICT_TRIES: usize = 8;

/// A change of records, made from what an operator read.
#[derive(Debug, Clone, Default)]
pub struct Change {
    /// Records to put.
    pub put: Vec<Raw>,
    /// Records to withdraw.
    pub withdraw: Vec<RecordKey>,
    /// The epoch that the change was made from; a record that it touches must not have changed
    /// since. `None` to make it from whatever is in force.
    pub made_at: Option<Epoch>,
}

/// A change that was committed.
#[derive(Debug, Clone)]
pub struct Committed {
    /// The epoch that it has.
    pub epoch: Epoch,
    /// The configuration with it.
    pub view: View,
}

/// Why a change was not committed.
#[derive(Debug, Display, Error)]
pub enum CommitError {
    /// The change is empty or names a record that is not there.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The configuration would have faults that it has not now.
    #[display("{} fault(s), first: {}", _0.len(), _0[0])]
    Faulty(#[error(not(source))] Vec<ConfigError>),
    /// A record was changed by someone else.
    #[display("{record} was changed at epoch {epoch}, since this change was made; read it again")]
    Raced {
        /// The record.
        record: RecordKey,
        /// When it was changed.
        epoch: Epoch,
    },
    /// The platform failed. Whether the change was applied is in the error.
    #[display("{_0}")]
    Platform(PlatformError),
}

impl From<PlatformError> for CommitError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Commits what `make` builds from the configuration in force.
///
/// When other changes come between, `make` is called again, unless they touch the same records.
///
/// # Errors
///
/// Fails where the change is refused, was raced, or the platform fails.
pub async fn commit(
    platform: &dyn Platform,
    rng: &mut (impl Rng + Send),
    mut make: impl FnMut(&View) -> Result<Change, CommitError> + Send,
) -> Result<Committed, CommitError> {
    let mut raced = None;
    let mut first: Option<Epoch> = None;
    for _ in 0..CONFLICT_TRIES {
        let view = load_config(platform).await?;
        let change = make(&view)?;
        let made_at = change.made_at.or(first).unwrap_or(view.epoch());
        first.get_or_insert(view.epoch());
        check_race(&view, &change, made_at)?;
        let next = checked(&view, &change)?;
        match write(platform, rng, &view, &next).await {
            Ok(()) => {
                return Ok(Committed {
                    epoch: next.epoch(),
                    view: next,
                });
            }
            Err(error @ PlatformError::Conflict { .. }) => raced = Some(error),
            Err(error) => return Err(error.into()),
        }
    }
    Err(raced
        .unwrap_or_else(|| PlatformError::not_applied("too many conflicts"))
        .into())
}

fn check_race(view: &View, change: &Change, made_at: Epoch) -> Result<(), CommitError> {
    let put = change.put.iter().filter_map(|raw| raw.key().ok());
    for record in put.chain(change.withdraw.iter().cloned()) {
        if let Some(row) = view.row(&record).filter(|row| row.epoch > made_at) {
            return Err(CommitError::Raced {
                record,
                epoch: row.epoch,
            });
        }
    }
    Ok(())
}

/// The configuration with the change, if that has no fault that the present one has not.
fn checked(view: &View, change: &Change) -> Result<View, CommitError> {
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

/// Writes the rows of `next`'s epoch, the head and the log row that witnesses the change.
async fn write(
    platform: &dyn Platform,
    rng: &mut (impl Rng + Send),
    view: &View,
    next: &View,
) -> Result<(), PlatformError> {
    let attempt = AttemptId::random(rng);
    let seed = rng.random();
    let found = platform.read(&head_key()).await?;
    let old: Head = found
        .as_ref()
        .map_or(Ok(Head::default()), |row| parse(&row.value))?;
    if old.epoch != view.epoch() {
        return Err(PlatformError::Conflict { key: head_key() });
    }
    let head = Head {
        epoch: next.epoch(),
        snapshot: snapshot(platform, view, old.snapshot).await,
    };
    let changed: Vec<_> = next
        .rows()
        .filter(|row| row.epoch == next.epoch())
        .collect();
    let keys: Vec<_> = changed.iter().map(|row| &row.key).collect();
    let log = RowKey::new(LOG, &format!("{:020}", next.epoch().0));
    let mut txn = Txn::new(attempt)
        .check(head_key(), found.map(|row| row.version))
        .check(log.clone(), None)
        .write(Write::put(log, &text(&keys)?).mark(next.epoch().0))
        .write(Write::put(head_key(), &text(&head)?).mark(next.epoch().0));
    for row in changed {
        let key = RowKey::new(RECORDS, &row.key.to_string());
        txn = txn.write(Write::put(key, &text(&**row)?).mark(row.epoch.0));
    }
    settle(platform, SettleSettings::default(), txn, seed)
        .await
        .map(drop)
}

/// Stores a snapshot of `view` where the last one is old; the last one stays where that fails.
async fn snapshot(
    platform: &dyn Platform,
    view: &View,
    last: Option<SnapshotRef>,
) -> Option<SnapshotRef> {
    let since = last.as_ref().map_or(0, |s| s.epoch.0);
    if view.epoch().0 < since + SNAPSHOT_EPOCHS {
        return last;
    }
    let (bytes, refer) = Snapshot::of(view).encode();
    match platform.put(&refer.name, Bytes::from(bytes)).await {
        Ok(()) => Some(refer),
        Err(_) => last,
    }
}

fn text(value: &impl serde::Serialize) -> Result<String, PlatformError> {
    serde_json::to_string(value).map_err(PlatformError::not_applied)
}
