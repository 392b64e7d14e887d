//! Snapshots of the whole configuration in the object store.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wagtail_types::{Epoch, ParseError};

use crate::{Row, SnapshotRef, View};

const SUBJECT: &str = "snapshot";

/// Holds every record in force at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The epoch of the configuration.
    pub epoch: Epoch,
    /// The rows in force; withdrawn ones are left out.
    pub rows: Vec<Row>,
}

impl Snapshot {
    /// Creates the snapshot of a view.
    pub fn of(view: &View) -> Self {
        let live = |row: &&std::sync::Arc<Row>| row.body.is_some();
        Self {
            epoch: view.epoch(),
            rows: view.rows().filter(live).map(|r| (**r).clone()).collect(),
        }
    }

    /// Converts the snapshot into a view. Its floor is the epoch of the snapshot, since the
    /// snapshot leaves out withdrawn records.
    pub fn into_view(self) -> View {
        View::from_rows(self.epoch, self.epoch, self.rows)
    }

    /// Encodes the snapshot and returns its bytes with the reference for the head.
    ///
    /// # Panics
    ///
    /// Never panics, because every row can be written as JSON.
    pub fn encode(&self) -> (Vec<u8>, SnapshotRef) {
        let bytes = serde_json::to_vec(self).expect("rows are plain JSON");
        let digest = hex::encode(Sha256::digest(&bytes));
        let reference = SnapshotRef {
            epoch: self.epoch,
            name: format!("config-{}-{}", self.epoch, &digest[..16]),
            digest,
        };
        (bytes, reference)
    }

    /// Decodes the bytes of an object.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not have the digest or epoch of `reference`, or are malformed.
    pub fn decode(bytes: &[u8], reference: &SnapshotRef) -> Result<Self, ParseError> {
        let fail = |reason| Err(ParseError::new(SUBJECT, &reference.name, reason));
        if hex::encode(Sha256::digest(bytes)) != reference.digest {
            return fail("its digest differs from the one in the head");
        }
        let Ok(snapshot) = serde_json::from_slice::<Self>(bytes) else {
            return fail("it is malformed");
        };
        if snapshot.epoch != reference.epoch {
            return fail("its epoch differs from the one in the head");
        }
        Ok(snapshot)
    }
}
