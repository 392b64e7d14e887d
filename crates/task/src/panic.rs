//! Panics as values.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

use derive_more::Display;

/// A panic that was caught.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("panic: {message}")]
pub struct Panic {
    message: String,
}

impl Panic {
    /// Takes the message out of the payload of a panic.
    pub(crate) fn new(payload: Box<dyn Any + Send>) -> Self {
        let message = match payload.downcast::<String>() {
            Ok(text) => *text,
            Err(other) => other
                .downcast_ref::<&str>()
                .map_or_else(|| "no message".to_owned(), |text| (*text).to_owned()),
        };
        Self { message }
    }
}

/// Calls `work` and catches a panic in it.
///
/// State that `work` shares with others may have been changed in part.
///
/// # Errors
///
/// Returns the [`Panic`].
pub fn catch_sync<T>(work: impl FnOnce() -> T) -> Result<T, Panic> {
    catch_unwind(AssertUnwindSafe(work)).map_err(Panic::new)
}

/// Runs `work` to its end and catches a panic in it, like [`catch_sync`].
///
/// # Errors
///
/// Returns the [`Panic`].
pub async fn catch<T>(work: impl Future<Output = T>) -> Result<T, Panic> {
    let mut work = pin!(work);
    std::future::poll_fn(|context| match catch_sync(|| work.as_mut().poll(context)) {
        Ok(poll) => poll.map(Ok),
        Err(panic) => Poll::Ready(Err(panic)),
    })
    .await
}
