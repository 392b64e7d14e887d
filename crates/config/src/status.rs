//! The status that an entry host reports of itself and of the hosts that it knows.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use wagtail_types::{Epoch, HostId, ZoneId};

/// Tells how fresh a host's configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The host has contact with the platform, directly or through a peer.
    #[display("current")]
    Current,
    /// The host has no contact, but is among a majority of zones that hear one another and of which
    /// none has contact.
    #[display("platform-out")]
    PlatformOut,
    /// The host has no contact and is in a minority of zones.
    #[display("cut-off")]
    CutOff,
}

/// Tells how one host sees another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The host answers probes and is not shutting down.
    #[display("live")]
    Live,
    /// The host may have failed.
    #[display("suspect")]
    Suspect,
    /// The host answers and is shutting down.
    #[display("leaving")]
    Leaving,
    /// The host has been silent for longer than any lease or freshness limit, or has announced that
    /// it stopped.
    #[display("lapsed")]
    Lapsed,
}

/// Describes one host as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host that is seen, which may be the reporting host itself.
    pub host: HostId,
    /// The availability zone that it is listed in; acceptance of an epoch is counted by zone.
    pub zone: ZoneId,
    /// How the reporting host sees it; always [`MemberState::Live`] for the reporting host itself.
    pub state: MemberState,
    /// The epoch that it last reported as adopted.
    pub epoch: Epoch,
}

/// Holds the answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host that answers.
    pub host: HostId,
    /// The availability zone from its own settings.
    pub zone: ZoneId,
    /// The epoch that it has adopted.
    pub epoch: Epoch,
    /// The freshness of its configuration.
    pub mode: Mode,
    /// The hosts that it knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Further fields, passed on unchanged.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}
