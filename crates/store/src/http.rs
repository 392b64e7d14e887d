//! A client of the platform over HTTP.

mod pool;

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, StatusCode, header};
use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    BoxFuture, Failure, Hosts, Listed, Objects, Page, PlatformError, Receipt, Row, RowKey, Scan,
    Table, Txn,
};
use pool::Pool;

/// Holds the settings of an [`HttpClient`].
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// The address that the platform listens on.
    pub addr: SocketAddr,
    /// The timeout of making a connection.
    pub connect_timeout: Duration,
    /// How long a call may go without a byte sent or received, such as while the platform works on
    /// its answer.
    pub stall_timeout: Duration,
    /// The most idle connections that are kept.
    pub max_idle: usize,
    /// The largest answer body that is read, in bytes.
    pub max_answer: usize,
}

impl HttpSettings {
    /// Creates the default settings for a platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connect_timeout: Duration::from_millis(500),
            stall_timeout: Duration::from_secs(2),
            max_idle: 4,
            max_answer: 64 * 1024 * 1024,
        }
    }
}

/// Calls the platform over HTTP/1.1 with a small pool of connections.
#[derive(Debug)]
pub struct HttpClient {
    pool: Pool,
}

impl HttpClient {
    /// Creates a client, which connects when a call needs a connection.
    pub fn new(settings: HttpSettings) -> Self {
        Self {
            pool: Pool::new(settings),
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached or the answer cannot be parsed as `T`.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let (status, answer) = read_result(self.call(Method::GET, path, Bytes::new()).await)?;
        read_result(parse(status, &answer))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.pool.addr().to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(PlatformError::not_applied)?;
        self.pool.call(request).await
    }

    async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(body).map_err(PlatformError::not_applied)?;
        let (status, answer) = self.call(Method::POST, path, body.into()).await?;
        parse(status, &answer)
    }
}

/// Parses an answer. If it cannot be parsed, the outcome of the call is unknown.
fn parse<T: DeserializeOwned>(status: StatusCode, answer: &[u8]) -> Result<T, PlatformError> {
    if status == StatusCode::OK {
        return serde_json::from_slice(answer).map_err(PlatformError::unknown);
    }
    Err(failure(status, answer))
}

fn failure(status: StatusCode, answer: &[u8]) -> PlatformError {
    match serde_json::from_slice::<Failure>(answer) {
        Ok(failure) => failure.into(),
        Err(_) if status.is_client_error() => PlatformError::not_applied(status),
        Err(_) => PlatformError::unknown(status),
    }
}

/// Turns an unknown outcome into a plain failure, since a read changes nothing.
fn read_result<T>(result: Result<T, PlatformError>) -> Result<T, PlatformError> {
    result.map_err(|error| match error {
        PlatformError::Unknown { reason } => PlatformError::Unavailable { reason },
        other => other,
    })
}

impl Table for HttpClient {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(async move { read_result(self.post_json("/table/read", key).await) })
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(async move { read_result(self.post_json("/table/scan", scan).await) })
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(self.post_json("/table/transact", txn))
    }
}

impl Objects for HttpClient {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            match self.call(Method::PUT, &path, bytes).await? {
                (StatusCode::OK, _) => Ok(()),
                (status, answer) => Err(failure(status, &answer)),
            }
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            match read_result(self.call(Method::GET, &path, Bytes::new()).await)? {
                (StatusCode::OK, bytes) => Ok(Some(bytes)),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, answer) => read_result(Err(failure(status, &answer))),
            }
        })
    }
}

impl Hosts for HttpClient {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        Box::pin(self.get_json("/hosts"))
    }
}
