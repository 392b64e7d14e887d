//! A model of a registry and its followers.
//!
//! The registry is restored from older copies while answers are late, hosts relay changes to each
//! other and writers write again. In the end every follower must believe what the registry holds.
//! The seed is fixed; `PROPTEST_CASES` sets the number of cases.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};
use wagtail_steer::{
    Cursor, EndpointState, Extent, Generation, GenerationTag, GenerationTracker, Observation, Steer,
};
use wagtail_types::{Clock, ManualClock, ZoneId};

use crate::support::{config, endpoint, name, steer};

const ENDPOINTS: usize = 4;
const ZONES: [&str; 2] = ["a1", "b1"];
const FOLLOWERS: usize = 2;
/// Few cases contain a page that is relayed across a restore and fits the versions after it.
const MIN_CASES: u32 = 1_500;

/// A row, by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Key {
    Config,
    Evacuation(usize),
    Endpoint(usize),
}

impl Key {
    fn topic(self) -> usize {
        usize::from(matches!(self, Self::Endpoint(_)))
    }
}

/// The value of a row: a configuration version, or the start of an endpoint's process with whether
/// it drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Value {
    Config(u64),
    On,
    Endpoint { started: u64, draining: bool },
}

/// Keys with their values; a removed row has none.
type Entries = Vec<(Key, Option<Value>)>;

/// Rows with the version of their last change; a removed row has no value.
type Rows = BTreeMap<Key, (u64, Option<Value>)>;

#[derive(Debug, Clone, Default)]
struct Store {
    rows: Rows,
    version: u64,
    generation: u64,
}

/// An answer of the store; `None` if it does not have the requested version.
#[derive(Debug, Clone)]
struct Reply {
    generation: u64,
    after: Option<u64>,
    content: Option<(u64, Entries)>,
}

impl Store {
    fn write(&mut self, key: Key, value: Option<Value>) {
        self.version += 1;
        self.rows.insert(key, (self.version, value));
    }

    fn answer(&self, topic: usize, after: Option<u64>) -> Reply {
        let rows = self.rows.iter().filter(|(key, _)| key.topic() == topic);
        let rows = rows.filter(|(_, (version, value))| match after {
            Some(after) => *version > after,
            None => value.is_some(),
        });
        let entries = rows.map(|(key, (_, value))| (*key, *value)).collect();
        let has_version = after.is_none_or(|after| after <= self.version);
        Reply {
            generation: self.generation,
            after,
            content: has_version.then_some((self.version, entries)),
        }
    }
}

#[derive(Debug, Clone)]
enum Op {
    /// The operator or an endpoint changes its mind and writes.
    Change(Key, u8),
    /// A writer whose row a restore has lost writes it again.
    WriteAgain(usize),
    Copy,
    Restore,
    /// A follower asks; the answer arrives later.
    Ask(usize, usize),
    Arrive(usize, usize),
    /// A follower applies changes that the other one relays.
    Relay(usize, usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let key = prop_oneof![
        Just(Key::Config),
        (0..ZONES.len()).prop_map(Key::Evacuation),
        (0..ENDPOINTS).prop_map(Key::Endpoint),
    ];
    prop_oneof![
        6 => (key, any::<u8>()).prop_map(|(key, value)| Op::Change(key, value)),
        2 => (0..ENDPOINTS + ZONES.len() + 1).prop_map(Op::WriteAgain),
        1 => Just(Op::Copy),
        1 => Just(Op::Restore),
        6 => (0..FOLLOWERS, 0..2_usize).prop_map(|(f, t)| Op::Ask(f, t)),
        6 => (0..FOLLOWERS, 0..2_usize).prop_map(|(f, t)| Op::Arrive(f, t)),
        6 => (0..FOLLOWERS, 0..2_usize).prop_map(|(f, t)| Op::Relay(f, t)),
        2 => (1..900_u64).prop_map(Op::Wait),
    ]
}

#[derive(Debug)]
struct Follower {
    steer: Steer,
    tracker: GenerationTracker,
    cursors: [Cursor; 2],
    asked: [Option<Reply>; 2],
    /// Changes that this follower has received, to be relayed.
    relayed: [VecDeque<Reply>; 2],
}

impl Follower {
    fn new(id: &str, port: u16) -> Self {
        Self {
            steer: steer(id, "a1", port),
            tracker: GenerationTracker::default(),
            cursors: Default::default(),
            asked: Default::default(),
            relayed: Default::default(),
        }
    }

    /// Handles an answer of the store.
    fn receive(&mut self, topic: usize, reply: Reply, clock: &ManualClock) {
        let tag = GenerationTag::Known(Generation(reply.generation));
        match self.tracker.observe(&tag) {
            Observation::Outdated => return,
            Observation::Restored => {
                self.steer.registry_restored(clock.now());
                self.cursors.iter_mut().for_each(Cursor::restart);
                return;
            }
            Observation::Current => {}
        }
        // A restore that another topic has noticed makes this answer useless.
        if reply.after != self.cursors[topic].version() {
            return;
        }
        let Some((version, entries)) = reply.content.clone() else {
            self.cursors[topic].lose_history();
            return;
        };
        if reply.after.is_some() {
            self.relayed[topic].push_back(reply);
        }
        self.apply(topic, version, entries, clock);
    }

    /// Handles changes that another follower relays.
    fn receive_relayed(&mut self, topic: usize, reply: Reply, clock: &ManualClock) {
        let (Some(after), Some((version, entries))) = (reply.after, reply.content) else {
            return;
        };
        let applies = self.tracker.applies(Some(Generation(reply.generation)));
        if applies && self.cursors[topic].continues(after, version) {
            self.apply(topic, version, entries, clock);
        }
    }

    fn apply(&mut self, topic: usize, version: u64, entries: Entries, clock: &ManualClock) {
        let now = clock.now();
        let extent = self.cursors[topic].advance(version);
        if extent != Extent::Changes && topic == 1 {
            let ids = entries.iter().map(|(key, _)| id(*key)).collect();
            self.steer.retain_endpoints(&ids, now);
        } else if extent != Extent::Changes {
            let zones: HashSet<ZoneId> = entries.iter().filter_map(|(key, _)| zone(*key)).collect();
            if extent == Extent::Restored {
                self.steer.set_evacuated_restored(&zones, now);
            } else {
                self.steer.set_evacuated(&zones, now);
            }
        }
        for (key, value) in entries {
            match (key, value) {
                (Key::Config, Some(Value::Config(version))) => {
                    let errors = self.steer.configure(config(version));
                    assert_eq!(errors.unwrap_or_default(), []);
                }
                (Key::Evacuation(_), value) => {
                    let zone = zone(key).expect("it is a zone's row");
                    self.steer.evacuate(&zone, value.is_some(), now);
                }
                (_, Some(Value::Endpoint { started, draining })) => {
                    let record = record(key, started, draining);
                    if extent == Extent::Restored {
                        self.steer.register_restored(record, now);
                    } else {
                        self.steer.register(record, now);
                    }
                }
                (Key::Endpoint(_), None) => self.steer.unregister(&id(key), now),
                _ => {}
            }
        }
    }
}

fn id(key: Key) -> wagtail_types::EndpointId {
    let Key::Endpoint(index) = key else {
        panic!("it is an endpoint's row");
    };
    name(&format!("e-{index}"))
}

fn zone(key: Key) -> Option<ZoneId> {
    match key {
        Key::Evacuation(index) => Some(name(ZONES[index])),
        _ => None,
    }
}

fn record(key: Key, started: u64, draining: bool) -> wagtail_steer::EndpointRecord {
    let mut record = endpoint(id(key).as_str(), "a1", 2);
    record.started = Some(started);
    if draining {
        record.state = EndpointState::Draining;
    }
    record
}

/// The store, its followers, and what the writers want to be written.
struct World {
    clock: ManualClock,
    store: Store,
    copy: Store,
    wanted: HashMap<Key, Option<Value>>,
    starts: u64,
    followers: Vec<Follower>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            store: Store::default(),
            copy: Store::default(),
            wanted: HashMap::new(),
            starts: 0,
            followers: vec![Follower::new("one", 100), Follower::new("two", 200)],
        };
        world.write(Key::Config, Some(Value::Config(1)));
        world.copy = world.store.clone();
        world
    }

    fn write(&mut self, key: Key, value: Option<Value>) {
        self.wanted.insert(key, value);
        self.store.write(key, value);
    }

    /// Writes a row again if the store does not hold what its writer wants.
    fn write_again(&mut self, key: Key) {
        let wanted = self.wanted.get(&key).copied().flatten();
        if self.store.rows.get(&key).and_then(|(_, value)| *value) != wanted {
            self.store.write(key, wanted);
        }
    }

    fn change(&mut self, key: Key, choice: u8) {
        let current = self.wanted.get(&key).copied().flatten();
        let next = match (key, current) {
            (Key::Config, Some(Value::Config(version))) => Some(Value::Config(version + 1)),
            (Key::Evacuation(_), None) => Some(Value::On),
            (
                Key::Endpoint(_),
                Some(Value::Endpoint {
                    started,
                    draining: false,
                }),
            ) if !choice.is_multiple_of(3) => Some(Value::Endpoint {
                started,
                draining: true,
            }),
            (Key::Endpoint(_), None) => {
                self.starts += 1;
                Some(Value::Endpoint {
                    started: self.starts,
                    draining: false,
                })
            }
            _ => None,
        };
        self.write(key, next);
    }

    fn run(&mut self, op: &Op) {
        match *op {
            Op::Change(key, choice) => self.change(key, choice),
            Op::WriteAgain(index) => {
                let keys = self.keys();
                if let Some(&key) = keys.get(index) {
                    self.write_again(key);
                }
            }
            Op::Copy => self.copy = self.store.clone(),
            Op::Restore => {
                let generation = self.store.generation + 1;
                self.store = Store {
                    generation,
                    ..self.copy.clone()
                };
            }
            Op::Ask(follower, topic) => {
                let follower = &mut self.followers[follower];
                let after = follower.cursors[topic].version();
                follower.asked[topic] = Some(self.store.answer(topic, after));
            }
            Op::Arrive(follower, topic) => {
                let follower = &mut self.followers[follower];
                if let Some(reply) = follower.asked[topic].take() {
                    follower.receive(topic, reply, &self.clock);
                }
            }
            Op::Relay(follower, topic) => {
                if let Some(reply) = self.followers[1 - follower].relayed[topic].pop_front() {
                    self.followers[follower].receive_relayed(topic, reply, &self.clock);
                }
            }
            Op::Wait(ms) => self.wait(Duration::from_millis(ms)),
        }
    }

    fn keys(&self) -> Vec<Key> {
        let mut keys: Vec<_> = self.wanted.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    fn wait(&mut self, time: Duration) {
        self.clock.advance(time);
        for follower in &mut self.followers {
            follower.steer.remove_lapsed(self.clock.now());
            follower.steer.end_holds(self.clock.now());
        }
    }

    /// Lets all writers write again and all followers catch up.
    fn settle(&mut self) {
        let rows: Vec<_> = self.store.rows.keys().copied().collect();
        for key in self.keys().into_iter().chain(rows) {
            self.write_again(key);
        }
        for _ in 0..4 {
            for (follower, topic) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                self.run(&Op::Arrive(follower, topic));
                self.run(&Op::Ask(follower, topic));
                self.run(&Op::Arrive(follower, topic));
            }
        }
        for _ in 0..10 {
            self.wait(Duration::from_secs(1));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let value = |key: &Key| self.store.rows.get(key).and_then(|(_, value)| *value);
        for follower in &self.followers {
            let version = follower.steer.catalog().map(|c| c.version().0);
            if let Some(Value::Config(stored)) = value(&Key::Config) {
                prop_assert_eq!(version, Some(stored));
            }
            for (index, zone) in ZONES.iter().enumerate() {
                let key = Key::Evacuation(index);
                let evacuated = follower.steer.is_evacuated(&name(zone));
                prop_assert_eq!(evacuated, value(&key).is_some(), "{:?}", key);
            }
            let known: HashMap<_, _> = follower
                .steer
                .endpoints()
                .map(|e| (e.record.id.clone(), (e.record.started, e.record.state)))
                .collect();
            let stored = (0..ENDPOINTS)
                .map(Key::Endpoint)
                .filter_map(|key| match value(&key) {
                    Some(Value::Endpoint { started, draining }) => {
                        let record = record(key, started, draining);
                        Some((record.id, (record.started, record.state)))
                    }
                    _ => None,
                });
            prop_assert_eq!(known, stored.collect::<HashMap<_, _>>());
        }
        Ok(())
    }
}

#[test]
fn every_follower_ends_with_what_the_registry_holds() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let defaults = RunnerConfig::default();
    let config = RunnerConfig {
        cases: defaults.cases.max(MIN_CASES),
        ..defaults
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 0..240);
    let result = runner.run(&ops, |ops| {
        let mut world = World::new();
        for op in &ops {
            world.run(op);
        }
        world.settle();
        world.check()
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
