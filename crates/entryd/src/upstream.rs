//! HTTP connections to endpoints.
//!
//! A connection carries one request at a time. It returns to the idle list only after a complete
//! response, so that one on which a request timed out or failed is never used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::BoxError;
use axum::body::Body;
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until, timeout, timeout_at};
use wagtail_types::{Cause, Reason, Verdict};

type Sender = SendRequest<Body>;
type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>;

/// Retry delay for callers after a connection to an endpoint failed.
const RETRY_AFTER_CONNECT: Duration = Duration::from_millis(500);

/// Idle connections to every endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Upstreams {
    idle: Idle,
    connect_timeout: Duration,
}

impl Upstreams {
    /// Creates an empty pool; `connect_timeout` applies to each new connection.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Idle::default(),
            connect_timeout,
        }
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns `not-run` if no connection could be made; otherwise `may-have-run`.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        left: Duration,
    ) -> Result<Response<Body>, Verdict> {
        let deadline = Instant::now() + left;
        let mut request = request;
        loop {
            let checkout = timeout_at(deadline, self.checkout(addr)).await;
            let (mut sender, reused) = checkout.unwrap_or(Err(deadline_passed()))?;
            match timeout_at(deadline, sender.try_send_request(request)).await {
                Err(_) => return Err(Verdict::may_have_run(Cause::Timeout)),
                Ok(Ok(response)) => return Ok(self.wrap(addr, sender, response, deadline)),
                Ok(Err(mut err)) => match err.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(connect_failed()),
                    None => return Err(Verdict::may_have_run(cause(err.error()))),
                },
            }
        }
    }

    /// Drops idle connections to addresses for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        lock(&self.idle).retain(|addr, _| keep(addr));
    }

    async fn checkout(&self, addr: SocketAddr) -> Result<(Sender, bool), Verdict> {
        while let Some(mut sender) = self.take_idle(addr) {
            if sender.ready().await.is_ok() {
                return Ok((sender, true));
            }
        }
        let connected = timeout(self.connect_timeout, connect(addr)).await;
        match connected {
            Ok(Ok(sender)) => Ok((sender, false)),
            Ok(Err(_)) | Err(_) => Err(connect_failed()),
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&addr)?;
        while let Some(sender) = list.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn wrap(
        &self,
        addr: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Response<Body> {
        let check_in = CheckIn {
            addr,
            sender,
            idle: self.idle.clone(),
        };
        let expiry = Box::pin(sleep_until(deadline));
        response.map(|body| {
            Body::new(ResponseBody {
                body,
                expiry,
                check_in: Some(check_in),
            })
        })
    }
}

fn lock(idle: &Idle) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Sender>>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

fn deadline_passed() -> Verdict {
    Verdict::not_run(Reason::DeadlinePassed, None)
}

fn connect_failed() -> Verdict {
    Verdict::not_run(Reason::ConnectFailed, RETRY_AFTER_CONNECT)
}

fn cause(err: &hyper::Error) -> Cause {
    if err.is_parse() || err.is_incomplete_message() {
        Cause::BadAnswer
    } else {
        Cause::Broken
    }
}

async fn connect(addr: SocketAddr) -> Result<Sender, BoxError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // A request in flight gets the error from its `Sender` or its response body.
        let _ = conn.await;
    });
    Ok(sender)
}

/// A connection in use and the idle list that it returns to.
#[derive(Debug)]
struct CheckIn {
    addr: SocketAddr,
    sender: Sender,
    idle: Idle,
}

/// A response body; returns its connection to the idle list after the last byte.
#[derive(Debug)]
struct ResponseBody {
    body: Incoming,
    expiry: Pin<Box<Sleep>>,
    check_in: Option<CheckIn>,
}

impl ResponseBody {
    fn finish(&mut self) {
        if let Some(CheckIn { addr, sender, idle }) = self.check_in.take()
            && !sender.is_closed()
        {
            lock(&idle).entry(addr).or_default().push(sender);
        }
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.expiry.as_mut().poll(cx).is_ready() {
            self.check_in = None;
            return Poll::Ready(Some(Err(
                "the deadline passed while the response was read".into()
            )));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx)).map(|f| f.map_err(Into::into));
        match &frame {
            None => self.finish(),
            Some(Err(_)) => self.check_in = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.finish(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // An empty body may never be polled, but is complete.
        if self.body.is_end_stream() {
            self.finish();
        }
    }
}
