//! A request's way: admission, attempts at endpoints, answer.

mod admit;
mod attempt;
mod body;
mod flight;
mod reply;
mod send;
mod story;

use std::rc::Rc;

use http::{Request, Response};
use hyper::body::Incoming;

use crate::host::Front;

pub(crate) use body::Body;
pub(crate) use reply::retry_after;
pub(crate) use story::LogBudget;

/// Serves one request of a caller, or refuses it for a fault of its framing.
pub(crate) async fn serve(
    front: Rc<Front>,
    request: Request<Incoming>,
    fault: Option<&'static str>,
) -> Response<Body> {
    let arrived = front.core.now();
    let (head, body) = request.into_parts();
    let mut story = story::Story::new(front.clone(), arrived);
    let reply = match admit::admit(&front, &head, fault, arrived, &mut story).await {
        Ok(job) => attempt::run(&front, &job, &head, body, &mut story).await,
        Err(reply) => *reply,
    };
    story.tell(&reply);
    reply.into_response()
}
