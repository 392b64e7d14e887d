//! Settings of an endpoint stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Configures one endpoint.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Seed of the random service times and faults.
    pub seed: u64,
    /// The number of requests that run at once.
    pub slots: usize,
    /// The number of requests that may wait for a slot; further ones are shed.
    pub backlog: usize,
    /// The number of connections kept open at once; further ones are closed on arrival.
    pub connections: usize,
    /// Median service time.
    pub median: Duration,
    /// Sigma of the log-normal service time; with 0, every request takes the median.
    pub sigma: f64,
    /// How long the endpoint stays cold after its start.
    pub cold: Duration,
    /// Service time factor at the start, which falls linearly to 1 over `cold`.
    pub cold_factor: f64,
    /// Bytes of filler in each answer.
    pub answer_bytes: usize,
    /// Largest request body accepted, in bytes.
    pub body_limit: usize,
    /// The number of requests kept in the log; later ones are only counted.
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
