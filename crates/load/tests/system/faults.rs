//! Endpoint faults: the verdict that a caller receives must match whether the request ran.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_load::client::{Call, CallOutcome, Reply};
use wagtail_standin::endpoint::{Fault, Faults};

use crate::fixture::{Fixture, KEY, READS, WRITES, block_on, quiet};

/// The reason of a refusal by a host that knows no slot for the request.
const NO_SLOT: &str = "no-endpoint";
/// Twice the deadline of both services.
const LATE_MS: u64 = 1_600;

/// What a caller receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Received {
    NotRun,
    MayHaveRun,
    /// A response that is cut off in the body.
    Aborted,
    /// The endpoint's own response, passed on unchanged.
    PassedOn,
}

const CASES: &[(&str, Fault, Received)] = &[
    ("late", Fault::Late { ms: LATE_MS }, Received::MayHaveRun),
    ("crossed", Fault::Crossed, Received::MayHaveRun),
    ("cut by length", Fault::CutLength, Received::Aborted),
    ("cut in chunks", Fault::CutChunked, Received::Aborted),
    ("refused", Fault::Refuse, Received::NotRun),
    ("failed", Fault::FailAfterRun, Received::PassedOn),
    ("closed before", Fault::CloseBefore, Received::MayHaveRun),
    ("closed after", Fault::CloseAfter, Received::MayHaveRun),
];

fn received(outcome: &CallOutcome) -> Option<Received> {
    match outcome {
        CallOutcome::NotRun { .. } => Some(Received::NotRun),
        CallOutcome::MayHaveRun { .. } => Some(Received::MayHaveRun),
        CallOutcome::Lost { .. } => Some(Received::Aborted),
        CallOutcome::Wrong { reason } if reason.starts_with("status 500") => {
            Some(Received::PassedOn)
        }
        _ => None,
    }
}

/// The time within which a host that was paused holds slots again.
const SLOTS_TIMEOUT: Duration = Duration::from_secs(60);

/// Calls until the request is sent to the endpoint. If the machine pauses the process for longer than
/// hosts take to notice a failure, hosts give up their slots and refuse requests until they hold them
/// again. The refused requests, by service and id, are added to `unsent`; they must never run.
async fn until_sent(
    fixture: &Fixture,
    addr: SocketAddr,
    call: &Call,
    unsent: &mut Vec<(String, String)>,
) -> Reply {
    let start = Instant::now();
    loop {
        let reply = fixture.caller.call(addr, call).await;
        let refused = matches!(&reply.outcome, CallOutcome::NotRun { reason } if reason == NO_SLOT);
        if !refused || start.elapsed() > SLOTS_TIMEOUT {
            return reply;
        }
        unsent.push((call.service.clone(), reply.id));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn callers_are_told_the_truth() {
    block_on(async {
        let fixture = Fixture::start(&quiet(), &[]).await;
        let mut unsent = Vec::new();
        for (name, fault, want) in CASES {
            for service in [READS, WRITES] {
                fixture.endpoint(service).set_faults(Faults::every(*fault));
                for addr in fixture.addrs() {
                    let call = Call::submit(service, KEY, name);
                    let reply = until_sent(&fixture, addr, &call, &mut unsent).await;
                    let ran = fixture.ran(service, &reply.id);
                    assert_eq!(
                        received(&reply.outcome),
                        Some(*want),
                        "{name}, {service}: {}; ran {ran} times",
                        reply.outcome
                    );
                    if service == WRITES {
                        assert!(ran <= 1, "{name}: ran {ran} times");
                    }
                    if *want == Received::NotRun {
                        assert_eq!(ran, 0, "{name}, {service}");
                    }
                }
                fixture.endpoint(service).set_faults(Faults::default());
            }
        }
        for service in [READS, WRITES] {
            for addr in fixture.addrs() {
                let reply = fixture.caller.call(addr, &Call::read(service, KEY)).await;
                assert_eq!(
                    reply.outcome,
                    CallOutcome::Answer,
                    "{service} after the faults"
                );
            }
        }
        for (service, id) in unsent {
            assert_eq!(fixture.ran(&service, &id), 0, "{id} ran after its refusal");
        }
    });
}

#[test]
fn duplicates_receive_the_first_answer() {
    block_on(async {
        let fixture = Fixture::start(&quiet(), &[]).await;
        let [first, second] = fixture.addrs();
        let path = "/v1/keys?count=3";
        let issued = fixture.caller.json(http::Method::POST, first, path).await;
        let issued: wagtail_entryd::Keys = issued.expect("keys");
        let chosen = (0..3).map(|n| format!("chosen-{n}"));
        for key in issued.keys.into_iter().chain(chosen) {
            let call = Call::submit(WRITES, KEY, &key).with_idempotency_key(&key);
            let before = fixture.endpoint(WRITES).log().ran();
            let (a, b) = tokio::join!(
                fixture.caller.call(first, &call),
                fixture.caller.call(second, &call)
            );
            let c = fixture.caller.call(second, &call).await;
            assert!(!a.body.is_empty(), "{key}: {}", a.outcome);
            assert_eq!(a.body, b.body, "{key}: {} and {}", a.outcome, b.outcome);
            assert_eq!(a.body, c.body, "{key}: {} and {}", a.outcome, c.outcome);
            assert_eq!(fixture.endpoint(WRITES).log().ran() - before, 1, "{key}");
            let other = Call::submit(WRITES, KEY, "another body").with_idempotency_key(&key);
            let reply = fixture.caller.call(first, &other).await;
            let reason = "bad-request".to_owned();
            assert_eq!(
                reply.outcome,
                CallOutcome::NotRun { reason },
                "{key} for another request"
            );
        }
    });
}

#[test]
fn keyed_requests_do_not_run_while_the_platform_is_down() {
    block_on(async {
        let fixture = Fixture::start(&quiet(), &[]).await;
        fixture.fleet.platform.faults.update(|f| f.down = true);
        let before = fixture.endpoint(WRITES).log().ran();
        for addr in fixture.addrs() {
            let call =
                Call::submit(WRITES, KEY, "claimed").with_idempotency_key("chosen-in-an-outage");
            let reply = fixture.caller.call(addr, &call).await;
            let refused = matches!(
                reply.outcome,
                CallOutcome::NotRun { .. } | CallOutcome::MayHaveRun { .. }
            );
            assert!(refused, "{}", reply.outcome);
            let keyless = fixture.caller.call(addr, &Call::read(READS, KEY)).await;
            assert_eq!(keyless.outcome, CallOutcome::Answer, "reads go on");
        }
        assert_eq!(fixture.endpoint(WRITES).log().ran(), before);
    });
}

#[test]
fn reuse_of_a_key_with_another_long_body_is_refused() {
    const BYTES: usize = 300_000;
    block_on(async {
        let fixture = Fixture::start(&quiet(), &[]).await;
        let [first, second] = fixture.addrs();
        let keys = fixture
            .caller
            .json(http::Method::POST, first, "/v1/keys?count=1");
        let keys: wagtail_entryd::Keys = keys.await.expect("keys");
        let key = &keys.keys[0];
        let call = Call::submit(WRITES, KEY, &"a".repeat(BYTES)).with_idempotency_key(key);
        let (a, b) = (
            fixture.caller.call(first, &call).await,
            fixture.caller.call(second, &call).await,
        );
        assert_eq!(a.outcome, CallOutcome::Answer);
        assert_eq!(a.body, b.body, "{}", b.outcome);
        let other = Call::submit(WRITES, KEY, &"b".repeat(BYTES)).with_idempotency_key(key);
        for addr in [first, second] {
            let reply = fixture.caller.call(addr, &other).await;
            let reason = "bad-request".to_owned();
            assert_eq!(reply.outcome, CallOutcome::NotRun { reason });
        }
    });
}
