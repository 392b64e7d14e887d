//! Records as operators write them.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wagtail_types::ParseError;

use crate::RecordKey;

/// A record as written, before any check of its body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The kind of record.
    pub kind: String,
    /// The name, unique within the kind.
    pub name: String,
    /// The version of the body's schema.
    pub schema: u32,
    /// The fields of the kind and schema.
    pub body: Value,
}

impl Raw {
    /// The record's key.
    ///
    /// # Errors
    ///
    /// Fails where the kind or name holds characters that are not allowed.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        RecordKey::new(&self.kind, &self.name)
    }
}
