//! HTTP responses for verdicts and JSON bodies.

use std::time::Duration;

use axum::body::Body;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;
use wagtail_types::{Cause, Reason, Verdict};

use crate::{intake, reports};

/// Header with the verdict, [`NOT_RUN`] or [`MAY_HAVE_RUN`].
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("x-wagtail-verdict");
/// Header with the rejection reason or the cause.
pub(crate) const REASON: HeaderName = HeaderName::from_static("x-wagtail-reason");
/// Header with the time after which to retry, in milliseconds.
pub(crate) const RETRY_MS: HeaderName = HeaderName::from_static("x-wagtail-retry-ms");
/// Value of [`VERDICT`] for a request that has not run.
pub(crate) const NOT_RUN: &str = "not-run";
/// Value of [`VERDICT`] for a request that may have run.
pub(crate) const MAY_HAVE_RUN: &str = "may-have-run";

/// Removes hop-by-hop headers and the headers of this system from an endpoint's response.
pub(crate) fn strip(headers: &mut HeaderMap) {
    intake::strip_hop_by_hop(headers);
    for name in [VERDICT, REASON, RETRY_MS, reports::LEAVING, reports::LOAD] {
        headers.remove(name);
    }
}

#[derive(Debug, Serialize)]
struct Failure<'a> {
    verdict: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// Builds the response for a request that failed.
pub(crate) fn from_verdict(verdict: &Verdict, detail: Option<&str>) -> Response<Body> {
    let (name, reason, status, retry) = match verdict {
        Verdict::NotRun { reason, retry } => (NOT_RUN, reason.as_str(), refusal(*reason), *retry),
        Verdict::MayHaveRun { cause } => (MAY_HAVE_RUN, cause.as_str(), failure(*cause), None),
    };
    let retry_ms = retry.map(millis);
    let text = serde_json::to_vec(&Failure {
        verdict: name,
        reason,
        retry_ms,
        detail,
    })
    .expect("a struct of texts and numbers serializes");
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(VERDICT, HeaderValue::from_static(name));
    headers.insert(REASON, HeaderValue::from_static(reason));
    if let Some(millis) = retry_ms {
        headers.insert(RETRY_MS, HeaderValue::from(millis));
        headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
    }
    response
}

/// Builds a JSON response.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    let Ok(text) = serde_json::to_vec(value) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return response;
    };
    let mut response = Response::new(Body::from(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn refusal(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::OverRate => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyExpired => StatusCode::GONE,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::Overloaded
        | Reason::NoEndpoint
        | Reason::Capped
        | Reason::Unavailable
        | Reason::CutOff
        | Reason::ClaimFailed
        | Reason::EndpointRefused
        | Reason::ConnectFailed => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn failure(cause: Cause) -> StatusCode {
    match cause {
        Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
