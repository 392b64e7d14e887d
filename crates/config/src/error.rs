//! Faults in records and their positions.

use derive_more::{Display, Error};

use crate::RecordKey;

/// Classifies the faults of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Category {
    /// The text is not JSON or not a record.
    #[display("malformed")]
    Malformed,
    /// The record's name is not allowed.
    #[display("bad name")]
    Name,
    /// A field is unknown, missing or of the wrong type.
    #[display("bad field")]
    Field,
    /// A value is out of its range.
    #[display("bad value")]
    Value,
    /// A record that is referred to does not exist or is not in force.
    #[display("dangling reference")]
    Reference,
    /// Two records claim the same key.
    #[display("duplicate")]
    Duplicate,
    /// The schema version or kind is not known to this build.
    #[display("unknown schema")]
    Unknown,
}

/// Locates a fault by record and field.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{record}{}{field}", if field.is_empty() { "" } else { " " })]
pub struct Position {
    /// The key of the faulty record; characters that a key must not hold are left out.
    pub record: RecordKey,
    /// The path of the field; empty if the fault concerns the whole record.
    pub field: String,
}

/// Describes a fault in a record.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{at}: {category}: {reason}")]
pub struct ConfigError {
    /// The kind of fault.
    pub category: Category,
    /// The position of the fault.
    pub at: Position,
    /// The reason in words.
    pub reason: String,
}

impl ConfigError {
    pub(crate) fn new(
        category: Category,
        record: &RecordKey,
        field: impl Into<String>,
        reason: &(impl ToString + ?Sized),
    ) -> Self {
        let at = Position {
            record: record.clone(),
            field: field.into(),
        };
        Self {
            category,
            at,
            reason: reason.to_string(),
        }
    }
}
