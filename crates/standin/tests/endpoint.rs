//! The endpoint stand-in over real sockets: its answers, each of its faults, shutdown.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wagtail_standin::endpoint::{
    self, AnswerError, Fault, Faults, Outcome, Report, Running, Settings, check_answer, header,
};

type Connection = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
enum Received {
    Answer(StatusCode, HeaderMap, Bytes),
    CutBody,
    Closed,
}

async fn connect(endpoint: &Running) -> Connection {
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

async fn send(sender: &mut Connection, request: Request<Full<Bytes>>) -> Received {
    let Ok(response) = sender.send_request(request).await else {
        return Received::Closed;
    };
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => Received::Answer(head.status, head.headers, body.to_bytes()),
        Err(_) => Received::CutBody,
    }
}

async fn post(endpoint: &Running, id: &str) -> Received {
    let mut sender = connect(endpoint).await;
    let body = Full::new(Bytes::from_static(b"dossier"));
    send(
        &mut sender,
        request("/lookup/1", id).body(body).expect("request"),
    )
    .await
}

async fn start_endpoint() -> Running {
    endpoint::start(Settings::default()).await.expect("starts")
}

fn answer(received: Received) -> (StatusCode, HeaderMap, Bytes) {
    match received {
        Received::Answer(status, headers, body) => (status, headers, body),
        other => panic!("no answer: {other:?}"),
    }
}

#[tokio::test]
async fn answers_carry_the_request_id_and_a_digest() {
    let endpoint = start_endpoint().await;
    let (status, headers, body) = answer(post(&endpoint, "r-1").await);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(check_answer("r-1", &headers, &body), Ok(()));
    assert_eq!(
        check_answer("r-2", &headers, &body),
        Err(AnswerError::Crossed)
    );
    assert_eq!(
        check_answer("r-1", &headers, &body[..90]),
        Err(AnswerError::DigestMismatch)
    );

    let entries = endpoint.log().entries();
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].team.as_deref(), Some("dyfrdwy-lead"));
    assert_eq!(entries[0].outcome, Outcome::Done);
    assert!(entries[0].headers.starts_with(b"host: endpoint\n"));
}

#[tokio::test]
async fn each_fault_causes_its_failure() {
    // Fault, what the caller receives, whether the request ran.
    let cases = [
        (Fault::Late { ms: 1 }, "complete", true),
        (Fault::Crossed, "crossed", true),
        (Fault::CutLength, "cut", true),
        (Fault::CutChunked, "cut", true),
        (Fault::Refuse, "not-run", false),
        (Fault::FailAfterRun, "500", true),
        (Fault::CloseBefore, "closed", false),
        (Fault::CloseAfter, "closed", true),
    ];
    for (fault, expected, ran) in cases {
        let endpoint = start_endpoint().await;
        endpoint.set_faults(Faults::every(fault));
        let received = match post(&endpoint, "r-1").await {
            Received::Closed => "closed",
            Received::CutBody => "cut",
            Received::Answer(_, headers, _) if headers.contains_key(header::VERDICT) => "not-run",
            Received::Answer(StatusCode::INTERNAL_SERVER_ERROR, ..) => "500",
            Received::Answer(_, headers, body) => match check_answer("r-1", &headers, &body) {
                Ok(()) => "complete",
                Err(AnswerError::Crossed) => "crossed",
                Err(error) => panic!("{fault:?}: {error}"),
            },
        };
        assert_eq!(received, expected, "{fault:?}");
        assert_eq!(endpoint.log().ran() == 1, ran, "{fault:?}");
    }
}

#[tokio::test]
async fn a_full_endpoint_sheds_with_verdict_not_run() {
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
        let received = post(&endpoint, "r-2").await;
        endpoint.set_faults(Faults::default());
        received
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
async fn a_client_disconnect_is_logged_as_cancelled() {
    let endpoint = start_endpoint().await;
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
    let endpoint = start_endpoint().await;
    endpoint.set_faults(Faults {
        hold: true,
        ..Faults::default()
    });
    for (left, verdict) in [("0", "not-run"), ("1", "may-have-run")] {
        let mut sender = connect(&endpoint).await;
        let request = request("/submit", left).header(header::DEADLINE, left);
        let request = request.body(Full::default()).expect("request");
        let (_, headers, _) = answer(send(&mut sender, request).await);
        // A deadline of 1 ms may pass before the request starts to run.
        let ran = endpoint.log().entries().last().is_some_and(|e| e.ran);
        let expected = if ran { verdict } else { "not-run" };
        assert_eq!(headers[header::VERDICT], expected);
    }
}

#[tokio::test]
async fn load_reports_and_leaving_follow_the_fault_table() {
    let reports = [
        (Report::Honest, Some("0/3")),
        (Report::Fixed { inflight: 2 }, Some("2/3")),
        (Report::Lagging { ms: 3_600_000 }, Some("0/3")),
        (Report::Stopped, None),
    ];
    for (report, expected) in reports {
        let endpoint = start_endpoint().await;
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
async fn an_invalid_fault_table_is_rejected_without_effect() {
    let endpoint = start_endpoint().await;
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
async fn stop_waits_for_the_running_request() {
    let endpoint = start_endpoint().await;
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
