//! The limit that an endpoint names on the requests of all hosts together.

use std::time::Instant;

use wagtail_types::Rate;

/// What an endpoint's answer says of the number of requests that the endpoint takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing that can be relied on.
    #[default]
    Unknown,
    /// The endpoint names no limit.
    Unlimited,
    /// The endpoint takes so many requests of all hosts together.
    Limited(Rate),
}

/// A change of the limit that an endpoint names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// It names its first limit, or another one.
    Set(Rate),
    /// It names none any more.
    Ended,
}

/// The last word of an endpoint on its limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NamedLimit {
    /// `None` if the endpoint takes as many requests as it has slots for.
    pub(crate) rate: Option<Rate>,
    /// When it said so.
    pub(crate) at: Instant,
}

/// The limit of an endpoint, as the local host knows it.
#[derive(Debug, Default)]
pub(crate) struct EndpointLimit {
    named: Option<NamedLimit>,
}

impl EndpointLimit {
    /// Returns the limit in force.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.named.and_then(|n| n.rate)
    }

    /// Records what an answer says to a request that was sent at `sent`. An answer without a limit
    /// ends one only if the request was sent after the endpoint last named it, as answers can overtake
    /// each other.
    pub(crate) fn hear(
        &mut self,
        notice: LimitNotice,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let before = self.rate();
        let rate = match notice {
            LimitNotice::Unknown => return None,
            LimitNotice::Unlimited => {
                let named = self.named.filter(|n| n.rate.is_some())?;
                if sent <= named.at {
                    return None;
                }
                None
            }
            LimitNotice::Limited(rate) => Some(rate),
        };
        self.named = Some(NamedLimit { rate, at: now });
        match rate {
            Some(rate) if before != Some(rate) => Some(LimitChange::Set(rate)),
            Some(_) => None,
            None => Some(LimitChange::Ended),
        }
    }
}
