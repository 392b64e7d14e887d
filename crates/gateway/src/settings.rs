//! Settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

use wagtail_types::Bytes;

/// The time that a call to the registry may take beyond the wait that it requests.
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// The addresses that a host listens on.
#[derive(Debug, Clone)]
pub struct Listen {
    /// The address for callers' requests.
    pub front: SocketAddr,
    /// The address for readiness checks; `None` turns them off.
    pub ready: Option<SocketAddr>,
    /// The address for directory look-ups, by which callers ask which hosts to connect to; `None`
    /// turns them off.
    pub directory: Option<SocketAddr>,
    /// The address for metrics; `None` turns them off.
    pub metrics: Option<SocketAddr>,
    /// The UDP address for messages from other hosts.
    pub peer: SocketAddr,
}

/// Settings of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The addresses that the host listens on.
    pub listen: Listen,
    /// The memory that the process may use.
    pub memory: Bytes,
    /// The time from the request to stop to the end of the process; set by the deployment.
    pub grace: Duration,
    /// How long a caller may use a directory response; no longer than the deployment's maximum.
    pub directory_ttl: Duration,
    /// How long the registry holds a call that waits for a change; a silent connection is noticed a
    /// little later than that.
    pub follow_wait: Duration,
    /// Like `follow_wait`, on a host that follows the registry for its zone and relays the changes;
    /// short, so that it relays at a steady rate.
    pub relay_wait: Duration,
    /// The pause between two calls of a host that follows the registry for its zone.
    pub relay_pause: Duration,
    /// The time without a relayed page after which a host asks the registry itself; together with
    /// the call it stays within the deployment's bounds.
    pub relay_timeout: Duration,
    /// The pause between two calls for changes, during which changes collect; well within the
    /// deployment's bounds on draining and configuration.
    pub follow_pause: Duration,
}

impl Settings {
    /// Returns the longest time between two answers of a registry that has no changes.
    pub(crate) fn age_limit(&self) -> Duration {
        self.follow_wait + self.follow_pause + CALL_MARGIN
    }
}
