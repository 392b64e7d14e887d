//! Guards against a commit that reports another outcome than the table has seen.
//!
//! Commits run on a platform that loses or refuses calls or is unreachable, while other operators
//! commit in between. A reported commit must be applied exactly once, a reported failure never, and
//! a commit with an unknown outcome at most once.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use wagtail_config::{Raw, RecordKey};
use wagtail_store::{
    BoxFuture, Change, CommitError, Hosts, Listed, Memory, Objects, Page, PlatformError, Receipt,
    Row, RowKey, Scan, Table, Txn, commit, load_config,
};
use wagtail_types::Epoch;

const RECORDS: u32 = 3;

/// What happens to one call to the table.
#[derive(Debug, Clone, Copy)]
enum CallFault {
    None,
    /// A transaction takes effect, but the answer is lost.
    AnswerLost,
    RequestLost,
    Refused,
    Unreachable,
    /// Another operator commits right before the call.
    CommitBefore,
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        8 => Just(CallFault::None),
        2 => Just(CallFault::AnswerLost),
        1 => Just(CallFault::RequestLost),
        1 => Just(CallFault::Refused),
        1 => Just(CallFault::Unreachable),
        2 => Just(CallFault::CommitBefore),
    ]
}

#[derive(Default)]
struct FaultyPlatform {
    memory: Memory,
    faults: Mutex<VecDeque<CallFault>>,
    competing_commits: Mutex<u32>,
    /// The text of every applied transaction.
    applied: Mutex<Vec<String>>,
}

impl FaultyPlatform {
    fn next_fault(&self) -> CallFault {
        self.faults
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(CallFault::None)
    }

    async fn apply(&self, txn: &Txn) -> Result<Receipt, PlatformError> {
        let result = self.memory.transact(txn).await;
        if result.is_ok() {
            self.applied.lock().unwrap().push(format!("{txn:?}"));
        }
        result
    }

    async fn commit_competing(&self) {
        let number = {
            let mut competing = self.competing_commits.lock().unwrap();
            *competing += 1;
            *competing
        };
        let change = Change {
            put: vec![record(number % RECORDS, 5_000 + number)],
            ..Change::default()
        };
        let mut rng = StdRng::seed_from_u64(u64::from(number) + 1_000);
        commit(&self.memory, &mut rng, |_| Ok(change.clone()))
            .await
            .expect("no other commit is in flight");
    }

    async fn read_call<T>(&self, call: BoxFuture<'_, T>) -> Result<T, PlatformError> {
        match self.next_fault() {
            CallFault::None | CallFault::CommitBefore => call.await,
            _ => Err(PlatformError::unavailable("unreachable")),
        }
    }
}

impl Table for FaultyPlatform {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(async move { self.read_call(self.memory.read(key)).await })
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        self.memory.scan(scan)
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(async move {
            match self.next_fault() {
                CallFault::None => self.apply(txn).await,
                CallFault::AnswerLost => self
                    .apply(txn)
                    .await
                    .and(Err(PlatformError::unknown("lost"))),
                CallFault::RequestLost => Err(PlatformError::unknown("lost")),
                CallFault::Refused => Err(PlatformError::not_applied("refused")),
                CallFault::Unreachable => Err(PlatformError::unavailable("unreachable")),
                CallFault::CommitBefore => {
                    self.commit_competing().await;
                    self.apply(txn).await
                }
            }
        })
    }
}

impl Objects for FaultyPlatform {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Objects::put(&self.memory, name, bytes)
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        self.memory.get(name)
    }
}

impl Hosts for FaultyPlatform {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        self.memory.list()
    }
}

fn record(name: u32, delay: u32) -> Raw {
    let body = json!({ "delay_ms": { "other": delay } });
    Raw {
        kind: "region".into(),
        name: format!("r{name}"),
        schema: 1,
        body,
    }
}

async fn run(faults: Vec<CallFault>) -> Result<(), TestCaseError> {
    let platform = Arc::new(FaultyPlatform {
        faults: Mutex::new(faults.into()),
        ..FaultyPlatform::default()
    });
    let mut last = Epoch(0);
    for number in 0..8 {
        let raw = record(number % RECORDS, 1_000 + number);
        let mut rng = StdRng::seed_from_u64(u64::from(number));
        let change = Change {
            put: vec![raw.clone()],
            ..Change::default()
        };
        let result = commit(&*platform, &mut rng, |_| Ok(change.clone())).await;
        let body = raw.body.to_string().replace('"', "");
        let applied = platform.applied.lock().unwrap().clone();
        let matches = |text: &String| text.replace(['"', '\\'], "").contains(&body);
        let count = applied.iter().filter(|text| matches(text)).count();
        match result {
            Ok(done) => {
                prop_assert_eq!(count, 1, "a reported commit is applied once");
                prop_assert!(done.epoch > last, "epochs increase");
                last = done.epoch;
                let key = RecordKey::new("region", &raw.name).expect("the key is valid");
                let epoch = load_config(&platform.memory)
                    .await
                    .unwrap()
                    .row(&key)
                    .unwrap()
                    .epoch;
                prop_assert!(
                    epoch >= done.epoch,
                    "a committed change is in force or replaced"
                );
            }
            Err(CommitError::Platform(PlatformError::Unknown { .. })) => prop_assert!(count <= 1),
            Err(error) => prop_assert_eq!(count, 0, "reported as not applied: {}", error),
        }
    }
    Ok(())
}

#[test]
fn reported_commit_outcomes_match_the_table() {
    let config = Config {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    };
    let faults = prop::collection::vec(fault(), 0..60);
    let result = TestRunner::new(config).run(&faults, |faults| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime starts");
        runtime.block_on(run(faults))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
