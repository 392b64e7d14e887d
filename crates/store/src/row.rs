//! Rows, scans and transactions of the table service.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtail_types::AttemptId;

/// What identifies a row: the space that it is in and its key there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{space}:{key}")]
pub struct RowKey {
    /// The space, a set of rows of one kind.
    pub space: String,
    /// The key within the space.
    pub key: String,
}

impl RowKey {
    /// A key in a space.
    pub fn new(space: &str, key: &str) -> Self {
        Self {
            space: space.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What identifies it.
    pub key: RowKey,
    /// The number of the transaction that last wrote it; rises over the whole table.
    pub version: u64,
    /// The number by which scans order the space; the writer sets it.
    pub mark: u64,
    /// The attempt that last wrote it.
    #[serde(with = "crate::wire::attempt")]
    pub attempt: AttemptId,
    /// Its contents.
    pub value: String,
}

/// A place in a space ordered by mark and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Place {
    /// The mark.
    pub mark: u64,
    /// The key; `None` for the place after every row of the mark.
    pub key: Option<String>,
}

impl Place {
    /// Whether the row of `mark` and `key` lies after this place.
    pub fn is_before(&self, mark: u64, key: &str) -> bool {
        match &self.key {
            Some(own) => (self.mark, own.as_str()) < (mark, key),
            None => self.mark < mark,
        }
    }
}

/// A read of the rows of a space, in order of mark and key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The space.
    pub space: String,
    /// Where to start; `None` for the first row.
    pub after: Option<Place>,
    /// The most rows to read.
    pub limit: usize,
    /// A row to read at the same moment.
    pub with: Option<RowKey>,
}

/// What a scan read, all of it at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The row asked for besides.
    pub with: Option<Row>,
    /// Whether rows are left after these.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub key: RowKey,
    /// The version that it must have; `None` where it must not exist.
    pub version: Option<u64>,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: RowKey,
    /// Its new contents; `None` to remove it.
    pub value: Option<String>,
    /// Its new mark.
    pub mark: u64,
}

impl Write {
    /// Writes a row with mark zero.
    pub fn put(key: RowKey, value: &str) -> Self {
        Self {
            key,
            value: Some(value.to_owned()),
            mark: 0,
        }
    }

    /// Removes a row.
    pub fn remove(key: RowKey) -> Self {
        Self {
            key,
            value: None,
            mark: 0,
        }
    }

    /// Sets the mark.
    #[must_use]
    pub fn mark(mut self, mark: u64) -> Self {
        self.mark = mark;
        self
    }
}

/// Changes that are applied all at once where every check holds, or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The attempt, kept in each written row.
    #[serde(with = "crate::wire::attempt")]
    pub attempt: AttemptId,
    /// The conditions.
    pub checks: Vec<Check>,
    /// The changes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// A transaction without checks and writes.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            checks: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: RowKey, version: Option<u64>) -> Self {
        self.checks.push(Check { key, version });
        self
    }

    /// Adds a change.
    #[must_use]
    pub fn write(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }
}

/// The answer to an applied transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The version of every row that it wrote.
    pub version: u64,
}
