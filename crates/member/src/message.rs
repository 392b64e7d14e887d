//! Messages exchanged between hosts.

use std::time::Duration;

use wagtail_types::{Epoch, HostId, Incarnation, ZoneId};

use crate::State;

/// A message to a peer; its size is bounded by `Settings::message_max`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The purpose of the message.
    pub body: Body,
    /// The sender's own state.
    pub sender: Sender,
    /// When the sender's configuration was last known to be the newest.
    pub fresh: Option<Freshness>,
    /// Which hosts of the zone have adopted an epoch; sent only within a zone.
    pub adoption: Option<Adoption>,
    /// Summaries of zones; in messages to another zone, the sender's comes first.
    pub zones: Vec<Summary>,
    /// Gossiped states of hosts.
    pub deltas: Vec<Delta>,
}

/// The purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Requests an `Ack`.
    Probe {
        /// Identifies the probe.
        seq: u64,
        /// Requests the states of the hosts that follow this position; `Some` while the sender
        /// catches up.
        after: Option<Cursor>,
    },
    /// Acknowledges a `Probe`.
    Ack {
        /// Identifies the probe.
        seq: u64,
        /// The last host covered by the requested states; `None` at the end of the list.
        until: Option<HostId>,
    },
    /// Requests that the receiver probe `target` on behalf of the sender.
    IndirectProbe {
        /// Identifies the probe of the sender.
        seq: u64,
        /// The host to probe.
        target: HostId,
    },
    /// Answers an `IndirectProbe`: the target has acknowledged the probe.
    IndirectAck {
        /// Identifies the probe of the host that asked.
        seq: u64,
        /// The host that acknowledged.
        target: HostId,
    },
    /// Only carries gossip and needs no answer.
    Gossip,
}

/// The position in the host list that a host catching up has reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cursor {
    /// Before the first host.
    Start,
    /// After this host.
    Host(HostId),
}

/// The state that a host reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its incarnation; compared before `version` to find the newer of two reports.
    pub incarnation: Incarnation,
    /// How often it has refuted suspicion or changed its state in that incarnation.
    pub version: u32,
    /// Its state, either alive or leaving.
    pub state: State,
    /// The config epoch that it has adopted.
    pub epoch: Epoch,
    /// Its free capacity, in slots.
    pub free: u32,
    /// How long ago any host of its zone was in contact with the table service.
    pub contact: Option<Duration>,
}

/// The sender had adopted every epoch up to `epoch`, which was the head `age` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The adopted config epoch that was last known to be the head.
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
    /// The digest of the zone's ordered host list to which the bits refer.
    pub list_digest: u64,
    /// One bit per host, 64 to a word, in the order of the host list.
    pub bits: Vec<u64>,
}

/// The aggregated state of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The summarized zone, which need not be the sender's.
    pub zone: ZoneId,
    /// How long ago a host of the zone created it.
    pub age: Duration,
    /// The number of live hosts in the zone.
    pub live: u32,
    /// The latest epoch that any of its hosts has adopted.
    pub newest: Epoch,
    /// The latest epoch that all its live hosts have adopted.
    pub oldest: Epoch,
    /// The estimated free capacity of its hosts, in slots.
    pub free: u64,
    /// How long ago one of its hosts was in contact with the table service.
    pub contact: Option<Duration>,
}

/// A gossiped state of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The host that is in this state; a receiver that does not list it ignores the delta.
    pub host: HostId,
    /// Its incarnation; compared before `version` to find the newer of two reports.
    pub incarnation: Incarnation,
    /// The version within that incarnation.
    pub version: u32,
    /// Its state; of two with the same incarnation and version, the greater takes precedence.
    pub state: State,
}

const WORD_BYTES: usize = 8;

/// Returns the bytes of a text behind its pointer, in whole words and with the terminating zero.
fn text_size(text: &str) -> usize {
    WORD_BYTES + (text.len() + 1).next_multiple_of(WORD_BYTES)
}

impl Message {
    /// Framing bytes of transport and RPC: TCP/IP headers, segment table, call and return structs.
    pub const FRAME_BYTES: usize = 120;
    /// Bytes of the root struct, body and sender, without texts and lists.
    const FIXED_BYTES: usize = 120;

    /// Returns an estimate of the bytes on the wire, by the layout rules of Cap'n Proto.
    pub fn size(&self) -> usize {
        let body = match &self.body {
            Body::Probe { after, .. } => match after {
                Some(Cursor::Host(host)) => text_size(host.as_str()),
                _ => 0,
            },
            Body::Ack { until, .. } => until.as_ref().map_or(0, |host| text_size(host.as_str())),
            Body::IndirectProbe { target, .. } | Body::IndirectAck { target, .. } => {
                text_size(target.as_str())
            }
            Body::Gossip => 0,
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
        FIXED_BYTES + text_size(self.zone.as_str())
    }
}

impl Delta {
    pub(crate) fn size(&self) -> usize {
        const FIXED_BYTES: usize = 16;
        FIXED_BYTES + text_size(self.host.as_str())
    }
}
