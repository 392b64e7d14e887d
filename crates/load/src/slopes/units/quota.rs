//! Quota: every host of a fleet without load, with a table that answers at once.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use wagtail_peer::{Control, wire};
use wagtail_quota::{
    Effect, Input, Message, PeerInfo, Quota, ReadOutcome, Row, Settings, ShardId, ShardMap,
    TeamLimit, WriteOutcome,
};
use wagtail_types::{Epoch, HostId, Incarnation, Rate, Tokens};

use super::super::{SlopesError, resident};
use super::{Kept, Size, Tally, Unit, host, id, memory_each, zone};

const STEP: Duration = Duration::from_millis(10);
const SETTLE: Duration = Duration::from_secs(14);
const TIME: Duration = Duration::from_secs(6);

struct Fleet {
    now: Instant,
    machines: Vec<Quota>,
    wakes: Vec<Option<Instant>>,
    index: HashMap<HostId, usize>,
    under_way: Vec<(usize, usize, Message)>,
    table: BTreeMap<ShardId, (u64, Row)>,
}

#[derive(Default)]
struct Tallies {
    messages: Tally,
    ticks: Tally,
    reads: Tally,
    writes: Tally,
}

/// Messages sent with the work of receiving them, ticks, and reads and writes of the table.
pub(super) fn units(size: Size, seed: u64, kept: &mut Kept) -> Result<[Unit; 4], SlopesError> {
    let memory = resident()?;
    let mut fleet = Fleet::new(size, seed);
    fleet.run(SETTLE);
    let tallies = fleet.run(TIME);
    let memory = memory_each(memory, size.hosts)?;
    kept.push(Box::new(fleet));
    Ok([
        tallies.messages.unit("quota messages", size, TIME),
        Unit {
            memory: Some(memory),
            ..tallies.ticks.unit("quota ticks", size, TIME)
        },
        tallies.reads.unit("lease reads", size, TIME),
        tallies.writes.unit("lease writes", size, TIME),
    ])
}

impl Fleet {
    fn new(size: Size, seed: u64) -> Self {
        let now = Instant::now();
        let teams: Vec<_> = (0..size.teams).map(team).collect();
        let zones =
            (0..size.zones).map(|n| (zone(n, size), wagtail_entryd::periods::SHARDS_PER_ZONE));
        let shards = ShardMap::new(zones.collect());
        let peers: Vec<_> = (0..size.hosts).map(|n| peer(n, size)).collect();
        let machine = |(n, own): (u64, &PeerInfo)| {
            let settings = Settings::new(own.host.clone(), own.zone.clone(), own.incarnation);
            let mut machine = Quota::new(settings, seed + n, now);
            let others = peers.iter().filter(|p| p.host != own.host).cloned();
            machine.handle(now, Input::Peers(others.collect()));
            let (epoch, teams, shards) = (Epoch(1), teams.clone(), shards.clone());
            machine.handle(
                now,
                Input::Config {
                    epoch,
                    teams,
                    shards,
                },
            );
            machine
        };
        Self {
            now,
            machines: (0..).zip(&peers).map(machine).collect(),
            index: (0..size.hosts).map(|n| (host(n), n)).collect(),
            wakes: vec![Some(now); size.hosts],
            under_way: Vec::new(),
            table: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration) -> Tallies {
        let mut tallies = Tallies::default();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step(&mut tallies);
        }
        tallies
    }

    fn step(&mut self, tallies: &mut Tallies) {
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.under_way) {
            let input = Input::Received {
                from: host(from),
                message,
            };
            let machine = &mut self.machines[to];
            tallies.messages.run(|| machine.handle(now, input));
            self.drain(to, tallies);
        }
        for index in 0..self.machines.len() {
            if self.wakes[index].is_some_and(|at| at <= now) {
                let machine = &mut self.machines[index];
                tallies.ticks.events += 1;
                tallies.ticks.run(|| machine.tick(now));
                self.drain(index, tallies);
            }
        }
    }

    fn drain(&mut self, from: usize, tallies: &mut Tallies) {
        while let Some(effect) = self.machines[from].poll_effect() {
            let answer = match effect {
                Effect::Send { to, message } => {
                    tallies.messages.events += 1;
                    tallies.messages.bytes += wire::encode(&Control::Quota(message.clone())).len();
                    self.under_way.push((from, self.index[&to], message));
                    continue;
                }
                Effect::Read { shard } => self.read(shard),
                Effect::Write {
                    shard,
                    expected,
                    row,
                } => self.write(shard, expected, row),
                Effect::Resolve { .. } | Effect::Released => continue,
            };
            let (now, machine) = (self.now, &mut self.machines[from]);
            let tally = match &answer {
                Input::Row { .. } => &mut tallies.reads,
                _ => &mut tallies.writes,
            };
            tally.events += 1;
            tally.run(|| machine.handle(now, answer));
        }
        self.wakes[from] = self.machines[from].next_wake();
    }

    fn read(&self, shard: ShardId) -> Input {
        let found = self.table.get(&shard).cloned();
        let outcome = found.map_or(ReadOutcome::Absent, |(version, row)| ReadOutcome::Found {
            version,
            row,
        });
        Input::Row { shard, outcome }
    }

    fn write(&mut self, shard: ShardId, expected: Option<u64>, row: Row) -> Input {
        let attempt = row.attempt;
        let held = self.table.get(&shard).map(|(version, _)| *version);
        let outcome = if held == expected {
            let version = held.unwrap_or(0) + 1;
            self.table.insert(shard.clone(), (version, row));
            WriteOutcome::Applied { version }
        } else {
            WriteOutcome::Conflict
        };
        Input::WriteDone {
            shard,
            attempt,
            outcome,
        }
    }
}

fn team(index: usize) -> TeamLimit {
    const RATE: u64 = 540;
    const BURST: u64 = 1_080;
    TeamLimit {
        team: id(&format!("team-{index}")),
        rate: Rate::per_second(RATE),
        burst: Tokens::whole(BURST),
        since: Epoch(1),
    }
}

fn peer(index: usize, size: Size) -> PeerInfo {
    PeerInfo {
        host: host(index),
        incarnation: Incarnation(1),
        zone: zone(index, size),
        latency: STEP,
    }
}
