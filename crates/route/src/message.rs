//! Inputs and outputs of the router.

use std::time::{Duration, Instant};

use wagtail_types::{ByteRate, EndpointId, HostId, ServiceId, Share, Verdict, ZoneId};

use crate::handover::{HandoverConsent, HandoverRequest};
use crate::key::{EndpointKey, LeaseKey, PermitKey, ServiceKey, TeamKey, Ticket};
use crate::topology::{HostView, Topology};

/// An event that changes what the router knows.
#[derive(Debug, Clone)]
pub enum Input {
    /// A configuration was adopted.
    Topology(Topology),
    /// The current membership view, including the local host.
    Hosts(Vec<HostView>),
    /// Free slots that a peer advertises.
    Advert(Advert),
    /// An endpoint's report of its health and load.
    Report(Report),
    /// An endpoint is leaving, as announced by any source.
    Leaving(EndpointId),
    /// A peer in the zone asks for consent to use its slots before the full handover wait.
    HandoverRequest {
        /// The sender, to which the consent goes; ignored if it is no live peer in the zone.
        from: HostId,
        /// The sender's view of the zone and its history, on which the consent depends.
        request: HandoverRequest,
    },
    /// A peer in the zone consents to a handover request.
    HandoverConsent {
        /// The sender; ignored if it is no live peer in the zone.
        from: HostId,
        /// The consent; ignored if its token is not that of this host's current request.
        consent: HandoverConsent,
    },
    /// The byte rate of this region's links to other regions, divided equally among its hosts.
    Link(ByteRate),
}

/// Free slots that a host advertises to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advert {
    /// The host that holds the slots and to which requests for them are relayed.
    pub host: HostId,
    /// Free slots by service, for each service of which the host has any usable slot.
    pub free: Vec<(ServiceId, u32)>,
    /// The age of the counts, by the receiver's clock.
    pub age: Duration,
}

/// An endpoint's report of its health and load.
#[derive(Debug, Clone)]
pub struct Report {
    /// The endpoint that it describes; ignored unless configured in the local region.
    pub endpoint: EndpointId,
    /// Whether the endpoint can take requests; may eject it or stop new requests to it.
    pub health: Health,
    /// Slots in use, as a share of all its slots.
    pub load: Share,
    /// The endpoint's incarnation; it grows with each restart.
    pub incarnation: u64,
    /// The age of the report; the load is ignored if a newer report is known.
    pub age: Duration,
}

/// The health that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It serves requests.
    Serving,
    /// It cannot serve requests now.
    Unhealthy,
    /// It is draining and takes no new requests.
    Leaving,
}

/// A request to be placed on an endpoint.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The service to call.
    pub service: ServiceKey,
    /// The team that sent it; `None` on routes without authentication.
    pub team: Option<TeamKey>,
    /// The weight of its request class; 0 counts as 1.
    pub weight: u32,
    /// The time after which its answer is useless.
    pub deadline: Instant,
    /// Whether running it more than once is safe.
    pub idempotent: bool,
    /// Where it came from; only local requests are relayed and counted for caps and moves.
    pub origin: Origin,
    /// The number of earlier attempts, each of which provably did not run.
    pub attempt: u32,
    /// Zones that already refused it.
    pub tried: &'a [ZoneId],
}

/// The origin of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client of this host.
    Local,
    /// A peer; the request is not relayed again.
    Relayed,
}

/// The router's answer to a [`Request`].
#[derive(Debug, PartialEq)]
pub enum Placement {
    /// The request goes to an endpoint now.
    Dispatch(Lease),
    /// The request is queued; an [`Effect::Start`] or [`Effect::Refuse`] follows.
    Queued(Ticket),
    /// The request is relayed to a peer.
    Relay(RelayPermit),
    /// The request is refused and has not run.
    Refuse(Verdict),
}

/// The right to run one request at an endpoint, returned with
/// [`Router::finish`](crate::Router::finish).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unfinished lease keeps its slot"]
pub struct Lease {
    /// The endpoint at which the request must run.
    pub endpoint: EndpointId,
    /// The time by which the request must have ended, because the slot may then be used by another
    /// host.
    pub until: Instant,
    pub(crate) service: ServiceKey,
    pub(crate) target: EndpointKey,
    pub(crate) key: LeaseKey,
}

/// The right to relay one request to a peer, returned with
/// [`Router::finish_relay`](crate::Router::finish_relay).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unfinished relay permit keeps a slot of the peer counted as used"]
pub struct RelayPermit {
    /// The zone of the peer.
    pub zone: ZoneId,
    /// The peer to which the request must be sent.
    pub host: HostId,
    /// Whether the peer is in another region, so that its bytes count against the byte budget.
    pub cross_region: bool,
    pub(crate) key: PermitKey,
}

/// The outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered completely; its count of consecutive failures restarts at 0.
    Answered,
    /// The endpoint refused the request without running it.
    Refused,
    /// The connection failed or the answer was incomplete or malformed.
    Failed,
    /// The deadline passed while the request was in flight. This counts against the endpoint only
    /// if the request took unusually long for the service, so that short deadlines cause no
    /// ejection.
    TimedOut,
    /// The caller gave up; this does not count against the endpoint.
    Cancelled,
}

/// The outcome of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayResult {
    /// The peer accepted the request.
    Taken,
    /// The peer had no free slot; the request has not run.
    NoSlot,
    /// The peer could not be reached.
    Lost,
}

/// An action that the caller of the router must carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// A queued request starts.
    Start {
        /// The ticket that [`Placement::Queued`] returned for the request.
        ticket: Ticket,
        /// The lease that it runs under.
        lease: Lease,
    },
    /// A queued request is refused and has not run.
    Refuse {
        /// The ticket that [`Placement::Queued`] returned for the request.
        ticket: Ticket,
        /// The reason for the refusal.
        verdict: Verdict,
    },
    /// An endpoint is leaving; the peers in the zone must be told.
    Leaving(EndpointId),
    /// The last request in flight at a leaving endpoint has ended.
    Drained {
        /// The endpoint, at which this host has no request in flight any more.
        endpoint: EndpointId,
        /// The time since the first signal that it was leaving.
        after: Duration,
    },
    /// Send a handover request to a peer in the zone; without its consent the full wait applies.
    HandoverRequest {
        /// A peer in the zone that has not consented yet.
        to: HostId,
        /// The local view of the zone and this host's history, the same for every peer.
        request: HandoverRequest,
    },
    /// Send a handover consent to a peer in the zone.
    HandoverConsent {
        /// The peer whose request is answered.
        to: HostId,
        /// The consent, with the token of that request.
        consent: HandoverConsent,
    },
    /// An endpoint was ejected temporarily.
    Ejected(EndpointId),
    /// A formerly ejected endpoint is in use again.
    Restored(EndpointId),
}

/// Slot counts of one service on this host and on its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headroom {
    /// The service whose slots and queued requests are counted.
    pub service: ServiceId,
    /// Slots that this host holds on endpoints that are not leaving, usable or not.
    pub held: u32,
    /// Slots that this host may use now.
    pub slots: u32,
    /// Usable slots that are free.
    pub free: u32,
    /// Slots that this host holds on ejected endpoints.
    pub ejected: u32,
    /// Queued requests.
    pub queued: u32,
    /// Free slots that peers in the same region advertise.
    pub region_free: u32,
    /// Free slots that peers in other regions advertise.
    pub other_free: u32,
}
