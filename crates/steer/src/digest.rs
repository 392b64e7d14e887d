//! What hosts tell each other: one small datagram each period.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use wagtail_types::{HostId, ZoneId};

/// The first byte of every datagram: the format's version.
const FORMAT: u8 = 1;

/// Whether a host takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It has no configuration or no endpoints yet.
    Starting,
    /// It takes callers.
    Ready,
    /// It is stopping.
    Leaving,
}

/// A host's state and load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub host: HostId,
    /// When the sender's process started, in milliseconds of wall-clock time.
    pub started: u64,
    /// The number of this message in the sender's process.
    pub number: u32,
    /// The sender's zone.
    pub zone: ZoneId,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for digests.
    pub peer: SocketAddr,
    /// Whether the sender takes callers.
    pub state: HostState,
    /// Requests that the sender has at endpoints: hash of the endpoint's name, count.
    pub loads: Vec<(u32, u16)>,
    /// Objects that endpoints have handled lately: hash of the endpoint's name, of the object's.
    pub warm: Vec<(u32, u32)>,
    /// Requests for services that arrive at the sender: hash of the service's name, tenths of a
    /// request a second.
    pub arrivals: Vec<(u32, u16)>,
    /// What teams ask of the sender: hash of the team's name, tenths of a request a second.
    pub demand: Vec<(u32, u16)>,
}

/// A datagram that is not a digest.
#[derive(Debug, Display, Error)]
pub enum DigestError {
    /// Another format, or none.
    #[display("the datagram has another format")]
    Format,
    /// The bytes do not decode.
    #[display("the datagram cannot be decoded: {_0}")]
    Codec(postcard::Error),
}

impl Digest {
    /// Encodes the digest.
    ///
    /// # Errors
    ///
    /// If the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        postcard::to_extend(self, vec![FORMAT]).map_err(DigestError::Codec)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// If the datagram has another format or does not decode.
    pub fn decode(bytes: &[u8]) -> Result<Self, DigestError> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(DigestError::Codec),
            _ => Err(DigestError::Format),
        }
    }
}
