//! A small pool of HTTP/1.1 connections to one address.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::time::timeout;
use wagtail_progress::{Progress, Tracked};

use crate::{HttpSettings, PlatformError};

/// Bounds the bytes that count as sent although they wait for a slow link.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// A connection that carries one call at a time.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Progress,
}

#[derive(Debug)]
pub(super) struct Pool {
    settings: HttpSettings,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(super) fn new(settings: HttpSettings) -> Self {
        let idle = Mutex::default();
        Self { settings, idle }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.settings.addr
    }

    /// Makes a call, which is given up once it makes no progress. A connection whose call failed is
    /// closed.
    pub(super) async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        while let Some(idle) = self.take_idle() {
            match self.exchange(idle, request).await? {
                Exchanged::Answer(status, body) => return Ok((status, body)),
                Exchanged::Unsent(unsent) => request = *unsent,
            }
        }
        match self.exchange(self.connect().await?, request).await? {
            Exchanged::Answer(status, body) => Ok((status, body)),
            Exchanged::Unsent(_) => Err(PlatformError::unavailable(
                "the new connection closed before the request was sent",
            )),
        }
    }

    async fn exchange(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchanged, PlatformError> {
        let Connection {
            mut sender,
            progress,
        } = connection;
        let exchange = async {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => {
                    return match error.take_message() {
                        Some(request) => Ok(Exchanged::Unsent(Box::new(request))),
                        None => Err(PlatformError::unknown(error.into_error())),
                    };
                }
            };
            let status = response.status();
            let body = self.read_body(response).await?;
            Ok(Exchanged::Answer(status, body))
        };
        let limit = self.settings.stall_timeout;
        let exchanged = progress.until_stalled(limit, exchange).await;
        let exchanged = exchanged.map_err(PlatformError::unknown)??;
        if matches!(exchanged, Exchanged::Answer(..)) {
            self.return_idle(Connection { sender, progress });
        }
        Ok(exchanged)
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, PlatformError> {
        let body = Limited::new(response.into_body(), self.settings.max_answer);
        let body = body.collect().await.map_err(PlatformError::unknown)?;
        Ok(body.to_bytes())
    }

    async fn connect(&self) -> Result<Connection, PlatformError> {
        let addr = self.settings.addr;
        let socket = if addr.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        };
        let socket = socket.map_err(PlatformError::unavailable)?;
        socket
            .set_send_buffer_size(SEND_BUFFER_BYTES)
            .and_then(|()| socket.set_nodelay(true))
            .map_err(PlatformError::unavailable)?;
        let stream = timeout(self.settings.connect_timeout, socket.connect(addr));
        let stream = match stream.await {
            Ok(stream) => stream.map_err(PlatformError::unavailable)?,
            Err(_) => {
                return Err(PlatformError::unavailable(
                    "no connection within the connect timeout",
                ));
            }
        };
        let stream = Tracked::new(stream);
        let progress = stream.progress().clone();
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(PlatformError::unavailable)?;
        tokio::spawn(connection);
        Ok(Connection { sender, progress })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn return_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.settings.max_idle && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

/// Tells what happened to a request whose outcome is known.
enum Exchanged {
    /// The whole answer arrived.
    Answer(StatusCode, Bytes),
    /// No byte of the request was sent.
    Unsent(Box<Request<Full<Bytes>>>),
}
