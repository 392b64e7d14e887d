//! A validated request and its body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use wagtail_config::{Service, Team};
use wagtail_route::Origin;
use wagtail_types::{AttemptId, Reason, Verdict, ZoneId};

use crate::intake;

/// A validated request that is to be run.
#[derive(Debug)]
pub(crate) struct Job {
    /// Record of the service, from the configuration in force when the request arrived.
    pub(crate) service: Arc<Service>,
    /// The team; `None` if an open service is used without an API key.
    pub(crate) team: Option<Arc<Team>>,
    /// Method to send to the endpoint.
    pub(crate) method: Method,
    /// Path and query to send to the endpoint.
    pub(crate) path: String,
    /// Headers to send to the endpoint.
    pub(crate) headers: HeaderMap,
    /// Time after which a response is of no use to the caller.
    pub(crate) deadline: Instant,
    /// Whether it was relayed here by a peer and must not be relayed again.
    pub(crate) origin: Origin,
    /// Zones to which a relay has failed.
    pub(crate) tried: Vec<ZoneId>,
    /// Body to send to the endpoint; unless it is buffered, it can be sent only once.
    pub(crate) payload: Payload,
}

impl Job {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether it may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.service.idempotent
    }

    /// Builds the request for an endpoint. A payload that cannot be sent again is consumed.
    pub(crate) fn request(&mut self, attempt: AttemptId, now: Instant) -> Request<Body> {
        let mut request = Request::new(self.payload.take());
        *request.method_mut() = self.method.clone();
        // The path comes from a valid URI, so parsing it again succeeds.
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let mut set = |name, text: &str| {
            if let Ok(value) = text.parse() {
                headers.insert(name, value);
            }
        };
        if !self.headers.contains_key(intake::REQUEST) {
            set(intake::REQUEST, &attempt.to_string());
        }
        set(
            intake::DEADLINE,
            &self.time_left(now).as_millis().to_string(),
        );
        if let Some(team) = &self.team {
            set(intake::TEAM, team.id.as_str());
        }
        request
    }
}

/// A request body, buffered whole if it is small.
#[derive(Debug)]
pub(crate) enum Payload {
    /// A buffered body, which can be sent more than once.
    Whole(Bytes),
    /// A stream, which can be sent once.
    Stream(Body),
    /// A stream that has been sent.
    Sent,
}

impl Payload {
    /// Buffers a body of up to `limit` bytes; a longer one stays a stream.
    ///
    /// # Errors
    ///
    /// Returns `not-run` if the body ends early.
    pub(crate) async fn read(mut body: Body, limit: usize) -> Result<Self, Verdict> {
        let mut buffered = BytesMut::new();
        while buffered.len() <= limit {
            match body.frame().await {
                None => return Ok(Self::Whole(buffered.freeze())),
                Some(Err(_)) => return Err(Verdict::not_run(Reason::BadRequest, None)),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        buffered.extend_from_slice(data);
                    }
                }
            }
        }
        Ok(Self::Stream(prepend(buffered.freeze(), body)))
    }

    /// Returns whether it can still be sent.
    pub(crate) fn is_available(&self) -> bool {
        !matches!(self, Self::Sent)
    }

    /// Returns the body for one attempt.
    pub(crate) fn take(&mut self) -> Body {
        match std::mem::replace(self, Self::Sent) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Body::from(bytes)
            }
            Self::Stream(body) => body,
            Self::Sent => Body::empty(),
        }
    }
}

/// Returns a body of `head` followed by `rest`.
pub(crate) fn prepend(head: Bytes, rest: Body) -> Body {
    use futures_util::StreamExt;
    let head = futures_util::stream::iter([Ok(Frame::data(head))]);
    let rest = rest.into_data_stream().map(|data| data.map(Frame::data));
    Body::new(StreamBody::new(head.chain(rest)))
}
