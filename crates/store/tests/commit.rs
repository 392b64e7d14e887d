//! Tests of configuration commits that race with another operator or are based on stale reads, of
//! snapshots and of the size limit.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use wagtail_config::{Raw, RecordKey, View};
use wagtail_store::{
    BoxFuture, Change, CommitError, Hosts, Listed, Memory, Objects, Page, Platform, PlatformError,
    Receipt, Row, RowKey, Scan, Table, Txn, commit, load_config,
};
use wagtail_types::Epoch;

fn region(name: &str, delay: u32) -> Raw {
    let body = json!({"delay_ms": {"other": delay}});
    Raw {
        kind: "region".into(),
        name: name.into(),
        schema: 1,
        body,
    }
}

fn put_change(records: &[Raw]) -> Change {
    Change {
        put: records.to_vec(),
        ..Change::default()
    }
}

async fn put(platform: &dyn Platform, seed: u64, records: &[Raw]) -> Result<Epoch, CommitError> {
    let mut rng = StdRng::seed_from_u64(seed);
    commit(platform, &mut rng, |_| Ok(put_change(records)))
        .await
        .map(|c| c.epoch)
}

fn body(view: &View, name: &str) -> Option<String> {
    let key = RecordKey::new("region", name).unwrap();
    view.row(&key)?.body.as_deref().map(ToOwned::to_owned)
}

/// A platform on which another operator commits right before the first transaction.
struct RacingPlatform {
    memory: Arc<Memory>,
    competing: Mutex<Option<Raw>>,
}

impl Table for RacingPlatform {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        self.memory.read(key)
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        self.memory.scan(scan)
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(async move {
            let competing = self.competing.lock().unwrap().take();
            if let Some(competing) = competing {
                put(&*self.memory, 99, &[competing])
                    .await
                    .expect("no other commit is in flight");
            }
            self.memory.transact(txn).await
        })
    }
}

impl Objects for RacingPlatform {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Objects::put(&*self.memory, name, bytes)
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        self.memory.get(name)
    }
}

impl Hosts for RacingPlatform {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        self.memory.list()
    }
}

async fn race(own: &str, competing: &str) -> (Result<Epoch, CommitError>, View) {
    let memory = Arc::new(Memory::default());
    put(&*memory, 1, &[region("a", 1), region("b", 1)])
        .await
        .unwrap();
    let competing = Mutex::new(Some(region(competing, 7)));
    let racing = RacingPlatform {
        memory: memory.clone(),
        competing,
    };
    let result = put(&racing, 2, &[region(own, 3)]).await;
    (result, load_config(&*memory).await.unwrap())
}

#[tokio::test]
async fn racing_changes_of_different_records_are_both_committed() {
    let (result, view) = race("a", "b").await;
    assert_eq!(result.unwrap(), Epoch(3));
    assert_eq!(body(&view, "a").unwrap(), r#"{"delay_ms":{"other":3}}"#);
    assert_eq!(body(&view, "b").unwrap(), r#"{"delay_ms":{"other":7}}"#);
}

#[tokio::test]
async fn the_later_of_two_racing_changes_of_one_record_is_refused() {
    let (result, view) = race("a", "a").await;
    let error = result.unwrap_err().to_string();
    assert_eq!(
        error,
        "region/a was changed at epoch 2, since this change was made; read it again"
    );
    assert_eq!(
        (view.epoch(), body(&view, "a").unwrap()),
        (Epoch(2), r#"{"delay_ms":{"other":7}}"#.into())
    );
}

#[tokio::test]
async fn a_commit_based_on_stale_reads_conflicts() {
    let memory = Memory::default();
    put(&memory, 1, &[region("a", 1)]).await.unwrap();
    memory.freeze_reads(true);
    put(&memory, 2, &[region("a", 2)]).await.unwrap();
    let result = put(&memory, 3, &[region("b", 3)]).await;
    assert!(
        matches!(
            result,
            Err(CommitError::Platform(PlatformError::Conflict { .. }))
        ),
        "{result:?}"
    );
    memory.freeze_reads(false);
    let view = load_config(&memory).await.unwrap();
    assert_eq!((view.epoch(), body(&view, "b")), (Epoch(2), None));
}

#[tokio::test]
async fn a_view_loaded_from_a_snapshot_includes_later_changes() {
    let memory = Memory::default();
    for n in 0..70 {
        put(
            &memory,
            n,
            &[region(&format!("r{}", n % 7), u32::try_from(n).unwrap())],
        )
        .await
        .unwrap();
    }
    let mut rng = StdRng::seed_from_u64(100);
    let key = RecordKey::new("region", "r0").unwrap();
    let withdrawal = Change {
        withdraw: vec![key],
        ..Change::default()
    };
    commit(&memory, &mut rng, |_| Ok(withdrawal.clone()))
        .await
        .unwrap();
    let (page, snapshot) = wagtail_store::scan_config(&memory, Epoch(0), None, 0)
        .await
        .unwrap();
    assert_eq!((page.head, snapshot.unwrap().epoch), (Epoch(71), Epoch(64)));
    let view = load_config(&memory).await.unwrap();
    assert_eq!((view.epoch(), view.regions().len()), (Epoch(71), 6));
    assert_eq!(body(&view, "r6").unwrap(), r#"{"delay_ms":{"other":69}}"#);
}

#[tokio::test]
async fn a_record_over_the_limit_is_refused() {
    let memory = Memory::default();
    let body = json!({"text": "x".repeat(64 * 1024)});
    let raw = Raw {
        kind: "later".into(),
        name: "a".into(),
        schema: 1,
        body,
    };
    let error = put(&memory, 1, &[raw]).await.unwrap_err();
    assert_eq!(error.to_string(), "later/a is over 65536 bytes");
    assert_eq!(load_config(&memory).await.unwrap().epoch(), Epoch(0));
}
