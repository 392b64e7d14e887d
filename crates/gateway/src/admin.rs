//! Readiness, the directory and metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header, request};
use wagtail_steer::HostState;

use crate::conventions::Conventions;
use crate::host::Core;
use crate::request::{Body, retry_after};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The wait advised to those who ask a host that is not ready.
const UNREADY_WAIT: Duration = Duration::from_millis(500);

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(text.into()));
    *response.status_mut() = status;
    response
}

/// Answers readiness checks.
pub(crate) fn ready(
    core: &Core,
    conventions: &dyn Conventions,
    head: &request::Parts,
) -> Response<Body> {
    if head.uri.path() != conventions.ready_path() {
        return plain(StatusCode::NOT_FOUND, "");
    }
    match core.state() {
        HostState::Ready => plain(StatusCode::OK, "ready"),
        HostState::Starting => plain(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        HostState::Leaving => plain(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    }
}

/// Answers callers that ask which hosts to use.
pub(crate) fn directory(
    core: &Rc<Core>,
    conventions: &dyn Conventions,
    ttl: Duration,
    head: &request::Parts,
) -> Response<Body> {
    let Some(zone) = conventions.lookup(head) else {
        return plain(StatusCode::NOT_FOUND, "");
    };
    let ready = core.state() == HostState::Ready;
    let hosts = core
        .steer
        .borrow()
        .directory(zone.as_ref(), ready, core.now());
    if hosts.is_empty() {
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no host is ready");
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after(UNREADY_WAIT));
        return response;
    }
    let (body, kind) = conventions.hosts(&hosts, ttl);
    let mut response = plain(StatusCode::OK, body);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Answers with the metrics.
pub(crate) fn metrics(core: &Core, head: &request::Parts) -> Response<Body> {
    if head.uri.path() != METRICS_PATH {
        return plain(StatusCode::NOT_FOUND, "");
    }
    plain(StatusCode::OK, core.metrics.text())
}
