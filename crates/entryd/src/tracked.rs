//! A body that reports how it ended.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use axum::BoxError;
use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Every byte was read.
    Whole,
    /// The sender failed before the end.
    Broken,
    /// The receiver dropped it before the end.
    Dropped,
}

type OnEnd = Box<dyn FnOnce(End) + Send>;

/// Wraps `body` and calls `on_end` once when it ends.
pub(crate) fn track(body: Body, on_end: impl FnOnce(End) + Send + 'static) -> Body {
    Body::new(Tracked {
        body,
        on_end: Some(Box::new(on_end)),
    })
}

struct Tracked {
    body: Body,
    on_end: Option<OnEnd>,
}

impl Tracked {
    fn end(&mut self, end: End) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.end(End::Whole),
            Some(Err(_)) => self.end(End::Broken),
            Some(Ok(_)) if self.body.is_end_stream() => self.end(End::Whole),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|f| f.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let end = if self.body.is_end_stream() {
            End::Whole
        } else {
            End::Dropped
        };
        self.end(end);
    }
}
