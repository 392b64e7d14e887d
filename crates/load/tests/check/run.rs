//! The `run` subcommand against a fleet on loopback.

use std::process::ExitCode;

use serde_json::json;
use slog::{Discard, Logger, o};
use wagtail_config::RawRecord;
use wagtail_load::client::{Call, CallOutcome, Caller};
use wagtail_load::fleet::{Fleet, default_options, digest};
use wagtail_load::run;
use wagtail_standin::endpoint::Settings;

const KEY: &str = "a-key-for-this-test";

fn raw(kind: &str, name: &str, body: serde_json::Value) -> RawRecord {
    RawRecord {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema: if kind == "team" { 2 } else { 1 },
        body,
    }
}

/// Returns records of one region, zone and host, and two services with one endpoint each.
fn records() -> Vec<RawRecord> {
    let addr = "127.0.0.1:1";
    let service = |name: &str, once: bool| {
        raw(
            "service",
            name,
            json!({"class": name, "idempotent": !once, "deadline_ms": 2_000}),
        )
    };
    let endpoint = |name: &str, service: &str| {
        let body =
            json!({"service": service, "zone": "a", "addr": addr, "slots": 8, "connections": 9});
        raw("endpoint", name, body)
    };
    vec![
        raw("region", "here", json!({})),
        raw("zone", "a", json!({"region": "here"})),
        raw(
            "host",
            "h1",
            json!({"zone": "a", "api": addr, "peer": "127.0.0.1:2"}),
        ),
        raw("site", "all", json!({"zones": ["a"]})),
        raw("blocks", "0", json!({"blocks": ["127.0.0.0/8 all"]})),
        service("reads", false),
        service("submissions", true),
        endpoint("reads-0", "reads"),
        endpoint("submissions-0", "submissions"),
        raw(
            "team",
            "lead",
            json!({
                "rate": "1000/s", "burst": 1_000, "keys": [digest(KEY)],
                "services": ["reads", "submissions"],
            }),
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn run_sends_the_given_load_and_repeats_no_submission() {
    let log = Logger::root(Discard, o!());
    let settings = |_: &str, _: &str| Settings::default();
    let fleet = Fleet::start(records(), &settings, &default_options(&log), &[])
        .await
        .expect("starts");
    let addr = fleet.addr("h1").expect("the host runs");
    let caller = Caller::new("ready");
    while caller.call(addr, &Call::read("reads", KEY)).await.outcome != CallOutcome::Answer {
        tokio::task::yield_now().await;
    }
    let before = |name: &str| fleet.endpoints[name].log().ran();
    let (reads, submissions) = (before("reads-0"), before("submissions-0"));
    let (hosts, team) = (addr.to_string(), format!("lead={KEY},1"));
    let args = [
        "--hosts",
        &hosts,
        "--team",
        &team,
        "--class",
        "reads=reads,100",
        "--class",
        "once=submissions,50,once",
        "--time",
        "1",
        "--repeated",
        "0.2",
        "--seed",
        "3",
    ];
    let status = run::command(lexopt::Parser::from_args(args))
        .await
        .expect("runs");
    assert_eq!(format!("{status:?}"), format!("{:?}", ExitCode::SUCCESS));

    let ran = |name: &str| fleet.endpoints[name].log().ran();
    assert!(ran("reads-0") - reads > 50, "{}", ran("reads-0"));
    let submitted = fleet.endpoints["submissions-0"].log().entries();
    assert!(submitted.len() - submissions > 20, "{}", submitted.len());
    let mut ids: Vec<_> = submitted
        .iter()
        .filter(|e| e.ran)
        .map(|e| e.id.clone())
        .collect();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), all, "a repeated submission ran again");
    fleet.stop().await.expect("stops");
}
