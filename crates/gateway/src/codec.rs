//! The interface to the HTTP headers and formats that callers and endpoints use.

use std::time::Duration;

use http::{HeaderMap, HeaderName, request, response};
use wagtail_steer::{ApiKey, LimitNotice, Load};
use wagtail_types::{EndpointId, TeamId, ZoneId};

/// The decoded head of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The id of the request, which the endpoint's response must repeat.
    pub id: String,
    /// The requested host name, in lower case and without a port.
    pub host: String,
    /// How long the caller waits for the response; `None` if it does not say.
    pub deadline: Option<Duration>,
    /// The API key that identifies the caller's team.
    pub key: Option<ApiKey>,
    /// The name of the object that the request concerns, for affinity to endpoints.
    pub object: Option<String>,
}

/// The error for a request head that is not acceptable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The reason, which is sent to the caller.
    pub reason: &'static str,
}

/// The values that a request to an endpoint carries besides the caller's own headers.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The endpoint that the request is meant for; another one at the address refuses it.
    pub endpoint: &'a EndpointId,
    /// The team on whose behalf the request runs; `None` on public routes without a known key.
    pub team: Option<&'a TeamId>,
    /// The time after which the endpoint should stop working on the request.
    pub remaining: Duration,
}

/// Whether a request was executed, as stated by the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The endpoint's service executed the request and signed the response.
    Ran,
    /// The endpoint has not executed the request.
    NotRun,
    /// Another endpoint now has the address; it has not executed the request.
    Replaced,
    /// The response states nothing that can be relied on.
    Unknown,
}

/// What an endpoint's response says of the endpoint itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether the endpoint leaves, so that it must receive no further requests.
    pub leaving: bool,
    /// How long the endpoint wants no requests of this host.
    pub pause: Option<Duration>,
    /// The limit that the endpoint names on the requests of all hosts together.
    pub limit: LimitNotice,
}

/// The decoded head of an endpoint's response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the request was executed.
    pub execution: Execution,
    /// The load that the endpoint reports.
    pub load: Option<Load>,
    /// How long the endpoint keeps the idle connection open; `None` if it does not say.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint closes the connection after the response.
    pub close: bool,
    /// What the endpoint says of itself; nothing if another endpoint responded.
    pub signals: Signals,
}

/// The decoded response to a health check.
#[derive(Debug, Clone)]
pub struct Health {
    /// The id of the endpoint that responded; `None` if it does not say.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint reports itself healthy.
    pub healthy: bool,
    /// The remaining time of the endpoint's cold start.
    pub cold: Duration,
    /// What the endpoint says of itself.
    pub signals: Signals,
}

/// Encodes and decodes requests, responses, health checks and directory look-ups in HTTP.
pub trait HttpCodec: 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidRequest`] if the head lacks required fields or contradicts itself.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, InvalidRequest>;

    /// Turns a caller's headers into those of the request to an endpoint.
    fn prepare_headers(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of an endpoint's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns a header of an endpoint's response that endpoints set and that the codec does not know, if
    /// there is one.
    fn unknown_header(&self, head: &response::Parts) -> Option<HeaderName>;

    /// Decodes the head of the response to a health check.
    fn decode_health(&self, head: &response::Parts) -> Health;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Decodes a directory look-up. Returns the caller's zone, if it is given, or `None` if the
    /// request is no look-up.
    fn decode_lookup(&self, head: &request::Parts) -> Option<Option<ZoneId>>;

    /// Encodes the response to a directory look-up. Returns its body and content type.
    fn encode_hosts(
        &self,
        hosts: &[std::net::SocketAddr],
        ttl: Duration,
    ) -> (Vec<u8>, &'static str);
}
