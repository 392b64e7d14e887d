//! The teams and request classes of a load.

use std::time::Duration;

use wagtail_types::{Rate, Tokens};

/// The teams and classes of a load.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The teams; other types refer to them by index.
    pub teams: Vec<Team>,
    /// The classes; other types refer to them by index.
    pub classes: Vec<Class>,
    /// The client addresses for which callers look up hosts, one for each home region.
    pub client_addrs: Vec<String>,
    /// The deadline of every request.
    pub deadline: Duration,
}

/// A team that sends requests.
#[derive(Debug, Clone)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// The key that its requests carry.
    pub key: String,
    /// The share of the load, relative to the other teams.
    pub share: f64,
    /// The index of the home region of its callers in [`Mix::client_addrs`].
    pub home_region: usize,
    /// The limit, if it is known.
    pub limit: Option<Limit>,
}

/// The limit of a team over all hosts.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The rate at which the team's token bucket refills.
    pub rate: Rate,
    /// The capacity of that bucket.
    pub burst: Tokens,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The service that its requests call.
    pub service: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Requests per second at full load.
    pub load: f64,
}

impl Mix {
    /// Returns the requests per second of all classes at full load.
    pub fn load(&self) -> f64 {
        self.classes.iter().map(|c| c.load).sum()
    }
}
