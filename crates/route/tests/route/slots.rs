//! No endpoint gets more concurrent requests than it has slots, summed over all hosts.
//!
//! Hosts whose membership views differ, that pause, or that inherit the slots of a lost host
//! could otherwise use the same slot at the same time.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use wagtail_route::Mutant;

use crate::fleet::{DETECTION, Fleet, HOSTS, MAX_DURATION, Op, STEP};
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

/// Runs the operations, then waits until every slot must be usable again.
fn simulate(seed: u64, ops: &[Op], mutant: Option<Mutant>) -> Result<(), String> {
    let mut fleet = Fleet::new(seed, mutant);
    for op in ops {
        fleet.apply(*op)?;
        for n in 0..HOSTS.len() {
            fleet.send_request(n)?;
        }
    }
    let settle = STEP * 60 + DETECTION * 3 + MAX_DURATION * 2;
    let end = fleet.now + settle;
    while fleet.now < end {
        fleet.step()?;
    }
    let (usable, all) = fleet.usable();
    if fleet.is_any_serving() && usable != all {
        return Err(format!("{usable} of {all} slots can be used"));
    }
    Ok(())
}

fn search(cases: u32, mutant: Option<Mutant>) -> Result<(), TestError<(u64, Vec<Op>)>> {
    TestRunner::new(config(cases)).run(&(any::<u64>(), ops()), |(seed, ops)| {
        simulate(seed, &ops, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn no_endpoint_exceeds_its_slots() {
    search(300, None).unwrap();
}

#[test]
fn the_oracle_detects_broken_slot_division() {
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

/// Returns the time after a change until all slots are usable.
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
fn planned_changes_recover_before_the_full_handover_wait() {
    let full = DETECTION + MAX_DURATION;
    let leave = recovery(Op::Leave(1), &[]);
    let join = recovery(Op::Start(1), &[Op::Kill(1)]);
    let crash = recovery(Op::Kill(1), &[]);
    println!("leave {leave:?}, join {join:?}, crash {crash:?} of {full:?}");
    assert!(leave < full && join < full && crash >= full);
}
