//! Messages of the HTTP interface.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PlatformError, RowKey};

/// Holds the body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind of failure.
    pub kind: FailKind,
    /// The reason in words.
    pub reason: String,
    /// The row in conflict.
    #[serde(default)]
    pub key: Option<RowKey>,
    /// How long to wait before another attempt, in milliseconds.
    #[serde(default)]
    pub retry_ms: Option<u64>,
}

/// Classifies failed calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailKind {
    /// A check did not hold.
    Conflict,
    /// The call was rejected and not applied.
    NotApplied,
    /// The outcome is unknown.
    Unknown,
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        let Failure {
            kind,
            reason,
            key,
            retry_ms,
        } = failure;
        match (kind, key) {
            (FailKind::Conflict, Some(key)) => Self::Conflict { key },
            (FailKind::Conflict, None) | (FailKind::NotApplied, _) => Self::NotApplied {
                reason,
                retry: retry_ms.map(Duration::from_millis),
            },
            (FailKind::Unknown, _) => Self::Unknown { reason },
        }
    }
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        let reason = error.to_string();
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let (kind, key, retry_ms) = match error {
            PlatformError::Conflict { key } => (FailKind::Conflict, Some(key), None),
            PlatformError::NotApplied { retry, .. } => {
                (FailKind::NotApplied, None, retry.map(millis))
            }
            PlatformError::Unavailable { .. } => (FailKind::NotApplied, None, None),
            PlatformError::Unknown { .. } => (FailKind::Unknown, None, None),
        };
        Self {
            kind,
            reason,
            key,
            retry_ms,
        }
    }
}

/// Serializes attempt ids as text.
pub(crate) mod attempt {
    use serde::{Deserialize, Deserializer, Serializer};
    use wagtail_types::AttemptId;

    pub(crate) fn serialize<S: Serializer>(id: &AttemptId, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(id)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
