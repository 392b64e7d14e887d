//! The settings of membership.

use std::time::Duration;

use wagtail_types::Incarnation;

use crate::HostInfo;

const SHORTEST_INTERVAL: Duration = Duration::from_millis(200);
const LONGEST_INTERVAL: Duration = Duration::from_secs(1);
const INTERVAL_PER_HOST: Duration = Duration::from_micros(3_333);

/// The settings of one host's membership. Times that depend on the fleet's size are methods.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub own: HostInfo,
    /// This life of it, at least 1 and higher than any before.
    pub incarnation: Incarnation,
    /// The longest estimate of a message's bytes.
    pub message_max: usize,
    /// How many hosts are asked to probe for another.
    pub helpers: usize,
    /// The longest round trip between two hosts.
    pub round_trip: Duration,
    /// How many intervals a suspect has to refute.
    pub suspicion_intervals: u32,
    /// A gap between two calls longer than this counts as a pause.
    pub pause_limit: Duration,
    /// How often the host polls the table service.
    pub poll_interval: Duration,
    /// The deliberate fault of a test.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Settings {
    /// The usual settings of a host.
    pub fn new(own: HostInfo, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            message_max: 900,
            helpers: 3,
            round_trip: Duration::from_millis(100),
            suspicion_intervals: 5,
            pause_limit: Duration::from_secs(2),
            poll_interval: Duration::from_secs(1),
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    /// The time between two probes in a fleet of `hosts`.
    pub fn interval(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        INTERVAL_PER_HOST
            .saturating_mul(hosts)
            .clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
    }

    /// How long a suspect has to refute.
    pub fn suspicion(&self, hosts: usize) -> Duration {
        self.interval(hosts) * self.suspicion_intervals + self.round_trip
    }

    /// How long a zone counts as heard after a host of it made a summary.
    pub fn zone_limit(&self, hosts: usize) -> Duration {
        const INTERVALS: u32 = 15;
        self.interval(hosts) * INTERVALS + self.round_trip
    }

    /// How long a contact with the table service counts.
    pub fn contact_limit(&self, hosts: usize) -> Duration {
        self.poll_interval * 2 + self.zone_limit(hosts)
    }

    /// The time within which every connected host holds a host for dead that has stopped.
    pub fn detection(&self, hosts: usize) -> Duration {
        const SPREAD_INTERVALS: u32 = 4;
        const RING_INTERVALS: u32 = 3;
        let doublings = hosts.max(2).ilog2() + 1;
        let interval = self.interval(hosts);
        interval * (RING_INTERVALS + SPREAD_INTERVALS + doublings)
            + self.round_trip * 3
            + self.suspicion(hosts)
    }

    /// Whether the deliberate fault `mutant` is switched on.
    #[cfg(feature = "mutants")]
    pub(crate) fn broken(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Without the feature there are no faults to switch on.
    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "the same call as with the feature")]
    pub(crate) const fn broken(&self, _: Mutant) -> bool {
        false
    }
}

/// A deliberate fault that tests must find.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A suspect is never declared dead.
    NeverDead,
    /// A host does not refute that it is suspect or dead.
    NoRefute,
    /// News of an earlier life displaces a later one.
    OldLife,
    /// News is kept to oneself.
    NoSpread,
    /// Half of the zones count as a majority.
    HalfIsMajority,
    /// Contact of other zones is not counted.
    OwnContactOnly,
    /// A pause goes unnoticed.
    IgnorePause,
    /// A peer's freshness counts without its epoch.
    AnyEpoch,
}
