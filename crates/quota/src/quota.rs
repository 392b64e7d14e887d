//! The machine of one host: its inputs, effects and entry points.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Rate, TeamId, Tokens, ZoneId};

use crate::bucket::Bucket;
use crate::drift::Drift;
use crate::hints::Hints;
use crate::lease::Lease;
use crate::message::{LoanId, Message, Row, ShardNote};
use crate::settings::Settings;
use crate::shard::{ShardId, ShardMap};

mod admit;
mod gossip;
mod lend;
mod seek;
mod shards;
mod spread;

const STEP: Duration = Duration::from_millis(100);

/// The limit of one team over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team.
    pub team: TeamId,
    /// Requests per second.
    pub rate: Rate,
    /// The most requests at once.
    pub burst: Tokens,
    /// The config epoch at which this limit was last changed.
    pub since: Epoch,
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// How long a message takes to it, one way.
    pub distance: Duration,
}

/// What a read of a lease row found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The row.
    Found {
        /// Its version, higher with every write.
        version: u64,
        /// Its contents.
        row: Row,
    },
    /// There is no row yet.
    Absent,
    /// No answer, or an error.
    Failed,
}

/// What became of a write of a lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied {
        /// The row's new version.
        version: u64,
    },
    /// It did not take effect, as the row had another version than expected.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// What an embedder tells the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The configuration now in force; a lower epoch than the last is ignored.
    Config {
        /// Its epoch.
        epoch: Epoch,
        /// Every team's limit.
        teams: Vec<TeamLimit>,
        /// Every shard; fixed for the life of a fleet.
        shards: ShardMap,
    },
    /// The other hosts that are alive, in place of those told before.
    Peers(Vec<PeerInfo>),
    /// A message from another host.
    Received {
        /// Its sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The answer to a read.
    Row {
        /// The shard whose row was read.
        shard: ShardId,
        /// What was found.
        outcome: ReadOutcome,
    },
    /// The answer to a write.
    WriteDone {
        /// The shard whose row was written.
        shard: ShardId,
        /// The attempt, as in the row.
        attempt: AttemptId,
        /// What became of it.
        outcome: WriteOutcome,
    },
}

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run; its token is spent.
    Granted,
    /// The team's rate and burst are used up.
    Refused {
        /// When a new attempt can hope for a token.
        retry: Duration,
    },
    /// Other hosts are being asked; an [`Effect::Resolve`] follows.
    Waiting(Ticket),
}

/// How a waiting request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The request may run; its token is spent.
    Granted,
    /// No token could be had in time.
    Refused {
        /// When a new attempt can hope for a token.
        retry: Duration,
    },
}

/// What the machine asks of its embedder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Read a lease row and hand in an [`Input::Row`].
    Read {
        /// The shard of the row.
        shard: ShardId,
    },
    /// Write a lease row if it still has the expected version, and hand in an [`Input::WriteDone`].
    Write {
        /// The shard of the row.
        shard: ShardId,
        /// The version to be replaced; `None` where there must be no row yet.
        expected: Option<u64>,
        /// The new contents, with the attempt.
        row: Row,
    },
    /// Answer a waiting request.
    Resolve {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        resolution: Resolution,
    },
    /// Every shard is given up; the host may exit.
    Released,
}

/// Running totals since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests granted at once.
    pub granted: u64,
    /// Requests granted after a wait.
    pub gathered: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests refused after a wait.
    pub failed: u64,
    /// Asks sent to other hosts.
    pub asks: u64,
    /// Loans made to other hosts.
    pub loans: u64,
    /// Leases that ended without a release.
    pub lapses: u64,
}

/// The state of one team's bucket on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamView {
    /// Tokens there now.
    pub level: Tokens,
    /// The most tokens that the bucket holds.
    pub cap: Tokens,
    /// The bucket's share of the rate, loans counted.
    pub rate: Rate,
    /// Requests that wait.
    pub waiting: usize,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

#[derive(Debug)]
struct Team {
    limit: TeamLimit,
    order: Vec<ShardId>,
    spreads: Vec<spread::Spread>,
    bucket: Bucket,
    waiting: VecDeque<Waiter>,
    hints: Hints,
    /// Hosts that asked in vain and are told when there are tokens again.
    owed: BTreeSet<HostId>,
    /// Asks under way.
    asking: usize,
    next_ask: Instant,
}

#[derive(Debug)]
struct Ask {
    to: HostId,
    team: TeamId,
    sent: Instant,
    need: Tokens,
    extend: Option<LoanId>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    zone: ZoneId,
    distance: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Leaving,
    Released,
}

/// Decides on one host which requests of every team are within the fleet-wide limits.
#[derive(Debug)]
pub struct Quota {
    settings: Settings,
    drift: Drift,
    rng: SmallRng,
    epoch: Epoch,
    /// The first epoch that this life of the host has known.
    first: Epoch,
    confirmed: Epoch,
    map: ShardMap,
    teams: BTreeMap<TeamId, Team>,
    leases: BTreeMap<ShardId, Lease>,
    peers: BTreeMap<HostId, Peer>,
    notes: BTreeMap<ShardId, ShardNote>,
    asks: BTreeMap<u64, Ask>,
    next_id: u64,
    next_step: Instant,
    next_gossip: Instant,
    phase: Phase,
    effects: VecDeque<Effect>,
    counters: Counters,
}

impl Quota {
    /// A machine that holds nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            drift: settings.drift(),
            next_id: rand::Rng::random(&mut rng),
            rng,
            epoch: Epoch(0),
            first: Epoch(0),
            confirmed: Epoch(0),
            map: ShardMap::default(),
            teams: BTreeMap::new(),
            leases: BTreeMap::new(),
            peers: BTreeMap::new(),
            notes: BTreeMap::new(),
            asks: BTreeMap::new(),
            next_step: now,
            next_gossip: now,
            phase: Phase::Serving,
            effects: VecDeque::new(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Takes in one input.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.expire(now);
        match input {
            Input::Config {
                epoch,
                teams,
                shards,
            } => self.on_config(now, epoch, teams, shards),
            Input::Peers(peers) => self.on_peers(peers),
            Input::Received { from, message } => self.on_message(now, &from, message),
            Input::Row { shard, outcome } => self.on_row(now, &shard, outcome),
            Input::WriteDone {
                shard,
                attempt,
                outcome,
            } => {
                self.on_write(now, &shard, attempt, outcome);
            }
        }
    }

    /// Does what is due; call it at [`Quota::next_wake`] at the latest.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
        self.serve_due(now);
        if now < self.next_step {
            return;
        }
        self.next_step = now + STEP;
        self.step_leases(now);
        self.step_asks(now);
        self.step_teams(now);
        self.step_gossip(now);
        self.step_release();
    }

    /// When [`Quota::tick`] is next needed.
    pub fn next_wake(&self) -> Option<Instant> {
        let waiting = self.teams.values().filter_map(Team::next_due);
        match self.phase {
            Phase::Released => None,
            _ => waiting.chain([self.next_step]).min(),
        }
    }

    /// The next thing to do, if any.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Running totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The shards that this host holds.
    pub fn held(&self) -> impl Iterator<Item = &ShardId> {
        self.leases
            .iter()
            .filter(|(_, l)| l.until().is_some())
            .map(|(shard, _)| shard)
    }

    /// The hosts that hold shards of a team, as far as this host knows, largest part first.
    pub fn holders(&self, team: &TeamId) -> Vec<HostId> {
        let Some(team) = self.teams.get(team) else {
            return Vec::new();
        };
        let mut hosts = Vec::new();
        for shard in team.shards() {
            let holder = match self.leases.get(shard).and_then(Lease::until) {
                Some(_) => Some(&self.settings.me),
                None => self.notes.get(shard).map(|note| &note.holder),
            };
            if let Some(host) = holder.filter(|host| !hosts.contains(*host)) {
                hosts.push(host.clone());
            }
        }
        hosts
    }

    /// The state of a team's bucket on this host.
    pub fn view(&mut self, now: Instant, team: &TeamId) -> Option<TeamView> {
        self.expire(now);
        let team = self.teams.get_mut(team)?;
        team.bucket.advance(now);
        Some(TeamView {
            level: team.bucket.level(),
            cap: team.bucket.cap(),
            rate: team.bucket.rate(),
            waiting: team.waiting.len(),
        })
    }

    fn on_message(&mut self, now: Instant, from: &HostId, message: Message) {
        match message {
            Message::Ask {
                id,
                team,
                need,
                rate,
                extend,
                hint,
            } => {
                let ask = lend::Wish {
                    id,
                    need,
                    rate,
                    extend,
                    hint,
                };
                self.on_ask(now, from, &team, &ask);
            }
            Message::Loan {
                id,
                loan,
                team,
                rate,
                cap,
                tokens,
                life,
                hint,
            } => {
                let offer = seek::Offer {
                    loan,
                    rate,
                    cap,
                    tokens,
                    life,
                    hint,
                };
                self.on_loan(now, from, id, &team, &offer);
            }
            Message::Return { loan, team, tokens } => {
                self.on_return(now, from, &team, loan, tokens);
            }
            Message::Hold { shard, version, id } => self.on_hold(now, from, shard, version, id),
            Message::Held {
                shard,
                id,
                incarnation,
            } => {
                self.on_held(now, from, &shard, id, incarnation);
            }
            Message::Released { shard } => {
                if let Some(lease) = self.leases.get_mut(&shard) {
                    lease.on_released();
                }
            }
            Message::Gossip {
                confirmed,
                shards,
                hints,
            } => {
                self.on_gossip(now, from, confirmed, shards, hints);
            }
        }
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.effects.push_back(Effect::Send { to, message });
    }

    fn new_id(&mut self) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }
}
