//! Operators over a platform that loses, refuses and delays calls, while others commit in between:
//! what each is told of its change is what the table has seen.

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

/// What becomes of one call to the table.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Fine,
    AnswerLost,
    RequestLost,
    Refused,
    Unreachable,
    /// Another operator commits first.
    Raced,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Fine),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Unreachable),
        2 => Just(Fate::Raced),
    ]
}

#[derive(Default)]
struct Faulty {
    memory: Memory,
    fates: Mutex<VecDeque<Fate>>,
    rivals: Mutex<u32>,
    /// The text of every applied transaction.
    applied: Mutex<Vec<String>>,
}

impl Faulty {
    fn next(&self) -> Fate {
        self.fates.lock().unwrap().pop_front().unwrap_or(Fate::Fine)
    }

    async fn apply(&self, txn: &Txn) -> Result<Receipt, PlatformError> {
        let result = self.memory.transact(txn).await;
        if result.is_ok() {
            self.applied.lock().unwrap().push(format!("{txn:?}"));
        }
        result
    }

    async fn rival(&self) {
        let number = {
            let mut rivals = self.rivals.lock().unwrap();
            *rivals += 1;
            *rivals
        };
        let change = Change {
            put: vec![record(number % RECORDS, 5_000 + number)],
            ..Change::default()
        };
        let mut rng = StdRng::seed_from_u64(u64::from(number) + 1_000);
        commit(&self.memory, &mut rng, |_| Ok(change.clone()))
            .await
            .expect("alone");
    }

    async fn read_call<T>(&self, call: BoxFuture<'_, T>) -> Result<T, PlatformError> {
        match self.next() {
            Fate::Fine | Fate::Raced => call.await,
            _ => Err(PlatformError::unavailable("unreachable")),
        }
    }
}

impl Table for Faulty {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(async move { self.read_call(self.memory.read(key)).await })
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        self.memory.scan(scan)
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(async move {
            match self.next() {
                Fate::Fine => self.apply(txn).await,
                Fate::AnswerLost => self
                    .apply(txn)
                    .await
                    .and(Err(PlatformError::unknown("lost"))),
                Fate::RequestLost => Err(PlatformError::unknown("lost")),
                Fate::Refused => Err(PlatformError::not_applied("refused")),
                Fate::Unreachable => Err(PlatformError::unavailable("unreachable")),
                Fate::Raced => {
                    self.rival().await;
                    self.apply(txn).await
                }
            }
        })
    }
}

impl Objects for Faulty {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Objects::put(&self.memory, name, bytes)
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        self.memory.get(name)
    }
}

impl Hosts for Faulty {
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

async fn run(fates: Vec<Fate>) -> Result<(), TestCaseError> {
    let faulty = Arc::new(Faulty {
        fates: Mutex::new(fates.into()),
        ..Faulty::default()
    });
    let mut last = Epoch(0);
    for number in 0..8 {
        let raw = record(number % RECORDS, 1_000 + number);
        let mut rng = StdRng::seed_from_u64(u64::from(number));
        let change = Change {
            put: vec![raw.clone()],
            ..Change::default()
        };
        let result = commit(&*faulty, &mut rng, |_| Ok(change.clone())).await;
        let mark = raw.body.to_string().replace('"', "");
        let applied = faulty.applied.lock().unwrap().clone();
        let plain = |text: &String| text.replace(['"', '\\'], "").contains(&mark);
        let count = applied.iter().filter(|text| plain(text)).count();
        match result {
            Ok(done) => {
                prop_assert_eq!(count, 1, "said to be committed");
                prop_assert!(done.epoch > last, "epochs rise");
                last = done.epoch;
                let key = RecordKey::new("region", &raw.name).expect("a key");
                let epoch = load_config(&faulty.memory)
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
            Err(error) => prop_assert_eq!(count, 0, "said: {}", error),
        }
    }
    Ok(())
}

#[test]
fn operators_are_told_the_truth() {
    let config = Config {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    };
    let fates = prop::collection::vec(fate(), 0..60);
    let result = TestRunner::new(config).run(&fates, |fates| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(run(fates))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
