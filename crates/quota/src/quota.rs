//! The machine of one host: its inputs, effects and entry points.

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
mod adopt;
mod gossip;
mod keep;
mod lend;
mod limits;
mod seek;
mod shards;
mod spread;

const STEP: Duration = Duration::from_millis(100);

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
    /// When another host last asked.
    asked: Option<Instant>,
    /// Asks under way.
    asking: usize,
    next_ask: Instant,
    next_rate_ask: Instant,
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
        self.step_release(now);
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
