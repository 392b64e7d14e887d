//! Keeps a host's view at the highest epoch that the table or any peer can show.

mod collect;
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
use collect::{Collect, Delta};

pub use message::Message;
pub use mutant::Mutant;
pub use settings::SyncSettings;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum SyncInput {
    /// The peers that can be reached.
    Peers(Vec<HostId>),
    /// A peer is known to have adopted an epoch, for instance by its heartbeat.
    Heard {
        /// The peer.
        from: HostId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// A scan was answered.
    Scanned {
        /// The number of the scan.
        request: u64,
        /// The rows.
        page: Page,
        /// The newest snapshot that the head names.
        snapshot: Option<SnapshotRef>,
    },
    /// A snapshot was read and its digest holds.
    Fetched {
        /// The number of the fetch.
        request: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A scan or fetch failed.
    Failed {
        /// Its number.
        request: u64,
    },
    /// A peer sent a message.
    Message {
        /// The peer.
        from: HostId,
        /// The message.
        message: Message,
    },
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum SyncEffect {
    /// Read config rows from the table, and the head with them.
    Scan {
        /// The number that the answer bears.
        request: u64,
        /// The epoch that the rows build on.
        since: Epoch,
        /// Where to go on; `None` to start right after `since`.
        after: Option<Cursor>,
        /// The most rows to read.
        limit: usize,
    },
    /// Read a snapshot from the object store.
    Fetch {
        /// The number that the answer bears.
        request: u64,
        /// The object.
        snapshot: SnapshotRef,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// The table answered with a state no older than the view.
    Contact {
        /// When the read was asked for.
        asked: Instant,
        /// The epoch at the head.
        epoch: Epoch,
    },
    /// A higher epoch is in force from now on.
    Adopted(Arc<View>),
}

/// The machine that adopts epochs.
///
/// It polls the table, tells a few peers of each new epoch, and pulls from peers that know a
/// higher one. It adopts whole deltas and higher epochs only.
#[derive(Debug)]
pub struct ConfigSync {
    settings: SyncSettings,
    mutant: Mutant,
    rng: SmallRng,
    view: Arc<View>,
    peers: Vec<HostId>,
    ahead: BTreeMap<HostId, Epoch>,
    table: Option<Reading>,
    pull: Option<Pull>,
    poll_at: Instant,
    pull_at: Option<Instant>,
    patience: Duration,
    last_request: u64,
    effects: VecDeque<SyncEffect>,
}

/// A read of the table under way.
#[derive(Debug)]
struct Reading {
    request: u64,
    asked: Instant,
    expires: Instant,
    base: Option<Arc<View>>,
    collect: Collect,
    fetching: bool,
}

/// A read from a peer under way.
#[derive(Debug)]
struct Pull {
    request: u64,
    from: HostId,
    expires: Instant,
    collect: Collect,
}

impl ConfigSync {
    /// A machine with an empty view that polls at once.
    pub fn new(settings: SyncSettings, seed: u64, now: Instant) -> Self {
        let patience = settings.pull;
        Self {
            settings,
            mutant: Mutant::None,
            rng: SmallRng::seed_from_u64(seed),
            view: Arc::new(View::empty()),
            peers: Vec::new(),
            ahead: BTreeMap::new(),
            table: None,
            pull: None,
            poll_at: now,
            pull_at: None,
            patience,
            last_request: 0,
            effects: VecDeque::new(),
        }
    }

    /// Breaks the machine in one way, to show that its tests find it.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Takes an input in.
    pub fn handle(&mut self, now: Instant, input: SyncInput) {
        match input {
            SyncInput::Peers(peers) => self.set_peers(now, peers),
            SyncInput::Heard { from, epoch } => self.hear(now, from, epoch),
            SyncInput::Scanned {
                request,
                page,
                snapshot,
            } => {
                self.scanned(now, request, page, snapshot);
            }
            SyncInput::Fetched { request, snapshot } => self.fetched(now, request, snapshot),
            SyncInput::Failed { request } => self.failed(now, request),
            SyncInput::Message { from, message } => self.message(now, from, message),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if self.table.as_ref().is_some_and(|r| r.expires <= now) {
            self.table = None;
        }
        if let Some(pull) = self.pull.take_if(|p| p.expires <= now) {
            if self.ahead.len() > 1 {
                self.ahead.remove(&pull.from);
            }
            self.pull_at = Some(now);
            self.patience = (self.patience * 2).min(self.settings.answer);
        }
        if self.table.is_none() && self.poll_at <= now {
            self.poll(now);
        }
        if self.pull.is_none() && self.pull_at.is_some_and(|at| at <= now) {
            self.start_pull(now);
        }
    }

    /// When to call [`tick`](Self::tick) next.
    pub fn next_wake(&self) -> Option<Instant> {
        let table = match &self.table {
            Some(reading) => reading.expires,
            None => self.poll_at,
        };
        let pull = match &self.pull {
            Some(pull) => Some(pull.expires),
            None => self.pull_at,
        };
        Some(pull.map_or(table, |at| at.min(table)))
    }

    /// The next thing to do.
    pub fn poll_effect(&mut self) -> Option<SyncEffect> {
        self.effects.pop_front()
    }

    /// Adopts a whole delta if it leads to a higher epoch, and tells a few peers.
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
            None if since == Epoch(0) => View::whole(head, floor, rows),
            None => self.view.apply(head, rows),
        };
        self.view = Arc::new(next);
        self.patience = self.settings.pull;
        self.effects
            .push_back(SyncEffect::Adopted(self.view.clone()));
        self.ahead.retain(|_, epoch| *epoch > head);
        if !self.ahead.is_empty() {
            self.pull_at.get_or_insert(now);
        }
        self.tell(old);
    }

    fn adopt_partial(&mut self, now: Instant, collect: &Collect) {
        if self.mutant.adopts_partial() {
            self.adopt(now, None, collect.partial());
        }
    }

    fn request(&mut self) -> u64 {
        self.last_request += 1;
        self.last_request
    }
}
