//! The operator's configuration and its consistency checks. An error in one part of it keeps no other part
//! out of force.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::num::ParseIntError;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use wagtail_types::{Bytes, Rate, RegionId, ServiceId, TeamId};

/// The version of a configuration; later configurations have higher numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct ConfigVersion(pub u64);

impl FromStr for ConfigVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The name of a route, unique within a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct RouteId(pub Rc<str>);

impl FromStr for RouteId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// An API key that callers present. `Debug` hides its text.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Rc<str>);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Whether a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may be retried after any failure.
    Safe,
    /// The request may be retried only if it is known not to have run.
    AtMostOnce,
}

/// One service of a route, with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service, which must be one of [`Config::services`].
    pub service: ServiceId,
    /// The share of the route's requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// How requests with one host name and path prefix are handled.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name of the route.
    pub id: RouteId,
    /// The host name that requests must have, in lower case.
    pub host: Rc<str>,
    /// The prefix that the request path must have.
    pub prefix: Rc<str>,
    /// Whether requests may be retried.
    pub retry: RetryPolicy,
    /// The longest time until a request must be answered.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub target_latency: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that share the requests.
    pub services: Vec<WeightedService>,
    /// The largest number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether requests without an API key are accepted.
    pub public: bool,
    /// Whether endpoints serve an object faster if they served it recently.
    pub sticky: bool,
    /// The regions that may run the requests; empty allows all.
    pub permitted_regions: Vec<RegionId>,
    /// Whether the route cannot be used. Its requests are rejected as not run.
    pub disabled: bool,
}

impl Route {
    /// Returns the number of round trips that a request needs: one more for a new connection if it
    /// must not run twice, as a pooled connection may have failed unnoticed.
    pub(crate) fn round_trips(&self) -> f64 {
        match self.retry {
            RetryPolicy::Safe => 1.0,
            RetryPolicy::AtMostOnce => 2.0,
        }
    }
}

/// Properties that all endpoints of a service share.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name of the service.
    pub id: ServiceId,
    /// The path of the health check.
    pub health_path: Rc<str>,
    /// The largest number of connections that one endpoint accepts from all hosts.
    pub max_connections: u32,
    /// How long the cold start of an endpoint lasts.
    pub cold_time: Duration,
    /// The requests per second that an endpoint can take during its cold start.
    pub cold_rate: f64,
}

/// The keys and limits of a team.
#[derive(Debug, Clone)]
pub struct Team {
    /// The name of the team.
    pub id: TeamId,
    /// The API keys of the team's callers.
    pub keys: Vec<ApiKey>,
    /// The priority, which takes precedence over that of the route.
    pub priority: Option<u32>,
    /// The rate limit across all hosts; `None` is no limit.
    pub rate: Option<Rate>,
    /// The burst across all hosts, in requests.
    pub burst: u32,
    /// The regions that may run the team's requests; empty allows all.
    pub permitted_regions: Vec<RegionId>,
}

/// Limits on the size and timing of callers' requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest size of a request head.
    pub header: Bytes,
    /// The largest size of a request body.
    pub body: Bytes,
    /// The longest time from the first byte of a head to its last.
    pub header_time: Duration,
    /// The longest time that a connection may stay idle.
    pub idle: Duration,
}

/// A configuration as decoded, not checked yet.
#[derive(Debug, Clone)]
pub struct Config {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The routes; of those that match a request, the one with the longest prefix applies.
    pub routes: Vec<Route>,
    /// The services that routes may refer to.
    pub services: Vec<Service>,
    /// The teams whose keys are accepted.
    pub teams: Vec<Team>,
    /// Keys whose team cannot be used. Requests with one are rejected as not run.
    pub disabled_keys: Vec<ApiKey>,
    /// The limits on requests and connections, the same for all callers.
    pub limits: Limits,
    /// What could not be decoded; it is left out or disabled.
    pub errors: Vec<ConfigError>,
}

/// Why a part of a configuration cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigError {
    /// A part has the wrong form.
    #[display("{part} cannot be decoded: {reason}")]
    Undecodable {
        /// The kind of the part, and its name as far as it could be read.
        part: String,
        /// A description of the problem.
        reason: String,
    },
    /// A route has no service with a positive weight.
    #[display("route {route} has no service with a positive weight")]
    NoService {
        /// The route; its list of services may be empty.
        route: RouteId,
    },
    /// A route refers to a service that is not configured.
    #[display("route {route} refers to the unknown service {service}")]
    UnknownService {
        /// The route that refers to it.
        route: RouteId,
        /// The service that is missing.
        service: ServiceId,
    },
    /// Two routes have the same host name and prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// The route that comes first.
        first: RouteId,
        /// The route that comes second.
        second: RouteId,
    },
    /// A route prefix does not begin and end with a slash.
    #[display("the prefix of route {route} does not begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: RouteId,
    },
    /// Two teams have the same API key.
    #[display("teams {first} and {second} hold the same key")]
    DuplicateKey {
        /// The team that comes first.
        first: TeamId,
        /// The team that comes second.
        second: TeamId,
    },
}

impl Config {
    /// Disables what is inconsistent and returns the errors, after those of decoding. The rest can be put
    /// in force. A disabled route keeps its host and prefix, so that its requests match no other route.
    pub fn isolate_errors(&mut self) -> Vec<ConfigError> {
        let mut errors = std::mem::take(&mut self.errors);
        self.check_routes(&mut errors);
        self.check_keys(&mut errors);
        errors
    }

    fn check_routes(&mut self, errors: &mut Vec<ConfigError>) {
        let services: HashSet<_> = self.services.iter().map(|s| &s.id).collect();
        let mut seen = HashMap::new();
        let mut duplicates = Vec::new();
        for (at, route) in self.routes.iter_mut().enumerate() {
            let id = || route.id.clone();
            let place = (route.host.clone(), route.prefix.clone());
            if let Some((earlier, first)) = seen.insert(place, (at, id())) {
                duplicates.extend([earlier, at]);
                errors.push(ConfigError::DuplicateRoute {
                    first,
                    second: id(),
                });
            }
            if route.disabled {
                continue;
            }
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                errors.push(ConfigError::InvalidPrefix { route: id() });
                route.disabled = true;
            } else if route.services.iter().all(|w| w.weight == 0) {
                errors.push(ConfigError::NoService { route: id() });
                route.disabled = true;
            }
            // Its other services keep their shares of the requests.
            for weighted in &route.services {
                if !services.contains(&weighted.service) {
                    let service = weighted.service.clone();
                    errors.push(ConfigError::UnknownService {
                        route: route.id.clone(),
                        service,
                    });
                }
            }
        }
        for at in duplicates {
            self.routes[at].disabled = true;
        }
    }

    fn check_keys(&mut self, errors: &mut Vec<ConfigError>) {
        let mut holders: HashMap<ApiKey, TeamId> = HashMap::new();
        let mut shared = HashSet::new();
        for team in &self.teams {
            for key in &team.keys {
                match holders.get(key) {
                    Some(first) if *first != team.id => {
                        shared.insert(key.clone());
                        errors.push(ConfigError::DuplicateKey {
                            first: first.clone(),
                            second: team.id.clone(),
                        });
                    }
                    Some(_) => {}
                    None => {
                        holders.insert(key.clone(), team.id.clone());
                    }
                }
            }
        }
        for team in &mut self.teams {
            team.keys.retain(|k| !shared.contains(k));
        }
        self.disabled_keys.extend(shared);
    }
}
