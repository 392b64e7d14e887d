//! What the registry keeps of requests under which endpoints ended, so that it outlasts all hosts.

use serde::{Deserialize, Serialize};
use wagtail_types::HostId;

use super::Fingerprint;

/// The process of an endpoint that ended while a request ran there, and the host that saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEnd {
    /// The host.
    #[serde(deserialize_with = "HostId::deserialize_external")]
    pub host: HostId,
    /// The hash of the endpoint's name.
    pub endpoint: u32,
    /// The start of the endpoint's process in milliseconds of wall-clock time, if registered.
    pub started: Option<u64>,
    /// How long the request had run there, in milliseconds.
    pub ran_ms: u32,
    /// When it ended, in milliseconds of wall-clock time.
    pub at: u64,
}

/// A request under which endpoints ended, and its trials since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub request: Fingerprint,
    /// The endpoints that ended under it.
    pub ends: Vec<RecordedEnd>,
    /// When hosts claimed trials, in milliseconds of wall-clock time, the oldest first.
    pub trials: Vec<u64>,
}

/// A change of a record, to be made only if the registry has the expected version of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectCall {
    /// Writes what is known of a request.
    Write {
        /// The record.
        record: SuspectRecord,
        /// The version that it replaces; zero if there is none.
        version: u64,
        /// Whether the record claims a trial for the local host.
        trial: bool,
    },
    /// Removes the record of a request that has ended well, or that was not asked for long.
    Remove {
        /// The request.
        request: Fingerprint,
        /// The version that is removed.
        version: u64,
    },
}

impl SuspectCall {
    /// Returns the request that the record is about.
    pub fn request(&self) -> Fingerprint {
        match self {
            Self::Write { record, .. } => record.request,
            Self::Remove { request, .. } => *request,
        }
    }
}
