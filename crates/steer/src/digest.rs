//! What hosts tell each other, each in one small datagram.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use wagtail_types::{HostId, ZoneId};

/// The first byte of every datagram: the format's version.
const FORMAT: u8 = 2;

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
    /// Requests that arrive at the sender: hash of the flow, tenths of a request a second.
    pub arrivals: Vec<(u32, u16)>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A host's state and load.
    Digest(Digest),
    /// What is asked of the keeper of teams in one region, to their keepers in another.
    Demand {
        /// The sender's zone.
        zone: ZoneId,
        /// Hash of the team's name, tenths of a request a second.
        teams: Vec<(u32, u16)>,
    },
    /// A request for a token of a team, to its keeper.
    Ask {
        /// The number of the request at its sender.
        number: u32,
        /// Hash of the team's name.
        team: u32,
    },
    /// A keeper's answer.
    Token {
        /// The number of the request that it answers.
        number: u32,
        /// `None` grants the token; else the time in milliseconds until one is expected.
        wait_ms: Option<u32>,
    },
    /// Changes in the registry, from the host that follows it for its zone.
    Feed {
        /// The number of the topic.
        topic: u8,
        /// The version that the changes follow on.
        after: u64,
        /// The registry's answer as it came.
        page: Vec<u8>,
    },
    /// A token that was not used.
    Unused {
        /// Hash of the team's name.
        team: u32,
    },
}

/// A datagram that is not a message.
#[derive(Debug, Display, Error)]
pub enum DigestError {
    /// Another format, or none.
    #[display("the datagram has another format")]
    Format,
    /// The bytes do not decode.
    #[display("the datagram cannot be decoded: {_0}")]
    Codec(postcard::Error),
}

impl Message {
    /// Encodes the message.
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
