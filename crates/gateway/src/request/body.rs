//! The body of a reply: complete in memory, or a buffered start followed by a stream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};
use wagtail_steer::Outcome;

use super::in_flight::InFlight;

/// Why a body ended before it was complete.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// The connection to the endpoint failed.
    #[display("the connection to the endpoint failed: {_0}")]
    Broken(hyper::Error),
    /// The caller's deadline has passed.
    #[display("the answer did not end before the deadline of its request")]
    Late,
}

/// The body of a reply to a caller.
#[derive(Debug)]
pub(crate) struct Body {
    buffered: Option<Bytes>,
    rest: Option<Rest>,
}

/// The part of a body that is still being received.
#[derive(Debug)]
struct Rest {
    incoming: Incoming,
    /// Ends the body, and the request at the endpoint; `None` until the body is bound.
    bound: Option<Box<Bound>>,
}

/// The limit on the time of a stream, and the request at the endpoint that it is the answer to.
#[derive(Debug)]
struct Bound {
    deadline: Pin<Box<Sleep>>,
    /// `None` if its outcome has been recorded.
    in_flight: Option<InFlight>,
}

impl Body {
    /// Creates a body that is complete in memory.
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self {
            buffered: Some(bytes).filter(|b| !b.is_empty()),
            rest: None,
        }
    }

    /// Creates a body from its buffered start and the rest that is still being received. An error
    /// of the rest becomes an error of the body.
    pub(crate) fn streaming(buffered: Bytes, rest: Incoming) -> Self {
        Self {
            buffered: Some(buffered),
            rest: Some(Rest {
                incoming: rest,
                bound: None,
            }),
        }
    }

    /// Returns the number of bytes that are held in memory.
    pub(crate) fn buffered(&self) -> usize {
        self.buffered.as_ref().map_or(0, Bytes::len)
    }

    /// Returns whether a part of the body is still being received.
    pub(crate) fn is_streaming(&self) -> bool {
        self.rest.is_some()
    }

    /// Ends the body at the deadline if it is still being received then. The request counts as in
    /// flight until the body ends, and as failed if it does not end in time or breaks.
    pub(crate) fn bind(&mut self, deadline: Instant, in_flight: Option<InFlight>) {
        if let Some(rest) = &mut self.rest {
            rest.bound = Some(Box::new(Bound {
                deadline: Box::pin(sleep_until(deadline)),
                in_flight,
            }));
        }
    }

    /// Ends the stream, and records how the request ended.
    fn finish(&mut self, outcome: Outcome) {
        let bound = self.rest.take().and_then(|rest| rest.bound);
        if let Some(in_flight) = bound.and_then(|b| b.in_flight) {
            in_flight.complete(outcome, None, None);
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let late = rest
            .bound
            .as_mut()
            .is_some_and(|b| b.deadline.as_mut().poll(context).is_ready());
        if late {
            self.finish(Outcome::Overdue);
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        match std::task::ready!(Pin::new(&mut rest.incoming).poll_frame(context)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(e)) => {
                self.finish(Outcome::Failed);
                Poll::Ready(Some(Err(BodyError::Broken(e))))
            }
            None => {
                self.finish(Outcome::Answered);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.buffered.as_ref().map_or(0, |b| b.len() as u64)),
            Some(_) => SizeHint::new(),
        }
    }
}
