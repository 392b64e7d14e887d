//! The pause that an endpoint asks for, and the gradual return of its load afterwards.

use std::time::{Duration, Instant};

/// The longest pause. An endpoint that asks for more is asked again after this time, as the value is
/// more likely a fault than meant.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);

/// Whether an endpoint takes requests of the local host.
#[derive(Debug, Default)]
pub(crate) enum Pause {
    /// As many as it has slots for.
    #[default]
    None,
    /// None until this time.
    Until(Instant),
    /// After a pause, at most this many at a time.
    Returning(u32),
}

impl Pause {
    /// Starts a pause, or extends the current one.
    pub(crate) fn extend(&mut self, time: Duration, now: Instant) {
        let until = now + time.min(PAUSE_MAX);
        *self = match self {
            Self::Until(current) => Self::Until(until.max(*current)),
            Self::None | Self::Returning(_) => Self::Until(until),
        };
    }

    /// Returns the end of the pause, if it is not over.
    pub(crate) fn end(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Until(until) if now < *until => Some(*until),
            _ => None,
        }
    }

    /// Returns whether the endpoint takes fewer requests than it has slots for.
    pub(crate) fn is_limited(&self) -> bool {
        !matches!(self, Self::None)
    }

    /// Returns whether one more request may be sent beside `in_flight` others.
    pub(crate) fn admits(&mut self, in_flight: u32, now: Instant) -> bool {
        if let Self::Until(until) = self
            && *until <= now
        {
            *self = Self::Returning(1);
        }
        match self {
            Self::None => true,
            Self::Until(_) => false,
            Self::Returning(limit) => in_flight < *limit,
        }
    }

    /// Records an answer, after which the endpoint may have twice as many requests, up to its slots.
    pub(crate) fn record_answer(&mut self, slots: u32) {
        if let Self::Returning(limit) = self {
            let doubled = limit.saturating_mul(2);
            *self = if doubled < slots {
                Self::Returning(doubled)
            } else {
                Self::None
            };
        }
    }
}
