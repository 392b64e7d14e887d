//! Settings of the state machine that adopts epochs.

use std::time::Duration;

/// Holds the settings of a [`ConfigSync`](crate::ConfigSync).
#[derive(Debug, Clone)]
pub struct SyncSettings {
    /// The shortest interval between two polls of the table, before jitter.
    pub poll_interval: Duration,
    /// How many polls a second all hosts of the fleet together may make.
    pub poll_rate: u32,
    /// How long after the last report of a read in flight it is given up. A read may take longer,
    /// since a large answer may cross a slow link.
    pub read_timeout: Duration,
    /// How long a pull may take before another peer is asked; doubles with each timeout in a row,
    /// up to `read_timeout`.
    pub pull_timeout: Duration,
    /// How long a host without configuration waits for the epochs of further peers before it pulls.
    pub initial_wait: Duration,
    /// How many peers a host without configuration sends its epoch to.
    pub initial_peers: usize,
    /// How many peers a host sends a new epoch to, in addition to the natural logarithm of the
    /// fleet's size, which an epidemic needs to reach every host.
    pub extra_fanout: usize,
    /// The most rows in a page.
    pub page_rows: usize,
    /// The most bytes of bodies in a page sent to a peer, unless its first body alone is larger.
    pub page_bytes: usize,
    /// The most bytes of bodies in a push; a larger delta is announced and then pulled.
    pub push_bytes: usize,
}

impl Default for SyncSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            poll_rate: 200,
            read_timeout: Duration::from_secs(3),
            pull_timeout: Duration::from_millis(150),
            initial_wait: Duration::from_millis(250),
            initial_peers: 3,
            extra_fanout: 3,
            page_rows: 256,
            page_bytes: 256 * 1024,
            push_bytes: 1024,
        }
    }
}
