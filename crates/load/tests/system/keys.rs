//! A team's key must not reach an endpoint, a log line or a metric, and an idempotency key must not
//! count in another fleet.

use std::net::{Ipv4Addr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use http::Method;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use slog::{Drain, Logger, o};
use wagtail_entryd::{Keys, Options};
use wagtail_load::client::{Call, CallOutcome};
use wagtail_standin::platform;
use wagtail_types::{Clock, SystemClock};

use crate::fixture::{Fixture, KEY, READS, WRITES, block_on, quiet};

/// A log drain that stores every line as text.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<String>>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        use slog::KV;
        struct Text<'a>(&'a mut String);
        impl slog::Serializer for Text<'_> {
            fn emit_arguments(
                &mut self,
                key: slog::Key,
                value: &std::fmt::Arguments<'_>,
            ) -> slog::Result {
                use std::fmt::Write;
                let _ = write!(self.0, " {key}={value}");
                Ok(())
            }
        }
        let mut lines = self.0.lock().expect("not poisoned");
        lines.push_str(&record.msg().to_string());
        let _ = record.kv().serialize(record, &mut Text(&mut lines));
        let _ = values.serialize(record, &mut Text(&mut lines));
        lines.push('\n');
        Ok(())
    }
}

fn contains(text: &[u8], key: &str) -> bool {
    text.windows(key.len()).any(|w| w == key.as_bytes())
}

#[test]
fn no_key_leaves_the_host() {
    block_on(async {
        let metrics = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        metrics.set_nonblocking(true).expect("a socket");
        let addr = metrics.local_addr().expect("an address").to_string();
        let lines = Lines::default();
        let log = Logger::root(lines.clone().fuse(), o!());
        let fixture = Fixture::start(&log, &[("statsd", &addr)]).await;
        let mut runner = TestRunner::new(Config {
            rng_seed: RngSeed::Fixed(5),
            failure_persistence: None,
            ..Config::with_cases(24)
        });
        let strategy = ("[!-~]{8,40}", "[a-z/]{0,12}", any::<bool>(), any::<bool>());
        let mut keys = vec![KEY.to_owned()];
        for _ in 0..24 {
            let tree = strategy.new_tree(&mut runner).expect("a case");
            let (key, path, known, write) = proptest::strategy::ValueTree::current(&tree);
            let key = if known { KEY.to_owned() } else { key };
            let service = if write { WRITES } else { READS };
            let call = Call {
                path: format!("/{path}"),
                ..Call::submit(service, &key, "body")
            };
            for addr in fixture.addrs() {
                fixture.caller.call(addr, &call).await;
            }
            keys.push(key);
        }
        let mut packet = vec![0; 65_536];
        let mut sent = Vec::new();
        while let Ok(length) = metrics.recv(&mut packet) {
            sent.extend_from_slice(&packet[..length]);
        }
        assert!(!sent.is_empty(), "metrics were sent");
        let lines = lines.0.lock().expect("not poisoned").clone();
        assert!(lines.contains("serving"), "lines were written");
        for key in keys {
            assert!(!contains(&sent, &key), "metric");
            assert!(!contains(lines.as_bytes(), &key), "log line");
            for endpoint in fixture.fleet.endpoints.values() {
                for entry in endpoint.log().entries() {
                    assert!(!contains(&entry.headers, &key), "header at an endpoint");
                    assert!(
                        !contains(entry.path.as_bytes(), &key),
                        "path at an endpoint"
                    );
                }
            }
        }
    });
}

/// A clock whose wall time stands still, so that all hosts have the same incarnation.
#[derive(Clone, Copy)]
struct SameWall;

impl Clock for SameWall {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000)
    }
}

/// Starts a fleet and has its first host issue an idempotency key.
async fn fleet_with_key(secret: &str) -> (Fixture, String) {
    let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await;
    let options = |_: &str| Options {
        clock: Arc::new(SameWall),
        ..Options::new(quiet())
    };
    let flags = [("fleet-secret", secret)];
    let fixture = Fixture::start_with(platform.expect("starts"), &options, &flags).await;
    let [first, _] = fixture.addrs();
    let issued = fixture
        .caller
        .json::<Keys>(Method::POST, first, "/v1/keys?count=1");
    let key = issued.await.expect("keys").keys.remove(0);
    (fixture, key)
}

// Guards against an idempotency key of another fleet that is taken for one of this fleet: hosts of
// one name and one incarnation would run it, or answer it with the outcome of their own key.
#[test]
fn an_idempotency_key_of_another_fleet_does_not_run() {
    block_on(async {
        let (_other, foreign) = fleet_with_key("the secret of another fleet").await;
        let (fixture, own) = fleet_with_key("the secret of this one fleet").await;
        for addr in fixture.addrs() {
            let call = Call::submit(WRITES, KEY, "body").with_idempotency_key(&foreign);
            let reply = fixture.caller.call(addr, &call).await;
            assert_ne!(reply.outcome, CallOutcome::Answer, "{addr}");
            assert_eq!(fixture.ran(WRITES, &reply.id), 0);
        }
        let call = Call::submit(WRITES, KEY, "body").with_idempotency_key(&own);
        let [_, second] = fixture.addrs();
        let reply = fixture.caller.call(second, &call).await;
        assert_eq!(reply.outcome, CallOutcome::Answer);
    });
}
