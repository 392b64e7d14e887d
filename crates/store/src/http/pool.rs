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
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{HttpSettings, PlatformError};

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
pub(super) struct Pool {
    settings: HttpSettings,
    idle: Mutex<Vec<Sender>>,
}

impl Pool {
    pub(super) fn new(settings: HttpSettings) -> Self {
        let idle = Mutex::default();
        Self { settings, idle }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.settings.addr
    }

    /// Makes a call within the time limit. A connection whose call failed is closed.
    pub(super) async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        match timeout(self.settings.call, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::unknown("no answer within the call timeout")),
        }
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        while let Some(sender) = self.take_idle() {
            match self.send(sender, request).await {
                SendResult::Answer(sender, response) => return self.finish(sender, response).await,
                SendResult::Lost(error) => return Err(error),
                SendResult::Unsent(unsent) => request = unsent,
            }
        }
        let sender = self.connect().await?;
        match self.send(sender, request).await {
            SendResult::Answer(sender, response) => self.finish(sender, response).await,
            SendResult::Lost(error) => Err(error),
            SendResult::Unsent(_) => Err(PlatformError::unavailable(
                "the new connection closed before the request was sent",
            )),
        }
    }

    async fn send(&self, mut sender: Sender, request: Request<Full<Bytes>>) -> SendResult {
        match sender.try_send_request(request).await {
            Ok(response) => SendResult::Answer(sender, response),
            Err(mut error) => match error.take_message() {
                Some(request) => SendResult::Unsent(request),
                None => SendResult::Lost(PlatformError::unknown(error.into_error())),
            },
        }
    }

    async fn finish(
        &self,
        sender: Sender,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.settings.max_answer).collect().await;
        let body = body.map_err(PlatformError::unknown)?.to_bytes();
        self.return_idle(sender);
        Ok((head.status, body))
    }

    async fn connect(&self) -> Result<Sender, PlatformError> {
        let stream = timeout(
            self.settings.connect_timeout,
            TcpStream::connect(self.settings.addr),
        );
        let stream = match stream.await {
            Ok(stream) => stream.map_err(PlatformError::unavailable)?,
            Err(_) => {
                return Err(PlatformError::unavailable(
                    "no connection within the connect timeout",
                ));
            }
        };
        stream
            .set_nodelay(true)
            .map_err(PlatformError::unavailable)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(PlatformError::unavailable)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn return_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.settings.max_idle && !sender.is_closed() {
            idle.push(sender);
        }
    }
}

/// Tells what happened to a request.
enum SendResult {
    /// The head of an answer arrived.
    Answer(Sender, Response<Incoming>),
    /// The request was sent at least in part, and no answer came.
    Lost(PlatformError),
    /// No byte of the request was sent.
    Unsent(Request<Full<Bytes>>),
}
