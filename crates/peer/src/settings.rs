//! Settings of the host-to-host protocol.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use wagtail_types::{Bytes, HostId, Incarnation};

use crate::counts::Counters;
use crate::{Counts, FleetSecret};

/// Everything a [`Peer`](crate::Peer) needs to start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub me: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The fleet's secret.
    pub secret: FleetSecret,
    /// Limits on sizes, counts and times.
    pub limits: Limits,
    /// How the lines to other hosts behave, for experiments; `None` leaves them as they are.
    pub lines: Option<Lines>,
    /// Seed of the backoff's jitter.
    pub seed: u64,
}

impl Settings {
    /// Settings with default limits.
    pub fn new(
        me: HostId,
        incarnation: Incarnation,
        listen: SocketAddr,
        secret: FleetSecret,
    ) -> Self {
        Self {
            me,
            incarnation,
            listen,
            secret,
            limits: Limits::default(),
            lines: None,
            seed: incarnation.0,
        }
    }
}

/// Limits on sizes, counts and times.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest message on the wire; the same on every host of the fleet.
    pub message: Bytes,
    /// Largest head of a relayed request or answer: path and headers together.
    pub head: Bytes,
    /// Connections that other hosts may hold to this one.
    pub connections: usize,
    /// Relays in flight from this host, and as many to it.
    pub relays: usize,
    /// Control messages that wait for one host.
    pub queue: usize,
    /// Time for a connection and its handshake.
    pub connect: Duration,
    /// Time for the answer to a control message or a liveness check before a connection is given up.
    pub stall: Duration,
    /// A connection without use for so long is closed.
    pub idle: Duration,
    /// First pause after a failed connection.
    pub backoff: Duration,
    /// Longest pause after failed connections.
    pub backoff_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            message: Bytes(4 * 1024 * 1024),
            head: Bytes(64 * 1024),
            connections: 2048,
            relays: 4096,
            queue: 256,
            connect: Duration::from_secs(1),
            stall: Duration::from_secs(3),
            idle: Duration::from_secs(60),
            backoff: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}

/// The state of a line from this host to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// Bytes arrive after a one-way delay.
    Up(Duration),
    /// Nothing gets through.
    Down,
}

type LineFn = dyn Fn(&HostId) -> Line + Send + Sync;

/// A function that tells how the line to another host behaves right now, and a view on what the
/// peer that uses it has counted.
#[derive(Clone)]
pub struct Lines {
    state: Arc<LineFn>,
    counters: Arc<OnceLock<Arc<Counters>>>,
}

impl Lines {
    /// Wraps a function; it is asked for every write.
    pub fn new(state: impl Fn(&HostId) -> Line + Send + Sync + 'static) -> Self {
        Self {
            state: Arc::new(state),
            counters: Arc::default(),
        }
    }

    /// What the peer has counted since its start; `None` before it.
    pub fn counts(&self) -> Option<Counts> {
        self.counters.get().map(|counters| counters.read())
    }

    pub(crate) fn count_with(&self, counters: &Arc<Counters>) {
        let _ = self.counters.set(counters.clone());
    }

    pub(crate) fn state(&self, to: &HostId) -> Line {
        (self.state)(to)
    }
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Lines")
    }
}
