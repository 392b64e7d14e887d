//! The whole configuration as one object.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wagtail_types::{Epoch, ParseError};

use crate::{Row, SnapshotRef, View};

const WHAT: &str = "snapshot";

/// Every record in force at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The epoch.
    pub epoch: Epoch,
    /// The rows in force; withdrawn ones are left out.
    pub rows: Vec<Row>,
}

impl Snapshot {
    /// The snapshot of a view.
    pub fn of(view: &View) -> Self {
        let live = |row: &&std::sync::Arc<Row>| row.body.is_some();
        Self {
            epoch: view.epoch(),
            rows: view.rows().filter(live).map(|r| (**r).clone()).collect(),
        }
    }

    /// The view that it holds.
    pub fn into_view(self) -> View {
        View::whole(self.epoch, self.epoch, self.rows)
    }

    /// The object's bytes and the reference that the head keeps of them.
    ///
    /// # Panics
    ///
    /// Does not: every row can be written as JSON.
    pub fn encode(&self) -> (Vec<u8>, SnapshotRef) {
        let bytes = serde_json::to_vec(self).expect("rows are plain JSON");
        let digest = hex::encode(Sha256::digest(&bytes));
        let refer = SnapshotRef {
            epoch: self.epoch,
            name: format!("config-{}-{}", self.epoch, &digest[..16]),
            digest,
        };
        (bytes, refer)
    }

    /// Reads an object back.
    ///
    /// # Errors
    ///
    /// Fails where the bytes do not have the digest or epoch of `refer`, or are malformed.
    pub fn decode(bytes: &[u8], refer: &SnapshotRef) -> Result<Self, ParseError> {
        let fail = |reason| Err(ParseError::new(WHAT, &refer.name, reason));
        if hex::encode(Sha256::digest(bytes)) != refer.digest {
            return fail("its digest differs from the one in the head");
        }
        let Ok(snapshot) = serde_json::from_slice::<Self>(bytes) else {
            return fail("it is malformed");
        };
        if snapshot.epoch != refer.epoch {
            return fail("its epoch differs from the one in the head");
        }
        Ok(snapshot)
    }
}
