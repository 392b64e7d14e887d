//! State shared by the tasks of one entry host.
//!
//! Lock order: `adoption` or `publishing`, never both, before a state machine; at most one state
//! machine is locked at a time, and no lock is held across an `await`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::{Notify, Semaphore};
use wagtail_config::{ConfigSync, View};
use wagtail_member::{Member, Mode};
use wagtail_once::Deduplicator;
use wagtail_peer::Peer;
use wagtail_quota::Quota;
use wagtail_route::{Directory, Router};
use wagtail_store::Platform;
use wagtail_types::{AttemptId, Clock, HostId, Incarnation};

use crate::calls::PlatformCalls;
use crate::derived::Sites;
use crate::lifecycle::Watch;
use crate::listed::ListedHosts;
use crate::machine::SharedMachine;
use crate::metrics::Metrics;
use crate::reports::LastReports;
use crate::settings::Settings;
use crate::stats::Stats;
use crate::upstream::Upstreams;

/// The router, with the requests in its queues.
pub(crate) type RoutingMachine = SharedMachine<Router, wagtail_route::Ticket, Start>;
/// Admission by quota, with the requests that wait for tokens.
pub(crate) type QuotaMachine =
    SharedMachine<Quota, wagtail_quota::Ticket, wagtail_quota::Resolution>;
/// Duplicate suppression, with the requests that wait for an attempt in flight.
pub(crate) type DedupMachine =
    SharedMachine<Deduplicator, wagtail_once::Ticket, wagtail_once::Resolution>;
/// Membership; no request waits for it.
pub(crate) type MembershipMachine = SharedMachine<Member, (), ()>;
/// Configuration sync; no request waits for it.
pub(crate) type ConfigSyncMachine = SharedMachine<ConfigSync, (), ()>;

/// The result for a queued request: a leased slot or a refusal.
pub(crate) type Start = Result<wagtail_route::Lease, wagtail_types::Verdict>;

/// The shared state of one entry host.
pub(crate) struct Host {
    /// The validated settings, fixed while the host runs.
    pub(crate) settings: Settings,
    /// The incarnation of the local host.
    pub(crate) incarnation: Incarnation,
    /// The source of monotonic and wall-clock time.
    pub(crate) clock: Arc<dyn Clock>,
    /// The logger; only changes of state are logged.
    pub(crate) log: Logger,
    /// Counters and gauges.
    pub(crate) metrics: Metrics,
    /// Latency and refusals per team and service.
    pub(crate) stats: Stats,
    /// The lifecycle phase and the running requests.
    pub(crate) lifecycle: Watch,
    /// Held while a view is put in force; locked before any state machine.
    pub(crate) adoption: Mutex<()>,
    /// Since when the configuration cannot be read from the platform; `None` if it can.
    pub(crate) reads_failing: Mutex<Option<Instant>>,
    /// Held while the known hosts are passed to the router; locked before any state machine.
    pub(crate) publishing: Mutex<()>,
    /// The configuration in force.
    pub(crate) view: ArcSwap<View>,
    /// Client address blocks and sites of the configuration in force.
    pub(crate) sites: ArcSwap<Sites>,
    /// The order of hosts that look-ups return.
    pub(crate) directory: ArcSwap<Directory>,
    /// Whether the table service can be reached; updated when membership reports a change.
    pub(crate) mode: ArcSwap<Mode>,
    /// Endpoint choice and queues.
    pub(crate) routing: RoutingMachine,
    /// Admission by quota.
    pub(crate) quota: QuotaMachine,
    /// Duplicate suppression.
    pub(crate) dedup: DedupMachine,
    /// Membership.
    pub(crate) membership: MembershipMachine,
    /// The hosts of the platform's list.
    pub(crate) listed: ListedHosts,
    /// Configuration sync.
    pub(crate) config_sync: ConfigSyncMachine,
    /// When each endpoint last reported its state.
    pub(crate) last_reports: LastReports,
    /// Connections to endpoints.
    pub(crate) upstreams: Upstreams,
    /// Connections to other hosts.
    pub(crate) peer: std::sync::OnceLock<Peer>,
    /// Memory for bodies buffered whole, in units of `BODY_UNIT_BYTES`.
    pub(crate) body_memory: Arc<Semaphore>,
    /// Scheduled calls to the platform.
    pub(crate) calls: PlatformCalls,
    /// The table service, object store and host list of the platform.
    pub(crate) platform: Arc<dyn Platform>,
    /// Signals that a configuration is in force.
    pub(crate) adopted: Notify,
    /// Signals that every quota shard is released.
    pub(crate) released: Notify,
    /// Signals that a newer incarnation of this host is running.
    pub(crate) replaced: Notify,
    /// The lower half of the next attempt id.
    pub(crate) next_attempt: AtomicU64,
    /// The upper half of attempt ids, drawn at random at the start.
    pub(crate) attempt_prefix: u64,
}

impl Host {
    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns a new attempt id, unique across hosts and incarnations.
    pub(crate) fn new_attempt(&self) -> AttemptId {
        let low = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        AttemptId(u128::from(self.attempt_prefix) << 64 | u128::from(low))
    }

    /// Returns how long this host has been cut off; `None` if it is not.
    pub(crate) fn cut_off(&self, now: Instant) -> Option<Duration> {
        match **self.mode.load() {
            Mode::CutOff { since } => Some(now.saturating_duration_since(since)),
            Mode::Current | Mode::PlatformOut => None,
        }
    }

    /// Returns whether `other` is in another region. An unknown host counts as such.
    pub(crate) fn is_cross_region(&self, other: &HostId) -> bool {
        let view = self.view.load();
        let region = view
            .hosts()
            .get(other)
            .and_then(|h| view.region_of(&h.zone));
        region.is_none_or(|region| *region != self.settings.region)
    }

    /// Returns the connections to other hosts; `None` before they are set up.
    pub(crate) fn peer(&self) -> Option<&Peer> {
        self.peer.get()
    }
}

/// Creates a seeded random number generator; a seed of 0 draws one at random.
pub(crate) fn seeded_rng(seed: u64) -> StdRng {
    if seed == 0 {
        StdRng::from_os_rng()
    } else {
        StdRng::seed_from_u64(seed)
    }
}
