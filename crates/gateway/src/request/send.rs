//! One attempt at an endpoint: obtains a connection, sends the request and reads the response.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http::{HeaderMap, HeaderName, Request, Uri, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wagtail_steer::{EndpointKey, Fingerprint, LimitNotice};

use super::admit::Job;
use super::body::Body;
use crate::codec::{Dispatch, Execution, ResponseHead};
use crate::connect::{CallError, open};
use crate::host::RequestContext;
use crate::pool::Connection;
use crate::signals::{Process, heed, report_unknown};
use crate::suspects::{look_into_break, record_refusal};

/// The timeout for opening a connection: a round trip between regions, and one lost packet on a
/// fast network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Responses up to this size are read completely before the caller receives any part, so that a
/// broken response can be requested again.
const BUFFER_MAX_BYTES: usize = 128 << 10;

/// The hop-by-hop headers, which concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A response of an endpoint.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Body,
    pub(crate) info: ResponseHead,
}

/// The reason why an attempt gave no response to forward.
#[derive(Debug, Display)]
pub(crate) enum AttemptError {
    /// The connection could not be opened; nothing was sent.
    #[display("unreachable: {_0}")]
    Unreachable(CallError),
    /// The endpoint is no longer registered or wants no requests; nothing was sent.
    #[display("left")]
    Gone,
    /// The endpoint states that it has not executed the request.
    #[display("not run, {}", _0.head.status)]
    NotRun(Box<ReceivedResponse>),
    /// The connection failed; the request may have been executed.
    #[display("broken: {_0}")]
    Broken(String),
    /// The response belongs to another request or was not made by the endpoint's service.
    #[display("bad answer: {_0}")]
    BadAnswer(&'static str),
}

/// A request for endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outgoing<'a> {
    pub(crate) head: &'a request::Parts,
    pub(crate) body: &'a Bytes,
    pub(crate) fingerprint: Fingerprint,
    /// Whether another attempt went before.
    pub(crate) repeated: bool,
}

/// Sends the request to an endpoint once. Counts the response's bytes that have arrived in `received`;
/// its head counts as one.
pub(crate) async fn send(
    context: &RequestContext,
    job: &Job,
    outgoing: Outgoing<'_>,
    to: EndpointKey,
    received: &Cell<usize>,
) -> Result<ReceivedResponse, AttemptError> {
    let Some(process) = Process::registered(&context.core, to) else {
        return Err(AttemptError::Gone);
    };
    let began = context.core.now();
    let sent = send_to(context, job, outgoing, &process, received).await;
    match &sent {
        Err(AttemptError::Broken(_)) => {
            look_into_break(context, &process, outgoing.fingerprint, began);
        }
        Err(AttemptError::Unreachable(CallError::Connect { refused: true, .. })) => {
            record_refusal(&context.core, &context.pool, &process);
        }
        _ => {}
    }
    sent
}

async fn send_to(
    context: &RequestContext,
    job: &Job,
    outgoing: Outgoing<'_>,
    process: &Process,
    received: &Cell<usize>,
) -> Result<ReceivedResponse, AttemptError> {
    let Outgoing {
        head,
        body,
        repeated,
        ..
    } = outgoing;
    let to = process.key;
    let now = context.core.now();
    // Requests that must not be executed twice, and further attempts, always get a new connection,
    // because a pooled one may have failed unnoticed.
    let pooled = if job.is_safe() && !repeated {
        context.pool.take(to, now)
    } else {
        None
    };
    let kept = pooled.is_some();
    let mut connection = if let Some(connection) = pooled {
        connection
    } else {
        let timeout = CONNECT_TIMEOUT.min(job.deadline.saturating_duration_since(now));
        context.core.metrics.count("connections", "endpoint");
        let link = open(process.addr, timeout)
            .await
            .map_err(AttemptError::Unreachable)?;
        let elapsed = context.core.now().duration_since(now);
        context
            .core
            .steer
            .borrow_mut()
            .record_connection(to, elapsed);
        Connection {
            link,
            opened: context.core.now(),
        }
    };
    let now = context.core.now();
    // The endpoint may have asked for no further requests while the connection was being opened.
    if !context.core.steer.borrow().may_send(to, now) {
        return Err(AttemptError::Gone);
    }
    let remaining = job.deadline.saturating_duration_since(now);
    let team = job.team.as_ref().map(|t| &t.id);
    let request = endpoint_request(
        context,
        head,
        body,
        &Dispatch {
            endpoint: &process.id,
            team,
            remaining,
        },
    );
    let response = connection
        .link
        .send(request)
        .await
        .map_err(|e| broken_connection(&e))?;
    let (head, incoming) = response.into_parts();
    let mut info = context.codec.decode_response(&head);
    let origin = Origin::of(&info, job, kept);
    if origin != Origin::Request {
        // A late answer to an earlier request tells nothing of a limit or a pause since.
        info.signals.limit = LimitNotice::Unknown;
        info.signals.pause = None;
    }
    context.core.steer.borrow_mut().record_answer(
        to,
        process.started,
        connection.opened,
        context.core.now(),
    );
    heed(&context.core, &context.pool, process, info.signals, now);
    if let Some(name) = context.codec.unknown_header(&head) {
        report_unknown(&context.core, process, &name);
    }
    received.set(1);
    let body = read_response_body(incoming, received)
        .await
        .map_err(|e| broken_connection(&e))?;
    if body.1 {
        connection.link.finish();
    }
    classify(
        origin,
        ReceivedResponse {
            head,
            body: body.0,
            info,
        },
    )
    .inspect(|received| {
        if body.1 && job.is_safe() {
            return_to_pool(context, to, connection, received);
        }
    })
}

fn broken_connection(e: &hyper::Error) -> AttemptError {
    AttemptError::Broken(
        CallError::Broken {
            reason: e.to_string(),
        }
        .to_string(),
    )
}

/// Returns a connection to the pool, unless the endpoint closes it.
fn return_to_pool(
    context: &RequestContext,
    to: EndpointKey,
    connection: Connection,
    received: &ReceivedResponse,
) {
    if !received.info.close && !received.info.signals.leaving {
        context
            .pool
            .put(to, connection, received.info.keep_alive, context.core.now());
    }
}

/// The request that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The request that was sent: the response names it, or is the first one on its connection and names
    /// none.
    Request,
    /// Perhaps an earlier request: the response names none, and its connection has had others.
    Unclear,
    /// Another request, which the response names.
    Other,
}

impl Origin {
    fn of(info: &ResponseHead, job: &Job, kept: bool) -> Self {
        match &info.id {
            Some(id) if *id == job.id => Self::Request,
            Some(_) => Self::Other,
            None if kept => Self::Unclear,
            None => Self::Request,
        }
    }
}

/// Checks that the response belongs to the request and that the endpoint has executed it.
fn classify(origin: Origin, received: ReceivedResponse) -> Result<ReceivedResponse, AttemptError> {
    let info = &received.info;
    match origin {
        Origin::Request => {}
        Origin::Unclear => return Err(AttemptError::BadAnswer("it names no request")),
        Origin::Other => return Err(AttemptError::BadAnswer("it answers another request")),
    }
    match info.execution {
        Execution::Ran if info.id.is_some() => Ok(received),
        Execution::Ran | Execution::Unknown => {
            Err(AttemptError::BadAnswer("the service did not make it"))
        }
        Execution::NotRun | Execution::Replaced => Err(AttemptError::NotRun(Box::new(received))),
    }
}

/// Builds the request to the endpoint from the caller's request.
fn endpoint_request(
    context: &RequestContext,
    head: &request::Parts,
    body: &Bytes,
    dispatch: &Dispatch<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let headers = request.headers_mut();
    headers.clone_from(&head.headers);
    remove_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    context.codec.prepare_headers(headers, dispatch);
    request
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Reads a response body up to the buffer limit. Returns `true` with it if it is complete.
async fn read_response_body(
    mut incoming: Incoming,
    received: &Cell<usize>,
) -> Result<(Body, bool), hyper::Error> {
    let mut start = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            start.extend_from_slice(&data);
            received.set(1 + start.len());
        }
        if start.len() > BUFFER_MAX_BYTES {
            return Ok((Body::streaming(start.freeze(), incoming), false));
        }
    }
    Ok((Body::complete(start.freeze()), true))
}
