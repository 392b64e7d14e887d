//! The listed data and the known state of a host.

use std::time::Instant;

use derive_more::Display;
use wagtail_types::{Epoch, HostId, Incarnation, RegionId, ZoneId};

/// A host as listed by the configuration or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostInfo {
    /// The name that identifies the host in the roster and in messages.
    pub host: HostId,
    /// Its availability zone; an [`Adoption`](crate::Adoption) is sent only within a zone.
    pub zone: ZoneId,
    /// The region of its zone; a part of the probes goes to random hosts of the same region.
    pub region: RegionId,
    /// The version of its address record.
    pub address_version: u64,
}

impl HostInfo {
    /// Creates a host whose address record has version 0.
    pub fn new(host: HostId, zone: ZoneId, region: RegionId) -> Self {
        Self {
            host,
            zone,
            region,
            address_version: 0,
        }
    }
}

/// The state of a host.
///
/// Of two states with the same incarnation and version, the greater one takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum State {
    /// It is listed, and nothing is known of it yet.
    #[display("unknown")]
    Unknown,
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// It is stopping and accepts no new work.
    #[display("leaving")]
    Leaving,
    /// It did not answer probes, and is declared dead unless it refutes this in time.
    #[display("suspect")]
    Suspect,
    /// It is considered stopped until a message from it proves otherwise.
    #[display("dead")]
    Dead,
}

/// What the local host knows of a peer or of itself.
#[derive(Debug, Clone)]
pub struct HostView {
    /// The host as it is listed.
    pub info: HostInfo,
    /// Its state according to the newest report, received or derived locally.
    pub state: State,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// How often it has refuted suspicion or changed its state in that incarnation.
    pub version: u32,
    /// The config epoch that it had adopted when last heard from directly.
    pub epoch: Epoch,
    /// Its free capacity, in slots, when last heard from directly.
    pub free: u32,
    /// When the local host last received a message from it.
    pub last_heard: Option<Instant>,
    /// When the local host last saw its state change.
    pub state_since: Instant,
}

impl HostView {
    pub(crate) fn new(info: HostInfo, now: Instant) -> Self {
        Self {
            info,
            state: State::Unknown,
            incarnation: Incarnation(0),
            version: 0,
            epoch: Epoch(0),
            free: 0,
            last_heard: None,
            state_since: now,
        }
    }

    /// Returns whether it is presumed to be running: alive, leaving or suspect.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Leaving | State::Suspect)
    }
}
