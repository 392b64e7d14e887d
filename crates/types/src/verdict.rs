//! The verdict on a failed request: whether it may have run.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::ParseError;

/// States whether a request that got no whole answer may have run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Verdict {
    /// The request has not run anywhere and never will; it may be sent again.
    #[display("not-run: {reason}")]
    NotRun {
        /// Why the request was rejected.
        reason: Reason,
        /// How long to wait before a new attempt can succeed, or `None` if waiting alone does not
        /// help.
        retry: Option<Duration>,
    },
    /// Part of the request may have reached an endpoint.
    #[display("may-have-run: {cause}")]
    MayHaveRun {
        /// What interrupted the request.
        cause: Cause,
    },
}

impl Verdict {
    /// Creates the verdict on a request that was rejected before dispatch.
    pub fn not_run(reason: Reason, retry: impl Into<Option<Duration>>) -> Self {
        Self::NotRun {
            reason,
            retry: retry.into(),
        }
    }

    /// Creates the verdict on a request that failed after its first byte may have been sent.
    pub fn may_have_run(cause: Cause) -> Self {
        Self::MayHaveRun { cause }
    }

    /// Returns whether the request is known not to have run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

macro_rules! labels {
    ($(#[$doc:meta])* $name:ident, $what:literal { $($(#[$vdoc:meta])* $variant:ident => $label:literal,)* }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$vdoc])* #[display($label)] $variant,)*
        }

        impl $name {
            /// All values in a fixed order.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the value as written in headers, metrics and messages.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $label,)*
                }
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                Self::ALL
                    .iter()
                    .copied()
                    .find(|v| v.as_str() == text)
                    .ok_or_else(|| ParseError::new($what, text, "it is not a known value"))
            }
        }
    };
}

labels!(
    /// The reason why a request was rejected before it ran.
    Reason, "rejection reason" {
        /// The request is malformed, over a size limit, or reuses the idempotency key of another
        /// request.
        BadRequest => "bad-request",
        /// The team's API key is missing, unknown or withdrawn.
        Unauthorized => "unauthorized",
        /// The team has no entitlement to the service or to any region that could serve it.
        Forbidden => "forbidden",
        /// No such service is configured.
        UnknownService => "unknown-service",
        /// The team's rate and burst are used up.
        OverRate => "over-rate",
        /// No slot became free before the deadline, or a limit of the host is reached.
        Overloaded => "overloaded",
        /// No healthy endpoint can be reached.
        NoEndpoint => "no-endpoint",
        /// A cap on spillover or on bytes between regions is reached.
        Capped => "capped",
        /// The deadline passed before dispatch.
        DeadlinePassed => "deadline-passed",
        /// The host is stopping or not yet ready.
        Unavailable => "unavailable",
        /// The host is cut off, and the team is configured to have requests refused then.
        CutOff => "cut-off",
        /// The idempotency key has expired, was never issued, or its issuer is gone.
        KeyExpired => "key-expired",
        /// The idempotency key cannot be claimed now.
        ClaimFailed => "claim-failed",
        /// The endpoint reported that it did not run the request.
        EndpointRefused => "endpoint-refused",
        /// The connection to the endpoint or host could not be made.
        ConnectFailed => "connect-failed",
    }
);

labels!(
    /// The cause that interrupted a request after it may have run.
    Cause, "failure cause" {
        /// The connection broke after the first byte was sent.
        Broken => "broken",
        /// The deadline passed while the request was running.
        Timeout => "timeout",
        /// The answer was cut short or malformed.
        BadAnswer => "bad-answer",
        /// The host that issued or claimed the idempotency key is no longer running.
        IssuerGone => "issuer-gone",
        /// The request was relayed to another host, which did not report whether it ran.
        RelayLost => "relay-lost",
        /// An earlier attempt at the request has an unknown outcome.
        Unknown => "unknown",
    }
);
