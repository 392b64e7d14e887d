//! What goes into and comes out of the machine.

use std::time::{Duration, Instant};

use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::{HostInfo, Message, Mode, State};

/// Something that the machine is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// The hosts of the configuration, all of them.
    Hosts(Vec<HostInfo>),
    /// The hosts of the platform's lagging list; they add to those of the configuration.
    Listed(Vec<HostInfo>),
    /// A message has come in.
    Received {
        /// The host that sent it, as the transport has authenticated it.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The table service has answered.
    TableContact {
        /// When the call was sent.
        at: Instant,
        /// The config epoch in the answer.
        head: Epoch,
    },
    /// This host has adopted a config epoch.
    Adopted(Epoch),
    /// The free capacity of this host, in slots.
    Load {
        /// The free slots.
        free: u32,
    },
    /// This host is stopping.
    Leave,
}

/// Something that the machine asks its host to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The host to send to.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// A host has changed its state or its life.
    Changed(MemberChange),
    /// The contact to the table service has changed.
    ModeChanged(Mode),
    /// This host did not run for a while; nothing that it held counts until it is renewed.
    Paused {
        /// How long it did not run.
        gap: Duration,
    },
    /// A later life of this host is there; this one must stop.
    Replaced {
        /// The later life.
        incarnation: Incarnation,
    },
}

/// How a host has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state before, or `None` where it has just been listed.
    pub from: Option<State>,
    /// Its state now, or `None` where it is no longer listed.
    pub to: Option<State>,
    /// Its life.
    pub incarnation: Incarnation,
}
