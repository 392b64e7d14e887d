//! Failures of calls to the platform, and whether the call may have taken effect.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::RowKey;

/// Tells why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The service could not be reached: the call was not sent, or only reads.
    #[display("platform unavailable: {reason}")]
    Unavailable {
        /// Why the call was not sent, or why a read got no usable answer.
        reason: String,
    },
    /// The call took no effect: the service rejected it, or what a read returned is unusable.
    #[display("not applied: {reason}")]
    NotApplied {
        /// Why it took no effect.
        reason: String,
        /// How long to wait before another attempt, if one can help.
        retry: Option<Duration>,
    },
    /// A row did not have the version that the transaction required; nothing was applied.
    #[display("conflict on {key}")]
    Conflict {
        /// The key of a row whose version differed; others may have differed, too.
        key: RowKey,
    },
    /// The call was sent, but no complete answer came: it may have been applied, or may still be.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// Why there is no complete answer, for example a timeout or a lost connection.
        reason: String,
    },
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "they are passed to map_err by name"
)]
impl PlatformError {
    /// Creates the error for a service that cannot be reached.
    pub fn unavailable(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::Unavailable { reason }
    }

    /// Creates the error for a call that got no usable answer.
    pub fn unknown(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::Unknown { reason }
    }

    /// Creates the error for a call that took no effect, without a time for another attempt.
    pub fn not_applied(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::NotApplied {
            reason,
            retry: None,
        }
    }

    /// Returns whether the call may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}
