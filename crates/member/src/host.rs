//! What is known of one host.

use std::time::Instant;

use derive_more::Display;
use wagtail_types::{Epoch, HostId, Incarnation, RegionId, ZoneId};

/// A host as the configuration or the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostInfo {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// The version of its address record.
    pub addresses: u64,
}

impl HostInfo {
    /// A host whose address record has version 0.
    pub fn new(host: HostId, zone: ZoneId, region: RegionId) -> Self {
        Self {
            host,
            zone,
            region,
            addresses: 0,
        }
    }
}

/// The state of a host, in the order in which one state displaces another of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum State {
    /// It is listed, and nothing has been heard of it.
    #[display("unknown")]
    Unknown,
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// It is stopping and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It did not answer, and has a while to refute that it is dead.
    #[display("suspect")]
    Suspect,
    /// It is gone until a message of it says otherwise.
    #[display("dead")]
    Dead,
}

/// What this host holds of another, or of itself.
#[derive(Debug, Clone)]
pub struct HostView {
    /// The host as it is listed.
    pub info: HostInfo,
    /// Its state.
    pub state: State,
    /// Its latest known life.
    pub incarnation: Incarnation,
    /// How often it has refuted suspicion or changed its state in that life.
    pub version: u32,
    /// The config epoch that it had adopted when it was last heard directly.
    pub epoch: Epoch,
    /// Its free capacity, in slots, when it was last heard directly.
    pub free: u32,
    /// When it was last heard directly.
    pub heard: Option<Instant>,
    /// When its state last changed here.
    pub since: Instant,
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
            heard: None,
            since: now,
        }
    }

    /// Whether it can be taken to run: alive, leaving or suspect.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Leaving | State::Suspect)
    }
}
