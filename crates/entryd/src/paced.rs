//! Bodies sent to other regions, limited to this host's share of the link bandwidth.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::BoxError;
use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::time::{Sleep, sleep};

use crate::host::Host;

/// Limits the rate of `body` to what the region's link allows.
pub(crate) fn pace(host: &Arc<Host>, body: Body) -> Body {
    Body::new(Paced {
        host: host.clone(),
        body,
        held: None,
    })
}

struct Paced {
    host: Arc<Host>,
    body: Body,
    held: Option<(Pin<Box<Sleep>>, Frame<Bytes>)>,
}

impl hyper::body::Body for Paced {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.held.is_none() {
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end.map(|f| f.map_err(Into::into))),
            };
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            let now = self.host.now();
            let wait = self.host.routing.lock().machine.reserve_bytes(now, bytes);
            if wait == Duration::ZERO {
                return Poll::Ready(Some(Ok(frame)));
            }
            self.held = Some((Box::pin(sleep(wait)), frame));
        }
        if let Some((wait, _)) = &mut self.held {
            ready!(wait.as_mut().poll(cx));
        }
        Poll::Ready(self.held.take().map(|(_, frame)| Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
