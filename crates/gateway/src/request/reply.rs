//! What a caller is told.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use rand::Rng;

use super::body::Body;

/// The part of a wait by which it is drawn longer, so that callers who were refused together do
/// not come back together.
const SPREAD: f64 = 0.5;

/// An answer with the reason for it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    headers: HeaderMap,
    body: Body,
}

impl Reply {
    /// An endpoint's own answer.
    pub(crate) fn pass(status: StatusCode, headers: HeaderMap, body: Body) -> Self {
        Self {
            status,
            reason: "answered",
            headers,
            body,
        }
    }

    /// A failure of this host's own making.
    pub(crate) fn fail(status: StatusCode, reason: &'static str) -> Self {
        let body = Body::whole(Bytes::from_static(reason.as_bytes()));
        Self {
            status,
            reason,
            headers: HeaderMap::new(),
            body,
        }
    }

    /// A refusal of a request that has not run, with the time after which to ask again.
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

/// A wait as a header value in seconds with fractions, drawn a little longer.
pub(crate) fn retry_after(wait: Duration) -> HeaderValue {
    let drawn = wait.as_secs_f64() * (1.0 + SPREAD * rand::rng().random::<f64>());
    HeaderValue::try_from(format!("{drawn:.2}")).expect("digits and a point are allowed")
}
