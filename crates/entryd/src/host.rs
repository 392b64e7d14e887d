//! State shared by the tasks of one entry host.
//!
//! Lock order: `adoption` before a state machine; at most one state machine is locked at a time, and
//! no lock is held across an `await`.

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

use crate::calls::Calls;
use crate::lifecycle::Watch;
use crate::metrics::Metrics;
use crate::plan::Sites;
use crate::reports::Heard;
use crate::settings::Settings;
use crate::stats::Stats;
use crate::upstream::Upstreams;
use crate::waiting::Waiting;

/// The router, with the requests in its queues.
pub(crate) type Routing = Waiting<Router, wagtail_route::Ticket, Start>;
/// Admission by quota, with the requests that wait for tokens.
pub(crate) type Limiting = Waiting<Quota, wagtail_quota::Ticket, wagtail_quota::Resolution>;
/// Duplicate suppression, with the requests that wait for an attempt in flight.
pub(crate) type Deduping = Waiting<Deduplicator, wagtail_once::Ticket, wagtail_once::Resolution>;
/// Membership; no request waits for it.
pub(crate) type Membership = Waiting<Member, (), ()>;
/// Configuration sync; no request waits for it.
pub(crate) type Syncing = Waiting<ConfigSync, (), ()>;

/// The result for a queued request: a leased slot or a refusal.
pub(crate) type Start = Result<wagtail_route::Lease, wagtail_types::Verdict>;

/// The shared state of one entry host.
pub(crate) struct Host {
    /// The checked settings.
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
    pub(crate) watch: Watch,
    /// Held while a view is put in force; locked before any state machine.
    pub(crate) adopting: Mutex<()>,
    /// The configuration in force.
    pub(crate) view: ArcSwap<View>,
    /// Client address blocks and sites of the configuration in force.
    pub(crate) sites: ArcSwap<Sites>,
    /// The ordered hosts that answer look-ups.
    pub(crate) directory: ArcSwap<Directory>,
    /// The contact mode.
    pub(crate) mode: ArcSwap<Mode>,
    /// Endpoint choice and queues.
    pub(crate) routing: Routing,
    /// Admission by quota.
    pub(crate) limiting: Limiting,
    /// Duplicate suppression.
    pub(crate) deduping: Deduping,
    /// Membership.
    pub(crate) membership: Membership,
    /// Configuration sync.
    pub(crate) syncing: Syncing,
    /// When each endpoint last reported its state.
    pub(crate) heard: Heard,
    /// Connections to endpoints.
    pub(crate) upstreams: Upstreams,
    /// Connections to other hosts.
    pub(crate) peer: std::sync::OnceLock<Peer>,
    /// Memory for bodies buffered whole, in units of `BODY_UNIT_BYTES`.
    pub(crate) bodies: Arc<Semaphore>,
    /// Scheduled calls to the platform.
    pub(crate) calls: Calls,
    /// The platform.
    pub(crate) platform: Arc<dyn Platform>,
    /// Signals that a configuration is in force.
    pub(crate) adopted: Notify,
    /// Signals that every quota shard is released.
    pub(crate) released: Notify,
    /// Signals that a newer incarnation of this host is running.
    pub(crate) replaced: Notify,
    /// The lower half of the next attempt id.
    pub(crate) attempts: AtomicU64,
    /// The upper half of attempt ids, drawn at random at the start.
    pub(crate) salt: u64,
}

impl Host {
    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns a new attempt id, unique across hosts and incarnations.
    pub(crate) fn attempt(&self) -> AttemptId {
        let low = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId(u128::from(self.salt) << 64 | u128::from(low))
    }

    /// Returns how long this host has been cut off; `None` if it is not.
    pub(crate) fn cut_off(&self, now: Instant) -> Option<Duration> {
        match **self.mode.load() {
            Mode::CutOff { since } => Some(now.saturating_duration_since(since)),
            Mode::Current | Mode::PlatformOut => None,
        }
    }

    /// Returns whether `other` is in another region. An unknown host counts as such.
    pub(crate) fn is_far(&self, other: &HostId) -> bool {
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
pub(crate) fn rng(seed: u64) -> StdRng {
    if seed == 0 {
        StdRng::from_os_rng()
    } else {
        StdRng::seed_from_u64(seed)
    }
}
