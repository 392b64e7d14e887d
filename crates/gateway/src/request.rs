//! The handling of a request: admission, attempts at endpoints, reply.

mod admit;
mod attempt;
mod body;
mod in_flight;
mod reply;
mod request_log;
mod send;

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use wagtail_steer::HostStage;

use crate::host::RequestContext;
use crate::tracker::{RequestStage, Tracked};
use crate::work::{Work, contain};

pub(crate) use body::Body;
use reply::Reply;
pub(crate) use reply::retry_after;
pub(crate) use request_log::LogBudget;

/// The `Retry-After` wait if the admission of a request panicked.
const PANIC_WAIT: Duration = Duration::from_millis(300);

/// Serves one request of a caller. A request with a framing error is refused.
pub(crate) async fn serve(
    context: Rc<RequestContext>,
    request: Request<Incoming>,
    framing_error: Option<&'static str>,
    tracked: Rc<Tracked>,
) -> Response<Body> {
    let arrived = context.core.now();
    let (head, body) = request.into_parts();
    let mut request_log = request_log::RequestLog::new(context.clone(), tracked, arrived);
    let answered = answer(&context, &head, body, framing_error, &mut request_log);
    let reply = tokio::select! {
        biased;
        reply = answered => Some(reply),
        () = context.core.stop.entered(HostStage::Ending) => None,
    };
    let reply = reply.unwrap_or_else(|| {
        request_log.may_have_run |= request_log.stage() == Some(RequestStage::Sent);
        if request_log.may_have_run {
            reply::cut(&context.core)
        } else {
            reply::refuse_stopping(&context.core)
        }
    });
    request_log.finish(&reply);
    request_log.enter(RequestStage::Response);
    reply.into_response()
}

/// Admits a request and sends it to endpoints. The request is given up if the result is dropped.
async fn answer(
    context: &Rc<RequestContext>,
    head: &Parts,
    body: Incoming,
    framing_error: Option<&'static str>,
    request_log: &mut request_log::RequestLog,
) -> Reply {
    let arrived = request_log.arrived;
    let admission = admit::admit(context, head, framing_error, arrived, request_log);
    match contain(&context.core, Work::Request, admission).await {
        Some(Ok(job)) => {
            let attempts = attempt::run(context, &job, head, body, request_log);
            let reply = contain(&context.core, Work::Request, attempts).await;
            reply.unwrap_or_else(|| {
                request_log.may_have_run = true;
                Reply::fail(StatusCode::BAD_GATEWAY, "the host failed; it may have run")
            })
        }
        Some(Err(reply)) => *reply,
        None => Reply::refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the host failed",
            PANIC_WAIT,
        ),
    }
}
