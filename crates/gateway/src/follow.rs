//! Follows the registry and puts into force what it says.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{error, info, warn};
use wagtail_types::millis;

use crate::host::Core;
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
struct Follower<R> {
    core: Rc<Core>,
    registry: Rc<R>,
    topic: Topic,
    version: Option<u64>,
    last_good: Instant,
    lost: bool,
    pause: Duration,
}

/// Follows a topic for the life of the process.
pub(crate) async fn follow<R: Registry>(
    core: Rc<Core>,
    registry: Rc<R>,
    topic: Topic,
    settings: Settings,
) {
    let last_good = core.now();
    let mut follower = Follower {
        core,
        registry,
        topic,
        version: None,
        last_good,
        lost: false,
        pause: PAUSE_MIN,
    };
    loop {
        let fetched = match follower.version {
            None => follower.registry.read(topic).await,
            Some(after) => {
                // While the registry is lost, only whether it answers is of interest.
                let wait = if follower.lost {
                    Duration::ZERO
                } else {
                    settings.follow_wait
                };
                follower.registry.changes(topic, after, wait).await
            }
        };
        let pause = match fetched {
            Ok(fetched) => {
                follower.take(fetched);
                settings.follow_pause
            }
            Err(e) => follower.fail(&e),
        };
        tokio::time::sleep(pause).await;
    }
}

impl<R: Registry> Follower<R> {
    fn take(&mut self, fetched: Fetched) {
        let now = self.core.now();
        let away = now.duration_since(self.last_good);
        if self.lost {
            info!(self.core.log, "registry answers again";
                "topic" => %self.topic, "away_ms" => millis(away));
            if away >= AWAY_MIN {
                self.core.steer.borrow_mut().registry_returned(now);
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
                steer.keep_only(&ids, now);
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
                let state = record.state;
                let cold = record.cold;
                if steer.register(record, now).is_some() {
                    info!(log, "endpoint registered"; "endpoint" => %id,
                        "state" => ?state, "cold_ms" => millis(cold), "at" => version);
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
