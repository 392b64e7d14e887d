//! Inputs and effects of the membership state machine.

use std::time::{Duration, Instant};

use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::{HostInfo, Message, Mode, State};

/// An event for the state machine to process.
#[derive(Debug, Clone)]
pub enum Input {
    /// The complete list of hosts in the configuration.
    Hosts(Vec<HostInfo>),
    /// The hosts of the platform's list, which lags behind; they add to those of the configuration.
    PlatformHosts(Vec<HostInfo>),
    /// A message has been received.
    Received {
        /// The sender, as authenticated by the transport.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The table service has answered.
    TableContact {
        /// When the call was sent.
        at: Instant,
        /// The latest config epoch according to the answer.
        head: Epoch,
    },
    /// The local host has adopted a config epoch.
    Adopted(Epoch),
    /// The free capacity of the local host has changed.
    Capacity {
        /// The free capacity, in slots.
        free: u32,
    },
    /// The local host is stopping.
    Leave,
}

/// An action or notification for the host to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The receiver; its network address is up to the caller of the state machine.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// A host has a new state or incarnation, or was added to or removed from the roster.
    Changed(MemberChange),
    /// The contact mode has changed.
    ModeChanged(Mode),
    /// The process did not run for a while. Contacts, zone summaries and freshness from before the
    /// pause no longer count; known host states stay.
    Paused {
        /// The length of the pause.
        gap: Duration,
    },
    /// A newer incarnation of the local host is running; this one must stop.
    Replaced {
        /// The newer incarnation; a still newer one is reported again.
        incarnation: Incarnation,
    },
}

/// A change of a host's state, incarnation or listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The host.
    pub host: HostId,
    /// Its zone as listed, or as last listed if it was removed.
    pub zone: ZoneId,
    /// Its previous state, or `None` if it has just been listed.
    pub from: Option<State>,
    /// Its new state, or `None` if it is no longer listed.
    pub to: Option<State>,
    /// Its latest known incarnation; it can be new while the state stays the same.
    pub incarnation: Incarnation,
}
