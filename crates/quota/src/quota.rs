//! Quota state machine of one host: its inputs, effects and entry points.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wagtail_types::{Epoch, HostId, Incarnation, TeamId, Tokens, ZoneId};

use crate::bucket::Bucket;
use crate::drift::Drift;
use crate::hints::Hints;
use crate::io::{
    Admission, Counters, Effect, Input, PeerInfo, ReadOutcome, Resolution, TeamLimit, TeamView,
    Ticket, WriteOutcome,
};
use crate::lease::Lease;
use crate::message::{LoanId, Message, ShardNote};
use crate::settings::Settings;
use crate::shard::{ShardId, ShardMap};

mod admit;
mod borrow;
mod gossip;
mod lend;
mod limits;
mod renew;
mod shards;
mod spread;
mod takeover;

const STEP_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

#[derive(Debug)]
struct Team {
    limit: TeamLimit,
    shard_order: Vec<ShardId>,
    spreads: Vec<spread::Spread>,
    bucket: Bucket,
    waiting: VecDeque<Waiter>,
    hints: Hints,
    /// Peers that were refused a loan, to be notified when there are tokens again.
    unserved: BTreeSet<HostId>,
    /// When a peer last requested a loan.
    last_requested: Option<Instant>,
    /// Number of loan requests in flight, renewals not counted.
    pending_loans: usize,
    next_prefetch: Instant,
    /// When rate may next be requested on its own.
    rate_due: Instant,
}

#[derive(Debug)]
struct LoanRequest {
    to: HostId,
    team: TeamId,
    sent: Instant,
    /// Tokens that the peer will probably lend.
    expected_tokens: Tokens,
    extend: Option<LoanId>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    zone: ZoneId,
    latency: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Leaving,
    Released,
}

/// Decides on one host which requests of each team are within the fleet-wide limits.
#[derive(Debug)]
pub struct Quota {
    settings: Settings,
    drift: Drift,
    rng: SmallRng,
    epoch: Epoch,
    /// First epoch that this incarnation of the host adopted.
    first_epoch: Epoch,
    confirmed: Epoch,
    shard_map: ShardMap,
    teams: BTreeMap<TeamId, Team>,
    leases: BTreeMap<ShardId, Lease>,
    peers: BTreeMap<HostId, Peer>,
    known_holders: BTreeMap<ShardId, ShardNote>,
    loan_requests: BTreeMap<u64, LoanRequest>,
    next_id: u64,
    next_step: Instant,
    next_gossip: Instant,
    phase: Phase,
    effects: VecDeque<Effect>,
    counters: Counters,
}

impl Quota {
    /// Creates a state machine that holds no shards.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            drift: settings.drift(),
            next_id: rand::Rng::random(&mut rng),
            rng,
            epoch: Epoch(0),
            first_epoch: Epoch(0),
            confirmed: Epoch(0),
            shard_map: ShardMap::default(),
            teams: BTreeMap::new(),
            leases: BTreeMap::new(),
            peers: BTreeMap::new(),
            known_holders: BTreeMap::new(),
            loan_requests: BTreeMap::new(),
            next_step: now,
            next_gossip: now,
            phase: Phase::Serving,
            effects: VecDeque::new(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.expire(now);
        match input {
            Input::Config {
                epoch,
                teams,
                shards,
            } => self.adopt_config(now, epoch, teams, shards),
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

    /// Performs the work that is due; must be called at [`Quota::next_wake`] at the latest.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
        self.serve_due(now);
        if now < self.next_step {
            return;
        }
        self.next_step = now + STEP_INTERVAL;
        self.step_leases(now);
        self.expire_loan_requests(now);
        self.step_teams(now);
        self.step_gossip(now);
        self.step_release(now);
    }

    /// Returns when [`Quota::tick`] must be called next; `None` once released.
    pub fn next_wake(&self) -> Option<Instant> {
        let waiting = self.teams.values().filter_map(Team::next_due);
        match self.phase {
            Phase::Released => None,
            _ => waiting.chain([self.next_step]).min(),
        }
    }

    /// Returns the next effect to carry out.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns the totals since the process started.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the shards that the local host holds.
    pub fn held(&self) -> impl Iterator<Item = &ShardId> {
        self.leases
            .iter()
            .filter(|(_, l)| l.until().is_some())
            .map(|(shard, _)| shard)
    }

    /// Returns the known holders of a team's shards, in the team's order of shards.
    pub fn holders(&self, team: &TeamId) -> Vec<HostId> {
        let Some(team) = self.teams.get(team) else {
            return Vec::new();
        };
        let mut hosts = Vec::new();
        for shard in team.shards() {
            let holder = match self.leases.get(shard).and_then(Lease::until) {
                Some(_) => Some(&self.settings.host),
                None => self.known_holders.get(shard).map(|note| &note.holder),
            };
            if let Some(host) = holder.filter(|host| !hosts.contains(*host)) {
                hosts.push(host.clone());
            }
        }
        hosts
    }

    /// Returns the state of a team's bucket on the local host.
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
            Message::LoanRequest {
                id,
                team,
                need,
                rate,
                extend,
                hint,
            } => {
                let request = lend::ReceivedRequest {
                    id,
                    need,
                    rate,
                    extend,
                    hint,
                };
                self.on_loan_request(now, from, &team, &request);
            }
            Message::Loan {
                id,
                loan,
                team,
                rate,
                cap,
                tokens,
                duration,
                hint,
            } => {
                let received = borrow::ReceivedLoan {
                    loan,
                    rate,
                    cap,
                    tokens,
                    duration,
                    hint,
                };
                self.on_loan(now, from, id, &team, &received);
            }
            Message::Return { loan, team, tokens } => {
                self.on_return(now, from, &team, loan, tokens);
            }
            Message::PromiseRequest { shard, version, id } => {
                self.on_promise_request(now, from, shard, version, id);
            }
            Message::Promise {
                shard,
                id,
                incarnation,
            } => {
                self.on_promise(now, from, &shard, id, incarnation);
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
