//! The configuration in force, indexed for requests.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use wagtail_types::{ServiceId, TeamId};

use crate::config::{ApiKey, Config, ConfigVersion, ContentError, Limits, Route, Service, Team};
use crate::hash::short_hash;

/// A configuration with an index for each look-up that a request makes.
#[derive(Debug)]
pub struct Catalog {
    version: ConfigVersion,
    limits: Limits,
    /// The routes of each host name, longest prefix first.
    routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Service>,
    teams: HashMap<TeamId, Rc<Team>>,
    keys: HashMap<ApiKey, Rc<Team>>,
    hashes: HashMap<u32, Rc<Team>>,
}

impl TryFrom<Config> for Catalog {
    type Error = ContentError;

    fn try_from(config: Config) -> Result<Self, ContentError> {
        config.check()?;
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
        Ok(Self {
            version: config.version,
            limits: config.limits,
            routes,
            services: config
                .services
                .into_iter()
                .map(|s| (s.id.clone(), s))
                .collect(),
            hashes: teams
                .iter()
                .map(|t| (short_hash(t.id.as_str()), t.clone()))
                .collect(),
            teams: teams.into_iter().map(|t| (t.id.clone(), t)).collect(),
            keys,
        })
    }
}

impl Catalog {
    /// The version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Bounds on callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route with the longest prefix of `path` among those of the host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The team that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// A service by its name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// The shortest aim of the routes to a service.
    pub fn aim(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        let to = routes.filter(|r| r.parts.iter().any(|p| p.service == *service));
        to.map(|r| r.aim).min()
    }

    /// A team by the hash of its name in messages.
    pub(crate) fn team(&self, hash: u32) -> Option<&Rc<Team>> {
        self.hashes.get(&hash)
    }

    /// All teams, in no order.
    pub fn teams(&self) -> impl Iterator<Item = &Rc<Team>> {
        self.teams.values()
    }
}
