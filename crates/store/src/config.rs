//! The configuration in the table service and the object store.

mod commit;

use serde::de::DeserializeOwned;
use wagtail_config::{Cursor, Head, Page, Snapshot, SnapshotRef, View};
use wagtail_types::Epoch;

use crate::{Platform, PlatformError, RowKey, Scan, ScanCursor};

pub use commit::{Change, CommitError, Committed, commit};

const RECORD_SPACE: &str = "config";
const HEAD_SPACE: &str = "head";
const HEAD_KEY: &str = "config";
const LOG_SPACE: &str = "config-log";
const LOAD_PAGE_ROWS: usize = 256;
const LOAD_ATTEMPTS: usize = 5;

fn head_key() -> RowKey {
    RowKey::new(HEAD_SPACE, HEAD_KEY)
}

/// Reads at most `limit` of the config rows changed after `since`, and the head at the same moment.
///
/// # Errors
///
/// Fails if the table fails or holds a row that cannot be parsed.
pub async fn scan_config(
    platform: &dyn Platform,
    since: Epoch,
    after: Option<Cursor>,
    limit: usize,
) -> Result<(Page, Option<SnapshotRef>), PlatformError> {
    let after = after.unwrap_or_else(|| Cursor::after_epoch(since));
    let cursor = ScanCursor {
        mark: after.epoch.0,
        key: after.key.map(|k| k.to_string()),
    };
    let scan = Scan {
        space: RECORD_SPACE.to_owned(),
        after: Some(cursor),
        limit,
        with: Some(head_key()),
    };
    let found = platform.scan(&scan).await?;
    let head: Head = match &found.with {
        Some(row) => parse(&row.value)?,
        None => Head::default(),
    };
    let rows = found
        .rows
        .iter()
        .map(|row| parse(&row.value))
        .collect::<Result<_, _>>()?;
    let page = Page {
        since,
        head: head.epoch,
        floor: Epoch(0),
        rows,
        more: found.more,
    };
    Ok((page, head.snapshot))
}

/// Reads a snapshot and checks its digest.
///
/// # Errors
///
/// Fails if the store fails, or has no such object or one with another digest or epoch.
pub async fn fetch_snapshot(
    platform: &dyn Platform,
    reference: &SnapshotRef,
) -> Result<Snapshot, PlatformError> {
    let bytes = platform.get(&reference.name).await?;
    let bytes = bytes.ok_or_else(|| PlatformError::not_applied("the snapshot does not exist"))?;
    Snapshot::decode(&bytes, reference).map_err(PlatformError::not_applied)
}

/// Reads the whole configuration.
///
/// # Errors
///
/// Fails if the platform fails, or if every attempt read an older state after a newer one.
pub async fn load_config(platform: &dyn Platform) -> Result<View, PlatformError> {
    let (_, snapshot) = scan_config(platform, Epoch(0), None, 0).await?;
    let base = match snapshot {
        Some(reference) => fetch_snapshot(platform, &reference)
            .await
            .map(Snapshot::into_view)
            .ok(),
        None => None,
    };
    let base = base.unwrap_or_default();
    for _ in 0..LOAD_ATTEMPTS {
        if let Some(view) = load_changes(platform, &base).await? {
            return Ok(view);
        }
    }
    Err(PlatformError::not_applied(
        "the configuration could not be read in a consistent state",
    ))
}

/// Reads the changes since `base`; `None` if a page came from an older state than the one before
/// it.
async fn load_changes(platform: &dyn Platform, base: &View) -> Result<Option<View>, PlatformError> {
    let mut rows = Vec::new();
    let mut head = base.epoch();
    let mut after = None;
    loop {
        let (page, _) = scan_config(platform, base.epoch(), after, LOAD_PAGE_ROWS).await?;
        if page.head < head {
            return Ok(None);
        }
        head = page.head;
        after = page.rows.last().map(Cursor::after_row);
        rows.extend(page.rows);
        if !page.more {
            return Ok(Some(base.apply(head, rows)));
        }
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(PlatformError::not_applied)
}
