//! Settings of the router, with defaults for a small fleet.

use std::time::Duration;

use wagtail_types::{ByteRate, HostId, RegionId, Share, ZoneId};

use crate::mutant::Fault;

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Split of slots among hosts.
    pub owner: OwnerSettings,
    /// Endpoint choice and ejection.
    pub pool: PoolSettings,
    /// The queue of each service.
    pub queue: QueueSettings,
    /// Retries and hedges.
    pub budget: BudgetSettings,
    /// Relays to other hosts.
    pub spill: SpillSettings,
    pub(crate) fault: Fault,
}

impl Settings {
    /// Default settings for a host.
    pub fn new(host: HostId, zone: ZoneId, region: RegionId) -> Self {
        Self {
            host,
            zone,
            region,
            owner: OwnerSettings::default(),
            pool: PoolSettings::default(),
            queue: QueueSettings::default(),
            budget: BudgetSettings::default(),
            spill: SpillSettings::default(),
            fault: Fault::default(),
        }
    }

    /// The same settings with a deliberate fault.
    #[cfg(feature = "mutants")]
    #[must_use]
    pub fn with_mutant(mut self, mutant: Option<crate::Mutant>) -> Self {
        self.fault.mutant = mutant;
        self
    }
}

/// Split of slots among hosts.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// The longest time until every host has seen a change of membership.
    pub detection: Duration,
    /// A gap between two calls that counts as a pause; it must be below the time after which
    /// others take this host for dead.
    pub pause: Duration,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            detection: Duration::from_secs(2),
            pause: Duration::from_secs(1),
        }
    }
}

/// Endpoint choice and ejection.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Failures in a row that eject an endpoint.
    pub failures: u32,
    /// Latency above this multiple of the median ejects an endpoint.
    pub outlier: f64,
    /// Answers needed before latency is judged.
    pub samples: u32,
    /// The share of a service's slots that may be ejected at a time.
    pub ejected: Share,
    /// How long the first ejection lasts; it doubles with each further one.
    pub eject: Duration,
    /// The longest ejection.
    pub eject_max: Duration,
    /// How long a cold endpoint takes until all its slots are used.
    pub ramp: Duration,
    /// The age at which a load report has lost half of its weight.
    pub report_half: Duration,
    /// How often latency is judged.
    pub review: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            failures: 5,
            outlier: 3.0,
            samples: 8,
            ejected: Share::from_ppm(340_000).unwrap_or(Share::NONE),
            eject: Duration::from_secs(2),
            eject_max: Duration::from_secs(60),
            ramp: Duration::from_secs(10),
            report_half: Duration::from_millis(500),
            review: Duration::from_millis(500),
        }
    }
}

/// The queue of each service.
#[derive(Debug, Clone)]
pub struct QueueSettings {
    /// The longest queue of one team.
    pub team_len: usize,
    /// The longest queue of a service.
    pub total_len: usize,
    /// The longest wait in a queue.
    pub wait: Duration,
    /// How long a request takes before any answer has told.
    pub guess: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            team_len: 32,
            total_len: 128,
            wait: Duration::from_millis(500),
            guess: Duration::from_millis(20),
        }
    }
}

/// Retries and hedges.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// Retries as a share of first attempts.
    pub retry: Share,
    /// Hedges as a share of first attempts.
    pub hedge: Share,
    /// Unused budget that is kept, in attempts.
    pub burst: u32,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retry: Share::from_ppm(200_000).unwrap_or(Share::NONE),
            hedge: Share::from_ppm(50_000).unwrap_or(Share::NONE),
            burst: 10,
        }
    }
}

/// Relays to other hosts.
#[derive(Debug, Clone)]
pub struct SpillSettings {
    /// The age at which an advert of free slots expires.
    pub advert_ttl: Duration,
    /// One-way delay between zones of the region.
    pub zone_delay: Duration,
    /// One-way delay between regions for which none is configured.
    pub far_delay: Duration,
    /// Bytes per second that this host may exchange with other regions.
    pub bytes: ByteRate,
    /// Zones that a request may try after the first relay was refused.
    pub more_zones: usize,
}

impl Default for SpillSettings {
    fn default() -> Self {
        Self {
            advert_ttl: Duration::from_secs(1),
            zone_delay: Duration::from_millis(1),
            far_delay: Duration::from_millis(50),
            bytes: ByteRate(50_000_000),
            more_zones: 1,
        }
    }
}
