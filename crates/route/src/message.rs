//! What goes into the router and what comes out of it.

use std::time::{Duration, Instant};

use wagtail_types::{ByteRate, EndpointId, HostId, ServiceId, Share, Verdict, ZoneId};

use crate::handover::{Agree, Ask};
use crate::key::{EndpointKey, LeaseKey, PassKey, ServiceKey, TeamKey, Ticket};
use crate::topology::{HostView, Topology};

/// News for the router.
#[derive(Debug, Clone)]
pub enum Input {
    /// A new configuration is in force.
    Topology(Topology),
    /// The hosts as membership now sees them, this host among them.
    Hosts(Vec<HostView>),
    /// Free slots that another host offers.
    Advert(Advert),
    /// An endpoint's report on itself.
    Report(Report),
    /// An endpoint is leaving, whoever said so.
    Leaving(EndpointId),
    /// A host of the zone asks whether it may use its slots without the whole wait.
    Ask {
        /// The host.
        from: HostId,
        /// Its question.
        ask: Ask,
    },
    /// A host of the zone has answered yes.
    Agree {
        /// The host.
        from: HostId,
        /// Its answer.
        agree: Agree,
    },
    /// What the links of this region to others carry, shared by its hosts in equal parts.
    Link(ByteRate),
}

/// Free slots that a host offers to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advert {
    /// The host that offers them.
    pub host: HostId,
    /// Free slots of each service of which the host has any in use or free.
    pub free: Vec<(ServiceId, u32)>,
    /// How old the counts are, on the receiver's clock.
    pub age: Duration,
}

/// An endpoint's report on itself.
#[derive(Debug, Clone)]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it is.
    pub health: Health,
    /// Slots in use, as a share of all.
    pub load: Share,
    /// A number that is raised by each restart of the endpoint.
    pub life: u64,
    /// How old the report is.
    pub age: Duration,
}

/// An endpoint's word on its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It serves.
    Serving,
    /// It cannot serve now.
    Sick,
    /// It is draining and takes no new work.
    Leaving,
}

/// A request that asks for a place to run.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The service that it calls.
    pub service: ServiceKey,
    /// The team that it runs for; `None` on open routes.
    pub team: Option<TeamKey>,
    /// The weight of its class; 0 counts as 1.
    pub weight: u32,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Where it came from.
    pub origin: Origin,
    /// Attempts made before this one, all of them proved not to have run.
    pub attempt: u32,
    /// Zones that refused it.
    pub tried: &'a [ZoneId],
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller of this host.
    Local,
    /// Another host; it is not relayed again.
    Relayed,
}

/// The router's answer to a [`Request`].
#[derive(Debug, PartialEq)]
pub enum Placement {
    /// Send it to an endpoint now.
    Dispatch(Lease),
    /// It waits; an [`Effect`] follows.
    Queued(Ticket),
    /// Send it to another host.
    Relay(Pass),
    /// It is refused and has not run.
    Refuse(Verdict),
}

/// The right to run one request at an endpoint; given back with `Router::finish`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unfinished lease keeps its slot"]
pub struct Lease {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the request must have ended; the split of slots rests on it.
    pub until: Instant,
    pub(crate) service: ServiceKey,
    pub(crate) target: EndpointKey,
    pub(crate) key: LeaseKey,
}

/// The right to relay one request to a host; given back with `Router::relayed`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unfinished pass keeps its place"]
pub struct Pass {
    /// The zone of the host.
    pub zone: ZoneId,
    /// The host.
    pub host: HostId,
    /// Whether the host is in another region, so that its bytes count.
    pub far: bool,
    pub(crate) key: PassKey,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The endpoint refused it unrun.
    Refused,
    /// The connection failed or the answer was broken.
    Failed,
    /// The deadline passed while it ran. This counts against the endpoint only where it took
    /// longer than is usual for the service, so that short deadlines eject nobody.
    TimedOut,
    /// The caller gave up; this says nothing about the endpoint.
    Cancelled,
}

/// How a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relayed {
    /// The other host took it.
    Taken,
    /// The other host had no slot; the request has not run.
    NoSlot,
    /// The other host could not be reached.
    Lost,
}

/// What the daemon is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// A queued request starts.
    Start {
        /// The request.
        ticket: Ticket,
        /// Its place.
        lease: Lease,
    },
    /// A queued request is refused and has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        verdict: Verdict,
    },
    /// Tell the peers of the zone that an endpoint is leaving.
    Leaving(EndpointId),
    /// The last request at a leaving endpoint has ended.
    Drained {
        /// The endpoint.
        endpoint: EndpointId,
        /// The time since the first signal.
        after: Duration,
    },
    /// Send a question to a host of the zone; without an answer the whole wait applies.
    Ask {
        /// The host.
        to: HostId,
        /// The question.
        ask: Ask,
    },
    /// Send an answer to a host of the zone.
    Agree {
        /// The host.
        to: HostId,
        /// The answer.
        agree: Agree,
    },
    /// An endpoint was ejected for a while.
    Ejected(EndpointId),
    /// An ejected endpoint is in use again.
    Restored(EndpointId),
}

/// Slots of one service on this host and beyond.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headroom {
    /// The service.
    pub service: ServiceId,
    /// Slots that this host holds on endpoints that stay, whether or not it may use them yet.
    pub held: u32,
    /// Slots that it may use.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Slots on ejected endpoints.
    pub ejected: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Free slots that other hosts of the region offer.
    pub region: u32,
    /// Free slots that hosts of other regions offer.
    pub beyond: u32,
}
