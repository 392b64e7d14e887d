//! The endpoint stand-in over real sockets, fault by fault.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wagtail_standin::endpoint::{
    self, Fault, Faults, Outcome, Report, Running, Settings, Wrong, check_answer, header,
};

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
enum Seen {
    Answer(StatusCode, HeaderMap, Bytes),
    CutBody,
    Closed,
}

async fn connect(endpoint: &Running) -> Sender {
    let stream = TcpStream::connect(endpoint.addr()).await.expect("connects");
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    sender
}

fn request(path: &str, id: &str) -> http::request::Builder {
    Request::post(path)
        .header("host", "endpoint")
        .header(header::REQUEST_ID, id)
        .header(header::TEAM, "dyfrdwy-lead")
}

async fn send(sender: &mut Sender, request: Request<Full<Bytes>>) -> Seen {
    let Ok(response) = sender.send_request(request).await else {
        return Seen::Closed;
    };
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => Seen::Answer(head.status, head.headers, body.to_bytes()),
        Err(_) => Seen::CutBody,
    }
}

async fn post(endpoint: &Running, id: &str) -> Seen {
    let mut sender = connect(endpoint).await;
    let body = Full::new(Bytes::from_static(b"dossier"));
    send(
        &mut sender,
        request("/lookup/1", id).body(body).expect("request"),
    )
    .await
}

async fn fresh() -> Running {
    endpoint::start(Settings::default()).await.expect("starts")
}

fn answer(seen: Seen) -> (StatusCode, HeaderMap, Bytes) {
    match seen {
        Seen::Answer(status, headers, body) => (status, headers, body),
        other => panic!("no answer: {other:?}"),
    }
}

#[tokio::test]
async fn a_whole_answer_carries_the_request_id_and_a_digest() {
    let endpoint = fresh().await;
    let (status, headers, body) = answer(post(&endpoint, "r-1").await);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(check_answer("r-1", &headers, &body), Ok(()));
    assert_eq!(check_answer("r-2", &headers, &body), Err(Wrong::Crossed));
    assert_eq!(check_answer("r-1", &headers, &body[..90]), Err(Wrong::Torn));

    let entries = endpoint.log().entries();
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].team.as_deref(), Some("dyfrdwy-lead"));
    assert_eq!(entries[0].outcome, Outcome::Done);
    assert!(entries[0].headers.starts_with(b"host: endpoint\n"));
}

#[tokio::test]
async fn each_fault_shows_as_its_own_failure() {
    // fault, what the caller sees, whether the request ran
    let cases = [
        (Fault::Late { ms: 1 }, "whole", true),
        (Fault::Crossed, "crossed", true),
        (Fault::CutLength, "cut", true),
        (Fault::CutChunked, "cut", true),
        (Fault::Refuse, "not-run", false),
        (Fault::FailAfterRun, "500", true),
        (Fault::CloseBefore, "closed", false),
        (Fault::CloseAfter, "closed", true),
    ];
    for (fault, expected, ran) in cases {
        let endpoint = fresh().await;
        endpoint.set_faults(Faults::every(fault));
        let seen = match post(&endpoint, "r-1").await {
            Seen::Closed => "closed",
            Seen::CutBody => "cut",
            Seen::Answer(_, headers, _) if headers.contains_key(header::VERDICT) => "not-run",
            Seen::Answer(StatusCode::INTERNAL_SERVER_ERROR, ..) => "500",
            Seen::Answer(_, headers, body) => match check_answer("r-1", &headers, &body) {
                Ok(()) => "whole",
                Err(Wrong::Crossed) => "crossed",
                Err(wrong) => panic!("{fault:?}: {wrong}"),
            },
        };
        assert_eq!(seen, expected, "{fault:?}");
        assert_eq!(endpoint.log().ran() == 1, ran, "{fault:?}");
    }
}

#[tokio::test]
async fn a_full_endpoint_sheds_and_says_not_run() {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let endpoint = endpoint::start(settings).await.expect("starts");
    endpoint.set_faults(Faults {
        hold: true,
        ..Faults::default()
    });
    let first = async { post(&endpoint, "r-1").await };
    let second = async {
        while endpoint.log().ran() == 0 {
            tokio::task::yield_now().await;
        }
        let seen = post(&endpoint, "r-2").await;
        endpoint.set_faults(Faults::default());
        seen
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(answer(first).0, StatusCode::OK);
    let (status, headers, _) = answer(second);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(headers[header::VERDICT], "not-run");
    assert_eq!(headers[header::LOAD], "1/1");
    assert_eq!(endpoint.peak(), 1);
    assert_eq!(endpoint.log().count(Outcome::Shed), 1);
}

#[tokio::test]
async fn a_client_that_goes_away_is_counted() {
    let endpoint = fresh().await;
    endpoint.set_faults(Faults {
        hold: true,
        ..Faults::default()
    });
    let held = tokio::time::timeout(std::time::Duration::MAX, post(&endpoint, "r-1"));
    tokio::select! {
        _ = held => panic!("the request was held"),
        () = async { while endpoint.log().ran() == 0 { tokio::task::yield_now().await; } } => {}
    }
    while endpoint.log().count(Outcome::Cancelled) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(endpoint.log().count(Outcome::Done), 0);
}

#[tokio::test]
async fn deadlines_end_requests_before_and_while_they_run() {
    let endpoint = fresh().await;
    endpoint.set_faults(Faults {
        hold: true,
        ..Faults::default()
    });
    for (left, verdict) in [("0", "not-run"), ("1", "may-have-run")] {
        let mut sender = connect(&endpoint).await;
        let request = request("/submit", left).header(header::DEADLINE, left);
        let request = request.body(Full::default()).expect("request");
        let (_, headers, _) = answer(send(&mut sender, request).await);
        // A deadline of 1 ms may pass before the request starts.
        let ran = endpoint.log().entries().last().is_some_and(|e| e.ran);
        let expected = if ran { verdict } else { "not-run" };
        assert_eq!(headers[header::VERDICT], expected);
    }
}

#[tokio::test]
async fn reports_can_stop_lie_and_say_leaving() {
    let reports = [
        (Report::Honest, Some("0/3")),
        (Report::Fixed { inflight: 2 }, Some("2/3")),
        (Report::Lagging { ms: 3_600_000 }, Some("0/3")),
        (Report::Stopped, None),
    ];
    for (report, expected) in reports {
        let endpoint = fresh().await;
        let mut sender = connect(&endpoint).await;
        let faults = serde_json::to_string(&Faults {
            leaving: true,
            report,
            ..Faults::default()
        });
        let change = Request::put("/.faults").body(Full::from(faults.expect("json")));
        let (status, ..) = answer(send(&mut sender, change.expect("request")).await);
        assert_eq!(status, StatusCode::NO_CONTENT);

        let health = Request::get("/.health")
            .body(Full::default())
            .expect("request");
        let (_, headers, body) = answer(send(&mut sender, health).await);
        let load = headers.get(header::LOAD).and_then(|v| v.to_str().ok());
        assert_eq!(load, expected);
        assert_eq!(headers[header::LEAVING], "1");
        assert!(body.windows(7).any(|w| w == b"leaving"));
    }
}

#[tokio::test]
async fn a_bad_fault_table_is_refused_and_changes_nothing() {
    let endpoint = fresh().await;
    for body in ["", "{\"leaving\":7}", "{\"unknown\":true}"] {
        let mut sender = connect(&endpoint).await;
        let change = Request::put("/.faults")
            .body(Full::from(body))
            .expect("request");
        let (status, ..) = answer(send(&mut sender, change).await);
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body:?}");
        assert_eq!(endpoint.faults(), Faults::default());
    }
}

#[tokio::test]
async fn a_stop_lets_the_running_request_finish() {
    let endpoint = fresh().await;
    endpoint.set_faults(Faults {
        hold: true,
        ..Faults::default()
    });
    let mut sender = connect(&endpoint).await;
    let request = request("/submit", "r-1")
        .body(Full::default())
        .expect("request");
    let sent = tokio::spawn(async move { send(&mut sender, request).await });
    while endpoint.log().ran() == 0 {
        tokio::task::yield_now().await;
    }
    let log = endpoint.log();
    endpoint.set_faults(Faults::default());
    endpoint.stop().await;
    assert_eq!(answer(sent.await.expect("task")).0, StatusCode::OK);
    assert_eq!(log.count(Outcome::Done), 1);
}
