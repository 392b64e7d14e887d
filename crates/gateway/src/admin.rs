//! Handlers for readiness checks, directory look-ups and metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header, request};
use wagtail_steer::HostState;

use crate::codec::HttpCodec;
use crate::host::Core;
use crate::request::{Body, retry_after};

/// The path at which metrics are served.
const METRICS_PATH: &str = "/metrics";
/// The `Retry-After` wait in directory responses of a host that knows no ready host.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::complete(body.into()));
    *response.status_mut() = status;
    response
}

/// Handles a readiness check: 200 if the host is ready, otherwise 503 with its state as the body.
pub(crate) fn ready(core: &Core, codec: &dyn HttpCodec, head: &request::Parts) -> Response<Body> {
    if head.uri.path() != codec.ready_path() {
        return text_response(StatusCode::NOT_FOUND, "");
    }
    match core.state() {
        HostState::Ready => text_response(StatusCode::OK, "ready"),
        HostState::Starting => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        HostState::Leaving => text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    }
}

/// Handles a directory look-up, by which callers ask which hosts to connect to.
pub(crate) fn directory(
    core: &Rc<Core>,
    codec: &dyn HttpCodec,
    ttl: Duration,
    head: &request::Parts,
) -> Response<Body> {
    let Some(zone) = codec.decode_lookup(head) else {
        return text_response(StatusCode::NOT_FOUND, "");
    };
    let ready = core.state() == HostState::Ready;
    let hosts = core
        .steer
        .borrow()
        .directory(zone.as_ref(), ready, core.now());
    if hosts.is_empty() {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "no host is ready");
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after(NOT_READY_WAIT));
        return response;
    }
    let (body, content_type) = codec.encode_hosts(&hosts, ttl);
    let mut response = text_response(StatusCode::OK, body);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Handles a request for the metrics.
pub(crate) fn metrics(core: &Core, head: &request::Parts) -> Response<Body> {
    if head.uri.path() != METRICS_PATH {
        return text_response(StatusCode::NOT_FOUND, "");
    }
    core.record_age();
    let bytes = core.memory.held() as u64;
    core.metrics.set("memory_bytes", "held", bytes);
    text_response(StatusCode::OK, core.metrics.render())
}
