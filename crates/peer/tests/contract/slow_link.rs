//! Connections over a link that is slow but steady: they must stay open as long as bytes arrive.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use wagtail_peer::{
    Aborted, Control, Limits, LinkEmulation, LinkState, Peer, Settings, empty_body, full_body,
};
use wagtail_standin::link::{self, Link};

use crate::fleet::{FakeHandler, SECRET, head, host, peer, read_body, settings};

const BYTES_PER_SECOND: u32 = 200_000;
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Takes the link three times the stall timeout.
const LARGE_BYTES: usize = 600_000;
const TIMEOUT: Duration = Duration::from_secs(60);

struct SlowFleet {
    entry: Peer,
    _owner: Peer,
    _link: Link,
    handler: Arc<FakeHandler>,
}

impl SlowFleet {
    /// Starts two hosts, the first of which reaches the second over a slow link.
    fn start(handler: FakeHandler) -> Self {
        let limits = Limits {
            stall_timeout: STALL_TIMEOUT,
            ..Limits::default()
        };
        let handler = Arc::new(handler);
        let entry = peer(
            "entry",
            SECRET,
            limits.clone(),
            Arc::new(FakeHandler::echo()),
        );
        let owner = peer("owner", SECRET, limits, handler.clone());
        let link = link::start(owner.addr(), BYTES_PER_SECOND).expect("starts");
        entry.set_addresses(HashMap::from([(host("owner"), link.addr)]));
        Self {
            entry,
            _owner: owner,
            _link: link,
            handler,
        }
    }
}

fn push(bytes: usize) -> Control {
    let row = wagtail_config::Row {
        key: "team/lead".parse().expect("key"),
        epoch: wagtail_types::Epoch(1),
        schema: 1,
        body: Some("b".repeat(bytes).into()),
    };
    let page = wagtail_config::Page {
        since: wagtail_types::Epoch(0),
        head: wagtail_types::Epoch(1),
        floor: wagtail_types::Epoch(0),
        rows: vec![row],
        more: false,
    };
    Control::Config(wagtail_config::Message::Push { page })
}

// Guards against a limit on the time until a whole frame is acknowledged: one that takes longer to
// cross the link would cost the connection, and what follows it would need another one.
#[tokio::test]
async fn a_large_message_over_a_slow_link_does_not_break_the_connection() {
    let fleet = SlowFleet::start(FakeHandler::echo());
    let small = || Control::Leaving("e1".parse().expect("endpoint name"));
    fleet.entry.send(&host("owner"), push(LARGE_BYTES));
    for _ in 0..5 {
        sleep(STALL_TIMEOUT / 2).await;
        fleet.entry.send(&host("owner"), small());
    }
    let received = timeout(TIMEOUT, fleet.handler.controls(6)).await;
    let received: Vec<_> = received.expect("arrive").into_iter().collect();
    assert!(
        received[0].2 == push(LARGE_BYTES),
        "another message arrived"
    );
    assert!(received[1..].iter().all(|(_, _, m)| *m == small()));
    let parts = fleet.handler.parts();
    assert!(
        parts > 1,
        "{parts} parts of the large message were announced"
    );
    assert_eq!(fleet.entry.counts().connects, 1);
}

// Guards against a busy connection that is taken for a broken one: the answer to a ping waits behind
// the bodies of other relays, all of which would be cut off.
#[tokio::test]
async fn a_large_answer_over_a_slow_link_does_not_break_the_connection() {
    let handler = FakeHandler::new(|head, body| async move {
        if head.path == "/large" {
            let body = full_body(Bytes::from(vec![b'a'; LARGE_BYTES]));
            return Ok(crate::relay::answer(body));
        }
        sleep(STALL_TIMEOUT * 3).await;
        Ok(crate::relay::answer(body))
    });
    let fleet = SlowFleet::start(handler);
    let mut large = head();
    large.path = "/large".to_owned();
    let to = host("owner");
    let read_large = async {
        let answer = fleet.entry.relay(&to, large, empty_body()).await;
        read_body(answer.expect("answers")).await
    };
    let read_late = async {
        let answer = fleet.entry.relay(&to, head(), full_body("late")).await;
        read_body(answer.expect("answers")).await
    };
    let both = async { tokio::join!(read_large, read_late) };
    let (large, late) = timeout(TIMEOUT, both).await.expect("arrive");
    assert_eq!(large.map(|body| body.len()), Ok(LARGE_BYTES));
    assert_eq!(late, Ok(Bytes::from_static(b"late")));
    assert_eq!(fleet.entry.counts().connects, 1);
}

// Guards against a caller that waits without end for the rest of an answer whose link has failed
// without a word, and against an answer that is cut off because its endpoint is silent for a while.
#[tokio::test]
async fn an_answer_is_aborted_when_its_link_falls_silent_and_not_before() {
    const STALL_TIMEOUT: Duration = Duration::from_millis(200);
    let limits = Limits {
        stall_timeout: STALL_TIMEOUT,
        ..Limits::default()
    };
    let (link, state) = watch::channel(LinkState::Up(Duration::ZERO));
    let (send, chunks) = mpsc::unbounded_channel::<Bytes>();
    let chunks = Mutex::new(Some(chunks));
    let handler = Arc::new(FakeHandler::new(move |_, _| {
        let chunks = chunks.lock().expect("not poisoned").take();
        let chunks = chunks.expect("one request");
        let frames = stream::unfold(chunks, |mut chunks| async {
            let data = chunks.recv().await?;
            Some((Ok::<_, Aborted>(Frame::data(data)), chunks))
        });
        let body = StreamBody::new(frames).boxed_unsync();
        async { Ok(crate::relay::answer(body)) }
    }));
    let owner = Settings {
        emulation: Some(LinkEmulation::new(move |_| *state.borrow())),
        ..settings("owner", SECRET, limits.clone())
    };
    let runtime = tokio::runtime::Handle::current();
    let owner = Peer::start(owner, handler, runtime).expect("starts");
    let entry = peer("entry", SECRET, limits, Arc::new(FakeHandler::echo()));
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
    let mut body = entry
        .relay(&host("owner"), head(), empty_body())
        .await
        .expect("answers")
        .body;
    sleep(STALL_TIMEOUT * 5).await;
    send.send(Bytes::from_static(b"part")).expect("is sent");
    let part = timeout(TIMEOUT, body.frame()).await.expect("arrives");
    let part = part.expect("a frame").expect("data").into_data();
    assert_eq!(part.ok(), Some(Bytes::from_static(b"part")));
    link.send_replace(LinkState::Down);
    let end = timeout(TIMEOUT, body.frame()).await;
    let end = end.expect("ends").expect("not as a whole");
    assert_eq!(end.err(), Some(Aborted));
}
