//! Messages between hosts and the handler that receives them.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use wagtail_types::{
    AttemptId, EndpointId, HostId, Incarnation, ServiceId, TeamId, Verdict, ZoneId,
};

use crate::Body;

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A one-way message between hosts. It may be lost, and it does not depend on the arrival of earlier
/// messages.
#[derive(Debug, Clone, PartialEq)]
pub enum Control {
    /// Announces that an endpoint is leaving.
    Leaving(EndpointId),
    /// Advertises the sender's free slots.
    Advert(wagtail_route::Advert),
    /// Carries a quota message.
    Quota(wagtail_quota::Message),
    /// Carries a membership message.
    Member(wagtail_member::Message),
    /// Carries a message that distributes the configuration.
    Config(wagtail_config::Message),
    /// Asks a peer in the zone for consent to use its slots before the full handover wait.
    HandoverRequest(wagtail_route::HandoverRequest),
    /// Consents to a handover request.
    HandoverConsent(wagtail_route::HandoverConsent),
}

/// The role in which the receiver handles a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayRole {
    /// The receiver sends the request to an endpoint of its own zone.
    Owner,
    /// The receiver issued the request's idempotency key: it looks up the outcome of the key and runs
    /// the request if there is none.
    Issuer,
}

/// Describes a relayed request, without its body.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayHead {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Role of the receiver.
    pub role: RelayRole,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers for the endpoint.
    pub headers: HeaderMap,
    /// Service to call.
    pub service: ServiceId,
    /// Team that sent the request; `None` on routes without authentication.
    pub team: Option<TeamId>,
    /// Time left until the deadline, in whole microseconds on the wire.
    pub deadline: Option<Duration>,
    /// Whether running the request more than once is safe.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Fingerprint of the request, which detects a key that is reused for another request.
    pub fingerprint: Option<u128>,
    /// Zones that already refused the request.
    pub tried: Vec<ZoneId>,
}

/// The answer to a relayed request.
#[derive(Debug)]
pub struct RelayAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Body,
}

/// Handles messages and requests from other hosts.
pub trait Handler: Send + Sync + 'static {
    /// Handles a control message. It is called on the peer's thread and must return without blocking,
    /// since that thread serves every connection.
    fn control(&self, from: &HostId, incarnation: Incarnation, message: Control);

    /// Handles the arrival of a part of a large control message, before the whole of it. It must
    /// return without blocking, as [`control`](Self::control) must.
    fn receiving(&self, _from: &HostId) {}

    /// Runs a relayed request. The future runs on the runtime passed to
    /// [`Peer::start`](crate::Peer::start) and is dropped when the caller cancels the request or its
    /// connection closes.
    fn relay(
        &self,
        from: HostId,
        head: RelayHead,
        body: Body,
    ) -> BoxFuture<Result<RelayAnswer, Verdict>>;
}
