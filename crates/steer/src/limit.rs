//! The limit that an endpoint names on the requests of all hosts together.
//!
//! A few hosts, its designated senders, divide the limit between them; other hosts send it nothing
//! meanwhile. The higher the limit, the more they are, so that one that does not bind keeps no host from
//! the endpoint. Senders hear from the endpoint that the limit has changed or ended,
//! and tell the other hosts.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use wagtail_types::Rate;

use crate::bucket::Bucket;

/// The number of designated senders of an endpoint with the lowest limit. There is one more for each
/// request per second of the limit. Each may have saved one request, and a window of some seconds leaves
/// slack for these.
const SENDERS_MIN: usize = 3;
/// The fraction of a limit that hosts use, so that it holds while one of them has not heard of it yet.
const USED_FRACTION: f64 = 0.9;
/// The rate for an endpoint that takes no requests, one in ten seconds, from which hosts hear that it
/// takes some again.
const MIN_RATE: f64 = 0.1;
/// How long a host that may not send to an endpoint believes in its limit without any word of it. Hosts
/// that may send repeat it with each digest.
const MEMORY: Duration = Duration::from_secs(60);
/// How long digests repeat that a limit has ended; longer than most network partitions, as a host that
/// misses it uses the endpoint only after [`MEMORY`].
const END_REPORT_TIME: Duration = Duration::from_secs(20);
/// How long a host that may not send to an endpoint repeats the limit that it has heard; two digest
/// periods between regions.
const REPORT_TIME: Duration = Duration::from_millis(2_200);

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    /// `None` if the endpoint takes as many requests as it has slots for.
    pub(crate) rate: Option<Rate>,
    /// When it said so.
    pub(crate) at: Instant,
    /// Whether it said so to the local host.
    pub(crate) first_hand: bool,
}

/// An endpoint's last word on its limit, for other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The hash of the endpoint's name.
    pub endpoint: u32,
    /// The start of the endpoint's process in milliseconds of wall-clock time, if registered.
    pub started: Option<u64>,
    /// The limit in millionths of a request per second; `None` if it has ended.
    pub micros: Option<u64>,
    /// How long ago the endpoint said so, in milliseconds.
    pub age_ms: u32,
}

/// The limit of an endpoint as the local host knows it, and the requests that the host may still send.
#[derive(Debug)]
pub(crate) struct EndpointLimit {
    named: Option<NamedLimit>,
    /// When any host last said that the limit is in force.
    confirmed: Instant,
    /// The local host's part of the limit; zero if it is no designated sender.
    share: f64,
    bucket: Bucket,
}

impl EndpointLimit {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            named: None,
            confirmed: now,
            share: 0.0,
            bucket: Bucket::empty(now),
        }
    }

    /// Returns the limit in force.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.named.and_then(|n| n.rate)
    }

    /// Returns the limit in force in requests per second.
    pub(crate) fn per_second(&self) -> Option<f64> {
        const MICROS: f64 = 1e6;
        self.rate()
            .map(|rate| (rate.micros() as f64 / MICROS).max(MIN_RATE))
    }

    /// Returns the number of hosts that divide the limit in force.
    pub(crate) fn senders(&self) -> Option<usize> {
        const MICROS: u64 = 1_000_000;
        let per_second = usize::try_from(self.rate()?.micros() / MICROS).unwrap_or(usize::MAX);
        Some(SENDERS_MIN.saturating_add(per_second))
    }

    /// Returns whether the endpoint has ever named a limit.
    pub(crate) fn is_named(&self) -> bool {
        self.named.is_some()
    }

    /// Returns the last word on the limit.
    pub(crate) fn named(&self) -> Option<NamedLimit> {
        self.named
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
        self.set(
            NamedLimit {
                rate,
                at: now,
                first_hand: true,
            },
            now,
        )
    }

    /// Records what another host has heard from the endpoint. Only a newer word changes the limit.
    pub(crate) fn learn(&mut self, named: NamedLimit, now: Instant) -> Option<LimitChange> {
        if named.rate.is_some() && named.rate == self.rate() {
            self.confirmed = now;
        }
        let is_newer = match self.named {
            Some(own) => named.at > own.at && named.rate != own.rate,
            None => named.rate.is_some(),
        };
        is_newer.then(|| self.set(named, now)).flatten()
    }

    /// Sets the last word on the limit.
    pub(crate) fn set(&mut self, named: NamedLimit, now: Instant) -> Option<LimitChange> {
        let before = self.rate();
        self.named = Some(named);
        self.confirmed = now;
        if before.is_none() {
            // Requests were sent without a limit until now.
            self.bucket = Bucket::empty(now);
        }
        match named.rate {
            Some(rate) if before != Some(rate) => Some(LimitChange::Set(rate)),
            None if before.is_some() => Some(LimitChange::Ended),
            _ => None,
        }
    }

    /// Sets the local host's part of the limit.
    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Returns the rate of the local host while the limit is in force, in requests per second.
    fn own_rate(&self) -> Option<f64> {
        let rate = self.per_second()?;
        Some(rate * USED_FRACTION * self.share)
    }

    /// Returns whether the local host may send a request now.
    pub(crate) fn admits(&mut self, now: Instant) -> bool {
        if self.share <= 0.0 && now.duration_since(self.confirmed) >= MEMORY {
            self.named = None;
        }
        let Some(rate) = self.own_rate() else {
            return true;
        };
        rate > 0.0 && self.bucket.allows(rate, now)
    }

    /// Counts a request that is sent while the limit is in force.
    pub(crate) fn take(&mut self) {
        if self.rate().is_some() {
            self.bucket.take();
        }
    }

    /// Returns the time until the endpoint takes another request: of the local host, or of any host if
    /// this one may not send it requests. `None` if there is no limit.
    pub(crate) fn wait(&self, now: Instant) -> Option<Duration> {
        let rate = self.per_second()?;
        Some(match self.own_rate() {
            Some(own) if own > 0.0 => self.bucket.wait(own, now),
            _ => Duration::from_secs_f64(1.0 / rate),
        })
    }

    /// Returns the last word on the limit with its age, if other hosts should hear of it.
    pub(crate) fn report(&self, now: Instant) -> Option<(Option<Rate>, Duration)> {
        let named = self.named.filter(|n| n.first_hand)?;
        let age = now.duration_since(named.at);
        let reports = match named.rate {
            Some(_) => self.share > 0.0 || age < REPORT_TIME,
            None => age < END_REPORT_TIME,
        };
        reports.then_some((named.rate, age))
    }
}
