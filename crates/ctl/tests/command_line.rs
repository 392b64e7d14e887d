//! The command line against a platform stand-in and entry hosts that return a given status.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::{Json, Router, routing::get};
use serde_json::{Value, json};
use wagtail_ctl::cli::{Streams, run};
use wagtail_standin::platform::{Running, start};

/// A platform stand-in, and the entry host to query if one is set.
struct TestCluster {
    platform: Running,
    entry: Option<SocketAddr>,
}

struct CommandResult {
    status: u8,
    output: String,
    errors: String,
}

impl TestCluster {
    async fn new() -> Self {
        let platform = start((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        Self {
            platform,
            entry: None,
        }
    }

    async fn run(&self, line: &str) -> CommandResult {
        self.run_with(line, "").await
    }

    async fn run_with(&self, line: &str, input: &str) -> CommandResult {
        let mut args = vec!["--platform".to_owned(), self.platform.addr.to_string()];
        if let Some(entry) = self.entry {
            args.extend(["--entry".to_owned(), entry.to_string()]);
        }
        args.extend(line.split_whitespace().map(str::to_owned));
        if !line.contains("--wait") {
            args.extend(["--wait".to_owned(), "0".to_owned()]);
        }
        run_ctl(args, input).await
    }

    /// Writes records of a region, a zone, a host, a service and a team.
    async fn with_records(self) -> Self {
        let result = self.run_with("put -", &records().to_string()).await;
        assert_eq!(result.status, 3, "{}", result.errors);
        self
    }
}

async fn run_ctl(args: Vec<String>, input: &str) -> CommandResult {
    let args = args.into_iter().map(OsString::from).collect();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let streams = Streams {
        input: &mut input.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let status = run(args, &|_| None, streams).await;
    let text = |bytes| String::from_utf8(bytes).unwrap();
    CommandResult {
        status,
        output: text(output),
        errors: text(errors),
    }
}

fn records() -> Value {
    json!([
        {"kind": "region", "name": "cymru", "schema": 1, "body": {}},
        {"kind": "zone", "name": "cymru-a", "schema": 1, "body": {"region": "cymru"}},
        {"kind": "host", "name": "entry-1", "schema": 1,
         "body": {"zone": "cymru-a", "api": "127.0.0.1:1", "peer": "127.0.0.1:2"}},
        {"kind": "service", "name": "archive", "schema": 1,
         "body": {"class": "archive", "idempotent": true, "deadline_ms": 500}},
        {"kind": "team", "name": "lab", "schema": 2,
         "body": {"rate": "5/s", "burst": 5, "services": ["archive"]}},
    ])
}

/// Starts an entry host that reports the epoch in the counter, and no other hosts.
async fn start_host(epoch: Arc<AtomicU64>) -> SocketAddr {
    start_named_host("entry-1", epoch, json!([])).await
}

async fn start_named_host(name: &'static str, epoch: Arc<AtomicU64>, members: Value) -> SocketAddr {
    let status = move || async move {
        Json(json!({
            "host": name, "zone": "cymru-a", "epoch": epoch.load(Ordering::Relaxed),
            "mode": "current", "members": members,
            "trends": [{"team": "lab", "service": "archive",
                "now": {"answered": 7, "p50_ms": 1.5, "p99_ms": 9.25, "refused": {"over-rate": 2}}}],
        }))
    };
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/v1/status", get(status));
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

#[tokio::test]
async fn hosts_reported_as_lagging_are_queried_directly() {
    for (state, reported, expected) in [("live", 2, 0), ("suspect", 2, 0), ("live", 1, 3)] {
        let second =
            start_named_host("entry-2", Arc::new(AtomicU64::new(reported)), json!([])).await;
        let members = json!([
            {"host": "entry-2", "zone": "cymru-a", "state": state, "epoch": 0},
        ]);
        let mut cluster = TestCluster::new().await;
        cluster.entry =
            Some(start_named_host("entry-1", Arc::new(AtomicU64::new(2)), members).await);
        let cluster = cluster.with_records().await;
        let host = json!({"kind": "host", "name": "entry-2", "schema": 1,
            "body": {"zone": "cymru-a", "api": second, "peer": "127.0.0.1:2"}});
        let result = cluster.run_with("put -", &host.to_string()).await;
        assert_eq!(
            result.status, expected,
            "{state}, {reported}: {}",
            result.output
        );
    }
}

#[tokio::test]
async fn help() {
    let result = run_ctl(vec!["--help".to_owned()], "").await;
    assert_eq!(result.status, 0);
    insta::assert_snapshot!(result.output);
}

#[tokio::test]
async fn wrong_usage() {
    let lines = [
        "",
        "serve",
        "put",
        "get team",
        "get team A",
        "list team lab",
        "change team lab",
        "change team lab rate",
        "key lend lab --key-stdin",
        "key grant lab",
        "key grant lab --digest 12",
        "drain team lab",
        "move archive cymru eire",
        "move archive cymru eire --share 110%",
        "status --output xml",
        "status --platform localhost",
        "status --wait -1",
        "status --colour",
    ];
    let mut shown = Vec::new();
    for line in lines {
        let result = run_ctl(line.split_whitespace().map(str::to_owned).collect(), "").await;
        assert_eq!(result.status, 2, "{line}");
        shown.push(format!("{line}\n    {}", result.errors.trim_end()));
    }
    insta::assert_snapshot!(shown.join("\n"));
}

#[tokio::test]
async fn changes_are_committed_until_hosts_confirm() {
    let epoch = Arc::new(AtomicU64::new(0));
    let mut cluster = TestCluster::new().await;
    cluster.entry = Some(start_host(epoch.clone()).await);
    let cluster = cluster.with_records().await;

    let result = cluster.run("change team lab rate=7/s").await;
    assert_eq!(result.status, 3);
    insta::assert_snapshot!(result.output, @r"
    committed: epoch 2, not yet accepted (0 of 1 zones)
    missing: entry-1
    ");
    epoch.store(3, Ordering::Relaxed);
    let result = cluster.run("drain zone cymru-a --output json").await;
    assert_eq!(result.status, 0, "{}", result.errors);
    let value: Value = serde_json::from_str(&result.output).unwrap();
    assert_eq!(
        (&value["state"], &value["epoch"]),
        (&json!("accepted"), &json!(3))
    );
    let result = cluster.run("drain zone cymru-a --stop").await;
    assert_eq!((result.status, result.output.lines().count()), (3, 2));
    insta::assert_snapshot!(cluster.run("status").await.output);
}

#[tokio::test]
async fn waits_until_a_change_is_accepted() {
    let epoch = Arc::new(AtomicU64::new(0));
    let mut cluster = TestCluster::new().await;
    cluster.entry = Some(start_host(epoch.clone()).await);
    let cluster = cluster.with_records().await;
    let change = cluster.run("withdraw team lab --wait 30");
    let confirm = async {
        while cluster.platform.faults.counters().writes < 2 {
            tokio::task::yield_now().await;
        }
        epoch.store(2, Ordering::Relaxed);
    };
    let (result, ()) = tokio::join!(change, confirm);
    assert_eq!(result.status, 0, "{}", result.errors);
    assert_eq!(
        result.output,
        "accepted: epoch 2 is in force (1 hosts, 1 zones)\n"
    );
}

#[tokio::test]
async fn refused_changes_change_nothing() {
    let cluster = TestCluster::new().await.with_records().await;
    let odd = json!({"kind": "team", "name": "odd", "schema": 9, "body": []});
    assert_eq!(cluster.run_with("put -", &odd.to_string()).await.status, 3);
    let broken = json!({"kind": "zone", "name": "z", "schema": 1, "body": {"region": "r", "x": 1}});
    let table = [
        ("put -", broken.to_string()),
        ("put -", records().to_string().replace("5/s", "0/s")),
        ("put -", format!("{}{}", records(), records())),
        ("put -", "{".to_owned()),
        ("put -", r#"{"kind": "zone"}"#.to_owned()),
        ("put /nonexistent/records.json", String::new()),
        ("withdraw service archive", String::new()),
        ("withdraw team nobody", String::new()),
        ("get team nobody", String::new()),
        ("change team lab rate=fast", String::new()),
        ("change team lab rate=", String::new()),
        ("change team lab rate=9/s --if-epoch 0", String::new()),
        ("move archive cymru eire --share 10%", String::new()),
        ("key withdraw lab --key-stdin", "secret".to_owned()),
        ("key grant odd --key-stdin", "secret".to_owned()),
        ("key grant lab --key-stdin", "\n".to_owned()),
    ];
    let mut shown = Vec::new();
    for (line, input) in table {
        let result = cluster.run_with(line, &input).await;
        assert_eq!(result.status, 1, "{line}: {}", result.errors);
        shown.push(format!(
            "{line}\n    {}",
            result.errors.trim_end().replace('\n', "\n    ")
        ));
    }
    insta::assert_snapshot!(shown.join("\n"));
    assert!(
        cluster
            .run("list")
            .await
            .output
            .ends_with("epoch 2, 6 records\n")
    );
}

#[tokio::test]
async fn records_can_be_read_and_listed() {
    let cluster = TestCluster::new().await.with_records().await;
    let future = json!({"kind": "team", "name": "later", "schema": 9, "body": {"a": 1}});
    cluster.run_with("put -", &future.to_string()).await;
    insta::assert_snapshot!(cluster.run("list").await.output);
    let result = cluster.run("get team later --output json").await;
    assert_eq!(
        serde_json::from_str::<Value>(&result.output).unwrap(),
        future
    );
}

#[tokio::test]
async fn keys_are_kept_as_digests_only() {
    const KEY: &str = "s3cr3t-key-of-the-lab";
    let cluster = TestCluster::new().await.with_records().await;
    let result = cluster
        .run_with("key grant lab --key-stdin", &format!("{KEY}\n"))
        .await;
    assert_eq!(result.status, 3, "{}", result.errors);
    let again = cluster.run_with("key grant lab --key-stdin", KEY).await;
    assert_eq!(again.status, 1);
    let record = cluster.run("get team lab").await.output;
    let digest = wagtail_ctl::key_digest(KEY.as_bytes()).to_string();
    assert!(record.contains(&digest));
    for text in [
        result.output,
        result.errors,
        again.output,
        again.errors,
        record,
    ] {
        assert!(!text.contains(KEY), "{text}");
    }
    let withdrawn = cluster
        .run(&format!("key withdraw lab --digest {digest}"))
        .await;
    assert_eq!(withdrawn.status, 3);
    assert!(!cluster.run("get team lab").await.output.contains(&digest));
}

#[tokio::test]
async fn platform_faults() {
    let cluster = TestCluster::new().await.with_records().await;
    cluster.platform.faults.update(|f| f.lose_next = 1);
    let result = cluster.run("change team lab burst=6").await;
    assert_eq!(
        result.status, 3,
        "a write whose answer was lost is found applied: {}",
        result.errors
    );
    assert!(
        result.output.starts_with("committed: epoch 2"),
        "{}",
        result.output
    );

    cluster.platform.faults.update(|f| f.down = true);
    let result = cluster.run("change team lab burst=7").await;
    assert_eq!(result.status, 4);
    assert!(
        result.errors.contains("nothing was changed"),
        "{}",
        result.errors
    );

    cluster
        .platform
        .faults
        .update(|f| *f = wagtail_standin::platform::Faults::default());
    cluster.platform.faults.update(|f| f.refuse_next = 100);
    let result = cluster.run("change team lab burst=7").await;
    assert_eq!(result.status, 4);
    assert!(
        result.errors.contains("nothing was changed"),
        "{}",
        result.errors
    );
    assert!(
        cluster
            .run("list")
            .await
            .output
            .ends_with("epoch 2, 5 records\n")
    );
}

#[tokio::test]
async fn example_record_sets_are_accepted() {
    for (set, records) in [("tender", 77), ("annex", 81)] {
        let file = |name: &str| {
            format!(
                "{}/../../examples/{set}/{name}.json",
                env!("CARGO_MANIFEST_DIR")
            )
        };
        let mut args = vec!["check".to_owned()];
        args.extend(["places", "services", "endpoints", "teams"].map(file));
        let result = run_ctl(args, "").await;
        assert_eq!((result.status, &*result.errors), (0, ""), "{set}");
        assert_eq!(result.output, format!("{records} records, no faults\n"));
    }
}

// Guards against snapshots that are not stored without a trace: each host that starts would read the
// whole configuration from the table.
#[tokio::test]
async fn a_snapshot_that_is_not_stored_is_reported() {
    const EPOCHS_PER_SNAPSHOT: u32 = 64;
    let cluster = TestCluster::new().await.with_records().await;
    for epoch in 2..=EPOCHS_PER_SNAPSHOT {
        let result = cluster
            .run(&format!("change team lab rate={epoch}/s"))
            .await;
        assert_eq!(result.status, 3, "{}", result.errors);
        assert!(!result.output.contains("snapshot"), "{}", result.output);
    }
    cluster.platform.faults.update(|f| f.refuse_next = 1);
    let result = cluster.run("change team lab rate=1/s").await;
    assert_eq!(result.status, 3, "{}", result.errors);
    insta::assert_snapshot!(result.output, @r"
    committed: epoch 65, not yet accepted (0 of 1 zones)
    no entry host answered
    missing: entry-1
    snapshot not stored: not applied: not applied: turned down by the fault table
    ");
    cluster.platform.faults.update(|f| f.refuse_next = 1);
    let result = cluster.run("change team lab rate=2/s --output json").await;
    let value: Value = serde_json::from_str(&result.output).unwrap();
    let reason = "not applied: not applied: turned down by the fault table";
    assert_eq!(value["snapshot_failure"], json!(reason));
    let result = cluster.run("change team lab rate=3/s").await;
    assert!(!result.output.contains("snapshot"), "{}", result.output);
}
