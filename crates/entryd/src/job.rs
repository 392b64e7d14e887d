//! A request on its way through the host.

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

/// A checked request.
#[derive(Debug)]
pub(crate) struct Job {
    /// The service.
    pub(crate) service: Arc<Service>,
    /// The team; `None` on open routes.
    pub(crate) team: Option<Arc<Team>>,
    /// Method for the endpoint.
    pub(crate) method: Method,
    /// Path and query for the endpoint.
    pub(crate) path: String,
    /// Headers for the endpoint.
    pub(crate) headers: HeaderMap,
    /// When its answer is of no more use.
    pub(crate) deadline: Instant,
    /// Where it came from.
    pub(crate) origin: Origin,
    /// Zones that refused it.
    pub(crate) tried: Vec<ZoneId>,
    /// The body.
    pub(crate) payload: Payload,
}

impl Job {
    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Whether it may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.service.idempotent
    }

    /// The request for an endpoint; a payload that cannot be sent again is taken.
    pub(crate) fn request(&mut self, attempt: AttemptId, now: Instant) -> Request<Body> {
        let mut request = Request::new(self.payload.take());
        *request.method_mut() = self.method.clone();
        // The path was part of a valid URI before.
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
        set(intake::DEADLINE, &self.left(now).as_millis().to_string());
        if let Some(team) = &self.team {
            set(intake::TEAM, team.id.as_str());
        }
        request
    }
}

/// A request body, whole in memory where it is small.
#[derive(Debug)]
pub(crate) enum Payload {
    /// It can be sent again.
    Whole(Bytes),
    /// It can be sent once.
    Stream(Body),
    /// It has been sent.
    Sent,
}

impl Payload {
    /// Reads up to `limit` bytes ahead; a longer body stays a stream.
    ///
    /// # Errors
    ///
    /// `not-run` where the body breaks off.
    pub(crate) async fn read(mut body: Body, limit: usize) -> Result<Self, Verdict> {
        let mut held = BytesMut::new();
        while held.len() <= limit {
            match body.frame().await {
                None => return Ok(Self::Whole(held.freeze())),
                Some(Err(_)) => return Err(Verdict::not_run(Reason::BadRequest, None)),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        held.extend_from_slice(data);
                    }
                }
            }
        }
        Ok(Self::Stream(join(held.freeze(), body)))
    }

    /// Whether it can be sent (again).
    pub(crate) fn is_there(&self) -> bool {
        !matches!(self, Self::Sent)
    }

    /// The body for one sending.
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

/// A body that starts with `head` and goes on with `rest`.
pub(crate) fn join(head: Bytes, rest: Body) -> Body {
    use futures_util::StreamExt;
    let head = futures_util::stream::iter([Ok(Frame::data(head))]);
    let rest = rest.into_data_stream().map(|data| data.map(Frame::data));
    Body::new(StreamBody::new(head.chain(rest)))
}
