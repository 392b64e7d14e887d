//! Relays between peers over real sockets, with and without faults.

use std::future::pending;
use std::time::Duration;

use crate::fleet::{DropSignal, FakeHandler, Fleet, echo_whole, head, read_body};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use wagtail_peer::{Aborted, Body, Limits, RelayAnswer, empty_body, full_body};
use wagtail_types::{Cause, Reason, Verdict};

const LARGE_BYTES: usize = 3 * 1024 * 1024;

fn large_body() -> Bytes {
    (0..LARGE_BYTES)
        .map(|i| u8::try_from(i % 251).unwrap_or(0))
        .collect()
}

fn chunks(parts: Vec<Result<Bytes, Aborted>>) -> Body {
    StreamBody::new(stream::iter(parts).map(|p| p.map(Frame::data))).boxed_unsync()
}

#[tokio::test]
async fn bodies_of_every_size_arrive_complete_in_both_directions() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    for size in [0, 1, 65_535, 65_536, 65_537, LARGE_BYTES] {
        let sent = large_body().slice(..size);
        let answer = fleet
            .relay(head(), full_body(sent.clone()))
            .await
            .expect("answers");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(read_body(answer).await, Ok(sent), "{size}");
    }
}

#[tokio::test]
async fn the_head_arrives_as_it_was_sent() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let mut sent = head();
    sent.headers.append("x-twice", "1".parse().expect("value"));
    sent.headers.append("x-twice", "2".parse().expect("value"));
    fleet
        .relay(sent.clone(), empty_body())
        .await
        .expect("answers");
    assert_eq!(fleet.handler.heads(), [sent]);
}

#[tokio::test]
async fn an_aborted_request_body_arrives_as_aborted() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    let cases = [
        vec![Err(Aborted)],
        vec![Ok(Bytes::from_static(b"part")), Err(Aborted)],
        vec![Ok(large_body()), Err(Aborted)],
    ];
    for parts in cases {
        let answer = fleet.relay(head(), chunks(parts)).await.expect("answers");
        assert_eq!(read_body(answer).await, Err(Aborted));
    }
}

#[tokio::test]
async fn an_aborted_answer_body_arrives_as_aborted() {
    for size in [0, 100, LARGE_BYTES] {
        let handler = FakeHandler::new(move |_, _| async move {
            let body = chunks(vec![Ok(large_body().slice(..size)), Err(Aborted)]);
            Ok(answer(body))
        });
        let fleet = Fleet::start(handler, Limits::default());
        let answer = fleet.relay(head(), empty_body()).await.expect("answers");
        assert_eq!(read_body(answer).await, Err(Aborted), "{size}");
    }
}

pub(crate) fn answer(body: Body) -> RelayAnswer {
    RelayAnswer {
        status: StatusCode::OK,
        headers: http::HeaderMap::new(),
        body,
    }
}

#[tokio::test]
async fn every_verdict_is_returned_unchanged() {
    let retry = Some(Duration::from_micros(1_500_001));
    let verdicts = Reason::ALL
        .iter()
        .flat_map(|r| [Verdict::not_run(*r, None), Verdict::not_run(*r, retry)])
        .chain(Cause::ALL.iter().map(|c| Verdict::may_have_run(*c)));
    for verdict in verdicts {
        let given = verdict.clone();
        let handler = FakeHandler::new(move |_, _| {
            let given = given.clone();
            async move { Err(given) }
        });
        let fleet = Fleet::start(handler, Limits::default());
        let outcome = fleet.relay(head(), empty_body()).await;
        assert_eq!(outcome.map(|_| ()), Err(verdict));
    }
}

#[tokio::test]
async fn a_host_that_cannot_be_reached_is_not_run() {
    let fleet = Fleet::start(FakeHandler::echo(), Limits::default());
    fleet.owner.stop().await;
    let refused = Verdict::not_run(Reason::ConnectFailed, None);
    for _ in 0..3 {
        let outcome = fleet.relay(head(), empty_body()).await;
        assert_eq!(outcome.map(|_| ()), Err(refused.clone()));
    }
    let unknown = "h9".parse().expect("name");
    let outcome = fleet.entry.relay(&unknown, head(), empty_body()).await;
    assert_eq!(outcome.map(|_| ()), Err(refused));
}

#[tokio::test]
async fn a_relay_lost_after_it_was_sent_may_have_run() {
    let handler = FakeHandler::new(|_, _| pending());
    let fleet = Fleet::start(handler, Limits::default());
    let relay = fleet.relay(head(), empty_body());
    let stop = async {
        fleet.handler.started(1).await;
        fleet.owner.stop().await;
    };
    let (outcome, ()) = tokio::join!(relay, stop);
    let lost = Verdict::may_have_run(Cause::RelayLost);
    assert_eq!(outcome.map(|_| ()), Err(lost));
    assert_eq!(fleet.entry.counts().relays_lost, 1);
}

#[tokio::test]
async fn an_answer_whose_connection_breaks_is_aborted() {
    let handler = FakeHandler::new(|_, _| async {
        let first = stream::iter([Ok(Frame::data(Bytes::from_static(b"half")))]);
        Ok(answer(
            StreamBody::new(first.chain(stream::pending())).boxed_unsync(),
        ))
    });
    let fleet = Fleet::start(handler, Limits::default());
    let answer = fleet.relay(head(), empty_body()).await.expect("answers");
    fleet.owner.stop().await;
    assert_eq!(read_body(answer).await, Err(Aborted));
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_the_request() {
    let handler = FakeHandler::new(|_, _| pending());
    let fleet = Fleet::start(handler, Limits::default());
    tokio::select! {
        _ = fleet.relay(head(), empty_body()) => panic!("nothing answers"),
        () = fleet.handler.started(1) => {}
    }
    fleet.handler.dropped(1).await;
    assert_eq!(fleet.owner.counts().relays_cancelled, 1);
    assert_eq!(fleet.entry.counts().relays_lost, 0);
}

#[tokio::test]
async fn a_receiver_that_drops_the_answer_stops_its_sender() {
    let signal = DropSignal::default();
    let dropped = signal.notify();
    let handler = FakeHandler::new(move |_, _| {
        let signal = signal.armed();
        async move {
            let endless = stream::repeat(Bytes::from_static(&[7; 4096])).map(move |chunk| {
                let _held = &signal;
                Ok(Frame::data(chunk))
            });
            Ok(answer(StreamBody::new(endless).boxed_unsync()))
        }
    });
    let fleet = Fleet::start(handler, Limits::default());
    let mut answer = fleet.relay(head(), empty_body()).await.expect("answers");
    for _ in 0..40 {
        answer.body.frame().await.expect("endless").expect("whole");
    }
    drop(answer);
    dropped.notified().await;
}

#[tokio::test]
async fn a_relay_over_a_limit_is_refused_as_not_run() {
    let limits = Limits {
        relays: 1,
        ..Limits::default()
    };
    let handler = FakeHandler::new(|_, _| pending());
    let fleet = Fleet::start(handler, limits);
    let busy = async {
        fleet.handler.started(1).await;
        fleet.relay(head(), empty_body()).await
    };
    tokio::select! {
        _ = fleet.relay(head(), empty_body()) => panic!("nothing answers"),
        outcome = busy => {
            let full = Verdict::not_run(Reason::Overloaded, None);
            assert_eq!(outcome.map(|_| ()), Err(full));
        }
    }

    let mut large = head();
    let value = "v".repeat(70_000).parse().expect("value");
    large.headers.insert("x-large", value);
    let outcome = fleet.relay(large, empty_body()).await;
    let bad = Verdict::not_run(Reason::BadRequest, None);
    assert_eq!(outcome.map(|_| ()), Err(bad));
}

#[tokio::test]
async fn an_answer_with_too_large_a_head_may_have_run() {
    let handler = FakeHandler::new(|_, _| async {
        let mut answer = answer(empty_body());
        let value = "v".repeat(70_000).parse().expect("value");
        answer.headers.insert("x-large", value);
        Ok(answer)
    });
    let fleet = Fleet::start(handler, Limits::default());
    let outcome = fleet.relay(head(), empty_body()).await;
    let bad = Verdict::may_have_run(Cause::BadAnswer);
    assert_eq!(outcome.map(|_| ()), Err(bad));
}

#[tokio::test]
async fn a_panicking_handler_yields_may_have_run_and_later_relays_work() {
    let handler = FakeHandler::new(|head, body| async move {
        assert_ne!(head.path, "/panic");
        echo_whole(body).await
    });
    let fleet = Fleet::start(handler, Limits::default());
    let mut bad = head();
    bad.path = "/panic".to_owned();
    let outcome = fleet.relay(bad, empty_body()).await;
    let unknown = Verdict::may_have_run(Cause::Unknown);
    assert_eq!(outcome.map(|_| ()), Err(unknown));
    assert!(fleet.relay(head(), empty_body()).await.is_ok());
}
