//! Records as operators write them.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtail_types::ParseError;

use crate::RecordKey;

/// Holds a record as written, before its body is validated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The kind of record.
    pub kind: String,
    /// The name, unique within the kind.
    pub name: String,
    /// The version of the body's schema.
    pub schema: u32,
    /// The fields that the kind and schema define.
    pub body: Value,
}

impl Raw {
    /// Returns the record's key.
    ///
    /// # Errors
    ///
    /// Fails if the kind or name is empty, too long or holds characters that are not allowed.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        RecordKey::new(&self.kind, &self.name)
    }
}
