//! Never more in flight at an endpoint than it has slots, over all hosts.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use wagtail_route::Mutant;

use crate::fleet::{DETECTION, Fleet, HOSTS, LONGEST, Op, STEP};
use crate::support::config;

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let n = 0..HOSTS.len();
    let op = prop_oneof![
        1 => n.clone().prop_map(Op::Kill),
        2 => n.clone().prop_map(Op::Start),
        1 => n.clone().prop_map(Op::Leave),
        1 => (n.clone(), 1..120_u8).prop_map(|(n, steps)| Op::Pause(n, steps)),
        4 => (1..40_u8).prop_map(Op::Wait),
        8 => (n, 1..8_u8).prop_map(|(n, count)| Op::Load(n, count)),
        2 => any::<u8>().prop_map(Op::Finish),
    ];
    prop::collection::vec(op, 1..120)
}

/// Runs the operations, then waits until every slot must be in use again.
fn run(seed: u64, ops: &[Op], mutant: Option<Mutant>) -> Result<(), String> {
    let mut fleet = Fleet::new(seed, mutant);
    for op in ops {
        fleet.apply(*op)?;
        for n in 0..HOSTS.len() {
            fleet.load(n)?;
        }
    }
    let settle = STEP * 60 + DETECTION * 3 + LONGEST * 2;
    let end = fleet.now + settle;
    while fleet.now < end {
        fleet.step()?;
    }
    let (usable, all) = fleet.usable();
    if fleet.anyone_serves() && usable != all {
        return Err(format!("{usable} of {all} slots can be used"));
    }
    Ok(())
}

fn search(cases: u32, mutant: Option<Mutant>) -> Result<(), TestError<(u64, Vec<Op>)>> {
    TestRunner::new(config(cases)).run(&(any::<u64>(), ops()), |(seed, ops)| {
        run(seed, &ops, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn slots_hold_over_all_hosts() {
    search(300, None).unwrap();
}

#[test]
fn the_oracle_finds_broken_splits() {
    let mutants = [
        Mutant::NoWait,
        Mutant::KeepLostSlots,
        Mutant::TrustAfterPause,
        Mutant::ConsentEarly,
        Mutant::ConsentUnaware,
    ];
    for mutant in mutants {
        let found = search(300, Some(mutant));
        assert!(
            matches!(found, Err(TestError::Fail(..))),
            "{mutant:?} was not found"
        );
    }
}

/// The time after a change until all slots can be used.
fn recovery(change: Op, before: &[Op]) -> Duration {
    let mut fleet = Fleet::new(3, None);
    let settle = Op::Wait(150);
    for op in [settle].iter().chain(before).chain([&settle]) {
        fleet.apply(*op).unwrap();
    }
    let (usable, all) = fleet.usable();
    assert_eq!(usable, all, "before the change");
    fleet.apply(change).unwrap();
    let start = fleet.now;
    let changed = start + DETECTION;
    while fleet.now < changed || fleet.usable() != (all, all) {
        fleet.step().unwrap();
    }
    fleet.now - start
}

#[test]
fn a_planned_change_takes_less_than_the_whole_wait() {
    let whole = DETECTION + LONGEST;
    let leave = recovery(Op::Leave(1), &[]);
    let join = recovery(Op::Start(1), &[Op::Kill(1)]);
    let crash = recovery(Op::Kill(1), &[]);
    println!("leave {leave:?}, join {join:?}, crash {crash:?} of {whole:?}");
    assert!(leave < whole && join < whole && crash >= whole);
}
