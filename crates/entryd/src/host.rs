//! What the parts of one entry host share.
//!
//! Lock order: `adopting` before a machine; at most one machine is locked at a time, and no lock is held over an `await`.

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

/// Endpoint choice with the requests that wait in its queues.
pub(crate) type Routing = Waiting<Router, wagtail_route::Ticket, Start>;
/// Admission with the requests that wait for tokens.
pub(crate) type Limiting = Waiting<Quota, wagtail_quota::Ticket, wagtail_quota::Resolution>;
/// Duplicate suppression with the requests that wait for a first attempt.
pub(crate) type Deduping = Waiting<Deduplicator, wagtail_once::Ticket, wagtail_once::Resolution>;
/// Membership; nothing waits for it.
pub(crate) type Membership = Waiting<Member, (), ()>;
/// Adoption of configurations; nothing waits for it.
pub(crate) type Syncing = Waiting<ConfigSync, (), ()>;

/// How a queued request goes on.
pub(crate) type Start = Result<wagtail_route::Lease, wagtail_types::Verdict>;

/// Everything that the host's tasks share.
pub(crate) struct Host {
    /// The checked settings.
    pub(crate) settings: Settings,
    /// This life of the host.
    pub(crate) incarnation: Incarnation,
    /// The time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Log lines, for changes of state.
    pub(crate) log: Logger,
    /// Counters and gauges.
    pub(crate) metrics: Metrics,
    /// Latency and refusals per team and service.
    pub(crate) stats: Stats,
    /// The life cycle.
    pub(crate) watch: Watch,
    /// Held while a view is put in force, before any machine is locked.
    pub(crate) adopting: Mutex<()>,
    /// The configuration in force.
    pub(crate) view: ArcSwap<View>,
    /// Client blocks and sites of that configuration.
    pub(crate) sites: ArcSwap<Sites>,
    /// Look-up answers.
    pub(crate) directory: ArcSwap<Directory>,
    /// Contact to the platform.
    pub(crate) mode: ArcSwap<Mode>,
    /// Endpoint choice.
    pub(crate) routing: Routing,
    /// Admission.
    pub(crate) limiting: Limiting,
    /// Duplicate suppression.
    pub(crate) deduping: Deduping,
    /// Membership.
    pub(crate) membership: Membership,
    /// Adoption of configurations.
    pub(crate) syncing: Syncing,
    /// When endpoints last reported.
    pub(crate) heard: Heard,
    /// Connections to endpoints.
    pub(crate) upstreams: Upstreams,
    /// Connections to other hosts.
    pub(crate) peer: std::sync::OnceLock<Peer>,
    /// Memory for bodies that are held whole, in units.
    pub(crate) bodies: Arc<Semaphore>,
    /// Turns at the platform.
    pub(crate) calls: Calls,
    /// The platform.
    pub(crate) platform: Arc<dyn Platform>,
    /// Signals that a configuration is in force.
    pub(crate) adopted: Notify,
    /// Signals that every quota shard is handed back.
    pub(crate) released: Notify,
    /// Signals that a later life of this host is there.
    pub(crate) replaced: Notify,
    /// Numbers attempts; the upper half is drawn at start.
    pub(crate) attempts: AtomicU64,
    /// The upper half of attempt numbers.
    pub(crate) salt: u64,
}

impl Host {
    /// The present instant.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A new attempt id, unique over hosts and lives.
    pub(crate) fn attempt(&self) -> AttemptId {
        let low = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId(u128::from(self.salt) << 64 | u128::from(low))
    }

    /// How long this host has been cut off, where it is.
    pub(crate) fn cut_off(&self, now: Instant) -> Option<Duration> {
        match **self.mode.load() {
            Mode::CutOff { since } => Some(now.saturating_duration_since(since)),
            Mode::Current | Mode::PlatformOut => None,
        }
    }

    /// Whether another host is in another region.
    pub(crate) fn is_far(&self, other: &HostId) -> bool {
        let view = self.view.load();
        let region = view
            .hosts()
            .get(other)
            .and_then(|h| view.region_of(&h.zone));
        region.is_none_or(|region| *region != self.settings.region)
    }

    /// The connections to other hosts; `None` before they are up.
    pub(crate) fn peer(&self) -> Option<&Peer> {
        self.peer.get()
    }
}

/// A seeded source of random numbers; a seed of 0 draws one.
pub(crate) fn rng(seed: u64) -> StdRng {
    if seed == 0 {
        StdRng::from_os_rng()
    } else {
        StdRng::seed_from_u64(seed)
    }
}
