//! Accepts connections from callers and serves them.

mod framing;
mod pipeline;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use wagtail_steer::HostStage;

use crate::host::{Core, RequestContext};
use crate::request::Body;
use crate::server::pipeline::{
    Bounds, CallerLeft, ConnectionState, PIPELINE_MAX, RequestReader, write_responses,
};
use crate::stop::OpenConnection;
use crate::work::{Work, contain};

/// The pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The longest time without a byte for which a half-closed connection is read until the caller closes its
/// side too; longer than a round trip and one lost packet.
const LINGER_IDLE: Duration = Duration::from_millis(800);
/// The same for one on which bytes arrive, such as the rest of a body that was refused: a caller may read its
/// response only when it has sent all.
const LINGER_MAX: Duration = Duration::from_secs(15);
/// The size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 16 << 10;
/// The longest idle time of callers' connections before a configuration sets one, and always the
/// time limit for request heads on admin connections.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// The smallest buffer for a request head in bytes; the HTTP library accepts no smaller one.
const HEAD_MIN_BYTES: usize = 8_192;
/// The bounds of connections before a configuration sets them; common defaults of HTTP servers.
const DEFAULT_BOUNDS: Bounds = Bounds {
    head: 16_384,
    head_time: Duration::from_secs(5),
    idle: DEFAULT_IDLE,
};

/// Accepts connections until the shutdown reaches [`HostStage::Closed`], and serves each in its own
/// task.
pub(crate) async fn accept(context: Rc<RequestContext>, listener: Rc<TcpListener>) {
    let mut closed = pin!(context.core.stop.entered(HostStage::Closed));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let context = context.clone();
                let open = OpenConnection::new(context.core.clone());
                tokio::task::spawn_local(async move {
                    let core = context.core.clone();
                    let connection = handle_connection(context, stream);
                    contain(&core, Work::Connection, connection).await;
                    drop(open);
                });
            }
            Err(e) => {
                warn!(context.core.log, "accepting a connection failed; retrying after a pause";
                    "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns the bounds of connections under the configuration in force.
fn bounds(core: &Core) -> Bounds {
    let limits = core.steer.borrow().catalog().map(|c| c.limits());
    limits.map_or(DEFAULT_BOUNDS, |l| Bounds {
        head: l.header.as_usize().max(HEAD_MIN_BYTES),
        head_time: l.header_time,
        idle: l.idle,
    })
}

async fn handle_connection(context: Rc<RequestContext>, stream: TcpStream) {
    // A failure only makes responses slower.
    let _ = stream.set_nodelay(true);
    let stages = context.core.stop.stages();
    let connection = ConnectionState::new(*stages.borrow(), context.core.now());
    let (pending, responses) = mpsc::channel(PIPELINE_MAX);
    let (read, mut write) = stream.into_split();
    let mut reader = RequestReader {
        context: context.clone(),
        connection: connection.clone(),
        bounds: bounds(&context.core),
        read,
        buffer: BytesMut::new(),
    };
    let all_sent = tokio::select! {
        CallerLeft = reader.run(pending, stages) => false,
        all_sent = write_responses(&context, &connection, responses, &mut write) => all_sent,
    };
    if all_sent {
        close_gracefully(reader.read, write).await;
    }
}

/// Closes a connection so that the caller receives all of the last response: bytes that the caller
/// has still sent are read first, because closing with unread bytes would reset the connection.
async fn close_gracefully(mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
    if write.shutdown().await.is_err() {
        return;
    }
    let mut discarded = vec![0; DISCARD_BYTES];
    let drain = async {
        // A caller that keeps its side open until the timeout has had enough time to read the response.
        while let Ok(Ok(1..)) = tokio::time::timeout(LINGER_IDLE, read.read(&mut discarded)).await {
        }
    };
    let _ = tokio::time::timeout(LINGER_MAX, drain).await;
}

/// Binds a TCP listener to `addr`.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<Rc<TcpListener>> {
    TcpListener::bind(addr).await.map(Rc::new)
}

/// Serves readiness, directory or metrics requests until the process ends; `answer` builds the
/// response from the request head.
pub(crate) async fn serve_admin<F>(core: Rc<Core>, listener: Rc<TcpListener>, answer: Rc<F>)
where
    F: Fn(&http::request::Parts) -> Response<Body> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(core.log, "accepting a connection failed; retrying after a pause";
                    "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (core, answer) = (core.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: http::Request<Incoming>| {
                let (head, _) = request.into_parts();
                let response = answer(&head);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            // A client that disconnects early needs no response.
            let _ = contain(&core, Work::AdminConnection, connection).await;
        });
    }
}
