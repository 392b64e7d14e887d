//! Rows, scans and transactions of the table service.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtail_types::AttemptId;

/// Identifies a row by its space and its key there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{space}:{key}")]
pub struct RowKey {
    /// The space, which holds rows of one kind.
    pub space: String,
    /// The key within the space.
    pub key: String,
}

impl RowKey {
    /// Creates the key of a row in a space.
    pub fn new(space: &str, key: &str) -> Self {
        Self {
            space: space.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// Holds a row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: RowKey,
    /// The number of the transaction that last wrote it; it rises with each transaction on the
    /// table.
    pub version: u64,
    /// The sort key of scans, set by the writer.
    pub mark: u64,
    /// The id of the attempt that last wrote it.
    #[serde(with = "crate::wire::attempt")]
    pub attempt: AttemptId,
    /// Its contents as text, which the table does not interpret.
    pub value: String,
}

/// Marks a position in the rows of a space ordered by mark and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct ScanCursor {
    /// The mark of the last row seen.
    pub mark: u64,
    /// The key of the last row seen; `None` to start after every row with this mark.
    pub key: Option<String>,
}

impl ScanCursor {
    /// Returns whether the row with `mark` and `key` comes after this position.
    pub fn is_before(&self, mark: u64, key: &str) -> bool {
        match &self.key {
            Some(own) => (self.mark, own.as_str()) < (mark, key),
            None => self.mark < mark,
        }
    }
}

/// Describes a read of rows of a space in order of mark and key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The space whose rows are read; only the row in `with` may lie in another.
    pub space: String,
    /// The position to start after; `None` to start with the first row.
    pub after: Option<ScanCursor>,
    /// The most rows to read.
    pub limit: usize,
    /// Another row to read at the same moment, in any space.
    pub with: Option<RowKey>,
}

/// Holds the result of a scan, all of it read at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows after the scan's position in order of mark and key, at most `limit`.
    pub rows: Vec<Row>,
    /// The other row that the scan asked for.
    pub with: Option<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

/// Requires a version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row to check; it need not be one that the transaction writes.
    pub key: RowKey,
    /// The version that the row must have; `None` if the row must not exist.
    pub version: Option<u64>,
}

/// Describes a change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row to write, which is created if it does not exist.
    pub key: RowKey,
    /// Its new contents; `None` to remove it.
    pub value: Option<String>,
    /// The sort key that the row gets for scans; ignored if the row is removed.
    pub mark: u64,
}

impl Write {
    /// Creates a write of a row with mark zero.
    pub fn put(key: RowKey, value: &str) -> Self {
        Self {
            key,
            value: Some(value.to_owned()),
            mark: 0,
        }
    }

    /// Creates the removal of a row.
    pub fn remove(key: RowKey) -> Self {
        Self {
            key,
            value: None,
            mark: 0,
        }
    }

    /// Sets the mark of the row.
    #[must_use]
    pub fn mark(mut self, mark: u64) -> Self {
        self.mark = mark;
        self
    }
}

/// Describes changes that are applied together if every check holds, and otherwise not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The id of the attempt, which is stored in each row written.
    #[serde(with = "crate::wire::attempt")]
    pub attempt: AttemptId,
    /// The conditions, all of which must hold before any row is written.
    pub checks: Vec<Check>,
    /// The changes in order; [`TxnRetry`](crate::TxnRetry) reads the first row back if an answer is
    /// lost.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Creates a transaction without checks or writes.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            checks: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds a check that the row has `version`, or that it does not exist if `None`.
    #[must_use]
    pub fn check(mut self, key: RowKey, version: Option<u64>) -> Self {
        self.checks.push(Check { key, version });
        self
    }

    /// Adds a write after the earlier ones.
    #[must_use]
    pub fn write(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}

/// Confirms that a transaction was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The version of every row that the transaction wrote.
    pub version: u64,
}
