//! The row that names the current epoch.

use serde::{Deserialize, Serialize};
use wagtail_types::Epoch;

/// The head of the configuration, rewritten by every committed change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// The epoch of the last change.
    pub epoch: Epoch,
    /// The newest snapshot in the object store.
    pub snapshot: Option<SnapshotRef>,
}

/// Where a snapshot is and what it must look like.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The epoch that it holds.
    pub epoch: Epoch,
    /// Its name in the object store.
    pub name: String,
    /// The SHA-256 digest of its bytes, in hexadecimal digits.
    pub digest: String,
}
