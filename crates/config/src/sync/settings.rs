//! Settings of the machine that adopts epochs.

use std::time::Duration;

/// Settings of a [`ConfigSync`](crate::ConfigSync).
#[derive(Debug, Clone)]
pub struct SyncSettings {
    /// The shortest time between two polls of the table.
    pub poll: Duration,
    /// How often the hosts of the fleet together may poll, a second.
    pub polls: u32,
    /// How long a read of the platform may go unanswered before it is given up.
    pub answer: Duration,
    /// How long a peer may leave a pull unanswered before another one is asked; doubles with each
    /// in a row, up to `answer`.
    pub pull: Duration,
    /// How long a host without configuration waits for further peers before it pulls.
    pub grace: Duration,
    /// How many peers a new host asks.
    pub asked: usize,
    /// How many peers a host tells of a new epoch, beyond the natural logarithm of the fleet's
    /// size, which is what an epidemic needs to reach every host.
    pub fanout: usize,
    /// The most rows in a page.
    pub page: usize,
    /// The most bytes of bodies in a page sent to a peer, unless one body alone is larger.
    pub page_bytes: usize,
    /// The most bytes of bodies that are pushed; larger deltas are pulled.
    pub push_bytes: usize,
}

impl Default for SyncSettings {
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(1),
            polls: 200,
            answer: Duration::from_secs(3),
            pull: Duration::from_millis(150),
            grace: Duration::from_millis(250),
            asked: 3,
            fanout: 3,
            page: 256,
            page_bytes: 256 * 1024,
            push_bytes: 1024,
        }
    }
}
