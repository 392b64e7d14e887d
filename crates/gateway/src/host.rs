//! The state that the tasks of one host share.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use http::HeaderName;
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};
use wagtail_steer::{
    EndpointKey, Generation, GenerationTag, GenerationTracker, HostState, Observation,
    RegistryView, Steer,
};
use wagtail_types::{self as types, Clock, millis};

use crate::codec::HttpCodec;
use crate::exchange::Exchange;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::registry::Topic;
use crate::request::LogBudget;
use crate::stop::StopState;
use crate::tracker::Tracker;

/// The state that background tasks and requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) steer: RefCell<Steer>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) tracker: Rc<Tracker>,
    pub(crate) memory: Rc<MemoryBudget>,
    /// Changes relayed by other hosts, indexed by topic number; the topic of hosts is not relayed.
    pub(crate) feeds: [Feed; 2],
    /// What the host knows of each topic that has a feed, indexed by topic number.
    knowledge: [Knowledge; 2],
    /// The age up to which knowledge is current while the registry has no changes.
    age_limit: Duration,
    generations: RefCell<GenerationTracker>,
    /// Counts the restores of the registry from an older copy.
    restores: watch::Sender<u64>,
    /// Counts the hints of other hosts at a newer state of the registry.
    hints: watch::Sender<u64>,
    /// The endpoints that are being probed because they closed connections.
    pub(crate) probed: RefCell<HashSet<EndpointKey>>,
    /// Notified when there is news of suspect requests for the other hosts.
    pub(crate) suspect_news: Notify,
    /// Notified when a record of a suspect request is to be changed in the registry.
    pub(crate) suspect_calls: Notify,
    /// The headers of endpoints that this host does not know and has logged.
    pub(crate) unknown_headers: RefCell<HashSet<HeaderName>>,
    clock: Rc<dyn DebugClock>,
    pub(crate) stop: StopState,
    /// The version of the host's registration; `None` if its last write was not confirmed.
    pub(crate) registration: Cell<Option<u64>>,
}

/// The topics that hosts follow and relay.
pub(crate) const FOLLOWED: [Topic; 2] = [Topic::Operator, Topic::Endpoints];

/// What the host knows of a topic of the registry.
#[derive(Debug, Default)]
struct Knowledge {
    /// When the host last had all changes; `None` before its first read.
    confirmed: Cell<Option<Instant>>,
    /// Whether the host lacks changes, or could not ask for them.
    doubted: Cell<bool>,
    /// Whether the log has a line that the knowledge is old.
    reported_old: Cell<bool>,
}

/// The queue of relayed changes of one topic that are not yet applied.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    pages: RefCell<VecDeque<RelayedPage>>,
    arrived: Notify,
}

/// A page of changes that another host has relayed.
#[derive(Debug)]
pub(crate) struct RelayedPage {
    /// The version that the changes follow, or that the registry has reached if there is no page.
    pub(crate) after: u64,
    /// The registry's generation at the other host.
    pub(crate) generation: Option<Generation>,
    /// The registry's response; empty if it was too large to relay.
    pub(crate) page: Bytes,
    /// Whether the page has been looked at during a call.
    pub(crate) seen: bool,
}

/// The time per host over which the hosts spread their calls after a restore of the registry, up to
/// [`SPREAD_MAX`]; each makes a few.
const SPREAD_PER_HOST: Duration = Duration::from_millis(4);
/// The longest delay of a call after a restore, well below the time in which hosts must know of
/// changes again.
const SPREAD_MAX: Duration = Duration::from_secs(1);

/// The maximum number of queued pages; further ones are dropped, and the host then asks the
/// registry for the missing changes.
const FEED_PAGES_MAX: usize = 8;

impl Feed {
    /// Queues a page of changes.
    pub(crate) fn push(&self, page: RelayedPage) {
        let mut pages = self.pages.borrow_mut();
        if pages.len() < FEED_PAGES_MAX {
            pages.push_back(page);
        }
        drop(pages);
        self.arrived.notify_one();
    }

    /// Waits for the next page.
    pub(crate) async fn next(&self) -> RelayedPage {
        loop {
            let next = self.pages.borrow_mut().pop_front();
            match next {
                Some(next) => return next,
                None => self.arrived.notified().await,
            }
        }
    }

    /// Waits for pages that have not been looked at, and returns them. They stay in the queue.
    pub(crate) async fn look(&self) -> Vec<(Option<Generation>, Bytes)> {
        loop {
            let unseen = self.mark_seen();
            if !unseen.is_empty() {
                return unseen;
            }
            self.arrived.notified().await;
        }
    }

    fn mark_seen(&self) -> Vec<(Option<Generation>, Bytes)> {
        let mut pages = self.pages.borrow_mut();
        let unseen = pages.iter_mut().filter(|p| !p.seen && !p.page.is_empty());
        let mark = |page: &mut RelayedPage| {
            page.seen = true;
            (page.generation, page.page.clone())
        };
        unseen.map(mark).collect()
    }

    /// Drops all queued pages.
    pub(crate) fn clear(&self) {
        self.pages.borrow_mut().clear();
    }
}

/// A clock that implements `Debug`, so that structs with a clock can derive it.
pub(crate) trait DebugClock: Clock + std::fmt::Debug {}

impl<C: Clock + std::fmt::Debug> DebugClock for C {}

impl Core {
    pub(crate) fn new(
        steer: Steer,
        log: Logger,
        clock: Rc<dyn DebugClock>,
        age_limit: Duration,
        memory: types::Bytes,
    ) -> Self {
        Self {
            steer: RefCell::new(steer),
            log,
            metrics: Metrics::new(),
            tracker: Rc::default(),
            memory: MemoryBudget::new(memory),
            feeds: Default::default(),
            knowledge: Default::default(),
            age_limit,
            generations: RefCell::default(),
            restores: watch::Sender::new(0),
            hints: watch::Sender::new(0),
            probed: RefCell::default(),
            suspect_news: Notify::new(),
            suspect_calls: Notify::new(),
            unknown_headers: RefCell::default(),
            clock,
            stop: StopState::new(),
            registration: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the wall-clock time in milliseconds; zero if the clock is set before 1970.
    pub(crate) fn wall_millis(&self) -> u64 {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        millis(wall.unwrap_or_default())
    }

    /// Returns whether the host leaves; it never becomes ready again.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.departure().is_some()
    }

    pub(crate) fn state(&self) -> HostState {
        if self.is_leaving() {
            HostState::Leaving
        } else if self.steer.borrow().is_initialized(self.now()) {
            HostState::Ready
        } else {
            HostState::Starting
        }
    }
}

impl Core {
    /// Records the generation that an answer of the registry names. After a restore everything that
    /// was read before is read again.
    pub(crate) fn observe(&self, tag: &GenerationTag) -> Observation {
        let mut generations = self.generations.borrow_mut();
        let before = generations.current().clone();
        let observation = generations.observe(tag);
        drop(generations);
        match observation {
            Observation::Current => {}
            Observation::Restored => {
                if let GenerationTag::Unreadable(text) = tag {
                    warn!(self.log, "generation of the registry cannot be read; taking it as a restore";
                        "text" => text);
                }
                info!(self.log, "registry restored from an older copy; reading all entries again";
                    "generation" => %tag, "before" => %before);
                self.metrics.count("registry_restores", "observed");
                self.steer.borrow_mut().registry_restored(self.now());
                self.restores.send_modify(|count| *count += 1);
            }
            Observation::Outdated => {
                info!(self.log, "registry answered from before its restore; ignoring the answer";
                    "generation" => %tag, "current" => %before);
                self.metrics.count("registry_restores", "outdated-answer");
            }
        }
        observation
    }

    fn knowledge(&self, topic: Topic) -> &Knowledge {
        &self.knowledge[usize::from(topic.number())]
    }

    /// Records that the host has all changes of a topic that the registry had at `at`.
    pub(crate) fn confirm(&self, topic: Topic, at: Instant) {
        let knowledge = self.knowledge(topic);
        let before = knowledge.confirmed.replace(Some(at));
        knowledge.doubted.set(false);
        if knowledge.reported_old.replace(false) {
            let age = before.map_or(Duration::ZERO, |before| at.duration_since(before));
            info!(self.log, "knowledge of the registry is current again";
                "topic" => %topic, "age_ms" => millis(age));
        }
    }

    /// Logs each topic whose knowledge has become older than is normal, once until it is current.
    pub(crate) fn report_age(&self) {
        for topic in FOLLOWED {
            let knowledge = self.knowledge(topic);
            let Some(at) = knowledge.confirmed.get() else {
                continue;
            };
            let age = self.now().duration_since(at);
            if age > self.age_limit && !knowledge.reported_old.replace(true) {
                warn!(self.log, "knowledge of the registry is old";
                    "topic" => %topic, "age_ms" => millis(age));
            }
        }
    }

    /// Records that the host lacks changes of a topic, or could not ask for them.
    pub(crate) fn doubt(&self, topic: Topic) {
        self.knowledge(topic).doubted.set(true);
    }

    /// Returns whether the registry may have changes of a topic that the host lacks for longer than it
    /// takes to follow them.
    pub(crate) fn may_lack_changes(&self, topic: Topic) -> bool {
        let knowledge = self.knowledge(topic);
        let is_old = |at| self.now().duration_since(at) > self.age_limit;
        knowledge.doubted.get() || knowledge.confirmed.get().is_none_or(is_old)
    }

    /// Sets the gauges that tell how old the host's knowledge of the registry is.
    pub(crate) fn record_age(&self) {
        for topic in FOLLOWED {
            if let Some(at) = self.knowledge(topic).confirmed.get() {
                let age = millis(self.now().duration_since(at));
                self.metrics.set("registry_age_ms", &topic.to_string(), age);
            }
        }
        if let Some(catalog) = self.steer.borrow().catalog() {
            self.metrics
                .set("config_version", "in-force", catalog.version().0);
        }
    }

    /// Returns a receiver that changes with each restore of the registry from now on.
    pub(crate) fn restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// Returns a receiver that changes when another host knows of a newer state of the registry.
    pub(crate) fn hints(&self) -> watch::Receiver<u64> {
        self.hints.subscribe()
    }

    /// Returns a random delay that spreads the calls of all hosts after a restore.
    pub(crate) fn restore_delay(&self) -> Duration {
        let hosts = self.steer.borrow().host_count(self.now());
        let spread = SPREAD_PER_HOST.mul_f64(hosts as f64).min(SPREAD_MAX);
        spread.mul_f64(rand::rng().random::<f64>())
    }

    /// Returns what the host knows of the registry, for other hosts.
    pub(crate) fn registry_view(&self) -> RegistryView {
        RegistryView {
            generation: self.generations.borrow().current().known(),
            lost_config: self.steer.borrow().lost_config(),
        }
    }

    /// Returns whether a page that another host received in `generation` may be applied.
    pub(crate) fn applies(&self, generation: Option<Generation>) -> bool {
        self.generations.borrow().applies(generation)
    }

    /// Records what another host knows of the registry. If it knows more, the registry is asked at
    /// once.
    pub(crate) fn learn(&self, view: RegistryView) {
        let now = self.now();
        let restored = view
            .generation
            .is_some_and(|g| self.generations.borrow_mut().hint(g));
        let configured = view
            .lost_config
            .is_some_and(|c| self.steer.borrow_mut().hint_config(c, now));
        if restored || configured {
            self.hints.send_modify(|count| *count += 1);
        }
    }
}

/// What the handling of a request needs.
pub(crate) struct RequestContext {
    pub(crate) core: Rc<Core>,
    pub(crate) exchange: Rc<Exchange>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) codec: Rc<dyn HttpCodec>,
    pub(crate) log_budget: RefCell<LogBudget>,
}
