//! Connections over HTTP/1.1, for endpoints and for the registry.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpSocket;

/// The time after which unacknowledged bytes end a connection, so that a peer without power or
/// behind a partition is noticed; above one retransmission between regions.
const SILENCE_MAX: Duration = Duration::from_secs(1);
/// The largest answer that [`Client`] reads.
const ANSWER_MAX: usize = 16 << 20;

/// Why a call got no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection was made; nothing was sent.
    #[display("no connection: {reason}")]
    Connect {
        /// What was seen.
        reason: String,
    },
    /// The connection failed after the call may have been sent.
    #[display("the connection failed: {reason}")]
    Broken {
        /// What was seen.
        reason: String,
    },
    /// No answer in time.
    #[display("no answer in time")]
    Timeout,
}

/// Opens a connection.
pub(crate) async fn open(
    addr: SocketAddr,
    within: Duration,
) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let failed = |e: &dyn std::fmt::Display| CallError::Connect {
        reason: e.to_string(),
    };
    let socket = TcpSocket::new_v4().map_err(|e| failed(&e))?;
    socket.set_nodelay(true).map_err(|e| failed(&e))?;
    // Only the detection of silent peers rests on this; connections work without it.
    let _unsupported = SockRef::from(&socket)
        .set_tcp_user_timeout(Some(SILENCE_MAX))
        .is_err();
    let stream = match tokio::time::timeout(within, socket.connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(failed(&e)),
        Err(_) => return Err(failed(&"timeout")),
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| failed(&e))?;
    tokio::task::spawn_local(async move {
        // The request on the connection gets the same error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// A client that keeps one connection to one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    kept: RefCell<Option<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// The longest time to open a connection; many ways there and back between regions, and short
    /// enough to notice soon that a peer is back.
    const CONNECT_MAX: Duration = Duration::from_millis(500);

    /// A client of `addr`, not yet connected.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: RefCell::new(None),
        }
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no whole answer within `within`; the connection is given up then.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        match tokio::time::timeout(within, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        let kept = self.kept.borrow_mut().take();
        let mut sender = match kept.filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => open(self.addr, Self::CONNECT_MAX).await?,
        };
        let broken = |e: &dyn std::fmt::Display| CallError::Broken {
            reason: e.to_string(),
        };
        let answer = sender.send_request(request).await.map_err(|e| broken(&e))?;
        let answer = collect(answer, ANSWER_MAX).await.map_err(|e| broken(&e))?;
        *self.kept.borrow_mut() = Some(sender);
        Ok(answer)
    }
}

/// Reads a whole answer of up to `most` bytes.
pub(crate) async fn collect(
    answer: Response<Incoming>,
    most: usize,
) -> Result<Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, most).collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}
