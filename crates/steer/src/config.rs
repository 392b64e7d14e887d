//! The operators' configuration, checked.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::num::ParseIntError;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use wagtail_types::{Bytes, Rate, RegionId, ServiceId, TeamId};

/// The version of a configuration; a later one has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
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

/// A key that callers present. `Debug` hides it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Rc<str>);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again after any failure.
    Safe,
    /// It may be sent again only if it is known not to have run.
    Once,
}

/// One service of a split route.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Its share of the route's requests, relative to the other parts.
    pub weight: u32,
}

/// Where requests with one host name and path prefix go, and how.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name.
    pub id: RouteId,
    /// The host name of its requests, lower case.
    pub host: Rc<str>,
    /// The start of the path of its requests.
    pub prefix: Rc<str>,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// The longest time to an answer.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub aim: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The services, with their shares.
    pub parts: Vec<Part>,
    /// The most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether endpoints serve an object faster if they served it recently.
    pub sticky: bool,
    /// The regions that may serve it; empty allows all.
    pub homes: Vec<RegionId>,
}

/// What endpoints of one service have in common.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name.
    pub id: ServiceId,
    /// The path of the health check.
    pub health: Rc<str>,
    /// The most connections that one endpoint accepts from all hosts.
    pub connections: u32,
    /// How long an endpoint stays cold after its start.
    pub cold_time: Duration,
    /// The requests a second that a cold endpoint bears.
    pub cold_rate: f64,
}

/// A team: its keys and limits.
#[derive(Debug, Clone)]
pub struct Team {
    /// The name.
    pub id: TeamId,
    /// The keys of its callers.
    pub keys: Vec<ApiKey>,
    /// The rank that goes before that of the route.
    pub priority: Option<u32>,
    /// The fleet-wide rate; `None` is no limit.
    pub rate: Option<Rate>,
    /// The fleet-wide burst, in requests.
    pub burst: u32,
    /// The regions that may serve it; empty allows all.
    pub homes: Vec<RegionId>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The size of a request's head.
    pub header: Bytes,
    /// The size of a request's body.
    pub body: Bytes,
    /// The time from the first byte of a head to its last.
    pub header_time: Duration,
    /// The time that a connection may stay idle.
    pub idle: Duration,
}

/// A configuration as an operator wrote it.
#[derive(Debug, Clone)]
pub struct Config {
    /// The version.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams.
    pub teams: Vec<Team>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// Why a configuration cannot be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ContentError {
    /// A route has neither a service nor parts with a weight.
    #[display("route {route} names no service")]
    NoService {
        /// The route.
        route: RouteId,
    },
    /// A route names a service that is not configured.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One route.
        first: RouteId,
        /// The other route.
        second: RouteId,
    },
    /// A prefix that does not begin and end with a slash.
    #[display("the prefix of route {route} does not begin and end with a slash")]
    BadPrefix {
        /// The route.
        route: RouteId,
    },
    /// A key that two teams hold.
    #[display("teams {first} and {second} hold the same key")]
    SameKey {
        /// One team.
        first: TeamId,
        /// The other team.
        second: TeamId,
    },
}

impl Config {
    /// Checks that the parts fit together.
    ///
    /// # Errors
    ///
    /// The first [`ContentError`] found, in the order of the routes and teams.
    pub fn check(&self) -> Result<(), ContentError> {
        let services: HashSet<_> = self.services.iter().map(|s| &s.id).collect();
        let mut places = HashMap::new();
        for route in &self.routes {
            let id = || route.id.clone();
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                return Err(ContentError::BadPrefix { route: id() });
            }
            if route.parts.iter().all(|p| p.weight == 0) {
                return Err(ContentError::NoService { route: id() });
            }
            if let Some(part) = route.parts.iter().find(|p| !services.contains(&p.service)) {
                let service = part.service.clone();
                return Err(ContentError::UnknownService {
                    route: id(),
                    service,
                });
            }
            if let Some(first) = places.insert((&route.host, &route.prefix), &route.id) {
                let first = first.clone();
                return Err(ContentError::SamePlace {
                    first,
                    second: id(),
                });
            }
        }
        let mut holders: HashMap<_, &TeamId> = HashMap::new();
        for team in &self.teams {
            for key in &team.keys {
                match holders.insert(key, &team.id) {
                    Some(first) if *first != team.id => {
                        let first = first.clone();
                        let second = team.id.clone();
                        return Err(ContentError::SameKey { first, second });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}
