//! What is said of a transaction against what the table holds, under lost, late and refused calls.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use wagtail_store::{
    Memory, PlatformError, Receipt, Row, RowKey, Settle, SettleMutant, SettleSettings, SettleStep,
    Table, Txn, Write,
};
use wagtail_types::AttemptId;

const OWN: AttemptId = AttemptId(2);
const RIVAL: AttemptId = AttemptId(100);

/// What becomes of one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Fine,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It never takes effect; no answer comes.
    RequestLost,
    /// It takes effect some calls later; no answer comes.
    Late(u8),
    Refused,
    Unreachable,
    /// A rival commits first, then it goes through.
    Raced,
    /// A read sees the state at the start; a write goes through.
    Stale,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Fine),
        3 => Just(Fate::AnswerLost),
        2 => Just(Fate::RequestLost),
        2 => (1u8..4).prop_map(Fate::Late),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Unreachable),
        1 => Just(Fate::Raced),
        1 => Just(Fate::Stale),
    ]
}

fn head() -> RowKey {
    RowKey::new("head", "config")
}

fn log() -> RowKey {
    RowKey::new("log", "1")
}

fn txn(attempt: AttemptId, version: u64) -> Txn {
    Txn::new(attempt)
        .check(head(), Some(version))
        .check(log(), None)
        .write(Write::put(log(), ""))
        .write(Write::put(head(), "1"))
}

/// Futures of the table in memory are ready at once.
fn now<T>(future: impl Future<Output = T>) -> T {
    futures_util::FutureExt::now_or_never(future).expect("ready")
}

struct World {
    table: Memory,
    start: u64,
    late: Vec<(u8, Txn)>,
    applied: u32,
}

impl World {
    fn new() -> Self {
        let table = Memory::default();
        let first = Txn::new(AttemptId(1)).write(Write::put(head(), "0"));
        let start = now(table.transact(&first)).expect("an empty table").version;
        Self {
            table,
            start,
            late: Vec::new(),
            applied: 0,
        }
    }

    fn apply(&mut self, txn: &Txn) -> Result<Receipt, PlatformError> {
        let result = now(self.table.transact(txn));
        self.applied += u32::from(result.is_ok());
        result
    }

    /// Lets calls that were under way take effect.
    fn pass(&mut self, all: bool) {
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .map(|(calls, txn)| (calls - 1, txn))
            .partition(|(calls, _)| all || *calls == 0);
        self.late = rest;
        let due: Vec<(u8, Txn)> = due;
        for (_, txn) in due {
            let _ = self.apply(&txn);
        }
    }

    fn send(&mut self, txn: &Txn, fate: Fate) -> Result<Receipt, PlatformError> {
        match fate {
            Fate::Fine | Fate::Stale => self.apply(txn),
            Fate::AnswerLost => {
                let result = self.apply(txn);
                result.and(Err(PlatformError::unknown("lost")))
            }
            Fate::RequestLost => Err(PlatformError::unknown("lost")),
            Fate::Late(calls) => {
                self.late.push((calls, txn.clone()));
                Err(PlatformError::unknown("late"))
            }
            Fate::Refused => Err(PlatformError::not_applied("refused")),
            Fate::Unreachable => Err(PlatformError::unavailable("unreachable")),
            Fate::Raced => {
                let _ = now(self.table.transact(&self::txn(RIVAL, self.start)));
                self.apply(txn)
            }
        }
    }

    fn read(&mut self, key: &RowKey, fate: Fate) -> Result<Option<Row>, PlatformError> {
        match fate {
            Fate::Fine | Fate::Raced => now(self.table.read(key)),
            Fate::Stale => Ok(None),
            _ => Err(PlatformError::unavailable("unreachable")),
        }
    }
}

fn run(mutant: SettleMutant, fates: Vec<Fate>) -> Result<(), TestCaseError> {
    let mut world = World::new();
    let mut machine = Settle::new(SettleSettings::default(), txn(OWN, world.start), 5);
    machine.set_mutant(mutant);
    let mut fates = VecDeque::from(fates);
    let result = loop {
        let step = machine.step();
        if !matches!(step, SettleStep::Wait(_)) {
            world.pass(false);
        }
        let fate = fates.front().copied().unwrap_or(Fate::Fine);
        match step {
            SettleStep::Send => {
                let result = world.send(machine.txn(), fate);
                machine.sent(result);
            }
            SettleStep::Read => {
                let result = world.read(&log(), fate);
                machine.read(result);
            }
            SettleStep::Wait(_) => continue,
            SettleStep::Done(result) => break result,
        }
        fates.pop_front();
    };
    world.pass(true);
    match &result {
        Ok(_) => prop_assert_eq!(world.applied, 1, "said to be applied"),
        Err(PlatformError::Unknown { .. }) => prop_assert!(world.applied <= 1, "applied twice"),
        Err(error) => prop_assert_eq!(world.applied, 0, "said: {}", error),
    }
    Ok(())
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    prop::collection::vec(fate(), 0..14)
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn what_is_said_of_a_transaction_is_true() {
    let config = Config {
        cases: config().cases * 20,
        ..config()
    };
    let result = TestRunner::new(config).run(&fates(), |fates| run(SettleMutant::None, fates));
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn the_oracle_finds_each_mutant() {
    const MUTANTS: [SettleMutant; 3] = [
        SettleMutant::ForgetsUnknown,
        SettleMutant::TrustsConflict,
        SettleMutant::DeniesUnknown,
    ];
    for mutant in MUTANTS {
        let config = Config {
            cases: 20_000,
            max_shrink_iters: 0,
            ..config()
        };
        let result = TestRunner::new(config).run(&fates(), |fates| run(mutant, fates));
        assert!(
            matches!(result, Err(TestError::Fail(..))),
            "{mutant} was not found"
        );
    }
}
