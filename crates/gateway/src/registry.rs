//! The interface to the registry of hosts, endpoints and configuration.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use wagtail_steer::{
    Config, EndpointRecord, GenerationTag, HostRecord, SuspectCall, SuspectRecord,
};
use wagtail_types::{EndpointId, ZoneId};

/// A set of registry entries that is followed as a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Topic {
    /// The configuration and evacuations, which operators write.
    #[display("operator")]
    Operator,
    /// The registrations of endpoints.
    #[display("endpoints")]
    Endpoints,
    /// The registrations of entry hosts.
    #[display("hosts")]
    Hosts,
    /// The requests under which endpoints ended.
    #[display("suspects")]
    Suspects,
}

impl Topic {
    /// Returns the number of the topic in messages between hosts.
    pub(crate) fn number(self) -> u8 {
        match self {
            Self::Operator => 0,
            Self::Endpoints => 1,
            Self::Hosts => 2,
            Self::Suspects => 3,
        }
    }
}

/// A registry entry that was read or has changed.
#[derive(Debug)]
pub enum Entry {
    /// A configuration, not checked yet; ignored unless its version is higher than that in force.
    Config(Box<Config>),
    /// The start (`true`) or end (`false`) of a zone's evacuation.
    Evacuate(ZoneId, bool),
    /// An endpoint's registration.
    Endpoint(EndpointRecord),
    /// The removal of an endpoint's registration.
    EndpointGone(EndpointId),
    /// A host's registration, and when it was last renewed in milliseconds of wall-clock time, if it tells.
    Host(HostRecord, Option<u64>),
    /// The record of a request under which endpoints ended, and its version.
    Suspect(SuspectRecord, u64),
    /// An entry that cannot be decoded or used.
    Unusable {
        /// The key of the entry.
        key: String,
        /// A description of the problem.
        reason: String,
    },
}

/// The entries of one read or poll, and the version to continue from.
#[derive(Debug)]
pub struct Fetched {
    /// The entries, in order of change.
    pub entries: Vec<Entry>,
    /// The registry version after these entries.
    pub version: u64,
    /// The undecoded response to [`Registry::changes`], to be relayed to other hosts; not used
    /// after a full read.
    pub page: Bytes,
    /// The size of all responses together, in bytes.
    pub size: usize,
}

/// The end of a call to the registry.
#[derive(Debug)]
pub struct Answer<T> {
    /// The generation that the answer names; [`GenerationTag::Absent`] if there is no answer.
    pub generation: GenerationTag,
    /// What the call returned.
    pub result: Result<T, RegistryError>,
}

impl<T> Answer<T> {
    /// Converts the returned value, and leaves the generation as it is.
    pub fn and_then<U>(self, convert: impl FnOnce(T) -> Result<U, RegistryError>) -> Answer<U> {
        Answer {
            generation: self.generation,
            result: self.result.and_then(convert),
        }
    }
}

/// The reason why a call to the registry failed.
#[derive(Debug, Display, Error)]
pub enum RegistryError {
    /// The registry no longer has the history after the requested version; a full read is needed.
    #[display("the history is gone")]
    HistoryGone,
    /// The registry was restored from an older copy during a read of several pages.
    #[display("the registry was restored during the read")]
    Restored,
    /// The entry has another version than the call expects.
    #[display("the entry has another version")]
    Conflict,
    /// The registry refused the call with an HTTP error.
    #[display("the registry answered {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// The call got no response; a write may still take effect later.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// A description of the failure.
        reason: String,
    },
    /// The response stopped arriving, or arrived too slowly.
    #[display("no whole answer: {reason}")]
    Incomplete {
        /// A description of the failure.
        reason: String,
    },
    /// The response is larger than accepted; it was not read.
    #[display("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The accepted size in bytes.
        limit: usize,
    },
    /// The response cannot be decoded.
    #[display("the answer cannot be read: {reason}")]
    BadAnswer {
        /// A description of the problem.
        reason: String,
    },
}

/// The operations on the registry that a host needs. A call without a complete answer ends with a
/// [`RegistryError`].
pub trait Registry: fmt::Debug + 'static {
    /// Reads all entries of a topic, all of the same generation.
    fn read(&self, topic: Topic) -> impl Future<Output = Answer<Fetched>>;

    /// Waits up to `wait` for changes after the version `after`. Ends with
    /// [`RegistryError::TooLarge`] if the response has more than `limit` bytes.
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
        limit: usize,
    ) -> impl Future<Output = Answer<Fetched>>;

    /// Decodes changes that another host has relayed.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::BadAnswer`] if the page cannot be decoded.
    fn decode(&self, topic: Topic, page: Bytes) -> Result<Fetched, RegistryError>;

    /// Changes the record of a request under which endpoints ended. Returns the version of a written
    /// record. Ends with [`RegistryError::Conflict`] if the registry has another version than expected.
    /// Without a confirmation the change may still take effect.
    fn change_suspect(&self, call: &SuspectCall) -> impl Future<Output = Answer<u64>>;

    /// Registers this host, or renews its registration at `wall`, in milliseconds of wall-clock time. Returns
    /// the version of the registration. Without a confirmation the write may still take effect.
    fn announce(&self, host: &HostRecord, wall: u64) -> impl Future<Output = Answer<u64>>;

    /// Removes the registration of this host if it has the given version. Ends with
    /// [`RegistryError::Conflict`] if it has another one, such as that of the host's next process. Without a
    /// confirmation the removal may still take effect.
    fn withdraw(&self, host: &HostRecord, version: u64) -> impl Future<Output = Answer<()>>;
}
