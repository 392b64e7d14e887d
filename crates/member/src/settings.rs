//! Settings of membership and the timeouts derived from them.

use std::time::Duration;

use wagtail_types::Incarnation;

use crate::HostInfo;

const MIN_INTERVAL: Duration = Duration::from_millis(200);
const MAX_INTERVAL: Duration = Duration::from_secs(1);
const INTERVAL_PER_HOST: Duration = Duration::from_micros(3_333);

/// Settings of one host's membership. Times that depend on the fleet size are methods.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The local host; it stays in the roster even if no list contains it.
    pub local: HostInfo,
    /// The local host's incarnation, at least 1 and higher than any before.
    pub incarnation: Incarnation,
    /// The limit on [`Message::size`](crate::Message::size), in bytes.
    pub message_max: usize,
    /// How many hosts are asked to probe a target that did not answer.
    pub indirect_probes: usize,
    /// The longest round trip between two hosts.
    pub round_trip: Duration,
    /// How many probe intervals a suspect has to refute the suspicion.
    pub suspicion_intervals: u32,
    /// A gap between two calls that is longer than this counts as a pause of the process.
    pub pause_limit: Duration,
    /// How often the host polls the table service.
    pub poll_interval: Duration,
    /// The deliberate fault that a test injects.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Settings {
    /// Creates the default settings of a host.
    pub fn new(local: HostInfo, incarnation: Incarnation) -> Self {
        Self {
            local,
            incarnation,
            message_max: 900,
            indirect_probes: 3,
            round_trip: Duration::from_millis(100),
            suspicion_intervals: 5,
            pause_limit: Duration::from_secs(2),
            poll_interval: Duration::from_secs(1),
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    /// Returns the time between two probes in a fleet of `hosts`.
    pub fn probe_interval(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        INTERVAL_PER_HOST
            .saturating_mul(hosts)
            .clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Returns how long a suspect has to refute the suspicion before it is declared dead.
    pub fn suspicion_timeout(&self, hosts: usize) -> Duration {
        self.probe_interval(hosts) * self.suspicion_intervals + self.round_trip
    }

    /// Returns how long a zone counts as heard from after one of its hosts created a summary.
    pub fn summary_timeout(&self, hosts: usize) -> Duration {
        const INTERVALS: u32 = 15;
        self.probe_interval(hosts) * INTERVALS + self.round_trip
    }

    /// Returns how long a contact with the table service counts.
    pub fn contact_timeout(&self, hosts: usize) -> Duration {
        self.poll_interval * 2 + self.summary_timeout(hosts)
    }

    /// Returns the failure-detection timeout: the time within which every connected host declares a
    /// stopped host dead.
    pub fn detection_timeout(&self, hosts: usize) -> Duration {
        const SPREAD_INTERVALS: u32 = 4;
        const RING_INTERVALS: u32 = 3;
        let doublings = hosts.max(2).ilog2() + 1;
        let interval = self.probe_interval(hosts);
        interval * (RING_INTERVALS + SPREAD_INTERVALS + doublings)
            + self.round_trip * 3
            + self.suspicion_timeout(hosts)
    }

    /// Returns whether the deliberate fault `mutant` is enabled.
    #[cfg(feature = "mutants")]
    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns `false`: without the feature `mutants` no fault can be enabled.
    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "same signature as with the feature")]
    pub(crate) const fn has_mutant(&self, _: Mutant) -> bool {
        false
    }
}

/// A deliberate fault that tests must detect.
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
    /// A state of an older incarnation supersedes that of a newer one.
    OldIncarnation,
    /// Changed states are not gossiped.
    NoGossip,
    /// Half of the zones count as a majority.
    HalfIsMajority,
    /// Contacts of other zones with the table service do not count.
    LocalContactOnly,
    /// A pause of the process is not detected.
    IgnorePause,
    /// A peer's freshness counts whatever epoch it refers to.
    AnyEpoch,
}
