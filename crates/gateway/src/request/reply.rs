//! Replies to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use rand::Rng;

use super::body::Body;

/// The largest random extension of a `Retry-After` wait, as a fraction of it, so that callers who
/// were refused together do not come back together.
const JITTER: f64 = 0.5;

/// A reply to a caller, with the reason that goes into the request log and the metrics.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    headers: HeaderMap,
    body: Body,
}

impl Reply {
    /// Creates a reply that forwards an endpoint's response.
    pub(crate) fn forward(status: StatusCode, headers: HeaderMap, body: Body) -> Self {
        Self {
            status,
            reason: "answered",
            headers,
            body,
        }
    }

    /// Creates a reply for a failure that this host reports.
    pub(crate) fn fail(status: StatusCode, reason: &'static str) -> Self {
        let body = Body::complete(Bytes::from_static(reason.as_bytes()));
        Self {
            status,
            reason,
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Creates a refusal of a request that has not been executed, with the time after which to
    /// retry.
    pub(crate) fn refuse(status: StatusCode, reason: &'static str, wait: Duration) -> Self {
        let mut reply = Self::fail(status, reason);
        reply.headers.insert(header::RETRY_AFTER, retry_after(wait));
        reply
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns a wait as the value of `Retry-After`, in seconds with decimals and extended by random
/// jitter.
pub(crate) fn retry_after(wait: Duration) -> HeaderValue {
    let jittered = wait.as_secs_f64() * (1.0 + JITTER * rand::rng().random::<f64>());
    HeaderValue::try_from(format!("{jittered:.2}"))
        .expect("digits and a point are valid in a header value")
}
