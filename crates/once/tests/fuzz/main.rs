//! Stateful fuzzing of several hosts against an oracle that counts the runs of each key.
//!
//! `PROPTEST_CASES` sets the number of trials.

mod fleet;

use fleet::{Fleet, Op, op};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use wagtail_once::Mutant;

const SEED: u64 = 20;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

fn trial() -> impl Strategy<Value = (usize, Vec<Op>)> {
    let slots = prop_oneof![Just(2usize), Just(4), Just(100)];
    (slots, prop::collection::vec(op(), 1..160))
}

fn run(mutant: Option<Mutant>, slots: usize, ops: &[Op]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(slots, mutant);
    for op in ops {
        fleet.apply(op).map_err(TestCaseError::fail)?;
    }
    Ok(())
}

#[test]
fn each_key_runs_at_most_once() {
    let result = runner().run(&trial(), |(slots, ops)| run(None, slots, &ops));
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn mutants_are_detected() {
    const CASES: u32 = 4_000;
    let mutants = [
        Mutant::RerunUnknown,
        Mutant::RerunDropped,
        Mutant::EvictOutcomes,
        Mutant::RerunExpired,
        Mutant::RunForeignKeys,
        Mutant::RunOldIncarnation,
        Mutant::TrustUnknownClaim,
        Mutant::IgnoreHolder,
        Mutant::LostHostNotRun,
        Mutant::RerunRelay,
        Mutant::AnyIncarnation,
        Mutant::RunDuplicates,
        Mutant::IgnoreFingerprint,
    ];
    for mutant in mutants {
        let config = Config {
            cases: CASES,
            rng_seed: RngSeed::Fixed(SEED),
            failure_persistence: None,
            max_shrink_iters: 0,
            ..Config::default()
        };
        let result =
            TestRunner::new(config).run(&trial(), |(slots, ops)| run(Some(mutant), slots, &ops));
        assert!(
            matches!(result, Err(TestError::Fail(..))),
            "mutant {mutant:?} was not detected"
        );
    }
}
