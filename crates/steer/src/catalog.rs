//! The configuration in force, indexed for requests.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use wagtail_types::{ServiceId, TeamId};

use crate::config::{ApiKey, Config, ConfigError, ConfigVersion, Limits, Route, Service, Team};
use crate::hash::short_hash;

/// A checked configuration with an index for each look-up on the request path.
#[derive(Debug)]
pub struct Catalog {
    version: ConfigVersion,
    limits: Limits,
    /// The routes of each host name, longest prefix first.
    routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Service>,
    teams: HashMap<TeamId, Rc<Team>>,
    keys: HashMap<ApiKey, Rc<Team>>,
    disabled_keys: HashSet<ApiKey>,
    by_hash: HashMap<u32, Rc<Team>>,
}

impl Catalog {
    /// Creates the catalog of a configuration without the parts that cannot be used. Returns their errors
    /// with it.
    pub fn new(mut config: Config) -> (Self, Vec<ConfigError>) {
        let errors = config.isolate_errors();
        let mut routes: HashMap<Rc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in config.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let teams: Vec<_> = config.teams.into_iter().map(Rc::new).collect();
        let keys = teams
            .iter()
            .flat_map(|t| t.keys.iter().map(|k| (k.clone(), t.clone())))
            .collect();
        let catalog = Self {
            version: config.version,
            limits: config.limits,
            routes,
            services: config
                .services
                .into_iter()
                .map(|s| (s.id.clone(), s))
                .collect(),
            by_hash: teams
                .iter()
                .map(|t| (short_hash(t.id.as_str()), t.clone()))
                .collect(),
            teams: teams.into_iter().map(|t| (t.id.clone(), t)).collect(),
            keys,
            disabled_keys: config.disabled_keys.into_iter().collect(),
        };
        (catalog, errors)
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route with the longest prefix of `path` among the routes of the host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the team that an API key belongs to.
    pub fn team_by_key(&self, key: &ApiKey) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// Returns whether an API key belongs to a team that cannot be used.
    pub fn is_disabled(&self, key: &ApiKey) -> bool {
        self.disabled_keys.contains(key)
    }

    /// Returns a service by its name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the shortest target latency of the routes to a service.
    pub fn target_latency(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let to = routes.filter(|r| r.services.iter().any(|w| w.service == *service));
        to.map(|r| r.target_latency).min()
    }

    /// Returns a team by the hash of its name that messages carry.
    pub(crate) fn team(&self, hash: u32) -> Option<&Rc<Team>> {
        self.by_hash.get(&hash)
    }

    /// Returns all teams, in no particular order.
    pub fn teams(&self) -> impl Iterator<Item = &Rc<Team>> {
        self.teams.values()
    }
}
