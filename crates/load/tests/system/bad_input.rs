//! Malformed requests over HTTP: each one is refused with a reason, and the host keeps serving.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use wagtail_load::client::{Call, CallOutcome};

use crate::fixture::{Fixture, KEY, READS, block_on, quiet};

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: usize,
    want: (u16, &'static str),
}

const VALID_KEY: (&str, &str) = ("x-wagtail-key", KEY);

fn cases() -> Vec<Case> {
    let case = |name, path, headers, want| Case {
        name,
        method: Method::GET,
        path,
        headers,
        body: 0,
        want,
    };
    let bad = (400, "bad-request");
    vec![
        case("no such path", "/nothing", &[VALID_KEY], bad),
        case("no service", "/svc/", &[VALID_KEY], bad),
        case("malformed service", "/svc/UPPER/x", &[VALID_KEY], bad),
        case(
            "unknown service",
            "/svc/none/x",
            &[VALID_KEY],
            (404, "unknown-service"),
        ),
        case("no key", "/svc/reads/x", &[], (401, "unauthorized")),
        case(
            "unknown key",
            "/svc/reads/x",
            &[("x-wagtail-key", "who-knows-me")],
            (401, "unauthorized"),
        ),
        case(
            "short key",
            "/svc/reads/x",
            &[("x-wagtail-key", "short")],
            bad,
        ),
        case(
            "two keys",
            "/svc/reads/x",
            &[VALID_KEY, ("authorization", "Bearer another-key")],
            bad,
        ),
        case(
            "other scheme",
            "/svc/reads/x",
            &[("authorization", "Basic a2V5")],
            bad,
        ),
        case(
            "key in a header",
            "/svc/reads/x",
            &[VALID_KEY, ("x-other", KEY)],
            bad,
        ),
        case(
            "key in the path",
            "/svc/reads/key-of-the-lead-team",
            &[VALID_KEY],
            bad,
        ),
        case(
            "bad deadline",
            "/svc/reads/x",
            &[VALID_KEY, ("x-wagtail-deadline-ms", "soon")],
            bad,
        ),
        case(
            "no time",
            "/svc/reads/x",
            &[VALID_KEY, ("x-wagtail-deadline-ms", "0")],
            (504, "deadline-passed"),
        ),
        case(
            "bad idempotency key",
            "/svc/reads/x",
            &[VALID_KEY, ("idempotency-key", "a b")],
            bad,
        ),
        case(
            "bad issued key",
            "/svc/reads/x",
            &[VALID_KEY, ("idempotency-key", "wt1-x")],
            bad,
        ),
        case("bad look-up", "/v1/lookup?client=nobody", &[], bad),
        case("unknown query parameter", "/v1/lookup?x=1", &[], bad),
        case("bad count", "/v1/keys?count=-1", &[], bad),
        Case {
            method: Method::TRACE,
            ..case("trace", "/svc/reads/x", &[VALID_KEY], bad)
        },
        Case {
            method: Method::DELETE,
            ..case("wrong method", "/v1/lookup", &[], bad)
        },
        Case {
            method: Method::POST,
            body: 40_000,
            ..case("long body", "/svc/reads/x", &[VALID_KEY], bad)
        },
    ]
}

#[test]
fn bad_input_is_refused_and_nothing_reaches_an_endpoint() {
    block_on(async {
        let flags = [("max-body", "32KiB"), ("buffer-body", "16KiB")];
        let fixture = Fixture::start(&quiet(), &flags).await;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let seen = fixture.endpoint(READS).log().entries().len();
        for addr in fixture.addrs() {
            for case in cases() {
                let mut request = Request::builder()
                    .method(case.method.clone())
                    .uri(format!("http://{addr}{}", case.path));
                for (name, value) in case.headers {
                    request = request.header(*name, *value);
                }
                let body = Full::new(Bytes::from(vec![b'x'; case.body]));
                let request = request.body(body).expect("a request");
                let response = client.request(request).await.expect(case.name);
                let (status, reason) = case.want;
                let name = case.name;
                assert_eq!(
                    response.status(),
                    StatusCode::from_u16(status).expect("a status"),
                    "{name}"
                );
                assert_eq!(response.headers()["x-wagtail-verdict"], "not-run", "{name}");
                assert_eq!(response.headers()["x-wagtail-reason"], reason, "{name}");
                let body = response
                    .into_body()
                    .collect()
                    .await
                    .expect("a body")
                    .to_bytes();
                let json: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                assert_eq!(json["reason"], reason, "{name}");
            }
            let reply = fixture.caller.call(addr, &Call::read(READS, KEY)).await;
            assert_eq!(reply.outcome, CallOutcome::Answer, "the host goes on");
        }
        let reads = fixture.addrs().len();
        assert_eq!(fixture.endpoint(READS).log().entries().len() - seen, reads);
    });
}

#[test]
fn a_long_request_head_is_refused() {
    block_on(async {
        let fixture = Fixture::start(&quiet(), &[("max-header", "8KiB")]).await;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let [addr, _] = fixture.addrs();
        let request = Request::get(format!("http://{addr}/svc/reads/x"))
            .header("x-long", "x".repeat(20_000))
            .body(Full::<Bytes>::default())
            .expect("a request");
        let response = client.request(request).await.expect("an answer");
        assert_eq!(
            response.status(),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        );
    });
}
