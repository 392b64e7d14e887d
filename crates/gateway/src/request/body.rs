//! The body of a reply: complete in memory, or a buffered start followed by a stream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

/// The body of a reply to a caller.
#[derive(Debug)]
pub(crate) struct Body {
    buffered: Option<Bytes>,
    rest: Option<Incoming>,
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
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
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
