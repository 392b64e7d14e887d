//! The row that names the current epoch.

use serde::{Deserialize, Serialize};
use wagtail_types::Epoch;

/// Holds the current epoch; every committed change rewrites it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// The epoch of the last change.
    pub epoch: Epoch,
    /// The newest snapshot in the object store.
    pub snapshot: Option<SnapshotRef>,
}

/// Refers to a snapshot in the object store, with the digest that its bytes must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The epoch of the configuration in it.
    pub epoch: Epoch,
    /// Its name in the object store.
    pub name: String,
    /// The SHA-256 digest of its bytes, in hexadecimal digits.
    pub digest: String,
}
