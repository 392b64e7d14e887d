//! Replies to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use rand::Rng;

use super::body::Body;
use crate::host::Core;

/// The largest random extension of a `Retry-After` wait, as a fraction of it, so that callers who
/// were refused together do not come back together.
const JITTER: f64 = 0.5;

/// The `Retry-After` wait if the host is stopping, as others may serve the request at once.
const STOPPING_WAIT: Duration = Duration::from_millis(20);

/// The `Retry-After` wait if there is no memory for a request: about the time that a large body takes to arrive.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

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

    /// Returns the bytes of the body that are held in memory.
    pub(crate) fn buffered(&self) -> usize {
        self.body.buffered()
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Creates the refusal of a request whose body there is no memory for.
pub(crate) fn refuse_for_memory(core: &Core) -> Reply {
    core.metrics.count("memory", "refused");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Reply::refuse(status, "no memory for the request", MEMORY_WAIT)
}

/// Creates the refusal of a request that would not end before the host does.
pub(crate) fn refuse_stopping(core: &Core) -> Reply {
    let refused = &core.tracker.refused;
    refused.set(refused.get() + 1);
    core.metrics.count("stop_refused", "not-run");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Reply::refuse(status, "the host is stopping", STOPPING_WAIT)
}

/// Creates the reply to a request that has not ended before the host does.
pub(crate) fn cut(core: &Core) -> Reply {
    core.tracker.cut.set(core.tracker.cut.get() + 1);
    core.metrics.count("stop_refused", "may-have-run");
    Reply::fail(
        StatusCode::BAD_GATEWAY,
        "the host is stopping; it may have run",
    )
}

/// Returns a wait as the value of `Retry-After`, in seconds with decimals and extended by random
/// jitter.
pub(crate) fn retry_after(wait: Duration) -> HeaderValue {
    let jittered = wait.as_secs_f64() * (1.0 + JITTER * rand::rng().random::<f64>());
    HeaderValue::try_from(format!("{jittered:.2}"))
        .expect("digits and a point are valid in a header value")
}
