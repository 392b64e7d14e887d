//! The command line against a platform stand-in and an entry host that says what it is told to.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::{Json, Router, routing::get};
use serde_json::{Value, json};
use wagtail_ctl::cli::{Streams, run};
use wagtail_standin::platform::{Running, start};

struct Ctl {
    platform: Running,
    entry: Option<SocketAddr>,
}

struct Said {
    status: u8,
    output: String,
    errors: String,
}

impl Ctl {
    async fn new() -> Self {
        let platform = start((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        Self {
            platform,
            entry: None,
        }
    }

    async fn run(&self, line: &str) -> Said {
        self.run_with(line, "").await
    }

    async fn run_with(&self, line: &str, input: &str) -> Said {
        let mut args = vec!["--platform".to_owned(), self.platform.addr.to_string()];
        if let Some(entry) = self.entry {
            args.extend(["--entry".to_owned(), entry.to_string()]);
        }
        args.extend(line.split_whitespace().map(str::to_owned));
        if !line.contains("--wait") {
            args.extend(["--wait".to_owned(), "0".to_owned()]);
        }
        ctl(args, input).await
    }

    /// Puts a region, a zone, a host, a service and a team in force.
    async fn with_records(self) -> Self {
        let said = self.run_with("put -", &records().to_string()).await;
        assert_eq!(said.status, 3, "{}", said.errors);
        self
    }
}

async fn ctl(args: Vec<String>, input: &str) -> Said {
    let args = args.into_iter().map(OsString::from).collect();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let streams = Streams {
        input: &mut input.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let status = run(args, &|_| None, streams).await;
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Said {
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

/// An entry host that answers with the epoch in the counter, and knows nothing of others.
async fn entry(epoch: Arc<AtomicU64>) -> SocketAddr {
    named_entry("entry-1", epoch, json!([])).await
}

async fn named_entry(name: &'static str, epoch: Arc<AtomicU64>, members: Value) -> SocketAddr {
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
async fn hosts_that_are_held_to_be_behind_are_asked_themselves() {
    for (state, reported, expected) in [("live", 2, 0), ("suspect", 2, 0), ("live", 1, 3)] {
        let second = named_entry("entry-2", Arc::new(AtomicU64::new(reported)), json!([])).await;
        let members = json!([
            {"host": "entry-2", "zone": "cymru-a", "state": state, "epoch": 0},
        ]);
        let mut ctl = Ctl::new().await;
        ctl.entry = Some(named_entry("entry-1", Arc::new(AtomicU64::new(2)), members).await);
        let ctl = ctl.with_records().await;
        let host = json!({"kind": "host", "name": "entry-2", "schema": 1,
            "body": {"zone": "cymru-a", "api": second, "peer": "127.0.0.1:2"}});
        let said = ctl.run_with("put -", &host.to_string()).await;
        assert_eq!(
            said.status, expected,
            "{state}, {reported}: {}",
            said.output
        );
    }
}

#[tokio::test]
async fn help() {
    let said = ctl(vec!["--help".to_owned()], "").await;
    assert_eq!(said.status, 0);
    insta::assert_snapshot!(said.output);
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
        let said = ctl(line.split_whitespace().map(str::to_owned).collect(), "").await;
        assert_eq!(said.status, 2, "{line}");
        shown.push(format!("{line}\n    {}", said.errors.trim_end()));
    }
    insta::assert_snapshot!(shown.join("\n"));
}

#[tokio::test]
async fn changes_are_said_to_be_committed_until_hosts_confirm() {
    let epoch = Arc::new(AtomicU64::new(0));
    let mut ctl = Ctl::new().await;
    ctl.entry = Some(entry(epoch.clone()).await);
    let ctl = ctl.with_records().await;

    let said = ctl.run("change team lab rate=7/s").await;
    assert_eq!(said.status, 3);
    insta::assert_snapshot!(said.output, @r"
    committed: epoch 2, not yet accepted (0 of 1 zones)
    missing: entry-1
    ");
    epoch.store(3, Ordering::Relaxed);
    let said = ctl.run("drain zone cymru-a --output json").await;
    assert_eq!(said.status, 0, "{}", said.errors);
    let value: Value = serde_json::from_str(&said.output).unwrap();
    assert_eq!(
        (&value["state"], &value["epoch"]),
        (&json!("accepted"), &json!(3))
    );
    let said = ctl.run("drain zone cymru-a --stop").await;
    assert_eq!((said.status, said.output.lines().count()), (3, 2));
    insta::assert_snapshot!(ctl.run("status").await.output);
}

#[tokio::test]
async fn waits_until_a_change_is_accepted() {
    let epoch = Arc::new(AtomicU64::new(0));
    let mut ctl = Ctl::new().await;
    ctl.entry = Some(entry(epoch.clone()).await);
    let ctl = ctl.with_records().await;
    let change = ctl.run("withdraw team lab --wait 30");
    let confirm = async {
        while ctl.platform.faults.counters().writes < 2 {
            tokio::task::yield_now().await;
        }
        epoch.store(2, Ordering::Relaxed);
    };
    let (said, ()) = tokio::join!(change, confirm);
    assert_eq!(said.status, 0, "{}", said.errors);
    assert_eq!(
        said.output,
        "accepted: epoch 2 is in force (1 hosts, 1 zones)\n"
    );
}

#[tokio::test]
async fn refused_changes_change_nothing() {
    let ctl = Ctl::new().await.with_records().await;
    let odd = json!({"kind": "team", "name": "odd", "schema": 9, "body": []});
    assert_eq!(ctl.run_with("put -", &odd.to_string()).await.status, 3);
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
        let said = ctl.run_with(line, &input).await;
        assert_eq!(said.status, 1, "{line}: {}", said.errors);
        shown.push(format!(
            "{line}\n    {}",
            said.errors.trim_end().replace('\n', "\n    ")
        ));
    }
    insta::assert_snapshot!(shown.join("\n"));
    assert!(
        ctl.run("list")
            .await
            .output
            .ends_with("epoch 2, 6 records\n")
    );
}

#[tokio::test]
async fn records_can_be_read_and_listed() {
    let ctl = Ctl::new().await.with_records().await;
    let future = json!({"kind": "team", "name": "later", "schema": 9, "body": {"a": 1}});
    ctl.run_with("put -", &future.to_string()).await;
    insta::assert_snapshot!(ctl.run("list").await.output);
    let said = ctl.run("get team later --output json").await;
    assert_eq!(serde_json::from_str::<Value>(&said.output).unwrap(), future);
}

#[tokio::test]
async fn keys_are_kept_as_digests_only() {
    const KEY: &str = "s3cr3t-key-of-the-lab";
    let ctl = Ctl::new().await.with_records().await;
    let said = ctl
        .run_with("key grant lab --key-stdin", &format!("{KEY}\n"))
        .await;
    assert_eq!(said.status, 3, "{}", said.errors);
    let again = ctl.run_with("key grant lab --key-stdin", KEY).await;
    assert_eq!(again.status, 1);
    let record = ctl.run("get team lab").await.output;
    let digest = wagtail_ctl::key_digest(KEY.as_bytes()).to_string();
    assert!(record.contains(&digest));
    for text in [said.output, said.errors, again.output, again.errors, record] {
        assert!(!text.contains(KEY), "{text}");
    }
    let gone = ctl
        .run(&format!("key withdraw lab --digest {digest}"))
        .await;
    assert_eq!(gone.status, 3);
    assert!(!ctl.run("get team lab").await.output.contains(&digest));
}

#[tokio::test]
async fn platform_faults() {
    let ctl = Ctl::new().await.with_records().await;
    ctl.platform.faults.update(|f| f.lose_next = 1);
    let said = ctl.run("change team lab burst=6").await;
    assert_eq!(
        said.status, 3,
        "a lost answer is found again: {}",
        said.errors
    );
    assert!(
        said.output.starts_with("committed: epoch 2"),
        "{}",
        said.output
    );

    ctl.platform.faults.update(|f| f.down = true);
    let said = ctl.run("change team lab burst=7").await;
    assert_eq!(said.status, 4);
    assert!(
        said.errors.contains("nothing was changed"),
        "{}",
        said.errors
    );

    ctl.platform
        .faults
        .update(|f| *f = wagtail_standin::platform::Faults::default());
    ctl.platform.faults.update(|f| f.refuse_next = 100);
    let said = ctl.run("change team lab burst=7").await;
    assert_eq!(said.status, 4);
    assert!(
        said.errors.contains("nothing was changed"),
        "{}",
        said.errors
    );
    assert!(
        ctl.run("list")
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
        let said = ctl(args, "").await;
        assert_eq!((said.status, &*said.errors), (0, ""), "{set}");
        assert_eq!(said.output, format!("{records} records, no faults\n"));
    }
}
