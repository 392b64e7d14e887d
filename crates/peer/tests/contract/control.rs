//! Control messages, authentication, malformed input and emulated links.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use wagtail_peer::{Control, Counts, Limits, LinkEmulation, LinkState, Peer, Settings, empty_body};
use wagtail_types::{Incarnation, Reason, Verdict};

use crate::fleet::{FakeHandler, Fleet, SECRET, head, host, peer, settings};

fn leaving(name: &str) -> Control {
    Control::Leaving(name.parse().expect("endpoint name"))
}

/// Waits until the counts match, since another thread raises them.
pub(crate) async fn wait_for_counts(peer: &Peer, matches: impl Fn(Counts) -> bool) {
    while !matches(peer.counts()) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let sent: Vec<_> = (0..100).map(|n| leaving(&format!("e{n}"))).collect();
    for message in &sent {
        fleet.entry.send(&host("owner"), message.clone());
    }
    let received = fleet.handler.controls(sent.len()).await;
    for ((from, incarnation, message), sent) in received.iter().zip(&sent) {
        assert_eq!((from, incarnation), (&host("entry"), &Incarnation(7)));
        assert_eq!(message, sent);
    }
    let counts = fleet.entry.counts();
    assert_eq!((counts.messages_out, counts.messages_dropped), (100, 0));
    assert!(counts.control_out > 0 && counts.relay_out == 0);
}

#[tokio::test]
async fn messages_that_cannot_be_sent_are_dropped_and_counted() {
    let limits = Limits {
        queue: 4,
        ..Limits::default()
    };
    let fleet = Fleet::start(FakeHandler::echo(), limits);
    fleet.entry.send(&host("nobody"), leaving("e1"));
    wait_for_counts(&fleet.entry, |c| c.messages_dropped == 1).await;

    fleet.owner.stop().await;
    for _ in 0..100 {
        fleet.entry.send(&host("owner"), leaving("e1"));
    }
    wait_for_counts(&fleet.entry, |c| c.messages_dropped == 101).await;
    assert_eq!(fleet.entry.counts().messages_out, 0);
}

#[tokio::test]
async fn a_host_that_restarts_at_another_address_is_reached_there() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    assert!(fleet.relay(head(), empty_body()).await.is_ok());
    fleet.owner.stop().await;
    let handler = Arc::new(FakeHandler::echo());
    let restarted = peer("owner", SECRET, Limits::default(), handler.clone());
    let moved = HashMap::from([(host("owner"), restarted.addr())]);
    fleet.entry.set_addresses(moved);
    while fleet.relay(head(), empty_body()).await.is_err() {}
    assert_eq!(handler.heads().len(), 1);
}

#[tokio::test]
async fn a_wrong_secret_is_refused_on_both_sides() {
    let entry = peer(
        "entry",
        SECRET,
        Limits::default(),
        Arc::new(FakeHandler::echo()),
    );
    let handler = Arc::new(FakeHandler::echo());
    let stranger = peer(
        "owner",
        "another secret of a fleet",
        Limits::default(),
        handler.clone(),
    );
    entry.set_addresses(HashMap::from([(host("owner"), stranger.addr())]));
    let outcome = entry.relay(&host("owner"), head(), empty_body()).await;
    let refused = Verdict::not_run(Reason::ConnectFailed, None);
    assert_eq!(outcome.map(|_| ()), Err(refused));
    assert_eq!(entry.counts().auth_failures, 1);
    assert!(handler.heads().is_empty());
}

#[tokio::test]
async fn a_host_with_another_name_at_the_address_is_refused() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let addresses = HashMap::from([(host("third"), fleet.owner.addr())]);
    fleet.entry.set_addresses(addresses);
    let outcome = fleet
        .entry
        .relay(&host("third"), head(), empty_body())
        .await;
    let refused = Verdict::not_run(Reason::ConnectFailed, None);
    assert_eq!(outcome.map(|_| ()), Err(refused));
    assert_eq!(fleet.entry.counts().wrong_hosts, 1);
}

#[tokio::test]
async fn a_malformed_hello_closes_the_connection() {
    let mut hello = b"wtp1\0".to_vec();
    hello.extend([0; 40]);
    let with_name = |name: &[u8]| {
        let length = u8::try_from(name.len()).expect("short");
        [hello.as_slice(), &[length], name].concat()
    };
    let cases = [
        (
            "magic",
            b"GET / HTTP/1.1\r\nhost: owner.of.the.zone.example\r\n\r\n".to_vec(),
        ),
        ("purpose", [b"wtp1\x09".as_slice(), &[0; 41]].concat()),
        ("name length", [hello.as_slice(), &[255]].concat()),
        ("name", with_name(b"NOT A NAME")),
        ("empty name", with_name(b"")),
    ];
    for (name, bytes) in cases {
        let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
        let mut stream = TcpStream::connect(fleet.owner.addr()).expect("connects");
        stream.write_all(&bytes).expect("sends");
        wait_for_counts(&fleet.owner, |c| c.malformed == 1).await;
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{name}: nothing is answered");
        assert!(fleet.relay(head(), empty_body()).await.is_ok(), "{name}");
    }
}

#[tokio::test]
async fn a_wrong_proof_closes_the_connection() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let mut stream = TcpStream::connect(fleet.owner.addr()).expect("connects");
    let hello = [b"wtp1\0".as_slice(), &[0; 40], &[5], b"entry"].concat();
    stream
        .write_all(&[hello.as_slice(), &[0; 32]].concat())
        .expect("sends");
    wait_for_counts(&fleet.owner, |c| c.auth_failures == 1).await;
    assert_eq!(fleet.owner.counts().malformed, 0);
}

#[tokio::test]
async fn a_message_over_the_limit_closes_the_connection_and_is_counted() {
    let small = Limits {
        message_size: wagtail_types::Bytes(4096),
        ..Limits::default()
    };
    let handler = Arc::new(FakeHandler::echo());
    let owner = peer("owner", SECRET, small, handler.clone());
    let entry = peer(
        "entry",
        SECRET,
        Limits::default(),
        Arc::new(FakeHandler::echo()),
    );
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
    let mut large = head();
    large.path = format!("/{}", "p".repeat(20_000));
    let outcome = entry.relay(&host("owner"), large, empty_body()).await;
    assert!(outcome.is_err_and(|v| !v.is_not_run()));
    wait_for_counts(&owner, |c| c.malformed == 1).await;
    assert!(handler.heads().is_empty());
    assert!(
        entry
            .relay(&host("owner"), head(), empty_body())
            .await
            .is_ok()
    );
}

fn push_message(rows: usize) -> Control {
    let row = |n: usize| wagtail_config::Row {
        key: format!("team/t{n}").parse().expect("key"),
        epoch: wagtail_types::Epoch(1),
        schema: 1,
        body: Some("b".repeat(1_000).into()),
    };
    let page = wagtail_config::Page {
        since: wagtail_types::Epoch(0),
        head: wagtail_types::Epoch(1),
        floor: wagtail_types::Epoch(0),
        rows: (0..rows).map(row).collect(),
        more: false,
    };
    Control::Config(wagtail_config::Message::Push { page })
}

#[tokio::test]
async fn a_frame_over_the_receivers_limit_closes_the_connection_and_is_counted() {
    let small = Limits {
        message_size: wagtail_types::Bytes(4096),
        ..Limits::default()
    };
    let handler = Arc::new(FakeHandler::echo());
    let owner = peer("owner", SECRET, small, handler.clone());
    let entry = peer(
        "entry",
        SECRET,
        Limits::default(),
        Arc::new(FakeHandler::echo()),
    );
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
    // The first frame is over the limit as sent, the second only once it is unpacked.
    for (count, rows) in [(1, 100), (2, 4)] {
        entry.send(&host("owner"), push_message(rows));
        wait_for_counts(&owner, |c| c.malformed == count).await;
    }
    while handler.controls(0).await.is_empty() {
        entry.send(&host("owner"), leaving("e1"));
        tokio::task::yield_now().await;
    }
    assert_eq!(owner.counts().malformed, 2);
}

#[tokio::test]
async fn a_batch_over_the_senders_limit_is_split_and_a_message_over_it_is_dropped() {
    let limits = Limits {
        message_size: wagtail_types::Bytes(4096),
        ..Limits::default()
    };
    let fleet = Fleet::start(FakeHandler::echo(), limits);
    let mut sent = Vec::new();
    for rows in [1, 2, 9, 3, 1, 2, 3] {
        fleet.entry.send(&host("owner"), push_message(rows));
        if rows < 9 {
            sent.push(push_message(rows));
        }
    }
    let received = fleet.handler.controls(sent.len()).await;
    let received: Vec<_> = received
        .into_iter()
        .map(|(_, _, message)| message)
        .collect();
    assert_eq!(received, sent);
    let counts = fleet.entry.counts();
    assert_eq!((counts.messages_out, counts.messages_dropped), (6, 1));
}

// Guards against a control connection that stays open although its link has failed: frames go
// unacknowledged past the stall timeout, so the connection must be closed and opened again.
#[tokio::test]
async fn a_connection_without_acknowledgements_is_closed_and_reopened() {
    let quick = Limits {
        connect_timeout: Duration::from_millis(50),
        stall_timeout: Duration::from_millis(50),
        ..Limits::default()
    };
    let (link, state) = tokio::sync::watch::channel(LinkState::Up(Duration::ZERO));
    let emulation = LinkEmulation::new(move |_| *state.borrow());
    assert_eq!(emulation.counts(), None);
    let entry = Settings {
        emulation: Some(emulation.clone()),
        ..settings("entry", SECRET, quick.clone())
    };
    let handler = Arc::new(FakeHandler::echo());
    let owner = peer("owner", SECRET, quick, handler.clone());
    let runtime = tokio::runtime::Handle::current();
    let entry = Peer::start(entry, Arc::new(FakeHandler::echo()), runtime).expect("starts");
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
    entry.send(&host("owner"), leaving("e1"));
    handler.controls(1).await;
    assert_eq!(emulation.counts(), Some(entry.counts()));
    link.send_replace(LinkState::Down);
    while entry.counts().connect_failures == 0 {
        entry.send(&host("owner"), leaving("e2"));
        tokio::task::yield_now().await;
    }
    link.send_replace(LinkState::Up(Duration::ZERO));
    let before = entry.counts().connects;
    while entry.counts().connects == before {
        entry.send(&host("owner"), leaving("e3"));
        tokio::task::yield_now().await;
    }
    handler.controls(2).await;
}

#[tokio::test]
async fn too_many_connections_are_refused_and_counted() {
    let none = Limits {
        connections: 0,
        ..Limits::default()
    };
    let fleet = Fleet::start(FakeHandler::echo(), none);
    let outcome = fleet.relay(head(), empty_body()).await;
    let refused = Verdict::not_run(Reason::ConnectFailed, None);
    assert_eq!(outcome.map(|_| ()), Err(refused));
    assert_eq!(fleet.owner.counts().connections_refused, 1);
}

// Guards against a wrong verdict when a link fails: before the request was sent it did not run, and
// after that it may have run.
#[tokio::test]
async fn a_relay_over_a_link_that_is_down_is_not_run_and_one_that_stalls_may_have_run() {
    let quick = Limits {
        connect_timeout: Duration::from_millis(50),
        stall_timeout: Duration::from_millis(50),
        ..Limits::default()
    };
    let (link, state) = tokio::sync::watch::channel(LinkState::Down);
    let emulation = LinkEmulation::new(move |_| *state.borrow());
    let handler = Arc::new(FakeHandler::new(|_, _| std::future::pending()));
    let owner = peer("owner", SECRET, quick.clone(), handler.clone());
    let entry = Settings {
        emulation: Some(emulation),
        ..settings("entry", SECRET, quick)
    };
    let runtime = tokio::runtime::Handle::current();
    let entry = Peer::start(entry, Arc::new(FakeHandler::echo()), runtime).expect("starts");
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
    let to = host("owner");
    let relay = || entry.relay(&to, head(), empty_body());
    assert!(relay().await.is_err_and(|v| v.is_not_run()));

    link.send_replace(LinkState::Up(Duration::from_micros(10)));
    let cut_link = async {
        handler.started(1).await;
        link.send_replace(LinkState::Down);
    };
    let until_sent = async {
        loop {
            match relay().await {
                Err(Verdict::NotRun { .. }) => {}
                other => return other.map(|_| ()),
            }
        }
    };
    let (outcome, ()) = tokio::join!(until_sent, cut_link);
    let lost = Verdict::may_have_run(wagtail_types::Cause::RelayLost);
    assert_eq!(outcome, Err(lost));
}
