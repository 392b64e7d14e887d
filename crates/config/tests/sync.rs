//! Checks `ConfigSync` against an oracle under random losses, delays, repeats and restarts.
//!
//! Every adopted view must be the whole configuration of its epoch, epochs must only rise within an
//! incarnation, and connected hosts must converge.

#[path = "sync/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use wagtail_config::{
    ConfigSync, Message, Mutant, Page, RawRecord, Row, Snapshot, SyncEffect, SyncInput,
    SyncSettings, View,
};
use wagtail_types::Epoch;
use world::{Op, World};

const MAX_OPS: usize = 120;

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => prop::collection::vec((0u8..6, prop::option::of(1u8..100)), 1..5).prop_map(Op::Commit),
        4 => (1u64..2_000).prop_map(Op::Advance),
        8 => (any::<prop::sample::Index>(), 0usize..4).prop_map(|(pick, lag)| Op::Answer { pick, lag }),
        1 => any::<prop::sample::Index>().prop_map(Op::Fail),
        8 => (any::<prop::sample::Index>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, again)| Op::Deliver { pick, again }),
        1 => any::<prop::sample::Index>().prop_map(Op::Lose),
        1 => (0usize..world::HOSTS).prop_map(Op::Restart),
        1 => Just(Op::Snapshot),
    ];
    prop::collection::vec(op, 1..MAX_OPS)
}

fn run(mutant: Mutant, ops: Vec<Op>) -> Result<(), TestCaseError> {
    let mut world = World::new(mutant);
    for op in ops {
        world.apply(op)?;
    }
    world.converge()
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn adopts_whole_epochs_in_order_and_converges() {
    let result = TestRunner::new(config()).run(&ops(), |ops| run(Mutant::None, ops));
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn hosts_converge_without_the_platform() {
    let result = TestRunner::new(config()).run(&ops(), |ops| {
        let mut world = World::new(Mutant::None);
        for op in ops {
            world.apply(op)?;
        }
        world.apply(Op::Restart(0))?;
        world.converge_without_platform()
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn the_oracle_detects_each_mutant() {
    const MUTANTS: [Mutant; 5] = [
        Mutant::AdoptsLower,
        Mutant::AdoptsPartial,
        Mutant::IgnoresGaps,
        Mutant::JoinsInconsistent,
        Mutant::DropsFloor,
    ];
    for mutant in MUTANTS {
        let config = Config {
            cases: 50_000,
            max_shrink_iters: 0,
            ..config()
        };
        let result = TestRunner::new(config).run(&ops(), |ops| run(mutant, ops));
        assert!(
            matches!(result, Err(TestError::Fail(..))),
            "{mutant:?} was not detected"
        );
    }
}

fn region(name: &str, epoch: u64) -> Row {
    let body = serde_json::json!({});
    let raw = RawRecord {
        kind: "region".into(),
        name: name.into(),
        schema: 1,
        body,
    };
    Row::put(&raw, Epoch(epoch)).unwrap()
}

/// Drives a new state machine until it has read the snapshot of epoch 3, and returns the request
/// number of the scan that follows.
fn read_snapshot(sync: &mut ConfigSync, now: Instant) -> u64 {
    sync.tick(now);
    let mut last = 0;
    let snapshot = Snapshot {
        epoch: Epoch(3),
        rows: vec![region("a", 3)],
    };
    let (_, reference) = snapshot.encode();
    while let Some(effect) = sync.poll_effect() {
        match effect {
            SyncEffect::Scan {
                request, limit: 0, ..
            } => {
                let page = Page {
                    since: Epoch(0),
                    head: Epoch(3),
                    floor: Epoch(0),
                    rows: vec![],
                    more: true,
                };
                let snapshot = Some(reference.clone());
                sync.handle(
                    now,
                    SyncInput::Scanned {
                        request,
                        page,
                        snapshot,
                    },
                );
            }
            SyncEffect::Fetch { request, .. } => {
                sync.handle(
                    now,
                    SyncInput::Fetched {
                        request,
                        snapshot: snapshot.clone(),
                    },
                );
            }
            SyncEffect::Scan { request, .. } => last = request,
            other => panic!("{other:?}"),
        }
    }
    last
}

#[test]
fn a_scan_older_than_the_snapshot_is_ignored() {
    for (head, adopted) in [(2, 0), (3, 3)] {
        let now = Instant::now();
        let mut sync = ConfigSync::new(SyncSettings::default(), 1, now);
        let request = read_snapshot(&mut sync, now);
        let page = Page {
            since: Epoch(3),
            head: Epoch(head),
            floor: Epoch(0),
            rows: vec![],
            more: false,
        };
        sync.handle(
            now,
            SyncInput::Scanned {
                request,
                page,
                snapshot: None,
            },
        );
        assert_eq!(sync.view().epoch(), Epoch(adopted), "head {head}");
    }
}

#[test]
fn a_view_from_a_snapshot_serves_older_epochs_the_whole_configuration() {
    let snapshot = Snapshot {
        epoch: Epoch(7),
        rows: vec![region("a", 2)],
    };
    let view = snapshot.into_view().apply(Epoch(8), [region("b", 8)]);
    let page = view.page(Epoch(3), None, 10);
    assert_eq!((page.since, page.rows.len()), (Epoch(0), 2));
    let page = view.page(Epoch(7), None, 10);
    assert_eq!((page.since, page.rows.len()), (Epoch(7), 1));
}

#[test]
fn pages_to_peers_have_bounded_size() {
    let now = Instant::now();
    let body = serde_json::json!({ "delay_ms": { "a-region-with-quite-a-long-name": 10 } });
    let page_bytes = 2 * body.to_string().len();
    let settings = SyncSettings {
        page_bytes,
        ..SyncSettings::default()
    };
    let mut sync = ConfigSync::new(settings, 1, now);
    let rows: Vec<Row> = (0..9)
        .map(|n| RawRecord {
            kind: "region".into(),
            name: format!("r{n}"),
            schema: 1,
            body: body.clone(),
        })
        .map(|raw| Row::put(&raw, Epoch(1)).unwrap())
        .collect();
    let page = Page {
        since: Epoch(0),
        head: Epoch(1),
        floor: Epoch(0),
        rows,
        more: false,
    };
    let from: wagtail_types::HostId = "peer".parse().unwrap();
    let push = Message::Push { page };
    sync.handle(
        now,
        SyncInput::Message {
            from: from.clone(),
            message: push,
        },
    );
    let pull = Message::Pull {
        request: 1,
        since: Epoch(0),
        after: None,
    };
    sync.handle(
        now,
        SyncInput::Message {
            from,
            message: pull,
        },
    );
    let sent = std::iter::from_fn(|| sync.poll_effect()).filter_map(|effect| match effect {
        SyncEffect::Send {
            message: Message::Page { page, .. },
            ..
        } => Some(page),
        _ => None,
    });
    let pages: Vec<Page> = sent.collect();
    assert_eq!(pages.len(), 1);
    assert_eq!((pages[0].rows.len(), pages[0].more), (2, true));
}

/// The link from a peer to a host that pulls from it.
struct PullLink {
    /// The time until an answer begins to arrive.
    latency: Duration,
    /// The time that each answer takes the link, one after the other.
    transfer: Duration,
    /// Whether the host is told that an answer is arriving.
    reports: bool,
    /// Tells whether the answer to the pull with this number is lost.
    loses: fn(usize) -> bool,
}

const PULL_PAGES: u64 = 12;

/// Pulls a configuration of [`PULL_PAGES`] pages from one peer. Returns the epoch adopted within
/// `limit`, and how many pulls were sent.
fn pull_pages(link: &PullLink, limit: Duration) -> (Epoch, usize) {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let rows = (1..=PULL_PAGES).map(|n| region(&format!("r{n}"), n));
    let source = View::empty().apply(Epoch(PULL_PAGES), rows);
    let mut sync = ConfigSync::new(SyncSettings::default(), 1, start);
    let peer: wagtail_types::HostId = "peer".parse().unwrap();
    sync.handle(start, SyncInput::Peers(vec![peer.clone()]));
    let epoch = source.epoch();
    let from = peer.clone();
    sync.handle(start, SyncInput::PeerEpoch { from, epoch });
    let mut answers = VecDeque::new();
    let (mut pulls, mut now, mut free_at) = (0, start, start);
    while now < start + limit && sync.view().epoch() < epoch {
        now += STEP;
        sync.tick(now);
        while let Some(effect) = sync.poll_effect() {
            let SyncEffect::Send { message, .. } = effect else {
                continue;
            };
            if let Message::Pull {
                request,
                since,
                after,
            } = message
            {
                pulls += 1;
                let page = source.page(since, after.as_ref(), 1);
                if !(link.loses)(pulls) {
                    let begins = free_at.max(now + link.latency);
                    free_at = begins + link.transfer;
                    answers.push_back((begins, free_at, Message::Page { request, page }));
                }
            }
        }
        while answers.front().is_some_and(|(_, ends, _)| *ends <= now) {
            let Some((_, _, message)) = answers.pop_front() else {
                break;
            };
            let from = peer.clone();
            sync.handle(now, SyncInput::Message { from, message });
        }
        let arriving = answers.front().is_some_and(|(begins, ..)| *begins < now);
        if link.reports && arriving {
            let from = peer.clone();
            sync.handle(now, SyncInput::Receiving { from });
        }
    }
    (sync.view().epoch(), pulls)
}

// Guards against a pull that starts from the first page again after a lost answer: a configuration
// of many pages would never be complete.
#[test]
fn a_pull_goes_on_where_an_answer_was_lost() {
    let link = PullLink {
        latency: Duration::from_millis(20),
        transfer: Duration::ZERO,
        reports: false,
        loses: |pull| pull % 3 == 0,
    };
    let (epoch, pulls) = pull_pages(&link, Duration::from_secs(60));
    assert_eq!(epoch, Epoch(PULL_PAGES));
    assert!(pulls <= 18, "{pulls} pulls");
}

// Guards against a timeout of the whole answer: over a slow link each page would be dropped when it
// arrives and asked for again.
#[test]
fn an_answer_that_is_later_than_the_timeout_counts() {
    let latency = SyncSettings::default().read_timeout * 2;
    let link = PullLink {
        latency,
        transfer: Duration::ZERO,
        reports: false,
        loses: |_| false,
    };
    let (epoch, _) = pull_pages(&link, latency * 20);
    assert_eq!(epoch, Epoch(PULL_PAGES));
}

// Guards against a page that is asked for again while it is arriving: the second answer would take
// the slow link as well, and delay all that follow.
#[test]
fn a_page_that_is_arriving_is_not_asked_for_again() {
    let pages = u32::try_from(PULL_PAGES).expect("few");
    let link = PullLink {
        latency: Duration::from_millis(20),
        transfer: SyncSettings::default().read_timeout * 2,
        reports: true,
        loses: |_| false,
    };
    let wait = SyncSettings::default().initial_wait;
    let limit = wait + (link.transfer + link.latency * 3) * pages;
    assert_eq!(pull_pages(&link, limit), (Epoch(PULL_PAGES), 12));
}
