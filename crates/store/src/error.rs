//! Why a call to the platform failed, and whether it may have taken effect.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::RowKey;

/// The failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The service could not be reached; nothing was sent, or nothing was asked to change.
    #[display("platform unavailable: {reason}")]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The service answered that it did nothing.
    #[display("not applied: {reason}")]
    NotApplied {
        /// What it said.
        reason: String,
        /// When to try again, where that can help.
        retry: Option<Duration>,
    },
    /// A row was not at the version that the transaction checked; nothing was applied.
    #[display("conflict on {key}")]
    Conflict {
        /// The row.
        key: RowKey,
    },
    /// The call was sent and no whole answer came: it may have been applied, or may be yet.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// What happened.
        reason: String,
    },
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "they are passed to map_err by name"
)]
impl PlatformError {
    /// A service that cannot be reached.
    pub fn unavailable(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::Unavailable { reason }
    }

    /// A call whose answer is missing.
    pub fn unknown(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::Unknown { reason }
    }

    /// A call that the service turned down.
    pub fn not_applied(reason: impl ToString) -> Self {
        let reason = reason.to_string();
        Self::NotApplied {
            reason,
            retry: None,
        }
    }

    /// Whether the call may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}
