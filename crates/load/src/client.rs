//! A caller: sends requests with its key and checks what comes back.

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

const KEY: &str = "x-wagtail-key";
const IDEMPOTENCY: &str = "idempotency-key";
const REASON: &str = "x-wagtail-reason";
const NOT_RUN: &str = "not-run";
const MAY_HAVE_RUN: &str = "may-have-run";

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The service.
    pub service: String,
    /// The path at the endpoint, with its slash.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency: Option<String>,
    /// The time that the caller gives.
    pub deadline: Duration,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// A read with a key.
    pub fn read(service: &str, key: &str) -> Self {
        Self {
            method: Method::GET,
            service: service.to_owned(),
            path: "/read".to_owned(),
            key: Some(key.to_owned()),
            idempotency: None,
            deadline: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }

    /// A submission with a key.
    pub fn submit(service: &str, key: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/submit".to_owned(),
            body: Bytes::copy_from_slice(body.as_bytes()),
            ..Self::read(service, key)
        }
    }

    /// The same call under an idempotency key.
    #[must_use]
    pub fn under(mut self, key: &str) -> Self {
        self.idempotency = Some(key.to_owned());
        self
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Got {
    /// The whole answer to its own request.
    #[display("answered")]
    Answer,
    /// A refusal that says that it has not run.
    #[display("not run ({reason})")]
    NotRun {
        /// The reason.
        reason: String,
    },
    /// A failure after which it may have run.
    #[display("may have run ({reason})")]
    MayHaveRun {
        /// The cause.
        reason: String,
    },
    /// The entry host could not be reached; nothing was sent.
    #[display("unreached ({reason})")]
    Unreached {
        /// What happened.
        reason: String,
    },
    /// No answer from the entry host, or an aborted one.
    #[display("no whole answer ({reason})")]
    Lost {
        /// What happened.
        reason: String,
    },
    /// An answer that breaks a promise.
    #[display("wrong answer ({reason})")]
    Wrong {
        /// What is wrong.
        reason: String,
    },
}

/// A request's outcome with its id, by which the endpoints' logs know it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The request id.
    pub id: String,
    /// What came back.
    pub got: Got,
    /// The body.
    pub body: Bytes,
}

/// The answer of an interface was not what was asked for.
#[derive(Debug, Display, Error)]
#[display("{addr}{path}: {reason}")]
pub struct ClientError {
    addr: SocketAddr,
    path: String,
    reason: String,
}

/// A caller with connections to several entry hosts.
#[derive(Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    next: AtomicU64,
    name: String,
}

impl Caller {
    /// A caller whose request ids start with `name`.
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

    /// Sends one request to an entry host.
    pub async fn call(&self, addr: SocketAddr, call: &Call) -> Reply {
        self.call_as(addr, call, self.id()).await
    }

    /// A new request id.
    pub fn id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.name)
    }

    /// Sends one request under a request id; a repetition has the id of its first attempt.
    pub async fn call_as(&self, addr: SocketAddr, call: &Call, id: String) -> Reply {
        let uri = format!("http://{addr}/svc/{}{}", call.service, call.path);
        self.send_to(uri, call, id).await
    }

    /// Sends one request to an endpoint, past every entry host.
    pub async fn call_direct(&self, addr: SocketAddr, call: &Call) -> Reply {
        let uri = format!("http://{addr}{}", call.path);
        self.send_to(uri, call, self.id()).await
    }

    async fn send_to(&self, uri: String, call: &Call, id: String) -> Reply {
        let patience = call.deadline + Duration::from_secs(2);
        let (got, body) = match tokio::time::timeout(patience, self.send(uri, call, &id)).await {
            Ok(Ok((status, headers, body))) => (judge(&id, status, &headers, &body), body),
            Ok(Err(got)) => (got, Bytes::new()),
            Err(_) => (
                Got::Lost {
                    reason: "no answer by the deadline".to_owned(),
                },
                Bytes::new(),
            ),
        };
        Reply { id, got, body }
    }

    async fn send(
        &self,
        uri: String,
        call: &Call,
        id: &str,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Got> {
        let lost = |e: &dyn std::error::Error| Got::Lost {
            reason: e.to_string(),
        };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(header::REQUEST_ID, id)
            .header(header::DEADLINE, call.deadline.as_millis().to_string());
        if let Some(key) = &call.key {
            request = request.header(KEY, key);
        }
        if let Some(key) = &call.idempotency {
            request = request.header(IDEMPOTENCY, key);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|e| lost(&e))?;
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                return Got::Unreached {
                    reason: e.to_string(),
                };
            }
            lost(&e)
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| lost(&e))?.to_bytes();
        Ok((parts.status, parts.headers, body))
    }

    /// Reads JSON from an interface of an entry host.
    ///
    /// # Errors
    ///
    /// Fails where the host cannot be reached or answers otherwise.
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

fn judge(id: &str, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Got {
    let get = |name| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let reason = get(REASON);
    match get(header::VERDICT).as_str() {
        NOT_RUN => Got::NotRun { reason },
        MAY_HAVE_RUN => Got::MayHaveRun { reason },
        _ if status.is_success() => match check_answer(id, headers, body) {
            Ok(()) => Got::Answer,
            Err(wrong) => Got::Wrong {
                reason: wrong.to_string(),
            },
        },
        _ => Got::Wrong {
            reason: format!("status {status} without a verdict"),
        },
    }
}
