//! Settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

/// The addresses that a host listens on.
#[derive(Debug, Clone)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Callers that ask which host to use.
    pub directory: Option<SocketAddr>,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
    /// Digests of other hosts, over UDP.
    pub peer: SocketAddr,
}

/// Settings of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The addresses.
    pub listen: Listen,
    /// The time from the request to stop to the end of the process; from the deployment.
    pub grace: Duration,
    /// How long a caller may use an answer of the directory; below the deployment's most.
    pub directory_ttl: Duration,
    /// How long the registry holds a call that waits for a change; a silent connection is noticed
    /// a little later.
    pub follow_wait: Duration,
    /// The same at a host that follows for its zone; short, so that its answers come steadily.
    pub lead_wait: Duration,
    /// The pause of such a host between two calls.
    pub lead_pause: Duration,
    /// The time without changes passed on after which a host asks for itself; with the call it is
    /// inside the bounds.
    pub feed_silence: Duration,
    /// The pause between two calls for changes, in which changes gather; well inside the bounds on
    /// draining and configuration.
    pub follow_pause: Duration,
}
