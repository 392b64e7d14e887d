//! Measures what the configuration costs one host in a large fleet: 540 hosts, 9 zones, 4 regions
//! and 210,000 client blocks that map to 63 sites.
//!
//! Run with `cargo run --release -p wagtail-config --example growth`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wagtail_config::{Raw, Row, Snapshot, View};
use wagtail_types::Epoch;

const REGIONS: usize = 4;
const ZONES: usize = 9;
const HOSTS: usize = 540;
const SITES: usize = 63;
const BLOCKS: usize = 210_000;
const PART_BLOCKS: usize = 400;
const TEAMS: usize = 200;
const ENDPOINTS: usize = 2_000;
const CHANGES: u32 = 20;

fn main() {
    let before = resident_kib();
    let rows: Vec<Row> = records().iter().map(|raw| row(raw, 1)).collect();
    let count = rows.len();
    let (view, build) = timed(|| View::empty().apply(Epoch(1), rows.iter().cloned()));
    assert!(view.issues().is_empty(), "{:?}", view.issues().first());
    drop(rows);
    println!("records                     {count}");
    println!("build the whole view        {build:.1?}");
    println!(
        "memory of the view          {} KiB",
        resident_kib().saturating_sub(before)
    );
    println!(
        "change of a team            {:.1?}",
        change_time(&view, &team(0, 2))
    );
    println!(
        "change of a part of blocks  {:.1?}",
        change_time(&view, &part(0, 1))
    );
    let (bytes, encode) = timed(|| Snapshot::of(&view).encode().0);
    println!(
        "snapshot                    {} KiB, written in {encode:.1?}",
        bytes.len() / 1024
    );
    println!("row of a team               {} B", row_bytes(&team(0, 2)));
    println!("row of a part of blocks     {} B", row_bytes(&part(0, 1)));
}

/// Returns the mean time that a view takes to apply a change of one record.
fn change_time(view: &View, raw: &Raw) -> Duration {
    let start = Instant::now();
    for number in 0..CHANGES {
        let epoch = Epoch(u64::from(number) + 2);
        black_box(view.apply(epoch, [row(raw, epoch.0)]));
    }
    start.elapsed() / CHANGES
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}

fn row_bytes(raw: &Raw) -> usize {
    serde_json::to_vec(&row(raw, 2))
        .expect("rows are plain JSON")
        .len()
}

fn row(raw: &Raw, epoch: u64) -> Row {
    Row::put(raw, Epoch(epoch)).expect("the key is valid")
}

fn record(kind: &str, name: String, body: Value) -> Raw {
    Raw {
        kind: kind.into(),
        name,
        schema: 1,
        body,
    }
}

fn records() -> Vec<Raw> {
    let mut all = Vec::new();
    all.extend((0..REGIONS).map(|n| record("region", format!("r{n}"), json!({}))));
    all.extend((0..ZONES).map(|n| {
        record(
            "zone",
            format!("z{n}"),
            json!({ "region": format!("r{}", n % REGIONS) }),
        )
    }));
    all.extend((0..HOSTS).map(|n| {
        let (api, peer) = (
            format!("10.1.{}.{}:80", n / 250, n % 250),
            format!("10.2.{}.{}:80", n / 250, n % 250),
        );
        record(
            "host",
            format!("h{n}"),
            json!({ "zone": format!("z{}", n % ZONES), "api": api, "peer": peer }),
        )
    }));
    let service = json!({ "class": "lookup", "idempotent": true, "deadline_ms": 500 });
    all.push(record("service", "s".to_owned(), service));
    all.extend((0..ENDPOINTS).map(|n| {
        let addr = format!("10.3.{}.{}:80", n / 250, n % 250);
        let zone = format!("z{}", n % ZONES);
        let body =
            json!({ "service": "s", "zone": zone, "addr": addr, "slots": 3, "connections": 300 });
        record("endpoint", format!("e{n}"), body)
    }));
    all.extend((0..SITES).map(|n| {
        record(
            "site",
            format!("site-{n}"),
            json!({ "zones": [format!("z{}", n % ZONES)] }),
        )
    }));
    all.extend((0..BLOCKS / PART_BLOCKS).map(|n| part(n, 0)));
    all.extend((0..TEAMS).map(|n| team(n, 1)));
    all
}

fn team(number: usize, rate: usize) -> Raw {
    let digest = format!("{number:064x}");
    let body = json!({ "limit": format!("{rate}/s"), "burst_seconds": 2, "keys": [digest], "services": ["s"] });
    record("team", format!("t{number}"), body)
}

fn part(number: usize, shift: usize) -> Raw {
    let line = |n: usize| {
        let block = number * PART_BLOCKS + n;
        format!(
            "{}.{}.{}.0/24 site-{}",
            11 + block / 65_536,
            block / 256 % 256,
            block % 256,
            (block + shift) % SITES
        )
    };
    let lines: Vec<String> = (0..PART_BLOCKS).map(line).collect();
    record("blocks", number.to_string(), json!({ "blocks": lines }))
}

/// Returns the resident memory in KiB; zero if the system does not report it.
fn resident_kib() -> usize {
    const PAGE_KIB: usize = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|t| t.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
