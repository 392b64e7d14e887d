//! Keeps a host's view at the highest epoch that the table or a peer offers.
//!
//! The state machine does no I/O: it takes inputs and the time, and returns effects to perform.

mod delta;
mod message;
mod mutant;
mod peers;
mod settings;
mod table;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{Epoch, HostId};

use crate::{Cursor, Page, Snapshot, SnapshotRef, View};
use delta::{Delta, DeltaBuilder};

pub use message::Message;
pub use mutant::Mutant;
pub use settings::SyncSettings;

/// Lists the events that [`ConfigSync`] handles.
#[derive(Debug, Clone)]
pub enum SyncInput {
    /// The set of reachable peers changed.
    Peers(Vec<HostId>),
    /// A peer has adopted an epoch, as known for instance from its heartbeat.
    PeerEpoch {
        /// The peer, to which a pull may go if its epoch is higher than the view's.
        from: HostId,
        /// The epoch that the peer has adopted.
        epoch: Epoch,
    },
    /// The table answered a scan.
    Scanned {
        /// The request number of the scan.
        request: u64,
        /// The rows read and the epoch of the head at the same moment.
        page: Page,
        /// The newest snapshot that the head names.
        snapshot: Option<SnapshotRef>,
    },
    /// A snapshot was read, and its digest matches the reference.
    Fetched {
        /// The request number of the fetch.
        request: u64,
        /// The snapshot, on which the next scan's delta builds.
        snapshot: Snapshot,
    },
    /// A scan or fetch failed.
    Failed {
        /// The request number of the scan or fetch.
        request: u64,
    },
    /// A scan or fetch is still in flight; reported at intervals shorter than
    /// [`SyncSettings::read_timeout`].
    InFlight {
        /// The request number of the scan or fetch.
        request: u64,
    },
    /// A part of a large message of a peer has arrived.
    Receiving {
        /// The peer that sends it.
        from: HostId,
    },
    /// A peer sent a message.
    Message {
        /// The peer that sent it, to which any answer goes.
        from: HostId,
        /// The decoded message.
        message: Message,
    },
}

/// Lists the effects that the caller of [`ConfigSync`] performs.
#[derive(Debug, Clone)]
pub enum SyncEffect {
    /// Read config rows and the head from the table.
    Scan {
        /// The request number, which the answer repeats.
        request: u64,
        /// The epoch that the rows build on.
        since: Epoch,
        /// The row to resume after; `None` to start right after `since`.
        after: Option<Cursor>,
        /// The most rows to read.
        limit: usize,
    },
    /// Read a snapshot from the object store.
    Fetch {
        /// The request number, which the answer repeats.
        request: u64,
        /// The snapshot to read.
        snapshot: SnapshotRef,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver; no input reports whether the message arrives.
        to: HostId,
        /// The message; it may be lost, since pulls expire and announcements are repeated.
        message: Message,
    },
    /// The table answered with a state that is no older than the view.
    Contact {
        /// When the scan that was answered was requested.
        requested_at: Instant,
        /// The epoch of the head that was read.
        epoch: Epoch,
    },
    /// A view of a higher epoch is in force from now on.
    Adopted(Arc<View>),
}

/// Decides which epochs a host adopts.
///
/// It polls the table, announces each new epoch to a few peers, and pulls from peers that have
/// adopted a higher one. It adopts only complete deltas that lead to a higher epoch.
#[derive(Debug)]
pub struct ConfigSync {
    settings: SyncSettings,
    mutant: Mutant,
    rng: SmallRng,
    view: Arc<View>,
    peers: Vec<HostId>,
    /// Peers with a higher epoch, and that epoch.
    ahead: BTreeMap<HostId, Epoch>,
    /// The epoch that the table named last.
    table_epoch: Epoch,
    table_read: Option<TableRead>,
    pull: Option<PeerPull>,
    /// The last pull that expired, which the next one continues.
    expired_pull: Option<PeerPull>,
    poll_at: Instant,
    pull_at: Option<Instant>,
    /// The timeout of the next pull; doubles with each that expires.
    pull_timeout: Duration,
    last_request: u64,
    effects: VecDeque<SyncEffect>,
}

/// Tracks a read of the table in flight. It takes several scans if the delta has several pages.
#[derive(Debug)]
struct TableRead {
    request: u64,
    /// When the pending scan or fetch was requested.
    requested_at: Instant,
    expires: Instant,
    /// The view of the snapshot that the delta builds on, if one was fetched.
    base: Option<Arc<View>>,
    delta: DeltaBuilder,
    /// Whether the pending request is a snapshot fetch rather than a scan.
    fetching: bool,
}

/// Tracks a pull from a peer in flight.
#[derive(Debug)]
struct PeerPull {
    /// The request number, the same for all peers that were asked for the next page.
    request: u64,
    /// The peers that were asked for the next page, the current one last.
    asked: Vec<HostId>,
    expires: Instant,
    delta: DeltaBuilder,
}

impl ConfigSync {
    /// Creates the state machine with an empty view; its first poll is due at `now`.
    pub fn new(settings: SyncSettings, seed: u64, now: Instant) -> Self {
        let pull_timeout = settings.pull_timeout;
        Self {
            settings,
            mutant: Mutant::None,
            rng: SmallRng::seed_from_u64(seed),
            view: Arc::new(View::empty()),
            peers: Vec::new(),
            ahead: BTreeMap::new(),
            table_epoch: Epoch(0),
            table_read: None,
            pull: None,
            expired_pull: None,
            poll_at: now,
            pull_at: None,
            pull_timeout,
            last_request: 0,
            effects: VecDeque::new(),
        }
    }

    /// Switches on a broken variant, so that tests can show that they detect it.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Returns the view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns whether this host, the table or a peer is known to have a higher epoch than `epoch`.
    pub fn knows_newer(&self, epoch: Epoch) -> bool {
        let own = self.view.epoch().max(self.table_epoch);
        own > epoch || self.ahead.values().any(|ahead| *ahead > epoch)
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, input: SyncInput) {
        match input {
            SyncInput::Peers(peers) => self.set_peers(now, peers),
            SyncInput::PeerEpoch { from, epoch } => self.note_peer_epoch(now, from, epoch),
            SyncInput::Scanned {
                request,
                page,
                snapshot,
            } => {
                self.handle_scan(now, request, page, snapshot);
            }
            SyncInput::Fetched { request, snapshot } => self.handle_fetch(now, request, snapshot),
            SyncInput::Failed { request } => self.handle_failure(now, request),
            SyncInput::InFlight { request } => self.extend_read(now, request),
            SyncInput::Receiving { from } => self.extend_pull(now, &from),
            SyncInput::Message { from, message } => self.handle_message(now, from, message),
        }
    }

    /// Gives up expired requests, and starts a poll or pull that is due.
    pub fn tick(&mut self, now: Instant) {
        if self.table_read.as_ref().is_some_and(|r| r.expires <= now) {
            self.table_read = None;
        }
        if let Some(pull) = self.pull.take_if(|p| p.expires <= now) {
            if let Some(peer) = pull.asked.last().filter(|_| self.ahead.len() > 1) {
                self.ahead.remove(peer);
            }
            self.expired_pull = Some(pull);
            self.pull_at = Some(now);
            self.pull_timeout = (self.pull_timeout * 2).min(self.settings.read_timeout);
        }
        if self.table_read.is_none() && self.poll_at <= now {
            self.poll(now);
        }
        if self.pull.is_none() && self.pull_at.is_some_and(|at| at <= now) {
            self.start_pull(now);
        }
    }

    /// Returns when to call [`tick`](Self::tick) next.
    pub fn next_wake(&self) -> Option<Instant> {
        let table = match &self.table_read {
            Some(read) => read.expires,
            None => self.poll_at,
        };
        let pull = match &self.pull {
            Some(pull) => Some(pull.expires),
            None => self.pull_at,
        };
        Some(pull.map_or(table, |at| at.min(table)))
    }

    /// Returns the next effect to perform.
    pub fn poll_effect(&mut self) -> Option<SyncEffect> {
        self.effects.pop_front()
    }

    /// Adopts a complete delta if it leads to a higher epoch, and announces it to a few peers.
    fn adopt(&mut self, now: Instant, base: Option<&View>, delta: Delta) {
        let old = self.view.epoch();
        if delta.head <= old && !self.mutant.adopts_lower() {
            return;
        }
        let Delta {
            since,
            head,
            floor,
            rows,
        } = delta;
        let next = match base {
            Some(base) => base.apply(head, rows),
            None if since == Epoch(0) => View::from_rows(head, floor, rows),
            None => self.view.apply(head, rows),
        };
        self.view = Arc::new(next);
        self.pull_timeout = self.settings.pull_timeout;
        self.effects
            .push_back(SyncEffect::Adopted(self.view.clone()));
        self.ahead.retain(|_, epoch| *epoch > head);
        if !self.ahead.is_empty() {
            self.pull_at.get_or_insert(now);
        }
        self.announce_change(old);
    }

    fn adopt_partial(&mut self, now: Instant, builder: &DeltaBuilder) {
        if self.mutant.adopts_partial() {
            self.adopt(now, None, builder.partial());
        }
    }

    fn next_request(&mut self) -> u64 {
        self.last_request += 1;
        self.last_request
    }
}
