//! The configuration in the table service and the object store.

mod commit;

use serde::de::DeserializeOwned;
use wagtail_config::{Cursor, Head, Page, Snapshot, SnapshotRef, View};
use wagtail_types::Epoch;

use crate::{Place, Platform, PlatformError, RowKey, Scan};

pub use commit::{Change, CommitError, Committed, commit};

const RECORDS: &str = "config";
const HEAD_SPACE: &str = "head";
const HEAD_KEY: &str = "config";
const LOG: &str = "config-log";
const LOAD_PAGE_ROWS: usize = 256;
const LOAD_TRIES: usize = 5;

fn head_key() -> RowKey {
    RowKey::new(HEAD_SPACE, HEAD_KEY)
}

/// Reads the config rows changed after `since`, and the head at the same moment.
///
/// # Errors
///
/// Fails where the table fails or holds what is not a config row.
pub async fn scan_config(
    platform: &dyn Platform,
    since: Epoch,
    after: Option<Cursor>,
    limit: usize,
) -> Result<(Page, Option<SnapshotRef>), PlatformError> {
    let after = after.unwrap_or_else(|| Cursor::after_epoch(since));
    let place = Place {
        mark: after.epoch.0,
        key: after.key.map(|k| k.to_string()),
    };
    let scan = Scan {
        space: RECORDS.to_owned(),
        after: Some(place),
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
/// Fails where the store fails or has no such object with this digest.
pub async fn fetch_snapshot(
    platform: &dyn Platform,
    refer: &SnapshotRef,
) -> Result<Snapshot, PlatformError> {
    let bytes = platform.get(&refer.name).await?;
    let bytes = bytes.ok_or_else(|| PlatformError::not_applied("there is no such snapshot"))?;
    Snapshot::decode(&bytes, refer).map_err(PlatformError::not_applied)
}

/// Reads the whole configuration.
///
/// # Errors
///
/// Fails where the platform fails, or changes so fast that no whole state can be read.
pub async fn load_config(platform: &dyn Platform) -> Result<View, PlatformError> {
    let (_, snapshot) = scan_config(platform, Epoch(0), None, 0).await?;
    let base = match snapshot {
        Some(refer) => fetch_snapshot(platform, &refer)
            .await
            .map(Snapshot::into_view)
            .ok(),
        None => None,
    };
    let base = base.unwrap_or_default();
    for _ in 0..LOAD_TRIES {
        if let Some(view) = load_over(platform, &base).await? {
            return Ok(view);
        }
    }
    Err(PlatformError::not_applied(
        "the configuration could not be read whole",
    ))
}

/// Reads the changes over `base`; `None` where a page came from an older state than the last.
async fn load_over(platform: &dyn Platform, base: &View) -> Result<Option<View>, PlatformError> {
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
