//! Follows the registry and puts into force what it says.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{error, info, warn};
use wagtail_steer::Follower;
use wagtail_types::millis;

use crate::exchange::Exchange;
use crate::host::{Core, Feed};
use crate::registry::{Entry, Fetched, Registry, RegistryError, Topic};
use crate::settings::Settings;

/// The first pause after a failed call, doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(150);
/// The longest pause after failed calls; inside the time in which a host that is back in touch
/// must know of changes.
const PAUSE_MAX: Duration = Duration::from_millis(600);
/// Registrations can only have lapsed if the registry did not answer for this long: two of an
/// endpoint's periods of renewal.
const AWAY_MIN: Duration = Duration::from_secs(3);

/// The state of following one topic.
struct Task<R> {
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    topic: Topic,
    settings: Settings,
    version: Option<u64>,
    last_good: Instant,
    lost: bool,
    pause: Duration,
}

/// Follows a topic for the life of the process.
pub(crate) async fn follow<R: Registry>(
    core: Rc<Core>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
    topic: Topic,
    settings: Settings,
) {
    let last_good = core.now();
    let mut task = Task {
        core,
        exchange,
        registry,
        topic,
        settings,
        version: None,
        last_good,
        lost: false,
        pause: PAUSE_MIN,
    };
    loop {
        let follower = task.core.steer.borrow().follower(task.core.now());
        match (task.version, follower) {
            (Some(version), Follower::Other) => task.listen(version).await,
            (_, Follower::Local(peers)) => {
                let pause = task.ask(task.settings.lead_wait, &peers).await;
                tokio::time::sleep(pause.unwrap_or(task.settings.lead_pause)).await;
            }
            (_, _) => {
                let pause = task.ask(task.settings.follow_wait, &[]).await;
                tokio::time::sleep(pause.unwrap_or(task.settings.follow_pause)).await;
            }
        }
    }
}

impl<R: Registry> Task<R> {
    /// Asks the registry and passes its answer on. After a failed call, gives the time after which
    /// to ask again.
    async fn ask(&mut self, wait: Duration, peers: &[SocketAddr]) -> Option<Duration> {
        let fetched = match self.version {
            None => self.registry.read(self.topic).await,
            Some(after) => {
                // While the registry is lost, only whether it answers is of interest.
                let wait = if self.lost { Duration::ZERO } else { wait };
                self.registry.changes(self.topic, after, wait).await
            }
        };
        let pause = match fetched {
            Ok(fetched) => {
                if let Some(after) = self.version {
                    self.exchange
                        .pass_on(self.topic, after, &fetched.page, peers);
                }
                self.take(fetched);
                None
            }
            Err(e) => Some(self.fail(&e)),
        };
        self.feed().clear();
        pause
    }

    /// Asks for what was not passed on.
    async fn fill(&mut self) {
        if let Some(pause) = self.ask(Duration::ZERO, &[]).await {
            tokio::time::sleep(pause).await;
        }
    }

    /// Takes changes that another host passes on, and asks the registry if they do not follow on
    /// what is known or do not come.
    async fn listen(&mut self, version: u64) {
        let feed = tokio::time::timeout(self.settings.feed_silence, self.feed().next()).await;
        let Ok((after, page)) = feed else {
            self.core.metrics.count("registry_failures", "no-feed");
            return self.fill().await;
        };
        match self.registry.decode(self.topic, page) {
            Ok(fetched) if after <= version && fetched.version >= version => self.take(fetched),
            Ok(_) => self.fill().await,
            Err(e) => {
                warn!(self.core.log, "passed on changes cannot be read"; "error" => %e);
                self.fill().await;
            }
        }
    }

    fn feed(&self) -> &Feed {
        &self.core.feeds[usize::from(self.topic.number())]
    }

    fn take(&mut self, fetched: Fetched) {
        let now = self.core.now();
        let away = now.duration_since(self.last_good);
        if self.lost {
            info!(self.core.log, "registry answers again";
                "topic" => %self.topic, "away_ms" => millis(away));
            if away >= AWAY_MIN {
                self.core.steer.borrow_mut().registry_recovered(now);
            }
        }
        self.lost = false;
        self.last_good = now;
        self.pause = PAUSE_MIN;
        let whole = self.version.is_none();
        self.version = Some(fetched.version);
        if whole {
            self.keep_only(&fetched.entries, now);
        }
        for entry in fetched.entries {
            self.apply(entry, fetched.version, now);
        }
    }

    /// Ends what a whole read does not show.
    fn keep_only(&self, entries: &[Entry], now: Instant) {
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
                steer.set_evacuated(&zones, now);
            }
            Topic::Hosts => {}
        }
    }

    fn apply(&self, entry: Entry, version: u64, now: Instant) {
        let log = &self.core.log;
        let mut steer = self.core.steer.borrow_mut();
        match entry {
            Entry::Config(config) => match steer.configure(*config) {
                Ok(Some(config)) => {
                    info!(log, "configuration in force"; "config" => config.0, "at" => version);
                }
                Ok(None) => {}
                Err(e) => error!(log, "configuration refused"; "error" => %e, "at" => version),
            },
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
                if steer.register(record, now).is_some() {
                    info!(log, "endpoint registered"; "endpoint" => %id,
                        "zone" => %zone, "state" => ?state, "cold_ms" => millis(cold), "at" => version);
                } else {
                    warn!(log, "endpoint in an unknown zone"; "endpoint" => %id, "at" => version);
                }
            }
            Entry::EndpointGone(id) => {
                steer.unregister(&id, now);
                info!(log, "endpoint unregistered"; "endpoint" => %id, "at" => version);
            }
            Entry::Host(record) => steer.register_host(record, now),
            Entry::Unusable { key, reason } => {
                warn!(log, "entry cannot be used"; "key" => key, "reason" => reason, "at" => version);
            }
        }
    }

    /// Notes a failed call and gives the time until the next.
    fn fail(&mut self, e: &RegistryError) -> Duration {
        self.core.metrics.count("registry_failures", "follow");
        if matches!(e, RegistryError::HistoryGone) {
            info!(self.core.log, "registry history gone"; "topic" => %self.topic);
            self.version = None;
            return Duration::ZERO;
        }
        if !self.lost {
            warn!(self.core.log, "registry does not answer";
                "topic" => %self.topic, "error" => %e, "at" => self.version);
        }
        self.lost = true;
        if matches!(e, RegistryError::NoAnswer { .. }) {
            // The call itself took its time.
            return PAUSE_MIN;
        }
        let pause = self.pause;
        self.pause = (2 * self.pause).min(PAUSE_MAX);
        pause
    }
}
