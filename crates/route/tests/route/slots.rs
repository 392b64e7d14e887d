//! Never more in flight at an endpoint than it has slots, over all hosts.

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
        1 => (n.clone(), 1..60_u8).prop_map(|(n, steps)| Op::Pause(n, steps)),
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
    for mutant in [Mutant::NoWait, Mutant::KeepSlots, Mutant::TrustAfterPause] {
        let found = search(300, Some(mutant));
        assert!(
            matches!(found, Err(TestError::Fail(..))),
            "{mutant:?} was not found"
        );
    }
}
