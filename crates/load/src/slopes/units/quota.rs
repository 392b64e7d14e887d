//! Quota: every host of an idle fleet, with a table that answers without delay.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use wagtail_peer::{Control, wire};
use wagtail_quota::{
    Effect, Input, Message, PeerInfo, Quota, ReadOutcome, Row, Settings, ShardId, ShardMap,
    TeamLimit, WriteOutcome,
};
use wagtail_types::{Epoch, HostId, Incarnation, Rate, Tokens};

use super::super::{SlopesError, resident_mb};
use super::{Retained, Size, Tally, Unit, host, memory_per_host, parse_id, zone};

const TIME_STEP: Duration = Duration::from_millis(10);
const SETTLE_TIME: Duration = Duration::from_secs(14);
const MEASURED_TIME: Duration = Duration::from_secs(6);

struct Fleet {
    now: Instant,
    machines: Vec<Quota>,
    wake_times: Vec<Option<Instant>>,
    index: HashMap<HostId, usize>,
    in_flight: Vec<(usize, usize, Message)>,
    table: BTreeMap<ShardId, (u64, Row)>,
}

#[derive(Default)]
struct Tallies {
    messages: Tally,
    ticks: Tally,
    reads: Tally,
    writes: Tally,
}

/// Measures messages sent (with the work of receiving them), ticks, and reads and writes of the
/// table.
pub(super) fn units(
    size: Size,
    seed: u64,
    retained: &mut Retained,
) -> Result<[Unit; 4], SlopesError> {
    let memory = resident_mb()?;
    let mut fleet = Fleet::new(size, seed);
    fleet.run(SETTLE_TIME);
    let tallies = fleet.run(MEASURED_TIME);
    let memory = memory_per_host(memory, size.hosts)?;
    retained.push(Box::new(fleet));
    Ok([
        tallies.messages.unit("quota messages", size, MEASURED_TIME),
        Unit {
            memory: Some(memory),
            ..tallies.ticks.unit("quota ticks", size, MEASURED_TIME)
        },
        tallies.reads.unit("lease reads", size, MEASURED_TIME),
        tallies.writes.unit("lease writes", size, MEASURED_TIME),
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
            wake_times: vec![Some(now); size.hosts],
            in_flight: Vec::new(),
            table: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration) -> Tallies {
        let mut tallies = Tallies::default();
        let end = self.now + time;
        while self.now < end {
            self.now += TIME_STEP;
            self.step(&mut tallies);
        }
        tallies
    }

    fn step(&mut self, tallies: &mut Tallies) {
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            let input = Input::Received {
                from: host(from),
                message,
            };
            let machine = &mut self.machines[to];
            tallies.messages.time(|| machine.handle(now, input));
            self.deliver_effects(to, tallies);
        }
        for index in 0..self.machines.len() {
            if self.wake_times[index].is_some_and(|at| at <= now) {
                let machine = &mut self.machines[index];
                tallies.ticks.events += 1;
                tallies.ticks.time(|| machine.tick(now));
                self.deliver_effects(index, tallies);
            }
        }
    }

    fn deliver_effects(&mut self, from: usize, tallies: &mut Tallies) {
        while let Some(effect) = self.machines[from].poll_effect() {
            let answer = match effect {
                Effect::Send { to, message } => {
                    tallies.messages.events += 1;
                    tallies.messages.bytes += wire::encode(&Control::Quota(message.clone())).len();
                    self.in_flight.push((from, self.index[&to], message));
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
            tally.time(|| machine.handle(now, answer));
        }
        self.wake_times[from] = self.machines[from].next_wake();
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
        team: parse_id(&format!("team-{index}")),
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
        latency: TIME_STEP,
    }
}
