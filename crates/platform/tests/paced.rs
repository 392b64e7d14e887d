//! A paced platform under load and faults, in paused time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::time::Instant;
use wagtail_platform::{
    BoxFuture, Hosts, Listed, Memory, Objects, Paced, Page, PlatformError, Priority, Receipt, Row,
    RowKey, Scan, ScheduleSettings, Table, Txn, Write,
};
use wagtail_types::AttemptId;

const PATIENCE: Duration = Duration::from_secs(5);
const CALL: Duration = Duration::from_millis(100);

/// Takes a while for every call, and counts those under way.
#[derive(Default)]
struct Slow {
    memory: Memory,
    down: AtomicBool,
    running: AtomicUsize,
    most: AtomicUsize,
    calls: AtomicUsize,
}

impl Slow {
    async fn call<T>(&self, call: BoxFuture<'_, T>) -> Result<T, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(running, Ordering::Relaxed);
        tokio::time::sleep(CALL).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return Err(PlatformError::unavailable("down"));
        }
        call.await
    }
}

impl Table for Slow {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(self.call(self.memory.read(key)))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(self.call(self.memory.scan(scan)))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(self.call(self.memory.transact(txn)))
    }
}

impl Objects for Slow {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Objects::put(&self.memory, name, bytes)
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        self.memory.get(name)
    }
}

impl Hosts for Slow {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        self.memory.list()
    }
}

fn paced(hosts: u32, queue: usize) -> (Arc<Slow>, Paced) {
    let slow = Arc::new(Slow::default());
    let settings = ScheduleSettings {
        hosts,
        queue,
        flight: 2,
        ..ScheduleSettings::default()
    };
    (slow.clone(), Paced::start(slow, settings, 3))
}

fn key(name: &str) -> RowKey {
    RowKey::new("space", name)
}

#[tokio::test(start_paused = true)]
async fn calls_get_their_own_answers_few_at_a_time() {
    let (slow, paced) = paced(1, 100);
    let leases = paced.at(Priority::Lease, PATIENCE);
    let put = |n: u128| {
        let leases = leases.clone();
        async move {
            let txn = Txn::new(AttemptId(n)).write(Write::put(key(&n.to_string()), "x"));
            leases.transact(&txn).await.unwrap();
            leases
                .read(&key(&n.to_string()))
                .await
                .unwrap()
                .unwrap()
                .attempt
        }
    };
    let got = join_all((0..20).map(put)).await;
    assert_eq!(got, (0..20).map(AttemptId).collect::<Vec<_>>());
    assert_eq!(slow.most.load(Ordering::Relaxed), 2);
}

#[tokio::test(start_paused = true)]
async fn a_call_without_a_turn_is_not_applied() {
    let (slow, paced) = paced(1, 1);
    let bulk = paced.at(Priority::Bulk, PATIENCE);
    let names = ["a", "b", "c", "d", "e", "f"];
    let results = join_all(names.map(|name| {
        let bulk = bulk.clone();
        async move { bulk.read(&key(name)).await }
    }))
    .await;
    let refused = |r: &Result<_, _>| matches!(r, Err(PlatformError::NotApplied { .. }));
    let count = results.iter().filter(|r| refused(r)).count();
    assert!(count >= 3, "{results:?}");
    assert_eq!(slow.calls.load(Ordering::Relaxed), names.len() - count);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_given_up_frees_its_place() {
    let (slow, paced) = paced(1, 100);
    let polls = paced.at(Priority::Lease, PATIENCE);
    for _ in 0..10 {
        let given_up = tokio::time::timeout(CALL / 2, polls.read(&key("a"))).await;
        assert!(given_up.is_err());
        slow.running.store(0, Ordering::Relaxed);
    }
    assert_eq!(polls.read(&key("a")).await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_tried_ever_more_slowly_and_recovers() {
    let (slow, paced) = paced(1, 100);
    let polls = paced.at(Priority::Lease, PATIENCE);
    slow.down.store(true, Ordering::Relaxed);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(60) {
        assert!(polls.read(&key("a")).await.is_err());
    }
    let tries = slow.calls.load(Ordering::Relaxed);
    assert!((25..80).contains(&tries), "{tries} calls in a minute");
    slow.down.store(false, Ordering::Relaxed);
    assert_eq!(polls.read(&key("a")).await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn the_fleet_size_sets_the_pace() {
    let (slow, paced) = paced(1, 100);
    paced.set_hosts(540);
    let claims = paced.at(Priority::Claim, Duration::from_secs(60));
    let start = Instant::now();
    for n in 0..10 {
        let txn = Txn::new(AttemptId(n)).write(Write::put(key("a"), "x"));
        claims.transact(&txn).await.unwrap();
    }
    assert!(
        start.elapsed() > Duration::from_secs(9 * 2),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(slow.calls.load(Ordering::Relaxed), 10);
}
