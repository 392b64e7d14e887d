//! Records in the form that the table stores and peers exchange.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtail_types::{Epoch, ParseError};

use crate::{RawRecord, RecordKey};

/// Holds the state of one record since the epoch of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The record's key.
    pub key: RecordKey,
    /// The epoch of the last change.
    pub epoch: Epoch,
    /// The version of the body's schema.
    pub schema: u32,
    /// The body as JSON text; `None` if the record is withdrawn.
    pub body: Option<Arc<str>>,
}

impl Row {
    /// The largest body that a change may commit, in bytes.
    pub const MAX_BODY: usize = 64 * 1024;

    /// Creates the row that puts `raw` in force at `epoch`.
    ///
    /// # Errors
    ///
    /// Fails if the record's kind or name is malformed.
    pub fn put(raw: &RawRecord, epoch: Epoch) -> Result<Self, ParseError> {
        Ok(Self {
            key: raw.key()?,
            epoch,
            schema: raw.schema,
            body: Some(raw.body.to_string().into()),
        })
    }

    /// Creates the row that withdraws a record at `epoch`.
    pub fn withdrawn(key: RecordKey, epoch: Epoch) -> Self {
        Self {
            key,
            epoch,
            schema: 0,
            body: None,
        }
    }

    /// Returns the record as written; `None` if it is withdrawn or its body is not JSON.
    pub fn raw(&self) -> Option<RawRecord> {
        let body: Value = serde_json::from_str(self.body.as_deref()?).ok()?;
        Some(RawRecord {
            kind: self.key.kind().to_owned(),
            name: self.key.name().to_owned(),
            schema: self.schema,
            body,
        })
    }
}

/// Marks a position in the rows ordered by epoch and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The epoch of the last row seen.
    pub epoch: Epoch,
    /// The key of the last row seen; `None` to start after every row of the epoch.
    pub key: Option<RecordKey>,
}

impl Cursor {
    /// Returns the position after every row changed at or before `epoch`.
    pub fn after_epoch(epoch: Epoch) -> Self {
        Self { epoch, key: None }
    }

    /// Returns the position right after `row`.
    pub fn after_row(row: &Row) -> Self {
        Self {
            epoch: row.epoch,
            key: Some(row.key.clone()),
        }
    }

    /// Returns whether `row` comes after this position.
    pub fn is_before(&self, row: &Row) -> bool {
        match &self.key {
            Some(key) => (self.epoch, key) < (row.epoch, &row.key),
            None => self.epoch < row.epoch,
        }
    }
}

/// Holds rows in order of epoch and key, read together with the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The epoch that the rows build on; zero if they are the whole configuration.
    pub since: Epoch,
    /// The epoch of the configuration that was read.
    pub head: Epoch,
    /// The epoch up to which the source may have dropped withdrawn records.
    pub floor: Epoch,
    /// The rows of this page only, withdrawn records included.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

impl Page {
    /// Drops rows from the end until the bodies together have at most `bytes` bytes. The first row
    /// always stays.
    pub(crate) fn limit(&mut self, bytes: usize) {
        let mut left = bytes;
        let fits = |row: &&Row| {
            let size = row.body.as_ref().map_or(0, |body| body.len());
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        let kept = self.rows.iter().take_while(fits).count().max(1);
        self.more |= kept < self.rows.len();
        self.rows.truncate(kept);
    }
}
