//! The body of an answer: whole in memory, or its start with the rest to come.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

/// A body for a caller.
#[derive(Debug)]
pub(crate) struct Body {
    start: Option<Bytes>,
    rest: Option<Incoming>,
}

impl Body {
    /// A body that is all there.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self {
            start: Some(bytes).filter(|b| !b.is_empty()),
            rest: None,
        }
    }

    /// A body whose rest is still being received; if that fails, so does the body.
    pub(crate) fn joined(start: Bytes, rest: Incoming) -> Self {
        Self {
            start: Some(start),
            rest: Some(rest),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.start.as_ref().map_or(0, |b| b.len() as u64)),
            Some(_) => SizeHint::new(),
        }
    }
}
