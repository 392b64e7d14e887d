//! Guards against a retry that reports another outcome than the table has seen.
//!
//! Calls are lost, delayed, refused or raced by another writer. A reported success must be applied
//! exactly once, a reported failure never, and a transaction with an unknown outcome at most once.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use wagtail_store::{
    Memory, PlatformError, Receipt, RetryMutant, RetrySettings, RetryStep, Row, RowKey, Table, Txn,
    TxnRetry, Write,
};
use wagtail_types::AttemptId;

const OWN: AttemptId = AttemptId(2);
const COMPETITOR: AttemptId = AttemptId(100);

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
enum CallFault {
    None,
    /// The call takes effect, but the answer is lost.
    AnswerLost,
    /// The call never takes effect, and no answer comes.
    RequestLost,
    /// The call takes effect after this many further calls, and no answer comes.
    Late(u8),
    Refused,
    Unreachable,
    /// A competing transaction commits first, then the call succeeds if its checks still hold.
    CommitBefore,
    /// A read returns the initial state; a write succeeds.
    Stale,
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        3 => Just(CallFault::None),
        3 => Just(CallFault::AnswerLost),
        2 => Just(CallFault::RequestLost),
        2 => (1u8..4).prop_map(CallFault::Late),
        1 => Just(CallFault::Refused),
        1 => Just(CallFault::Unreachable),
        1 => Just(CallFault::CommitBefore),
        1 => Just(CallFault::Stale),
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

/// Returns the result of a future of the table in memory, which never waits.
fn ready<T>(future: impl Future<Output = T>) -> T {
    futures_util::FutureExt::now_or_never(future).expect("the table in memory answers at once")
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
        let start = ready(table.transact(&first))
            .expect("the table is empty")
            .version;
        Self {
            table,
            start,
            late: Vec::new(),
            applied: 0,
        }
    }

    fn apply(&mut self, txn: &Txn) -> Result<Receipt, PlatformError> {
        let result = ready(self.table.transact(txn));
        self.applied += u32::from(result.is_ok());
        result
    }

    /// Applies the delayed calls that are due, or all of them.
    fn apply_late(&mut self, all: bool) {
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

    fn send(&mut self, txn: &Txn, fault: CallFault) -> Result<Receipt, PlatformError> {
        match fault {
            CallFault::None | CallFault::Stale => self.apply(txn),
            CallFault::AnswerLost => {
                let result = self.apply(txn);
                result.and(Err(PlatformError::unknown("lost")))
            }
            CallFault::RequestLost => Err(PlatformError::unknown("lost")),
            CallFault::Late(calls) => {
                self.late.push((calls, txn.clone()));
                Err(PlatformError::unknown("late"))
            }
            CallFault::Refused => Err(PlatformError::not_applied("refused")),
            CallFault::Unreachable => Err(PlatformError::unavailable("unreachable")),
            CallFault::CommitBefore => {
                let _ = ready(self.table.transact(&self::txn(COMPETITOR, self.start)));
                self.apply(txn)
            }
        }
    }

    fn read(&mut self, key: &RowKey, fault: CallFault) -> Result<Option<Row>, PlatformError> {
        match fault {
            CallFault::None | CallFault::CommitBefore => ready(self.table.read(key)),
            CallFault::Stale => Ok(None),
            _ => Err(PlatformError::unavailable("unreachable")),
        }
    }
}

fn run(mutant: RetryMutant, faults: Vec<CallFault>) -> Result<(), TestCaseError> {
    let mut world = World::new();
    let mut retry = TxnRetry::new(RetrySettings::default(), txn(OWN, world.start), 5);
    retry.set_mutant(mutant);
    let mut faults = VecDeque::from(faults);
    let result = loop {
        let step = retry.step();
        if !matches!(step, RetryStep::Wait(_)) {
            world.apply_late(false);
        }
        let fault = faults.front().copied().unwrap_or(CallFault::None);
        match step {
            RetryStep::Send => {
                let result = world.send(retry.txn(), fault);
                retry.handle_send(result);
            }
            RetryStep::Read => {
                let result = world.read(&log(), fault);
                retry.handle_read(result);
            }
            RetryStep::Wait(_) => continue,
            RetryStep::Done(result) => break result,
        }
        faults.pop_front();
    };
    world.apply_late(true);
    match &result {
        Ok(_) => prop_assert_eq!(world.applied, 1, "a reported success is applied once"),
        Err(PlatformError::Unknown { .. }) => prop_assert!(world.applied <= 1, "applied twice"),
        Err(error) => prop_assert_eq!(world.applied, 0, "reported as not applied: {}", error),
    }
    Ok(())
}

fn faults() -> impl Strategy<Value = Vec<CallFault>> {
    prop::collection::vec(fault(), 0..14)
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn reported_outcomes_match_the_table() {
    let config = Config {
        cases: config().cases * 20,
        ..config()
    };
    let result = TestRunner::new(config).run(&faults(), |faults| run(RetryMutant::None, faults));
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn the_oracle_detects_each_mutant() {
    const MUTANTS: [RetryMutant; 3] = [
        RetryMutant::ForgetsUnknown,
        RetryMutant::TrustsConflict,
        RetryMutant::DeniesUnknown,
    ];
    for mutant in MUTANTS {
        let config = Config {
            cases: 20_000,
            max_shrink_iters: 0,
            ..config()
        };
        let result = TestRunner::new(config).run(&faults(), |faults| run(mutant, faults));
        assert!(
            matches!(result, Err(TestError::Fail(..))),
            "{mutant} was not detected"
        );
    }
}
