//! The client of a caller: sends requests with a key and checks the responses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::HeaderMap;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use wagtail_standin::endpoint::{check_answer, header};

const KEY_HEADER: &str = "x-wagtail-key";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const REASON_HEADER: &str = "x-wagtail-reason";
const NOT_RUN: &str = "not-run";
const MAY_HAVE_RUN: &str = "may-have-run";

/// One request of a caller to a service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The HTTP method; GET in [`Call::read`] and POST in [`Call::submit`].
    pub method: Method,
    /// The name of the service.
    pub service: String,
    /// The path at the endpoint, with the leading slash.
    pub path: String,
    /// The key of the caller's team.
    pub key: Option<String>,
    /// The value of the `idempotency-key` header; `None` omits the header.
    pub idempotency_key: Option<String>,
    /// The time within which the caller wants the answer.
    pub deadline: Duration,
    /// The request body; empty in [`Call::read`].
    pub body: Bytes,
}

impl Call {
    /// Returns a GET request for `/read` with a deadline of 5 s.
    pub fn read(service: &str, key: &str) -> Self {
        Self {
            method: Method::GET,
            service: service.to_owned(),
            path: "/read".to_owned(),
            key: Some(key.to_owned()),
            idempotency_key: None,
            deadline: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }

    /// Returns a POST request to `/submit` with a deadline of 5 s.
    pub fn submit(service: &str, key: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/submit".to_owned(),
            body: Bytes::copy_from_slice(body.as_bytes()),
            ..Self::read(service, key)
        }
    }

    /// Returns the same call with an idempotency key.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }
}

/// The outcome of a call as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallOutcome {
    /// The complete answer to this request.
    #[display("answered")]
    Answer,
    /// A refusal with the verdict that the request has not run.
    #[display("not run ({reason})")]
    NotRun {
        /// The value of the `x-wagtail-reason` header; empty if it is missing.
        reason: String,
    },
    /// A failure with the verdict that the request may have run.
    #[display("may have run ({reason})")]
    MayHaveRun {
        /// The cause of the failure.
        reason: String,
    },
    /// The entry host could not be reached; nothing was sent.
    #[display("unreached ({reason})")]
    Unreached {
        /// The error of the client.
        reason: String,
    },
    /// No response from the entry host, or an incomplete one.
    #[display("no whole answer ({reason})")]
    Lost {
        /// The error of the client.
        reason: String,
    },
    /// A response that breaks a promise.
    #[display("wrong answer ({reason})")]
    Wrong {
        /// What is wrong with the response.
        reason: String,
    },
}

/// The outcome of a request, with the id under which endpoints log it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The request id that was sent; a repetition has the id of the first attempt.
    pub id: String,
    /// The outcome, derived from the response or from the error that prevented one.
    pub outcome: CallOutcome,
    /// The response body; empty if none was received.
    pub body: Bytes,
}

/// A host's API could not be reached or returned an unexpected response.
#[derive(Debug, Display, Error)]
#[display("{addr}{path}: {reason}")]
pub struct ClientError {
    addr: SocketAddr,
    path: String,
    reason: String,
}

/// An HTTP client that keeps connections to several entry hosts.
#[derive(Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    next: AtomicU64,
    name: String,
}

impl Caller {
    /// Creates a caller whose request ids start with `name`.
    pub fn new(name: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            client,
            next: AtomicU64::new(0),
            name: name.to_owned(),
        }
    }

    /// Sends one request to an entry host under a new request id.
    pub async fn call(&self, addr: SocketAddr, call: &Call) -> Reply {
        self.call_with_id(addr, call, self.next_id()).await
    }

    /// Returns a new request id.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.name)
    }

    /// Sends one request under a given request id; a repetition uses the id of the first attempt.
    pub async fn call_with_id(&self, addr: SocketAddr, call: &Call, id: String) -> Reply {
        let uri = format!("http://{addr}/svc/{}{}", call.service, call.path);
        self.send_to_uri(uri, call, id).await
    }

    /// Sends one request directly to an endpoint, without an entry host.
    pub async fn call_direct(&self, addr: SocketAddr, call: &Call) -> Reply {
        let uri = format!("http://{addr}{}", call.path);
        self.send_to_uri(uri, call, self.next_id()).await
    }

    async fn send_to_uri(&self, uri: String, call: &Call, id: String) -> Reply {
        let timeout = call.deadline + Duration::from_secs(2);
        let (outcome, body) = match tokio::time::timeout(timeout, self.send(uri, call, &id)).await {
            Ok(Ok((status, headers, body))) => (classify(&id, status, &headers, &body), body),
            Ok(Err(outcome)) => (outcome, Bytes::new()),
            Err(_) => (
                CallOutcome::Lost {
                    reason: "no answer by the deadline".to_owned(),
                },
                Bytes::new(),
            ),
        };
        Reply { id, outcome, body }
    }

    async fn send(
        &self,
        uri: String,
        call: &Call,
        id: &str,
    ) -> Result<(StatusCode, HeaderMap, Bytes), CallOutcome> {
        let lost = |e: &dyn std::error::Error| CallOutcome::Lost {
            reason: e.to_string(),
        };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(header::REQUEST_ID, id)
            .header(header::DEADLINE, call.deadline.as_millis().to_string());
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header(IDEMPOTENCY_HEADER, key);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|e| lost(&e))?;
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                return CallOutcome::Unreached {
                    reason: e.to_string(),
                };
            }
            lost(&e)
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| lost(&e))?.to_bytes();
        Ok((parts.status, parts.headers, body))
    }

    /// Requests JSON from an API of an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached, the status is not a success or the body cannot
    /// be parsed.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, ClientError> {
        let fail = |reason: String| ClientError {
            addr,
            path: path.to_owned(),
            reason,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .body(Full::default())
            .map_err(|e| fail(e.to_string()))?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|e| fail(e.to_string()))?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| fail(e.to_string()))?;
        if !status.is_success() {
            return Err(fail(format!("status {status}")));
        }
        serde_json::from_slice(&body.to_bytes()).map_err(|e| fail(e.to_string()))
    }
}

fn classify(id: &str, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> CallOutcome {
    let get = |name| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let reason = get(REASON_HEADER);
    match get(header::VERDICT).as_str() {
        NOT_RUN => CallOutcome::NotRun { reason },
        MAY_HAVE_RUN => CallOutcome::MayHaveRun { reason },
        _ if status.is_success() => match check_answer(id, headers, body) {
            Ok(()) => CallOutcome::Answer,
            Err(wrong) => CallOutcome::Wrong {
                reason: wrong.to_string(),
            },
        },
        _ => CallOutcome::Wrong {
            reason: format!("status {status} without a verdict"),
        },
    }
}
