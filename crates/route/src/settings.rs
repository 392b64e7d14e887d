//! Settings of the router; the defaults suit a small fleet.

use std::time::Duration;

use wagtail_types::{ByteRate, HostId, RegionId, Share, ZoneId};

use crate::mutant::Fault;

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the local host, as in the membership view.
    pub host: HostId,
    /// The zone in which it runs; early handovers need the consent of the peers in this zone.
    pub zone: ZoneId,
    /// The region of that zone; this host holds slots only of endpoints in this region.
    pub region: RegionId,
    /// Division of slots among hosts.
    pub ownership: OwnershipSettings,
    /// Endpoint choice and ejection.
    pub pool: PoolSettings,
    /// The queue of each service.
    pub queue: QueueSettings,
    /// Retries and hedges.
    pub budget: BudgetSettings,
    /// Relays to peers.
    pub spillover: SpilloverSettings,
    pub(crate) fault: Fault,
}

impl Settings {
    /// Returns the default settings for a host.
    pub fn new(host: HostId, zone: ZoneId, region: RegionId) -> Self {
        Self {
            host,
            zone,
            region,
            ownership: OwnershipSettings::default(),
            pool: PoolSettings::default(),
            queue: QueueSettings::default(),
            budget: BudgetSettings::default(),
            spillover: SpilloverSettings::default(),
            fault: Fault::default(),
        }
    }

    /// Returns the same settings with an injected fault.
    #[cfg(feature = "mutants")]
    #[must_use]
    pub fn with_mutant(mut self, mutant: Option<crate::Mutant>) -> Self {
        self.fault.mutant = mutant;
        self
    }
}

/// Division of slots among hosts.
#[derive(Debug, Clone)]
pub struct OwnershipSettings {
    /// The failure-detection timeout: the longest time until every host has seen a membership
    /// change.
    pub detection_timeout: Duration,
    /// The gap between two calls that counts as a process pause; it must be below the time after
    /// which peers consider this host dead.
    pub pause_threshold: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            detection_timeout: Duration::from_secs(2),
            pause_threshold: Duration::from_secs(1),
        }
    }
}

/// Endpoint choice and ejection.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Consecutive failures that eject an endpoint.
    pub max_failures: u32,
    /// The multiple of the median latency above which an endpoint is ejected.
    pub outlier_factor: f64,
    /// Answers needed before the latency of an endpoint is compared.
    pub min_samples: u32,
    /// The largest share of a service's slots that may be ejected at a time.
    pub max_ejected: Share,
    /// The length of the first ejection; it doubles with each further one.
    pub base_ejection: Duration,
    /// The greatest length of an ejection.
    pub max_ejection: Duration,
    /// The time over which a cold endpoint is ramped up to all its slots.
    pub ramp: Duration,
    /// The half-life of the weight of a load report.
    pub report_halflife: Duration,
    /// The interval between comparisons of endpoint latencies.
    pub review_interval: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_failures: 5,
            outlier_factor: 3.0,
            min_samples: 8,
            max_ejected: Share::from_ppm(340_000).unwrap_or(Share::NONE),
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            ramp: Duration::from_secs(10),
            report_halflife: Duration::from_millis(500),
            review_interval: Duration::from_millis(500),
        }
    }
}

/// The queue of each service.
#[derive(Debug, Clone)]
pub struct QueueSettings {
    /// The greatest queue length of one team, in requests.
    pub team_len: usize,
    /// The greatest queue length of a service, in requests.
    pub total_len: usize,
    /// The longest time that a request may be queued.
    pub max_wait: Duration,
    /// The assumed duration of a request before any answer was measured.
    pub assumed_duration: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            team_len: 32,
            total_len: 128,
            max_wait: Duration::from_millis(500),
            assumed_duration: Duration::from_millis(20),
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
    /// The largest saved budget, in attempts.
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

/// Relays to peers.
#[derive(Debug, Clone)]
pub struct SpilloverSettings {
    /// The age at which an advert expires.
    pub advert_ttl: Duration,
    /// The assumed one-way delay between zones of the region.
    pub zone_delay: Duration,
    /// The assumed one-way delay between regions for which none is configured.
    pub region_delay: Duration,
    /// The byte rate at which this host may exchange data with other regions.
    pub byte_rate: ByteRate,
    /// The number of further zones that a request may try after its first relay was refused.
    pub extra_zones: usize,
}

impl Default for SpilloverSettings {
    fn default() -> Self {
        Self {
            advert_ttl: Duration::from_secs(1),
            zone_delay: Duration::from_millis(1),
            region_delay: Duration::from_millis(50),
            byte_rate: ByteRate(50_000_000),
            extra_zones: 1,
        }
    }
}
