//! Settings of the host-to-host protocol.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use wagtail_types::{Bytes, HostId, Incarnation};

use crate::counts::Counters;
use crate::{Counts, FleetSecret};

/// Settings with which a [`Peer`](crate::Peer) starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the local host; a peer that expects another name at its address does not connect.
    pub host: HostId,
    /// Incarnation of the local host, sent in every handshake.
    pub incarnation: Incarnation,
    /// Address on which to listen; with port 0 the operating system chooses the port.
    pub listen: SocketAddr,
    /// Secret that the hosts of the fleet share.
    pub secret: FleetSecret,
    /// Limits on sizes, counts and times.
    pub limits: Limits,
    /// Emulates network links to other hosts, for experiments; `None` leaves the network as it is.
    pub emulation: Option<LinkEmulation>,
    /// Seed of the jitter of connection backoffs.
    pub seed: u64,
}

impl Settings {
    /// Returns settings with default limits, no link emulation, and the incarnation as seed.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        listen: SocketAddr,
        secret: FleetSecret,
    ) -> Self {
        Self {
            host,
            incarnation,
            listen,
            secret,
            limits: Limits::default(),
            emulation: None,
            seed: incarnation.0,
        }
    }
}

/// Limits on sizes, counts and times.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a message on the wire; the same on every host of the fleet.
    pub message_size: Bytes,
    /// Maximum size of the head of a relayed request or answer: path, idempotency key and headers
    /// together.
    pub head_size: Bytes,
    /// Maximum number of connections from other hosts.
    pub connections: usize,
    /// Maximum number of relays in flight from this host, and also of those to it.
    pub relays: usize,
    /// Maximum number of control messages queued for one host.
    pub queue: usize,
    /// Timeout of opening a connection, including its handshake.
    pub connect_timeout: Duration,
    /// Time after which a connection is closed: on a control connection without an acknowledgement
    /// of frames in flight, on a relay connection without an answer to a ping or any other byte.
    pub stall_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Delay after the first failed connection attempt.
    pub backoff_min: Duration,
    /// Maximum delay after repeated failures.
    pub backoff_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            message_size: Bytes(4 * 1024 * 1024),
            head_size: Bytes(64 * 1024),
            connections: 2048,
            relays: 4096,
            queue: 256,
            connect_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(60),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}

/// The state of the emulated link from this host to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes arrive after this one-way delay.
    Up(Duration),
    /// No bytes arrive, and no connection can be opened.
    Down,
}

type StateFn = dyn Fn(&HostId) -> LinkState + Send + Sync;

/// Emulates the network links from one host to others, and gives access to the counts of the peer
/// that uses it.
#[derive(Clone)]
pub struct LinkEmulation {
    state: Arc<StateFn>,
    counters: Arc<OnceLock<Arc<Counters>>>,
}

impl LinkEmulation {
    /// Creates an emulation from a function that returns the current state of the link to a host. The
    /// function is called for every write.
    pub fn new(state: impl Fn(&HostId) -> LinkState + Send + Sync + 'static) -> Self {
        Self {
            state: Arc::new(state),
            counters: Arc::default(),
        }
    }

    /// Returns the counts of the peer since its start; `None` before the start.
    pub fn counts(&self) -> Option<Counts> {
        self.counters.get().map(|counters| counters.snapshot())
    }

    /// Attaches the counters that [`Self::counts`] reads.
    pub(crate) fn attach(&self, counters: &Arc<Counters>) {
        let _ = self.counters.set(counters.clone());
    }

    /// Returns the current state of the link to a host.
    pub(crate) fn state(&self, to: &HostId) -> LinkState {
        (self.state)(to)
    }
}

impl fmt::Debug for LinkEmulation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkEmulation")
    }
}
