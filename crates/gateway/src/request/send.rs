//! One attempt: a connection, the request, and a whole answer or what became of it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http::{HeaderMap, HeaderName, Request, Uri, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wagtail_steer::EndpointKey;

use super::admit::Job;
use super::body::Body;
use crate::connect::{CallError, open};
use crate::conventions::{Answer, Dispatch, Standing};
use crate::host::Front;
use crate::pool::Sender;

/// The longest time to open a connection: a way between regions and back, and one lost packet of
/// a fast network.
const CONNECT_MAX: Duration = Duration::from_millis(350);
/// Answers up to this size are read whole before the caller gets any of them, so that a broken one
/// can be asked for again.
const BUFFER_MAX: usize = 512 << 10;

/// Headers that concern one connection only.
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

/// An answer of an endpoint.
#[derive(Debug)]
pub(crate) struct Delivered {
    pub(crate) head: response::Parts,
    pub(crate) body: Body,
    pub(crate) answer: Answer,
}

/// Why an attempt gave no answer to pass on.
#[derive(Debug, Display)]
pub(crate) enum Fault {
    /// Nothing was sent.
    #[display("unreachable: {_0}")]
    Unreachable(String),
    /// The endpoint has left.
    #[display("left")]
    Gone,
    /// The endpoint says that it has not run the request.
    #[display("not run, {}", _0.head.status)]
    NotRun(Box<Delivered>),
    /// The connection failed; the request may have run.
    #[display("broken: {_0}")]
    Broken(String),
    /// An answer to another request, or none of the endpoint's own.
    #[display("bad answer: {_0}")]
    BadAnswer(&'static str),
}

/// Sends the request once.
pub(crate) async fn send(
    front: &Front,
    job: &Job,
    head: &request::Parts,
    body: &Bytes,
    to: EndpointKey,
) -> Result<Delivered, Fault> {
    let target = front
        .core
        .steer
        .borrow()
        .endpoint(to)
        .map(|e| (e.record.id.clone(), e.record.addr));
    let Some((endpoint, addr)) = target else {
        return Err(Fault::Gone);
    };
    let now = front.core.now();
    // A request that must not run twice never meets a connection that may have died unseen.
    let kept = if job.is_safe() {
        front.pool.take(to, now)
    } else {
        None
    };
    let mut sender = if let Some(sender) = kept {
        sender
    } else {
        let within = CONNECT_MAX.min(job.end.saturating_duration_since(now));
        front.core.metrics.count("connections", "endpoint");
        open(addr, within)
            .await
            .map_err(|e| Fault::Unreachable(e.to_string()))?
    };
    let left = job.end.saturating_duration_since(front.core.now());
    let team = job.team.as_ref().map(|t| &t.id);
    let request = rewrite(
        front,
        head,
        body,
        &Dispatch {
            endpoint: &endpoint,
            team,
            left,
        },
    );
    let answer = sender.send_request(request).await.map_err(|e| broken(&e))?;
    let (head, incoming) = answer.into_parts();
    let answer = front.conventions.answer(&head);
    let body = gather(incoming).await.map_err(|e| broken(&e))?;
    judge(
        job,
        Delivered {
            head,
            body: body.0,
            answer,
        },
    )
    .inspect(|delivered| {
        if body.1 && job.is_safe() {
            keep(front, to, sender, delivered);
        }
    })
}

fn broken(e: &hyper::Error) -> Fault {
    Fault::Broken(
        CallError::Broken {
            reason: e.to_string(),
        }
        .to_string(),
    )
}

fn keep(front: &Front, to: EndpointKey, sender: Sender, delivered: &Delivered) {
    if !delivered.answer.close {
        front
            .pool
            .put(to, sender, delivered.answer.keep, front.core.now());
    }
}

fn judge(job: &Job, delivered: Delivered) -> Result<Delivered, Fault> {
    let answer = &delivered.answer;
    if answer.id.as_ref().is_some_and(|id| *id != job.id) {
        return Err(Fault::BadAnswer("it answers another request"));
    }
    match answer.standing {
        Standing::Ran if answer.id.is_some() => Ok(delivered),
        Standing::Ran | Standing::Unknown => Err(Fault::BadAnswer("the service did not make it")),
        Standing::NotRun | Standing::Replaced => Err(Fault::NotRun(Box::new(delivered))),
    }
}

/// The caller's request as the endpoint gets it.
fn rewrite(
    front: &Front,
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
    strip(headers);
    headers.remove(header::CONTENT_LENGTH);
    front.conventions.dispatch(headers, dispatch);
    request
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
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

/// Reads a body; `true` if it is whole.
async fn gather(mut incoming: Incoming) -> Result<(Body, bool), hyper::Error> {
    let mut start = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            start.extend_from_slice(&data);
        }
        if start.len() > BUFFER_MAX {
            return Ok((Body::joined(start.freeze(), incoming), false));
        }
    }
    Ok((Body::whole(start.freeze()), true))
}
