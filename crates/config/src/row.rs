//! Records as the table and the peers carry them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtail_types::{Epoch, ParseError};

use crate::{Raw, RecordKey};

/// The state of one record since the epoch of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The record's key.
    pub key: RecordKey,
    /// The epoch of the last change.
    pub epoch: Epoch,
    /// The version of the body's schema.
    pub schema: u32,
    /// The body as JSON text; `None` where the record is withdrawn.
    pub body: Option<Arc<str>>,
}

impl Row {
    /// The largest body, in bytes, that may be put in force.
    pub const MAX_BODY: usize = 64 * 1024;

    /// The row that puts `raw` in force at `epoch`.
    ///
    /// # Errors
    ///
    /// Fails where the record's kind or name is malformed.
    pub fn put(raw: &Raw, epoch: Epoch) -> Result<Self, ParseError> {
        Ok(Self {
            key: raw.key()?,
            epoch,
            schema: raw.schema,
            body: Some(raw.body.to_string().into()),
        })
    }

    /// The row that withdraws a record at `epoch`.
    pub fn withdrawn(key: RecordKey, epoch: Epoch) -> Self {
        Self {
            key,
            epoch,
            schema: 0,
            body: None,
        }
    }

    /// The record as written; `None` where it is withdrawn or its body is not JSON.
    pub fn raw(&self) -> Option<Raw> {
        let body: Value = serde_json::from_str(self.body.as_deref()?).ok()?;
        Some(Raw {
            kind: self.key.kind().to_owned(),
            name: self.key.name().to_owned(),
            schema: self.schema,
            body,
        })
    }
}

/// A place in the rows ordered by epoch and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The epoch of the last row seen.
    pub epoch: Epoch,
    /// Its key; `None` to start after every row of the epoch.
    pub key: Option<RecordKey>,
}

impl Cursor {
    /// The place after every row changed at `epoch` or before.
    pub fn after(epoch: Epoch) -> Self {
        Self { epoch, key: None }
    }

    /// The place right after `row`.
    pub fn at(row: &Row) -> Self {
        Self {
            epoch: row.epoch,
            key: Some(row.key.clone()),
        }
    }

    /// Whether `row` lies after this place.
    pub fn is_before(&self, row: &Row) -> bool {
        match &self.key {
            Some(key) => (self.epoch, key) < (row.epoch, &row.key),
            None => self.epoch < row.epoch,
        }
    }
}

/// Rows in order of epoch and key, read together with the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The epoch that the rows build on; zero where they are the whole configuration.
    pub since: Epoch,
    /// The epoch of the configuration that was read.
    pub head: Epoch,
    /// The epoch up to which the source has forgotten withdrawn records.
    pub floor: Epoch,
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether rows are left after these.
    pub more: bool,
}

impl Page {
    /// Leaves out rows at the end, but never the first, until the bodies together have at most
    /// `bytes`.
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
