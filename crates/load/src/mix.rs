//! Who calls, and what for.

use std::time::Duration;

use wagtail_types::{Rate, Tokens};

/// Teams and classes of a load.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The teams.
    pub teams: Vec<Team>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Addresses from which callers look hosts up, one for each home.
    pub homes: Vec<String>,
    /// The deadline of every request.
    pub deadline: Duration,
}

/// A team that calls.
#[derive(Debug, Clone)]
pub struct Team {
    /// The name.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Its share of the load.
    pub share: f64,
    /// Where its callers are, by number.
    pub home: usize,
    /// Its rate and burst, where they are known.
    pub limit: Option<Limit>,
}

/// What a team may send over all hosts.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The rate.
    pub rate: Rate,
    /// The burst.
    pub burst: Tokens,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The service.
    pub service: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Requests a second at full load.
    pub load: f64,
}

impl Mix {
    /// Requests a second of all classes at full load.
    pub fn load(&self) -> f64 {
        self.classes.iter().map(|c| c.load).sum()
    }
}
