//! The departure of a host: its stages, and which requests still end before its process does.

use std::time::{Duration, Instant};

/// The time for which a leaving host accepts connections, because directory responses remain valid for
/// some time and the digest with its state must reach the other hosts.
const ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The same as a part of the grace time, if that is shorter.
const ACCEPT_PART: u32 = 2;
/// The time before the end of the grace time at which unfinished requests get an answer of the host; what
/// remains is for the delivery of all answers to callers that are far away.
const CUT_MARGIN: Duration = Duration::from_millis(500);
/// The same as a part of the grace time, if that is shorter.
const CUT_PART: u32 = 8;
/// The time before the end of the grace time at which the process ends. The platform counts from the signal,
/// and a host that is short of processor time notices it up to a tenth of a second later.
const END_MARGIN: Duration = Duration::from_millis(200);
/// The same as a part of the grace time, if that is shorter.
const END_PART: u32 = 20;
/// The multiple of its expected time in which almost every request ends.
const RESERVE_FACTOR: u32 = 3;
/// The shortest time that is reserved for a request.
const RESERVE_MIN: Duration = Duration::from_millis(700);

/// The stages of a host's life, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum HostStage {
    /// The host accepts connections.
    Open,
    /// The host still accepts connections, and closes each after its response.
    Leaving,
    /// The host accepts no further connections, and closes those that bring no request.
    Closed,
    /// Requests without a response get one of the host, and no further ones are read.
    Ending,
}

/// The times of a departure.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    began: Instant,
    grace: Duration,
}

impl Departure {
    /// Creates a departure that began at a time. The process is killed `grace` later.
    pub fn new(began: Instant, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Returns the time since it began.
    pub fn age(&self, now: Instant) -> Duration {
        now.duration_since(self.began)
    }

    /// Returns the time until which connections are accepted.
    pub fn accepts_until(&self) -> Instant {
        self.began + ACCEPT_TIME.min(self.grace / ACCEPT_PART)
    }

    /// Returns the time at which requests without a response get one of the host.
    pub fn cut(&self) -> Instant {
        self.before_kill(CUT_MARGIN.min(self.grace / CUT_PART))
    }

    /// Returns the time at which the process ends, whatever is left to do.
    pub fn end(&self) -> Instant {
        self.before_kill(END_MARGIN.min(self.grace / END_PART))
    }

    /// Returns the time from which on no request is passed on.
    pub fn last_start(&self) -> Instant {
        let reserve = RESERVE_MIN.min(self.grace / ACCEPT_PART);
        self.before_kill(CUT_MARGIN.min(self.grace / CUT_PART) + reserve)
    }

    fn before_kill(&self, margin: Duration) -> Instant {
        self.began + self.grace.saturating_sub(margin)
    }

    /// Returns the time from `now` until requests are cut.
    pub fn left(&self, now: Instant) -> Duration {
        self.cut().saturating_duration_since(now)
    }

    /// Returns whether a request that is expected to take `expected` may be passed on. While another host
    /// is ready (`elsewhere`), or after connections are accepted no longer, it must almost certainly end in
    /// time; otherwise it need only be expected to.
    pub fn permits(&self, expected: Duration, elsewhere: bool, now: Instant) -> bool {
        let strict = elsewhere || now >= self.accepts_until();
        let needed = if strict {
            RESERVE_MIN.max(expected * RESERVE_FACTOR)
        } else {
            expected
        };
        now < self.last_start() && needed <= self.left(now)
    }
}

/// What a connection of a caller still takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// Any number of requests.
    Open,
    /// One more request.
    Last,
    /// No request.
    Done,
}

impl Intake {
    /// Creates the intake of a connection that is accepted in a stage of its host.
    pub fn new(stage: HostStage) -> Self {
        match stage {
            HostStage::Open => Self::Open,
            HostStage::Leaving => Self::Last,
            HostStage::Closed | HostStage::Ending => Self::Done,
        }
    }

    /// Returns the intake after the host has entered a stage. `begun` tells whether bytes of a further request
    /// have arrived.
    #[must_use]
    pub fn enter(self, stage: HostStage, begun: bool) -> Self {
        match stage {
            HostStage::Open => self,
            HostStage::Leaving | HostStage::Closed if begun && self != Self::Done => Self::Last,
            HostStage::Leaving | HostStage::Closed | HostStage::Ending => Self::Done,
        }
    }

    /// Returns the intake after a request was taken. `last` tells whether the caller sends no further one.
    #[must_use]
    pub fn take(self, last: bool) -> Self {
        match self {
            Self::Open if !last => Self::Open,
            _ => Self::Done,
        }
    }
}
