//! What an entry host says of itself and of the hosts it knows.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use wagtail_types::{Epoch, HostId, ZoneId};

/// How fresh a host's configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It has contact to the platform, directly or through a peer.
    #[display("current")]
    Current,
    /// No contact, but a majority of zones hear one another and none of them has contact.
    #[display("platform-out")]
    PlatformOut,
    /// No contact, and in a minority of zones.
    #[display("cut-off")]
    CutOff,
}

/// What a host holds of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    #[display("live")]
    Live,
    /// It may be gone.
    #[display("suspect")]
    Suspect,
    /// It answers and is stopping.
    #[display("leaving")]
    Leaving,
    /// It has been silent for longer than any lease or freshness limit, or it said that it stopped.
    #[display("lapsed")]
    Lapsed,
}

/// One host as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: MemberState,
    /// The epoch that it last said it has adopted.
    pub epoch: Epoch,
}

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host that answers.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// The epoch that it has adopted.
    pub epoch: Epoch,
    /// The freshness of its configuration.
    pub mode: Mode,
    /// The other hosts that it knows, and itself.
    pub members: Vec<MemberStatus>,
    /// Further fields, shown as they are.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}
