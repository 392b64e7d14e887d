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

/// Returns the message in the payload of a panic.
pub fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let literal = payload.downcast_ref::<&str>().copied();
    literal
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no message")
}

impl Panic {
    pub(crate) fn new(payload: &(dyn Any + Send)) -> Self {
        Self {
            message: panic_message(payload).to_owned(),
        }
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
    catch_unwind(AssertUnwindSafe(work)).map_err(|payload| Panic::new(&*payload))
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
