//! What operators see of a host that cannot read its configuration, drops messages or is overloaded.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, Logger, OwnedKVList, Record, o};
use tokio::net::UdpSocket;
use wagtail_load::client::{Call, CallOutcome};
use wagtail_standin::endpoint::{Fault, Faults};

use crate::fixture::{Fixture, KEY, READS, block_on, quiet};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Records the messages of all log lines.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Messages {
    fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), o!())
    }

    fn count(&self, message: &str) -> usize {
        let messages = self.0.lock().expect("not poisoned");
        messages.iter().filter(|m| *m == message).count()
    }

    async fn wait_for(&self, message: &str) {
        let wait = async {
            while self.count(message) == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        waited.unwrap_or_else(|_| panic!("no line: {message}"));
    }
}

impl Drain for Messages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut messages = self.0.lock().expect("not poisoned");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

// Guards against a host that keeps an old configuration without a trace: one line says that its
// reads fail, and one that they succeed again.
#[test]
fn failed_reads_of_the_configuration_are_logged() {
    const FAILED: &str = "reading the configuration failed; retrying";
    const READ_AGAIN: &str = "the configuration can be read again";
    block_on(async {
        let messages = Messages::default();
        let fixture = Fixture::start(&messages.logger(), &[("poll-interval", "50ms")]).await;
        fixture.fleet.platform.faults.update(|f| f.down = true);
        messages.wait_for(FAILED).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fixture.fleet.platform.faults.update(|f| f.down = false);
        messages.wait_for(READ_AGAIN).await;
        let hosts = fixture.addrs().len();
        assert!(messages.count(FAILED) <= 2 * hosts, "one line a failure");
    });
}

/// Receives the counters and gauges that hosts send.
struct Statsd {
    addr: String,
    received: tokio::sync::mpsc::UnboundedReceiver<String>,
}

impl Statsd {
    async fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
        let addr = socket.local_addr().expect("is bound").to_string();
        let (sender, received) = tokio::sync::mpsc::unbounded_channel();
        // Receives at once, since what does not fit into the socket's buffer is lost.
        tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            while let Ok(count) = socket.recv(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                if sender.send(text).is_err() {
                    return;
                }
            }
        });
        Self { addr, received }
    }

    /// Waits for a packet that starts with `wanted`, and checks that none before starts with
    /// `unwanted`.
    async fn wait_for(&mut self, wanted: &str, unwanted: &str) {
        let wait = async {
            while let Some(text) = self.received.recv().await {
                if text.starts_with(wanted) {
                    return;
                }
                assert!(!text.starts_with(unwanted), "{text}");
            }
        };
        let sent = tokio::time::timeout(TIMEOUT, wait).await;
        sent.unwrap_or_else(|_| panic!("not sent: {wanted}"));
    }
}

// Guards against messages between hosts that are dropped without a trace: operators watch the
// counts of the connections to other hosts.
#[test]
fn counts_of_messages_between_hosts_are_gauges() {
    block_on(async {
        let mut statsd = Statsd::start().await;
        let flags = [("statsd", statsd.addr.as_str())];
        let _fixture = Fixture::start(&quiet(), &flags).await;
        let wanted = "wagtail.peer.messages_dropped:";
        statsd.wait_for(wanted, "wagtail.requests.malformed").await;
    });
}

// Guards against an overload that operators take for malformed requests.
#[test]
fn refusals_over_the_request_limit_are_counted_as_such() {
    const LATE_MS: u64 = 500;
    block_on(async {
        let mut statsd = Statsd::start().await;
        let flags = [("statsd", statsd.addr.as_str()), ("max-requests", "1")];
        let fixture = Fixture::start(&quiet(), &flags).await;
        let late = Faults::every(Fault::Late { ms: LATE_MS });
        fixture.endpoint(READS).set_faults(late);
        let [_, second] = fixture.addrs();
        let call = Call::read(READS, KEY);
        let overloaded = CallOutcome::NotRun {
            reason: "overloaded".to_owned(),
        };
        let until_refused = async {
            loop {
                let caller = &fixture.caller;
                let both = tokio::join!(caller.call(second, &call), caller.call(second, &call));
                if [both.0.outcome, both.1.outcome].contains(&overloaded) {
                    return;
                }
            }
        };
        let refused = tokio::time::timeout(TIMEOUT, until_refused).await;
        refused.expect("a second request is over the limit");
        let wanted = "wagtail.requests.over_limit:1|c";
        statsd.wait_for(wanted, "wagtail.requests.malformed").await;
    });
}
