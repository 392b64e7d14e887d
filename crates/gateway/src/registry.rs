//! Where hosts, endpoints and the configuration are registered, behind an interface.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use wagtail_steer::{Config, EndpointRecord, HostRecord};
use wagtail_types::{EndpointId, ZoneId};

/// A set of entries that is followed as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Topic {
    /// What operators write.
    #[display("operator")]
    Operator,
    /// The endpoints.
    #[display("endpoints")]
    Endpoints,
    /// The entry hosts.
    #[display("hosts")]
    Hosts,
}

impl Topic {
    /// The number by which hosts name the topic to each other.
    pub(crate) fn number(self) -> u8 {
        match self {
            Self::Operator => 0,
            Self::Endpoints => 1,
            Self::Hosts => 2,
        }
    }
}

/// A changed entry.
#[derive(Debug)]
pub enum Entry {
    /// The configuration.
    Config(Box<Config>),
    /// A zone is to be evacuated, or no longer.
    Evacuate(ZoneId, bool),
    /// An endpoint's registration.
    Endpoint(EndpointRecord),
    /// The end of an endpoint's registration.
    EndpointGone(EndpointId),
    /// A host's registration.
    Host(HostRecord),
    /// An entry that cannot be used.
    Unusable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Entries and the version to follow from.
#[derive(Debug)]
pub struct Fetched {
    /// The entries, in order of change.
    pub entries: Vec<Entry>,
    /// The version of the registry that they are of.
    pub version: u64,
    /// The answer as it came, to be passed on to other hosts.
    pub page: Bytes,
}

/// Why the registry did not answer a call.
#[derive(Debug, Display, Error)]
pub enum RegistryError {
    /// The history from the version asked for is gone; a whole read is needed.
    #[display("the history is gone")]
    HistoryGone,
    /// The registry refused the call.
    #[display("the registry answered {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The call got no answer; a write may take effect later.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
    /// The answer cannot be read.
    #[display("the answer cannot be read: {reason}")]
    BadAnswer {
        /// What is wrong with it.
        reason: String,
    },
}

/// The registry, as a host needs it.
pub trait Registry: fmt::Debug + 'static {
    /// Reads all entries of a topic.
    ///
    /// # Errors
    ///
    /// [`RegistryError`] if there is no whole answer.
    fn read(&self, topic: Topic) -> impl Future<Output = Result<Fetched, RegistryError>>;

    /// Waits up to `wait` for changes after a version.
    ///
    /// # Errors
    ///
    /// [`RegistryError`] if there is no whole answer.
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Fetched, RegistryError>>;

    /// Decodes changes that another host has passed on.
    ///
    /// # Errors
    ///
    /// [`RegistryError::BadAnswer`] if the page cannot be read.
    fn decode(&self, topic: Topic, page: Bytes) -> Result<Fetched, RegistryError>;

    /// Registers this host.
    ///
    /// # Errors
    ///
    /// [`RegistryError`] if it is not known to be done.
    fn announce(&self, host: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;

    /// Ends the registration of this host.
    ///
    /// # Errors
    ///
    /// [`RegistryError`] if it is not known to be done.
    fn withdraw(&self, host: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;
}
