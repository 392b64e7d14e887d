//! A daemon must notice when one of its duties ends.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Once};
use std::time::Duration;

use futures_util::future::join_all;
use slog::{Drain, Logger, Never, OwnedKVList, Record};
use tokio::time::timeout;
use wagtail_entryd::{Duty, RunError};
use wagtail_load::client::{Call, CallOutcome};
use wagtail_task::faults::{Fault, end_duty, is_injected, panic_next};

use crate::fixture::{Fixture, KEY, READS, block_on, quiet};

/// The longest time for which a host may serve after one of its duties has ended.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Leaves the injected panics of the test process unreported.
fn hide_injected_panics() {
    static HIDDEN: Once = Once::new();
    HIDDEN.call_once(|| {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            if !is_injected(panic) {
                report(panic);
            }
        }));
    });
}

/// Ends a duty of a host and checks that the host learns of it, stops, and that the stop is an error.
async fn check_duty(duty: Duty, fault: Fault) {
    hide_injected_panics();
    let mut fixture = Fixture::start(&quiet(), &[]).await;
    let [first, _] = fixture.addrs();
    let mut host = fixture.fleet.hosts.remove("entry-1").expect("it runs");
    assert!(end_duty(&first, &duty, fault), "{duty} does not run");
    let ended = timeout(NOTICE_TIME, host.duty_ended()).await;
    let ended = ended.expect("the end is noticed");
    assert!(ended.duty == duty && fault.explains(&ended.end), "{ended}");

    let call = Call::read(READS, KEY);
    let (late, stopped) = tokio::join!(fixture.caller.call(first, &call), host.stop());
    // A host that accepts no callers refuses their connections.
    if duty != Duty::Callers {
        assert_eq!(late.outcome, CallOutcome::Answer, "{duty}");
    }
    match stopped {
        Err(RunError::DutyEnded(reported)) => assert_eq!(reported, ended),
        other => panic!("{duty}: {other:?}"),
    }
}

/// A daemon whose timer or periodic task had ended went on serving with a part of it standing still: quotas,
/// membership or the configuration, for example.
#[test]
fn a_daemon_whose_duty_returns_stops() {
    block_on(async {
        let checks = Duty::ALL.map(|duty| check_duty(duty, Fault::Return));
        join_all(checks).await;
    });
}

/// A panic ends a duty like a return.
#[test]
fn a_daemon_whose_duty_panics_stops() {
    block_on(async {
        let checks = Duty::ALL.map(|duty| check_duty(duty, Fault::Panic));
        join_all(checks).await;
    });
}

/// The end of a duty during a stop must not pass for success.
#[test]
fn a_duty_that_ends_during_a_stop_is_reported() {
    hide_injected_panics();
    block_on(async {
        let mut fixture = Fixture::start(&quiet(), &[]).await;
        let [first, _] = fixture.addrs();
        let host = fixture.fleet.hosts.remove("entry-1").expect("it runs");
        let (stopped, ()) = tokio::join!(host.stop(), async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(end_duty(&first, &Duty::QuotaTimer, Fault::Panic));
        });
        assert!(
            matches!(stopped, Err(RunError::DutyEnded(_))),
            "{stopped:?}"
        );
    });
}

/// A logger that counts the messages that could not be handled.
#[derive(Debug, Clone, Default)]
struct Unhandled(Arc<AtomicUsize>);

impl Drain for Unhandled {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let unhandled = record
            .msg()
            .to_string()
            .starts_with("message of another host");
        self.0.fetch_add(usize::from(unhandled), Ordering::Relaxed);
        Ok(())
    }
}

/// A message of another host that cannot be handled closed the connection, and the messages behind it were
/// lost without a line.
#[test]
fn a_panic_in_a_peer_message_costs_that_message() {
    hide_injected_panics();
    block_on(async {
        let unhandled = Unhandled::default();
        let log = Logger::root(unhandled.clone(), slog::o!());
        let fixture = Fixture::start(&log, &[]).await;
        let record = fixture.fleet.record("host", "entry-2").expect("a record");
        let peer = record.body["peer"].as_str().expect("an address").to_owned();
        panic_next(&peer, &"peer-message");
        let noticed = async {
            while unhandled.0.load(Ordering::Relaxed) == 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(10), noticed)
            .await
            .expect("a message arrives");
        for addr in fixture.addrs() {
            let reply = fixture.caller.call(addr, &Call::read(READS, KEY)).await;
            assert_eq!(reply.outcome, CallOutcome::Answer);
        }
        assert_eq!(unhandled.0.load(Ordering::Relaxed), 1);
    });
}
