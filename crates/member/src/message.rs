//! What hosts send one another.

use std::time::Duration;

use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::State;

/// One message; its size is bounded by `Settings::message_max`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// What it is for.
    pub body: Body,
    /// The host that sends it.
    pub sender: Sender,
    /// How lately the sender's configuration was current.
    pub fresh: Option<Freshness>,
    /// Which hosts of the sender's zone have adopted an epoch; only between hosts of one zone.
    pub adoption: Option<Adoption>,
    /// Summaries of zones; between zones that of the sender comes first.
    pub zones: Vec<Summary>,
    /// News of hosts.
    pub deltas: Vec<Delta>,
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an `Ack`.
    Probe {
        /// Names the probe.
        seq: u64,
        /// Asks for the states of hosts that follow this one; `Some` while the sender catches up.
        after: Option<Cursor>,
    },
    /// Answers a `Probe`.
    Ack {
        /// Names the probe.
        seq: u64,
        /// How far the states that were asked for reach; `None` at the end of the list.
        until: Option<HostId>,
    },
    /// Asks the receiver to probe `target` for the sender.
    Ask {
        /// Names the probe of the sender.
        seq: u64,
        /// The host to probe.
        target: HostId,
    },
    /// Answers an `Ask`: the target has acknowledged.
    Told {
        /// Names the probe of the one that asked.
        seq: u64,
        /// The host that acknowledged.
        target: HostId,
    },
    /// Only carries news.
    News,
}

/// Where a host that catches up has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cursor {
    /// At the start.
    Start,
    /// After this host.
    Host(HostId),
}

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its life.
    pub incarnation: Incarnation,
    /// How often it has refuted suspicion or changed its state in that life.
    pub version: u32,
    /// Alive or leaving.
    pub state: State,
    /// The config epoch that it has adopted.
    pub epoch: Epoch,
    /// Its free capacity, in slots.
    pub free: u32,
    /// How long ago a host of its zone was in contact with the table service.
    pub contact: Option<Duration>,
}

/// The sender had adopted everything up to `epoch`, which was the head `age` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The config epoch.
    pub epoch: Epoch,
    /// How long ago it was known to be the head.
    pub age: Duration,
}

/// Which hosts of a zone are known to have adopted an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The latest epoch that any of them has adopted.
    pub epoch: Epoch,
    /// The latest epoch that all live hosts of the zone had adopted.
    pub complete: Epoch,
    /// The digest of the zone's ordered host list that the bits refer to.
    pub list: u64,
    /// One bit a host, 64 to a word, in the order of the host list.
    pub bits: Vec<u64>,
}

/// The state of one zone in short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The zone.
    pub zone: ZoneId,
    /// How long ago a host of the zone made it.
    pub age: Duration,
    /// How many hosts of the zone are live.
    pub live: u32,
    /// The latest epoch that any of its hosts has adopted.
    pub newest: Epoch,
    /// The latest epoch that all its live hosts have adopted.
    pub oldest: Epoch,
    /// The free capacity of its hosts, in slots, by estimate.
    pub free: u64,
    /// How long ago one of its hosts was in contact with the table service.
    pub contact: Option<Duration>,
}

/// News of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The version within that life.
    pub version: u32,
    /// Its state.
    pub state: State,
}

const WORD_BYTES: usize = 8;

/// The bytes of a text behind its pointer, in whole words with the closing zero.
fn text(text: &str) -> usize {
    WORD_BYTES + (text.len() + 1).next_multiple_of(WORD_BYTES)
}

impl Message {
    /// Transport and remote-call framing: TCP/IP headers, segment table, call and return structs.
    pub const FRAME_BYTES: usize = 120;
    /// Root struct, body and sender, without texts and lists.
    const FIXED_BYTES: usize = 120;

    /// An estimate of the bytes on the wire, by the layout rules of Cap'n Proto.
    pub fn size(&self) -> usize {
        let body = match &self.body {
            Body::Probe { after, .. } => match after {
                Some(Cursor::Host(host)) => text(host.as_str()),
                _ => 0,
            },
            Body::Ack { until, .. } => until.as_ref().map_or(0, |host| text(host.as_str())),
            Body::Ask { target, .. } | Body::Told { target, .. } => text(target.as_str()),
            Body::News => 0,
        };
        let adoption = self.adoption.as_ref().map_or(0, Adoption::size);
        let zones: usize = self.zones.iter().map(Summary::size).sum();
        let deltas: usize = self.deltas.iter().map(Delta::size).sum();
        Self::FRAME_BYTES + Self::FIXED_BYTES + body + adoption + zones + deltas
    }
}

impl Adoption {
    fn size(&self) -> usize {
        const FIXED_BYTES: usize = 48;
        FIXED_BYTES + self.bits.len() * WORD_BYTES
    }
}

impl Summary {
    pub(crate) fn size(&self) -> usize {
        const FIXED_BYTES: usize = 48;
        FIXED_BYTES + text(self.zone.as_str())
    }
}

impl Delta {
    pub(crate) fn size(&self) -> usize {
        const FIXED_BYTES: usize = 16;
        FIXED_BYTES + text(self.host.as_str())
    }
}
