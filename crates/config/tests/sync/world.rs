//! A simulated table that keeps every state, a network that holds every message, and a few hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::TestCaseError;
use wagtail_config::{
    ConfigSync, Message, Mutant, Raw, RecordKey, Row, Snapshot, SnapshotRef, SyncEffect, SyncInput,
    SyncSettings, View,
};
use wagtail_types::{Clock, Epoch, HostId, ManualClock};

pub(crate) const HOSTS: usize = 4;
const PAGE_ROWS: usize = 2;

#[derive(Debug, Clone)]
pub(crate) enum Op {
    /// Puts records, or withdraws those without a value, in one epoch.
    Commit(Vec<(u8, Option<u8>)>),
    /// Advances the clock by milliseconds and ticks every host.
    Advance(u64),
    /// Answers a call to the platform from the state `lag` epochs ago.
    Answer { pick: Index, lag: usize },
    /// Fails a call to the platform.
    Fail(Index),
    /// Delivers any message; with `again`, it stays to be delivered a second time.
    Deliver { pick: Index, again: bool },
    /// Loses a message.
    Lose(Index),
    /// Replaces a host by a new incarnation without configuration.
    Restart(usize),
    /// Stores a snapshot of the current state.
    Snapshot,
}

type RecordsInForce = BTreeMap<RecordKey, (Epoch, String)>;

pub(crate) struct World {
    mutant: Mutant,
    clock: ManualClock,
    hosts: Vec<ConfigSync>,
    adopted: Vec<Epoch>,
    last_incarnation: u64,
    states: Vec<View>,
    snapshot: Option<(Snapshot, SnapshotRef)>,
    calls: Vec<(usize, u64, SyncEffect)>,
    messages: Vec<(usize, usize, u64, Message)>,
    incarnations: Vec<u64>,
}

impl World {
    pub(crate) fn new(mutant: Mutant) -> Self {
        let mut world = Self {
            mutant,
            clock: ManualClock::new(),
            hosts: Vec::new(),
            adopted: vec![Epoch(0); HOSTS],
            last_incarnation: 0,
            states: vec![View::empty()],
            snapshot: None,
            calls: Vec::new(),
            messages: Vec::new(),
            incarnations: vec![0; HOSTS],
        };
        for host in 0..HOSTS {
            let sync = world.spawn(host);
            world.hosts.push(sync);
        }
        world
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn spawn(&mut self, host: usize) -> ConfigSync {
        self.last_incarnation += 1;
        self.incarnations[host] = self.last_incarnation;
        self.adopted[host] = Epoch(0);
        let settings = SyncSettings {
            page_rows: PAGE_ROWS,
            extra_fanout: 2,
            page_bytes: 30,
            ..SyncSettings::default()
        };
        let mut sync = ConfigSync::new(settings, self.last_incarnation, self.now());
        sync.set_mutant(self.mutant);
        let peers = (0..HOSTS).filter(|h| *h != host).map(name).collect();
        sync.handle(self.now(), SyncInput::Peers(peers));
        sync
    }

    pub(crate) fn apply(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Commit(changes) => self.commit(&changes),
            Op::Advance(millis) => self.advance(millis)?,
            Op::Answer { pick, lag } => {
                if let Some(call) = take_picked(&mut self.calls, pick) {
                    self.answer(call, lag)?;
                }
            }
            Op::Fail(pick) => {
                if let Some((host, incarnation, effect)) = take_picked(&mut self.calls, pick) {
                    self.fail(host, incarnation, &effect)?;
                }
            }
            Op::Deliver { pick, again } => {
                if let Some(message) = take_picked(&mut self.messages, pick) {
                    if again {
                        self.messages.push(message.clone());
                    }
                    self.deliver(message)?;
                }
            }
            Op::Lose(pick) => drop(take_picked(&mut self.messages, pick)),
            Op::Restart(host) => {
                self.hosts[host] = self.spawn(host);
                self.drain(host)?;
            }
            Op::Snapshot => {
                let snapshot = Snapshot::of(self.states.last().expect("there is an initial state"));
                let (_, reference) = snapshot.encode();
                self.snapshot = Some((snapshot, reference));
            }
        }
        Ok(())
    }

    fn commit(&mut self, changes: &[(u8, Option<u8>)]) {
        let epoch = Epoch(self.states.len() as u64);
        let changes: BTreeMap<_, _> = changes.iter().copied().collect();
        let rows = changes
            .into_iter()
            .map(|(key, value)| row(epoch, key, value));
        let state = self
            .states
            .last()
            .expect("there is an initial state")
            .apply(epoch, rows);
        self.states.push(state);
    }

    fn advance(&mut self, millis: u64) -> Result<(), TestCaseError> {
        self.clock.advance(Duration::from_millis(millis));
        for host in 0..HOSTS {
            let now = self.now();
            self.hosts[host].tick(now);
            self.drain(host)?;
        }
        Ok(())
    }

    fn answer(
        &mut self,
        (host, incarnation, effect): (usize, u64, SyncEffect),
        lag: usize,
    ) -> Result<(), TestCaseError> {
        let input = match effect {
            SyncEffect::Scan {
                request,
                since,
                after,
                limit,
            } => {
                let state = &self.states[self.states.len().saturating_sub(1 + lag)];
                let page = state.page(since, after.as_ref(), limit);
                let reference = self.snapshot.as_ref().map(|(_, reference)| reference);
                let snapshot = reference.filter(|r| r.epoch <= state.epoch()).cloned();
                SyncInput::Scanned {
                    request,
                    page,
                    snapshot,
                }
            }
            SyncEffect::Fetch { request, snapshot } => match &self.snapshot {
                Some((held, reference)) if *reference == snapshot => SyncInput::Fetched {
                    request,
                    snapshot: held.clone(),
                },
                _ => SyncInput::Failed { request },
            },
            _ => return Ok(()),
        };
        self.input(host, incarnation, input)
    }

    fn fail(
        &mut self,
        host: usize,
        incarnation: u64,
        effect: &SyncEffect,
    ) -> Result<(), TestCaseError> {
        let (SyncEffect::Scan { request, .. } | SyncEffect::Fetch { request, .. }) = effect else {
            return Ok(());
        };
        self.input(host, incarnation, SyncInput::Failed { request: *request })
    }

    /// Delivers a message to the current incarnation at the address. Answers of the platform reach
    /// only the incarnation that made the call.
    fn deliver(
        &mut self,
        (from, to, _, message): (usize, usize, u64, Message),
    ) -> Result<(), TestCaseError> {
        let input = SyncInput::Message {
            from: name(from),
            message,
        };
        self.input(to, self.incarnations[to], input)
    }

    fn input(
        &mut self,
        host: usize,
        incarnation: u64,
        input: SyncInput,
    ) -> Result<(), TestCaseError> {
        if self.incarnations[host] != incarnation {
            return Ok(());
        }
        let now = self.now();
        self.hosts[host].handle(now, input);
        self.drain(host)
    }

    fn drain(&mut self, host: usize) -> Result<(), TestCaseError> {
        let incarnation = self.incarnations[host];
        while let Some(effect) = self.hosts[host].poll_effect() {
            match effect {
                SyncEffect::Send { to, message } => {
                    let bytes = message.encode();
                    let message = Message::decode(&bytes).expect("an encoded message decodes");
                    self.messages.push((host, index(&to), incarnation, message));
                }
                SyncEffect::Adopted(view) => self.check(host, &view)?,
                SyncEffect::Contact { epoch, .. } => {
                    prop_assert!(epoch.0 < self.states.len() as u64);
                }
                call => self.calls.push((host, incarnation, call)),
            }
        }
        Ok(())
    }

    /// Checks that an adopted view equals one of the table's states and is newer than the last one.
    fn check(&mut self, host: usize, view: &View) -> Result<(), TestCaseError> {
        let epoch = view.epoch();
        prop_assert!(
            epoch > self.adopted[host],
            "host {host} adopted {epoch}, which is not higher than before"
        );
        self.adopted[host] = epoch;
        let at = usize::try_from(epoch.0).expect("the epoch fits");
        prop_assert!(at < self.states.len(), "epoch {epoch} was never committed");
        prop_assert_eq!(
            in_force(view),
            in_force(&self.states[at]),
            "host {} at {}",
            host,
            epoch
        );
        Ok(())
    }

    /// Checks that all hosts reach the newest epoch that any of them has, while every call to the
    /// platform fails and every message is delivered.
    pub(crate) fn converge_without_platform(&mut self) -> Result<(), TestCaseError> {
        const ROUNDS: usize = 60;
        for _ in 0..ROUNDS {
            self.advance(500)?;
            for (host, incarnation, effect) in std::mem::take(&mut self.calls) {
                self.fail(host, incarnation, &effect)?;
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message)?;
            }
        }
        let epochs: Vec<Epoch> = self.hosts.iter().map(|h| h.view().epoch()).collect();
        let best = epochs.iter().max();
        prop_assert!(epochs.iter().all(|e| Some(e) == best), "{:?}", epochs);
        Ok(())
    }

    /// Checks that all hosts reach the newest epoch while every call is answered and every message
    /// is delivered.
    pub(crate) fn converge(&mut self) -> Result<(), TestCaseError> {
        const ROUNDS: usize = 40;
        for _ in 0..ROUNDS {
            self.advance(500)?;
            for call in std::mem::take(&mut self.calls) {
                self.answer(call, 0)?;
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message)?;
            }
        }
        let head = Epoch(self.states.len() as u64 - 1);
        for host in 0..HOSTS {
            prop_assert_eq!(
                self.hosts[host].view().epoch(),
                head,
                "host {} is behind",
                host
            );
        }
        Ok(())
    }
}

fn take_picked<T>(list: &mut Vec<T>, pick: Index) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    Some(list.swap_remove(pick.index(list.len())))
}

fn name(host: usize) -> HostId {
    format!("entry-{host}").parse().expect("the name is valid")
}

fn index(host: &HostId) -> usize {
    (0..HOSTS)
        .find(|h| name(*h) == *host)
        .expect("the host is known")
}

fn row(epoch: Epoch, key: u8, value: Option<u8>) -> Row {
    let name = format!("r{key}");
    match value {
        None => Row::withdrawn(
            RecordKey::new("region", &name).expect("the key is valid"),
            epoch,
        ),
        Some(delay) => {
            let body = serde_json::json!({ "delay_ms": { "other": delay } });
            let raw = Raw {
                kind: "region".into(),
                name,
                schema: 1,
                body,
            };
            Row::put(&raw, epoch).expect("the key is valid")
        }
    }
}

fn in_force(view: &View) -> RecordsInForce {
    view.rows()
        .filter_map(|r| Some((r.key.clone(), (r.epoch, r.body.as_deref()?.to_owned()))))
        .collect()
}
