//! What the HTTP of callers and endpoints says, behind an interface.

use std::time::Duration;

use http::{HeaderMap, request, response};
use wagtail_steer::{ApiKey, Load};
use wagtail_types::{EndpointId, TeamId, ZoneId};

/// A caller's request, decoded.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The id of the request.
    pub id: String,
    /// The host name that it asks for, lower case and without a port.
    pub host: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that it presents.
    pub key: Option<ApiKey>,
    /// The object that it concerns.
    pub object: Option<String>,
}

/// A request head that is not acceptable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// What a request to an endpoint says besides the caller's own headers.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// The team that the request runs for.
    pub team: Option<&'a TeamId>,
    /// The time until the endpoint should stop work.
    pub left: Duration,
}

/// What an answer says of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The endpoint's service ran it and signed the answer.
    Ran,
    /// The endpoint has not run it.
    NotRun,
    /// Another endpoint has the address, and has not run it.
    Replaced,
    /// Nothing that can be relied on.
    Unknown,
}

/// The head of an endpoint's answer, decoded.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// What it says of the request.
    pub standing: Standing,
    /// The requests at the endpoint.
    pub load: Option<Load>,
    /// How long the endpoint keeps the connection open; `None` if it does not say.
    pub keep: Option<Duration>,
    /// Whether the endpoint closes the connection.
    pub close: bool,
}

/// An endpoint's answer to a health check.
#[derive(Debug, Clone)]
pub struct Health {
    /// The endpoint that answered.
    pub endpoint: Option<EndpointId>,
    /// Whether it is well.
    pub well: bool,
    /// How long it stays cold.
    pub cold: Duration,
}

/// How requests, answers and look-ups are written in HTTP.
pub trait Conventions: 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the head lacks or contradicts what every request must say.
    fn caller(&self, head: &request::Parts) -> Result<Caller, Refusal>;

    /// Turns a caller's headers into those for an endpoint.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// Decodes an answer to a health check.
    fn health(&self, head: &response::Parts) -> Health;

    /// The path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// The zone of a caller that asks which hosts to use, or `None` if the request is not that.
    fn lookup(&self, head: &request::Parts) -> Option<Option<ZoneId>>;

    /// The body of an answer to a look-up, with its content type.
    fn hosts(&self, hosts: &[std::net::SocketAddr], ttl: Duration) -> (Vec<u8>, &'static str);
}
