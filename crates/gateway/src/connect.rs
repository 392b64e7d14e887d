//! HTTP/1.1 client connections to endpoints and to the registry.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout_at};

/// The value of `TCP_USER_TIMEOUT`: a connection is closed if sent bytes stay unacknowledged for
/// this long, so that a remote end without power or behind a partition is noticed. Longer than one
/// retransmission between regions.
const USER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size in bytes of the largest head of a response, and of the part of a connection's bytes that is
/// held before it is parsed.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// The size in bytes of the largest response that a host reads from the registry.
pub const RESPONSE_MAX_BYTES: usize = 16 << 20;
/// The same for one that does not tell its length, which may have no end. The registry's pages are no
/// larger than half of that.
const UNSIZED_MAX_BYTES: usize = 2 << 20;
/// The longest time in which no byte of a body arrives; longer than two retransmissions in a row.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time from which on the rate of a transfer counts.
const RATE_GRACE: Duration = Duration::from_secs(2);
/// The rate below which a transfer is given up, as a new connection may be faster.
const RATE_MIN_BYTES_PER_S: f64 = 65_536.0;
/// The number of times that the limits on a transfer are doubled at most.
const PATIENCE_MAX: u32 = 6;

/// The reason why a call got no response.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[display("no connection: {reason}")]
    Connect {
        /// A description of the failure.
        reason: String,
        /// Whether no process listens at the address.
        refused: bool,
    },
    /// The connection failed, and the request may already have been sent.
    #[display("the connection failed: {reason}")]
    Broken {
        /// A description of the failure.
        reason: String,
    },
    /// No response began within the timeout.
    #[display("no answer in time")]
    Timeout,
    /// A response began, and its body stopped arriving or arrived too slowly.
    #[display("the answer stopped after {received} bytes")]
    Incomplete {
        /// The bytes of the body that had arrived.
        received: usize,
    },
    /// The response is longer than accepted; its body was not read, or not to its end.
    #[display("the answer is longer than {limit} bytes")]
    TooLarge {
        /// The accepted length in bytes.
        limit: usize,
    },
}

/// A connection on which requests are sent one after the other.
///
/// If it is dropped before the response was read whole, it is reset, so that bytes of the request that a broken
/// path holds up are lost and cannot arrive later.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    under_way: Rc<Cell<bool>>,
}

impl Link {
    /// Sends a request and waits until its response begins.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.under_way.set(true);
        self.sender.send_request(request).await
    }

    /// Records that the response was read whole, so that the connection may be kept or closed in order.
    pub(crate) fn finish(&self) {
        self.under_way.set(false);
    }

    /// Returns whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the remote end has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The stream of a [`Link`].
#[derive(Debug)]
struct LinkStream {
    stream: TcpStream,
    under_way: Rc<Cell<bool>>,
}

impl Drop for LinkStream {
    fn drop(&mut self) {
        if self.under_way.get() {
            // Without the option the connection closes in order.
            let _unsupported = self.stream.set_zero_linger().is_err();
        }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.under_way.get() {
            // The drop that follows resets the connection.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}

/// Opens a connection to `addr` and starts the task that drives it.
pub(crate) async fn open(addr: SocketAddr, timeout: Duration) -> Result<Link, CallError> {
    let failed = |e: &dyn std::fmt::Display| CallError::Connect {
        reason: e.to_string(),
        refused: false,
    };
    let socket = TcpSocket::new_v4().map_err(|e| failed(&e))?;
    socket.set_nodelay(true).map_err(|e| failed(&e))?;
    // Platforms without this option only lose the detection of silent remote ends; connections work
    // without it.
    let _unsupported = SockRef::from(&socket)
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .is_err();
    let stream = match tokio::time::timeout(timeout, socket.connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            return Err(CallError::Connect {
                reason: e.to_string(),
                refused: e.kind() == io::ErrorKind::ConnectionRefused,
            });
        }
        Err(_) => return Err(failed(&"timeout")),
    };
    let under_way = Rc::new(Cell::new(false));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(TokioIo::new(LinkStream {
            stream,
            under_way: under_way.clone(),
        }))
        .await
        .map_err(|e| failed(&e))?;
    tokio::task::spawn_local(async move {
        // The request in flight on the connection fails with the same error.
        let _ = connection.await;
    });
    Ok(Link { sender, under_way })
}

/// Whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// One does.
    Open,
    /// None does.
    Refused,
    /// The address could not be reached.
    Unknown,
}

/// Finds out whether a process listens at `addr`, and sends it nothing.
pub(crate) async fn probe(addr: SocketAddr, timeout: Duration) -> Reachability {
    match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Reachability::Open,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
        Ok(Err(_)) | Err(_) => Reachability::Unknown,
    }
}

/// An HTTP client for one address that keeps one idle connection for reuse.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Option<Link>>,
    /// The number of transfers that were given up since one ended. Each doubles the limits on the next,
    /// so that a body arrives at last however slow the path is.
    given_up: Cell<u32>,
}

impl Client {
    /// The timeout for opening a connection: many round trips between regions, and short enough
    /// to notice soon that the remote end is back.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Creates a client for `addr` without connecting to it.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: RefCell::new(None),
            given_up: Cell::new(0),
        }
    }

    /// Returns the address that the client connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the idle connection, so that the next call opens a new one.
    pub fn close_idle(&self) {
        self.idle.take();
    }

    /// Sends a request and reads the whole response. The time of the transfer is not limited while its
    /// body arrives at a fair rate.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the response does not begin within `timeout`, or its body stops
    /// arriving, arrives too slowly or has more than `limit` bytes; the connection is then closed.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let (link, answer) = tokio::time::timeout(timeout, self.send(request))
            .await
            .unwrap_or(Err(CallError::Timeout))?;
        let (head, body) = answer.into_parts();
        let patience = self.given_up.get();
        let body = match collect(body, limit, patience).await {
            Ok(body) => body,
            Err(e) => {
                if matches!(e, CallError::Incomplete { .. }) {
                    self.given_up.set(PATIENCE_MAX.min(patience + 1));
                }
                return Err(e);
            }
        };
        self.given_up.set(0);
        link.finish();
        *self.idle.borrow_mut() = Some(link);
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request on the idle connection or a new one, and waits until the response begins.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Link, Response<Incoming>), CallError> {
        let idle = self.idle.borrow_mut().take();
        let mut link = match idle.filter(Link::is_ready) {
            Some(link) => link,
            None => open(self.addr, Self::CONNECT_TIMEOUT).await?,
        };
        match link.send(request).await {
            Ok(answer) => Ok((link, answer)),
            Err(e) => Err(broken(&e)),
        }
    }
}

fn broken(e: &dyn std::fmt::Display) -> CallError {
    CallError::Broken {
        reason: e.to_string(),
    }
}

/// Reads a whole body of at most `limit` bytes. The limits on the time of the transfer are doubled
/// `patience` times.
async fn collect(mut body: Incoming, limit: usize, patience: u32) -> Result<Bytes, CallError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(CallError::TooLarge { limit });
    }
    let limit = match hint.exact() {
        Some(_) => limit,
        None => limit.min(UNSIZED_MAX_BYTES),
    };
    let mut bytes = BytesMut::new();
    let factor = 2_u32.pow(patience);
    let seconds_per_byte = f64::from(factor) / RATE_MIN_BYTES_PER_S;
    let start = Instant::now();
    loop {
        let earned = Duration::from_secs_f64(bytes.len() as f64 * seconds_per_byte);
        let until = (Instant::now() + STALL_TIMEOUT * factor).min(start + RATE_GRACE + earned);
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
                if bytes.len() > limit {
                    return Err(CallError::TooLarge { limit });
                }
            }
            Ok(Some(Err(e))) => return Err(broken(&e)),
            Ok(None) => return Ok(bytes.freeze()),
            Err(_) => {
                let received = bytes.len();
                return Err(CallError::Incomplete { received });
            }
        }
    }
}
