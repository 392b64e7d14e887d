//! The handling of a request: admission, attempts at endpoints, reply.

mod admit;
mod attempt;
mod body;
mod in_flight;
mod reply;
mod request_log;
mod send;

use std::rc::Rc;

use http::{Request, Response};
use hyper::body::Incoming;

use crate::host::RequestContext;

pub(crate) use body::Body;
pub(crate) use reply::retry_after;
pub(crate) use request_log::LogBudget;

/// Serves one request of a caller. A request with a framing error is refused.
pub(crate) async fn serve(
    context: Rc<RequestContext>,
    request: Request<Incoming>,
    framing_error: Option<&'static str>,
) -> Response<Body> {
    let arrived = context.core.now();
    let (head, body) = request.into_parts();
    let mut request_log = request_log::RequestLog::new(context.clone(), arrived);
    let reply = match admit::admit(&context, &head, framing_error, arrived, &mut request_log).await
    {
        Ok(job) => attempt::run(&context, &job, &head, body, &mut request_log).await,
        Err(reply) => *reply,
    };
    request_log.finish(&reply);
    reply.into_response()
}
