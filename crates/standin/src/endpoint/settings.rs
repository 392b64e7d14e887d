//! What an endpoint stand-in offers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The settings of one endpoint.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Seed of service times and of the fault table's draws.
    pub seed: u64,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot before the endpoint sheds.
    pub backlog: usize,
    /// Connections that are held at once; further ones are closed on arrival.
    pub connections: usize,
    /// Median service time.
    pub median: Duration,
    /// Spread of the log-normal service time; 0 makes every request take the median.
    pub sigma: f64,
    /// How long the endpoint is cold after its start.
    pub cold: Duration,
    /// Service time factor at the start; it falls to 1 over `cold`.
    pub cold_factor: f64,
    /// Bytes of filler in each answer.
    pub answer_bytes: usize,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Requests kept in the log; later ones are only counted.
    pub log_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 0,
            slots: 3,
            backlog: 0,
            connections: 300,
            median: Duration::ZERO,
            sigma: 0.0,
            cold: Duration::ZERO,
            cold_factor: 1.0,
            answer_bytes: 256,
            body_limit: 16 * 1024 * 1024,
            log_limit: 1_000_000,
        }
    }
}
