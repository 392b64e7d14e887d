//! Connections from callers.

mod framing;
mod pipeline;

use std::convert::Infallible;
use std::net::SocketAddr;
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
use tokio::sync::{mpsc, watch};

use crate::host::{Core, Front};
use crate::request::Body;
use crate::server::pipeline::{AHEAD_MAX, Bounds, Left, Line, Source, deliver};
use crate::stop::Stage;

/// The pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The time for which a closed connection is read until the caller closes it too; above a way
/// there and back and a lost packet.
const LINGER: Duration = Duration::from_millis(800);
/// The idle time of connections before a configuration gives one.
const IDLE_FIRST: Duration = Duration::from_secs(15);
/// The least buffer for a request's head; the library's own bound.
const HEAD_MIN: usize = 8_192;
/// Bounds of connections before a configuration gives them: common defaults of servers.
const BOUNDS_FIRST: Bounds = Bounds {
    head: 16_384,
    head_time: Duration::from_secs(5),
    idle: IDLE_FIRST,
};

/// Accepts callers until the host closes its doors, and hands each connection on.
pub(crate) async fn accept(
    front: Rc<Front>,
    listener: TcpListener,
    mut stage: watch::Receiver<Stage>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = stage.wait_for(|s| *s == Stage::Closed) => {
                drop(changed);
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(converse(front.clone(), stream, stage.clone()));
            }
            Err(e) => {
                warn!(front.core.log, "cannot accept a connection"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(front: Rc<Front>, stream: TcpStream, stage: watch::Receiver<Stage>) {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    let limits = front.core.steer.borrow().catalog().map(|c| c.limits());
    let bounds = limits.map_or(BOUNDS_FIRST, |l| Bounds {
        head: l.header.as_usize().max(HEAD_MIN),
        head_time: l.header_time,
        idle: l.idle,
    });
    let leaving = *stage.borrow() != Stage::Open;
    let line = Line::new(leaving, front.core.now());
    let (turns, answers) = mpsc::channel(AHEAD_MAX);
    let (read, mut write) = stream.into_split();
    let mut source = Source {
        front: front.clone(),
        line: line.clone(),
        bounds,
        read,
        ahead: BytesMut::new(),
    };
    let whole = tokio::select! {
        Left = source.run(turns, stage.clone()) => false,
        whole = deliver(&front, &line, answers, &mut write) => whole,
    };
    if whole {
        finish(source.read, write).await;
    }
}

/// Closes a connection so that the caller gets all of the last answer: bytes that it sent behind
/// are read first, as closing over them would reset the connection.
async fn finish(mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
    if write.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1_024];
    let drain = async { while read.read(&mut rest).await.is_ok_and(|size| size > 0) {} };
    // A caller that keeps its side open has had the time to read.
    let _ = tokio::time::timeout(LINGER, drain).await;
}

/// Binds a listener.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves small requests of one kind until the host closes.
pub(crate) async fn serve_small<F>(core: Rc<Core>, listener: TcpListener, answer: F)
where
    F: Fn(&http::request::Parts) -> Response<Body> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(core.log, "cannot accept a connection"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: http::Request<Incoming>| {
                let (head, _) = request.into_parts();
                let response = answer(&head);
                async move { Ok::<_, Infallible>(response) }
            });
            // A peer that leaves midway needs no answer.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_FIRST)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
