//! Endpoint faults against what the caller is told.

use wagtail_load::client::{Call, Got};
use wagtail_standin::endpoint::{Fault, Faults};

use crate::world::{KEY, READS, WRITES, World, block_on, quiet};

/// Twice the deadline of both services.
const LATE_MS: u64 = 1_600;

/// What a caller must be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    NotRun,
    MayHaveRun,
    /// The connection ends within the answer.
    Aborted,
    /// The endpoint's own answer, whatever it says.
    Passed,
}

const TABLE: &[(&str, Fault, Told)] = &[
    ("late", Fault::Late { ms: LATE_MS }, Told::MayHaveRun),
    ("crossed", Fault::Crossed, Told::MayHaveRun),
    ("cut by length", Fault::CutLength, Told::Aborted),
    ("cut in chunks", Fault::CutChunked, Told::Aborted),
    ("refused", Fault::Refuse, Told::NotRun),
    ("failed", Fault::FailAfterRun, Told::Passed),
    ("closed before", Fault::CloseBefore, Told::MayHaveRun),
    ("closed after", Fault::CloseAfter, Told::MayHaveRun),
];

fn told(got: &Got) -> Option<Told> {
    match got {
        Got::NotRun { .. } => Some(Told::NotRun),
        Got::MayHaveRun { .. } => Some(Told::MayHaveRun),
        Got::Lost { .. } => Some(Told::Aborted),
        Got::Wrong { reason } if reason.starts_with("status 500") => Some(Told::Passed),
        _ => None,
    }
}

#[test]
fn callers_are_told_the_truth() {
    block_on(async {
        let world = World::start(&quiet(), &[]).await;
        for (name, fault, want) in TABLE {
            for service in [READS, WRITES] {
                world.endpoint(service).set_faults(Faults::every(*fault));
                for addr in world.addrs() {
                    let reply = world
                        .caller
                        .call(addr, &Call::submit(service, KEY, name))
                        .await;
                    assert_eq!(
                        told(&reply.got),
                        Some(*want),
                        "{name}, {service}: {}",
                        reply.got
                    );
                    let ran = world.ran(service, &reply.id);
                    if service == WRITES {
                        assert!(ran <= 1, "{name}: ran {ran} times");
                    }
                    if *want == Told::NotRun {
                        assert_eq!(ran, 0, "{name}, {service}");
                    }
                }
                world.endpoint(service).set_faults(Faults::default());
            }
        }
        for service in [READS, WRITES] {
            for addr in world.addrs() {
                let reply = world.caller.call(addr, &Call::read(service, KEY)).await;
                assert_eq!(reply.got, Got::Answer, "{service} after the faults");
            }
        }
    });
}

#[test]
fn duplicates_get_the_first_answer() {
    block_on(async {
        let world = World::start(&quiet(), &[]).await;
        let [first, second] = world.addrs();
        let path = "/v1/keys?count=3";
        let issued = world.caller.json(http::Method::POST, first, path).await;
        let issued: wagtail_entryd::Keys = issued.expect("keys");
        let chosen = (0..3).map(|n| format!("chosen-{n}"));
        for key in issued.keys.into_iter().chain(chosen) {
            let call = Call::submit(WRITES, KEY, &key).under(&key);
            let before = world.endpoint(WRITES).log().ran();
            let (a, b) = tokio::join!(
                world.caller.call(first, &call),
                world.caller.call(second, &call)
            );
            let c = world.caller.call(second, &call).await;
            assert!(!a.body.is_empty(), "{key}: {}", a.got);
            assert_eq!(a.body, b.body, "{key}: {} and {}", a.got, b.got);
            assert_eq!(a.body, c.body, "{key}: {} and {}", a.got, c.got);
            assert_eq!(world.endpoint(WRITES).log().ran() - before, 1, "{key}");
            let other = Call::submit(WRITES, KEY, "another body").under(&key);
            let reply = world.caller.call(first, &other).await;
            let reason = "bad-request".to_owned();
            assert_eq!(
                reply.got,
                Got::NotRun { reason },
                "{key} for another request"
            );
        }
    });
}

#[test]
fn claims_without_the_table_do_not_run() {
    block_on(async {
        let world = World::start(&quiet(), &[]).await;
        world.fleet.platform.faults.update(|f| f.down = true);
        let before = world.endpoint(WRITES).log().ran();
        for addr in world.addrs() {
            let call = Call::submit(WRITES, KEY, "claimed").under("chosen-in-an-outage");
            let reply = world.caller.call(addr, &call).await;
            let refused = matches!(reply.got, Got::NotRun { .. } | Got::MayHaveRun { .. });
            assert!(refused, "{}", reply.got);
            let keyless = world.caller.call(addr, &Call::read(READS, KEY)).await;
            assert_eq!(keyless.got, Got::Answer, "reads go on");
        }
        assert_eq!(world.endpoint(WRITES).log().ran(), before);
    });
}

#[test]
fn long_bodies_under_one_key_are_told_apart() {
    const BYTES: usize = 300_000;
    block_on(async {
        let world = World::start(&quiet(), &[]).await;
        let [first, second] = world.addrs();
        let keys = world
            .caller
            .json(http::Method::POST, first, "/v1/keys?count=1");
        let keys: wagtail_entryd::Keys = keys.await.expect("keys");
        let key = &keys.keys[0];
        let call = Call::submit(WRITES, KEY, &"a".repeat(BYTES)).under(key);
        let (a, b) = (
            world.caller.call(first, &call).await,
            world.caller.call(second, &call).await,
        );
        assert_eq!(a.got, Got::Answer);
        assert_eq!(a.body, b.body, "{}", b.got);
        let other = Call::submit(WRITES, KEY, &"b".repeat(BYTES)).under(key);
        for addr in [first, second] {
            let reply = world.caller.call(addr, &other).await;
            let reason = "bad-request".to_owned();
            assert_eq!(reply.got, Got::NotRun { reason });
        }
    });
}
