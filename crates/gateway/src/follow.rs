//! Follows the registry and applies its changes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{error, info, warn};
use tokio::sync::watch;
use wagtail_steer::{
    ConfigError, ConfigVersion, Cursor, EndpointState, Extent, Follower, Generation, Observation,
};
use wagtail_types::millis;

use crate::connect::RESPONSE_MAX_BYTES;
use crate::exchange::Exchange;
use crate::host::{Core, Feed, RelayedPage};
use crate::registry::{Entry, Fetched, Registry, RegistryError, Topic};
use crate::settings::Settings;
use crate::work::{Work, contain_sync};

/// The pause after the first failed call; doubled with each further one up to [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// The longest pause after failed calls; shorter than the time within which a reconnected host must
/// know of changes. A host for which another one follows the registry waits for that one's pages
/// instead, since each call is billed.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
/// The shortest registry outage during which registrations can have lapsed: two renewal periods of
/// an endpoint.
const OUTAGE_MIN: Duration = Duration::from_secs(3);

/// The size of changes, in percent of that of all entries, above which all entries are read instead, so
/// that a host which is far behind reads no more than one that starts.
const CHANGES_MAX_PERCENT: usize = 300;
/// The number of errors of one configuration that are logged.
const LOGGED_ERRORS_MAX: usize = 8;
/// The size in bytes up to which changes are read in any case.
const CHANGES_MIN_BYTES: usize = 256 << 10;

/// The next call to the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextCall {
    /// Waits for changes, of the registry or relayed by another host.
    Wait,
    /// Asks at once for the changes so far, since relayed changes cannot help.
    Now,
    /// Reads all entries at once, since the changes are larger.
    All,
}

/// The state of following one topic of the registry.
struct Subscription<R> {
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    topic: Topic,
    settings: Settings,
    cursor: Cursor,
    last_success: Instant,
    /// Whether the last call to the registry failed.
    unreachable: bool,
    next: NextCall,
    /// The size in bytes of the last answer with all entries.
    all_size: usize,
    /// Changes with each restore of the registry.
    restores: watch::Receiver<u64>,
    /// Changes when another host knows of a newer state of the registry.
    hints: watch::Receiver<u64>,
    pause: Duration,
}

/// Follows a topic for the life of the process, by polling the registry or through the changes that
/// another host of the zone relays.
pub(crate) async fn follow<R: Registry>(
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    topic: Topic,
    settings: Settings,
) {
    let last_success = core.now();
    let (restores, hints) = (core.restores(), core.hints());
    let mut subscription = Subscription {
        core,
        exchange,
        registry,
        topic,
        settings,
        cursor: Cursor::default(),
        last_success,
        unreachable: false,
        next: NextCall::Wait,
        all_size: 0,
        restores,
        hints,
        pause: RETRY_PAUSE_MIN,
    };
    loop {
        let follower = subscription
            .core
            .steer
            .borrow()
            .follower(subscription.core.now());
        match (subscription.cursor.version(), follower) {
            (Some(_), Follower::Other) => subscription.receive_relayed().await,
            (_, Follower::Local(peers)) => {
                let pause = subscription
                    .poll_registry(subscription.settings.relay_wait, &peers)
                    .await;
                tokio::time::sleep(pause.unwrap_or(subscription.settings.relay_pause)).await;
            }
            (_, _) => {
                let pause = subscription
                    .poll_registry(subscription.settings.follow_wait, &[])
                    .await;
                tokio::time::sleep(pause.unwrap_or(subscription.settings.follow_pause)).await;
            }
        }
    }
}

impl<R: Registry> Subscription<R> {
    /// Polls the registry and relays the changes to `peers`. Returns the pause before the next call
    /// if the call failed or everything has to be read again.
    async fn poll_registry(&mut self, wait: Duration, peers: &[SocketAddr]) -> Option<Duration> {
        let (core, registry, topic) = (self.core.clone(), self.registry.clone(), self.topic);
        let next = std::mem::replace(&mut self.next, NextCall::Wait);
        let read_all = next == NextCall::All;
        let after = self.cursor.version().filter(|_| !read_all);
        // While the registry is unreachable, a call only tests whether it answers.
        let hinted = self.hints.has_changed().unwrap_or(false);
        self.hints.mark_unchanged();
        let wait = if next != NextCall::Wait || hinted || self.unreachable {
            Duration::ZERO
        } else {
            wait
        };
        let limit = self.changes_limit();
        let call = async {
            match after {
                None => registry.read(topic).await,
                Some(after) => registry.changes(topic, after, wait, limit).await,
            }
        };
        let mut call = std::pin::pin!(call);
        let feed = &core.feeds[usize::from(topic.number())];
        let waits = after.is_some() && !wait.is_zero();
        let answer = loop {
            tokio::select! {
                biased;
                _ = self.restores.changed() => return Some(self.start_over()),
                _ = self.hints.changed(), if waits => {
                    self.next = NextCall::Now;
                    return Some(Duration::ZERO);
                }
                answer = &mut call => break answer,
                pages = feed.look() => self.apply_early(pages),
            }
        };
        match core.observe(&answer.generation) {
            Observation::Current => {}
            Observation::Restored => {
                self.restores.mark_unchanged();
                return Some(self.start_over());
            }
            Observation::Outdated => return Some(RETRY_PAUSE_MIN),
        }
        match (answer.result, after) {
            (Ok(fetched), Some(after)) => {
                self.exchange.relay(self.topic, after, &fetched, peers);
                let extent = self.cursor.advance(fetched.version);
                self.apply(fetched, extent);
                None
            }
            (Ok(fetched), None) => {
                if read_all {
                    self.exchange.announce(self.topic, fetched.version, peers);
                }
                self.apply_all(fetched)
            }
            (Err(RegistryError::TooLarge { limit }), Some(after)) => {
                info!(core.log, "changes are larger than all entries; reading all entries";
                    "topic" => %topic, "limit" => limit, "at" => after);
                core.metrics.count("registry_failures", "changes-too-large");
                core.doubt(topic);
                self.next = NextCall::All;
                Some(Duration::ZERO)
            }
            (Err(e), _) => {
                if matches!(e, RegistryError::Incomplete { .. }) {
                    // Other hosts do not relay what takes long to transfer.
                    self.next = if read_all {
                        NextCall::All
                    } else {
                        NextCall::Now
                    };
                }
                Some(self.record_failure(&e))
            }
        }
    }

    /// Returns the size in bytes up to which changes are read.
    fn changes_limit(&self) -> usize {
        let limit = self.all_size / 100 * CHANGES_MAX_PERCENT;
        limit.clamp(CHANGES_MIN_BYTES, RESPONSE_MAX_BYTES)
    }

    /// Forgets the version, as it belongs to a generation before the restore. Returns the pause
    /// before the full read.
    fn start_over(&mut self) -> Duration {
        self.core.doubt(self.topic);
        self.cursor.restart();
        self.feed().clear();
        self.core.restore_delay()
    }

    /// Asks the registry for changes that the host lacks.
    async fn fetch_missing(&mut self) {
        self.core.doubt(self.topic);
        self.catch_up().await;
    }

    /// Asks the registry for changes that were not relayed.
    async fn catch_up(&mut self) {
        if let Some(pause) = self.poll_registry(Duration::ZERO, &[]).await {
            tokio::time::sleep(pause).await;
        }
    }

    /// Applies changes that another host relays. Asks the registry if none arrive in time or if
    /// versions are missing in between.
    async fn receive_relayed(&mut self) {
        if self.next != NextCall::Wait {
            return self.catch_up().await;
        }
        let core = self.core.clone();
        let feed = &core.feeds[usize::from(self.topic.number())];
        let received = tokio::select! {
            biased;
            _ = self.restores.changed() => {
                let pause = self.start_over();
                return tokio::time::sleep(pause).await;
            }
            _ = self.hints.changed() => return self.fetch_missing().await,
            received = tokio::time::timeout(self.settings.relay_timeout, feed.next()) => received,
        };
        let Ok(received) = received else {
            core.metrics.count("registry_failures", "no-feed");
            return self.catch_up().await;
        };
        let RelayedPage {
            after,
            generation,
            page,
            ..
        } = received;
        if !core.applies(generation) {
            return self.fetch_missing().await;
        }
        if page.is_empty() {
            if self.cursor.version() < Some(after) {
                self.fetch_missing().await;
            }
            return;
        }
        match self.registry.decode(self.topic, page) {
            Ok(fetched) if self.cursor.continues(after, fetched.version) => {
                let extent = self.cursor.advance(fetched.version);
                self.apply(fetched, extent);
            }
            // The answer of a call had these changes already.
            Ok(fetched) if Some(fetched.version) < self.cursor.version() => {}
            Ok(_) => self.fetch_missing().await,
            Err(e) => {
                warn!(self.core.log, "relayed changes could not be decoded; asking the registry";
                    "error" => %e);
                self.fetch_missing().await;
            }
        }
    }

    fn feed(&self) -> &Feed {
        &self.core.feeds[usize::from(self.topic.number())]
    }

    /// Applies all entries of the topic. Returns the pause before the next call if they are older than
    /// those applied before.
    fn apply_all(&mut self, fetched: Fetched) -> Option<Duration> {
        let Some(extent) = self.cursor.replace(fetched.version) else {
            info!(self.core.log, "entries are older than those in force; ignoring them";
                "topic" => %self.topic, "at" => fetched.version);
            self.next = NextCall::Now;
            return Some(RETRY_PAUSE_MIN);
        };
        self.all_size = fetched.size;
        self.apply(fetched, extent);
        None
    }

    /// Applies what relayed pages stop, while a call that may take long is under way. The pages are
    /// applied in order after it.
    fn apply_early(&self, pages: Vec<(Option<Generation>, Bytes)>) {
        let now = self.core.now();
        for (generation, page) in pages {
            if !self.core.applies(generation) {
                continue;
            }
            // A page that cannot be decoded is logged when its turn comes.
            let Ok(fetched) = self.registry.decode(self.topic, page) else {
                continue;
            };
            if self.cursor.version() >= Some(fetched.version) {
                continue;
            }
            for entry in fetched.entries.into_iter().filter(stops_requests) {
                self.apply_entry(entry, fetched.version, Extent::Changes, now);
            }
        }
    }

    /// Applies entries that were fetched or relayed, which ends an outage of the registry.
    fn apply(&mut self, fetched: Fetched, extent: Extent) {
        let now = self.core.now();
        let outage = now.duration_since(self.last_success);
        if self.unreachable {
            info!(self.core.log, "registry answers again";
                "topic" => %self.topic, "away_ms" => millis(outage));
            if outage >= OUTAGE_MIN {
                self.core.steer.borrow_mut().registry_recovered(now);
            }
        }
        self.unreachable = false;
        self.last_success = now;
        self.core.confirm(self.topic, now);
        self.pause = RETRY_PAUSE_MIN;
        if extent != Extent::Changes {
            self.remove_missing(&fetched.entries, extent, now);
        }
        for entry in fetched.entries {
            self.apply_entry(entry, fetched.version, extent, now);
        }
    }

    /// Removes endpoints and evacuations that are missing from a full read.
    fn remove_missing(&self, entries: &[Entry], extent: Extent, now: Instant) {
        let mut steer = self.core.steer.borrow_mut();
        match self.topic {
            Topic::Endpoints => {
                let ids: HashSet<_> = entries
                    .iter()
                    .filter_map(|e| match e {
                        Entry::Endpoint(record) => Some(record.id.clone()),
                        _ => None,
                    })
                    .collect();
                steer.retain_endpoints(&ids, now);
            }
            Topic::Operator => {
                let zones = entries
                    .iter()
                    .filter_map(|e| match e {
                        Entry::Evacuate(zone, true) => Some(zone.clone()),
                        _ => None,
                    })
                    .collect();
                if extent == Extent::Restored {
                    steer.set_evacuated_restored(&zones, now);
                } else {
                    steer.set_evacuated(&zones, now);
                }
            }
            Topic::Hosts | Topic::Suspects => {}
        }
    }

    /// Applies an entry. One that makes the program panic costs no other entry; it would otherwise end all
    /// hosts, and again each time they are started.
    fn apply_entry(&self, entry: Entry, version: u64, extent: Extent, now: Instant) {
        contain_sync(&self.core, Work::RegistryEntry, || {
            self.apply_decoded(entry, version, extent, now);
        });
    }

    fn apply_decoded(&self, entry: Entry, version: u64, extent: Extent, now: Instant) {
        let log = &self.core.log;
        let mut steer = self.core.steer.borrow_mut();
        match entry {
            Entry::Config(config) => {
                let config_version = config.version;
                if let Some(errors) = steer.configure(*config) {
                    info!(log, "configuration in force"; "config" => config_version.0, "at" => version);
                    self.report_errors(config_version, &errors);
                }
            }
            Entry::Evacuate(zone, on) => {
                if steer.evacuate(&zone, on, now) {
                    info!(log, "evacuation"; "zone" => %zone, "on" => on, "at" => version);
                }
            }
            Entry::Endpoint(record) => {
                let id = record.id.clone();
                let zone = record.zone.clone();
                let state = record.state;
                let cold = record.cold;
                let registered = if extent == Extent::Restored {
                    steer.register_restored(record, now)
                } else {
                    steer.register(record, now)
                };
                if registered.is_some() {
                    info!(log, "endpoint registered"; "endpoint" => %id,
                        "zone" => %zone, "state" => ?state, "cold_ms" => millis(cold), "at" => version);
                } else {
                    warn!(log, "endpoint registration ignored: unknown zone, or older than its process";
                        "endpoint" => %id, "at" => version);
                }
            }
            Entry::EndpointGone(id) => {
                steer.unregister(&id, now);
                info!(log, "endpoint unregistered"; "endpoint" => %id, "at" => version);
            }
            Entry::Host(record, _) => steer.register_host(record, now),
            Entry::Suspect(..) => {}
            Entry::Unusable { key, reason } => {
                self.core.metrics.count("registry_entries", "unusable");
                warn!(log, "registry entry is unusable; ignoring it";
                    "key" => key, "reason" => reason, "at" => version);
            }
        }
    }

    /// Reports the parts of a configuration that cannot be used.
    fn report_errors(&self, version: ConfigVersion, errors: &[ConfigError]) {
        let count = u64::try_from(errors.len()).unwrap_or(u64::MAX);
        self.core.metrics.set("config_parts", "unusable", count);
        for e in errors.iter().take(LOGGED_ERRORS_MAX) {
            error!(self.core.log, "part of the configuration cannot be used; rejecting its requests";
                "error" => %e, "config" => version.0, "errors" => count);
        }
    }

    /// Records a failed call and returns the pause before the next one.
    fn record_failure(&mut self, e: &RegistryError) -> Duration {
        self.core.metrics.count("registry_failures", "follow");
        self.core.doubt(self.topic);
        if matches!(e, RegistryError::HistoryGone | RegistryError::Restored) {
            info!(self.core.log, "registry history gone"; "topic" => %self.topic);
            self.cursor.lose_history();
            return if matches!(e, RegistryError::Restored) {
                RETRY_PAUSE_MIN
            } else {
                Duration::ZERO
            };
        }
        if !self.unreachable {
            warn!(self.core.log, "registry does not answer";
                "topic" => %self.topic, "error" => %e, "at" => self.cursor.version());
        }
        self.unreachable = true;
        if matches!(
            e,
            RegistryError::NoAnswer { .. } | RegistryError::Incomplete { .. }
        ) {
            // The call has already waited for the response, so the shortest pause is enough.
            return RETRY_PAUSE_MIN;
        }
        let pause = self.pause;
        self.pause = (2 * self.pause).min(RETRY_PAUSE_MAX);
        pause
    }
}

/// Returns whether an entry ends the use of endpoints, which must not wait for other entries.
fn stops_requests(entry: &Entry) -> bool {
    match entry {
        Entry::Evacuate(_, on) => *on,
        Entry::Endpoint(record) => record.state == EndpointState::Draining,
        Entry::EndpointGone(_) => true,
        Entry::Config(_) | Entry::Host(..) | Entry::Suspect(..) | Entry::Unusable { .. } => false,
    }
}
