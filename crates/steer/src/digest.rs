//! Messages between entry hosts, each sent in one small datagram.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use wagtail_types::{HostId, ZoneId};

use crate::config::ConfigVersion;
use crate::generation::Generation;
use crate::limit::LimitReport;
use crate::suspect::SuspectReport;

/// The version of the message format, sent as the first byte of every datagram.
const FORMAT: u8 = 2;

/// Whether a host accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// The host has no configuration, endpoints or list of hosts yet.
    Starting,
    /// The host accepts callers.
    Ready,
    /// The host is stopping.
    Leaving,
}

/// The state and load of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's name; a host ignores digests that carry its own.
    #[serde(deserialize_with = "HostId::deserialize_external")]
    pub host: HostId,
    /// The start of the sender's process in milliseconds of wall-clock time; identifies its
    /// incarnation.
    pub started: u64,
    /// The sequence number of this digest within the incarnation.
    pub sequence: u32,
    /// The sender's zone; hosts ignore digests from zones that they do not know.
    #[serde(deserialize_with = "ZoneId::deserialize_external")]
    pub zone: ZoneId,
    /// The sender's address for callers.
    pub front: SocketAddr,
    /// The sender's address for messages between hosts.
    pub peer: SocketAddr,
    /// Whether the sender accepts callers.
    pub state: HostState,
    /// The sender's in-flight requests at endpoints: hash of the endpoint's name, count.
    pub loads: Vec<(u32, u16)>,
    /// Objects that recently became warm: hash of the endpoint's name, hash of the object.
    pub warm: Vec<(u32, u32)>,
    /// Arrival rates at the sender: hash of the service and pinned region, tenths of a request per
    /// second.
    pub arrivals: Vec<(u32, u16)>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state and load of the sender.
    Digest(Digest),
    /// The demand for teams' tokens in one region, sent by their quota owner there to an owner in
    /// another region.
    Demand {
        /// The sender's zone, from which the receiver derives the region of the demand.
        #[serde(deserialize_with = "ZoneId::deserialize_external")]
        zone: ZoneId,
        /// Hash of the team's name, tenths of a request per second.
        teams: Vec<(u32, u16)>,
    },
    /// A request for a token, sent to the team's quota owner.
    TokenRequest {
        /// The sender's number for this request, repeated in the reply.
        number: u32,
        /// The hash of the team's name.
        team: u32,
    },
    /// The quota owner's reply to a token request.
    TokenReply {
        /// The number of the request that this answers.
        number: u32,
        /// `None` grants the token; otherwise the time in milliseconds until one is expected.
        wait_ms: Option<u32>,
    },
    /// Registry changes, forwarded by the host that follows the registry for its zone.
    RegistryChanges {
        /// The number of the registry topic.
        topic: u8,
        /// The registry version that the changes apply to. If there is no page, the version that the
        /// registry has reached.
        after: u64,
        /// The registry's response, unmodified; empty if it is too large, so that the receiver must
        /// ask the registry.
        page: Vec<u8>,
    },
    /// A token that was not used, returned to its quota owner.
    TokenReturn {
        /// The hash of the team's name.
        team: u32,
    },
    /// Requests under which endpoints ended. Builds that do not know it drop the datagram.
    Suspects {
        /// The sender's name.
        #[serde(deserialize_with = "HostId::deserialize_external")]
        host: HostId,
        /// What the sender knows.
        reports: Vec<SuspectReport>,
    },
    /// The tokens that a quota owner has left, sent to the owner that follows it. Builds that do not know it
    /// drop the datagram.
    TokenHandover {
        /// Hash of the team's name, tenths of a token.
        teams: Vec<(u32, u16)>,
    },
}

/// What a host has learned from the registry; tells other hosts that they lack something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryView {
    /// The generation of the registry; `None` if its answers name none.
    pub generation: Option<Generation>,
    /// The configuration in force if the registry lacks it, because it was restored from an older
    /// copy.
    pub lost_config: Option<ConfigVersion>,
}

/// An endpoint that has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// The hash of the endpoint's name.
    pub endpoint: u32,
    /// The start of the endpoint's process in milliseconds of wall-clock time, if registered.
    pub started: Option<u64>,
}

/// A message, and what its sender knows of the registry and of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// The message.
    pub message: Message,
    /// What the sender knows of the registry. Follows the message, so that builds that do not know
    /// it ignore it; `None` in the datagrams of such builds.
    pub registry: Option<RegistryView>,
    /// Endpoints that have said to the sender that they leave. Follow what the sender knows of the
    /// registry, and are sent only with it.
    pub leaving: Vec<LeavingEndpoint>,
    /// What endpoints have said to the sender of their limits. Follows the endpoints that leave.
    pub limits: Vec<LimitReport>,
}

/// Why a datagram cannot be encoded or decoded.
#[derive(Debug, Display, Error)]
pub enum MessageError {
    /// The datagram is empty or has a different format version.
    #[display("the datagram has an unknown format version")]
    Format,
    /// The codec reported an error.
    #[display("the message cannot be encoded or decoded: {_0}")]
    Codec(postcard::Error),
}

impl Datagram {
    /// Encodes the datagram with the leading format version.
    ///
    /// # Errors
    ///
    /// [`MessageError::Codec`] if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes =
            postcard::to_extend(&self.message, vec![FORMAT]).map_err(MessageError::Codec)?;
        let Some(view) = &self.registry else {
            return Ok(bytes);
        };
        let bytes = postcard::to_extend(view, bytes).map_err(MessageError::Codec)?;
        if self.leaving.is_empty() && self.limits.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.leaving, bytes).map_err(MessageError::Codec)?;
        if self.limits.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&self.limits, bytes).map_err(MessageError::Codec)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`MessageError::Format`] if the format version differs, [`MessageError::Codec`] if the bytes
    /// do not decode.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let Some((&FORMAT, rest)) = bytes.split_first() else {
            return Err(MessageError::Format);
        };
        let (message, rest) = postcard::take_from_bytes(rest).map_err(MessageError::Codec)?;
        if rest.is_empty() {
            return Ok(Self {
                message,
                registry: None,
                leaving: Vec::new(),
                limits: Vec::new(),
            });
        }
        let (view, rest) = postcard::take_from_bytes(rest).map_err(MessageError::Codec)?;
        let (leaving, rest) = take_list(rest)?;
        let (limits, _) = take_list(rest)?;
        Ok(Self {
            message,
            registry: Some(view),
            leaving,
            limits,
        })
    }
}

/// Takes a list off the front of `bytes`; an empty one if builds that do not know it have sent none.
fn take_list<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(Vec<T>, &'a [u8]), MessageError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    postcard::take_from_bytes(bytes).map_err(MessageError::Codec)
}
