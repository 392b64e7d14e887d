//! Config records in the platform's table and object store.

use serde::Deserialize;
use wagtail_config::{Cursor, Head, Page, Row, Snapshot, SnapshotRef};
use wagtail_platform::{Place, Platform, RowKey, Scan};
use wagtail_types::Epoch;

const RECORDS: &str = "config";
const HEAD_SPACE: &str = "head";
const HEAD_KEY: &str = "config";

fn head_key() -> RowKey {
    RowKey::new(HEAD_SPACE, HEAD_KEY)
}

/// Reads the rows changed after `since`, and the head at the same moment.
pub(crate) async fn scan(
    platform: &dyn Platform,
    since: Epoch,
    after: Option<Cursor>,
    limit: usize,
) -> Option<(Page, Option<SnapshotRef>)> {
    let after = after.unwrap_or_else(|| Cursor::after(since));
    let scan = Scan {
        space: RECORDS.to_owned(),
        after: Some(Place {
            mark: after.epoch.0,
            key: after.key.map(|k| k.to_string()),
        }),
        limit,
        with: Some(head_key()),
    };
    let page = platform.scan(&scan).await.ok()?;
    let head = match page.with {
        Some(row) => parse::<Head>(&row.value)?,
        None => Head::default(),
    };
    let rows = page
        .rows
        .iter()
        .map(|row| parse::<Row>(&row.value))
        .collect::<Option<_>>()?;
    Some((
        Page {
            since,
            head: head.epoch,
            floor: Epoch(0),
            rows,
            more: page.more,
        },
        head.snapshot,
    ))
}

/// Reads a snapshot and checks its digest.
pub(crate) async fn fetch(platform: &dyn Platform, refer: &SnapshotRef) -> Option<Snapshot> {
    let bytes = platform.get(&refer.name).await.ok()??;
    Snapshot::decode(&bytes, refer).ok()
}

fn parse<T: for<'a> Deserialize<'a>>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
