//! What operators see of a host that cannot read its configuration or drops messages.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, Logger, OwnedKVList, Record, o};

use crate::fixture::{Fixture, block_on, quiet};

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

// Guards against messages between hosts that are dropped without a trace: operators watch the
// counts of the connections to other hosts.
#[test]
fn counts_of_messages_between_hosts_are_gauges() {
    block_on(async {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
        let addr = socket.local_addr().expect("is bound").to_string();
        let _fixture = Fixture::start(&quiet(), &[("statsd", &addr)]).await;
        let receive = tokio::task::spawn_blocking(move || {
            socket.set_read_timeout(Some(TIMEOUT)).expect("is set");
            let mut buffer = vec![0; 65_536];
            let mut text = String::new();
            while !text.contains("wagtail.peer.messages_dropped:") {
                let count = socket.recv(&mut buffer).expect("the gauges come");
                text += &String::from_utf8_lossy(&buffer[..count]);
            }
        });
        let received = tokio::time::timeout(TIMEOUT, receive).await;
        received.expect("in time").expect("the gauges come");
    });
}
