//! What hosts say to one another.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use wagtail_types::{
    AttemptId, EndpointId, HostId, Incarnation, ServiceId, TeamId, Verdict, ZoneId,
};

use crate::Body;

/// A boxed future that can move between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A one-way message. It may be lost, and counts on nothing having arrived before it.
#[derive(Debug, Clone, PartialEq)]
pub enum Control {
    /// An endpoint is leaving.
    Leaving(EndpointId),
    /// Free slots that the sender offers.
    Advert(wagtail_route::Advert),
    /// A message of the quota machine.
    Quota(wagtail_quota::Message),
    /// A message of the membership machine.
    Member(wagtail_member::Message),
    /// A message about the configuration.
    Config(wagtail_config::Message),
    /// A question about the slots of the zone.
    Ask(wagtail_route::HandoverRequest),
    /// The answer to such a question.
    Agree(wagtail_route::HandoverConsent),
}

/// What the receiver of a relay is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Dispatch to an endpoint of the receiver's own zone.
    Owner,
    /// Decide about an idempotency key that the receiver issued, and run the request.
    Issuer,
}

/// Everything about a relayed request but its body.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayHead {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// What is asked of the receiver.
    pub step: Step,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The headers for the endpoint.
    pub headers: HeaderMap,
    /// The service.
    pub service: ServiceId,
    /// The team; `None` on open routes.
    pub team: Option<TeamId>,
    /// Time left to the deadline, to the microsecond.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// The fingerprint of the request.
    pub print: Option<u128>,
    /// Zones that refused the request.
    pub tried: Vec<ZoneId>,
}

/// The answer to a relayed request.
#[derive(Debug)]
pub struct RelayAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// Takes what other hosts send.
pub trait Handler: Send + Sync + 'static {
    /// Takes a control message. Called on the peer's thread: it must return at once.
    fn control(&self, from: &HostId, incarnation: Incarnation, message: Control);

    /// Runs a relayed request. The future runs on the runtime given to
    /// [`Peer::start`](crate::Peer::start) and is dropped when the caller goes away.
    fn relay(
        &self,
        from: HostId,
        head: RelayHead,
        body: Body,
    ) -> BoxFuture<Result<RelayAnswer, Verdict>>;
}
