//! Connections from callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::host::{Core, Front};
use crate::request::{Body, serve};
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
/// The size of a request's head before a configuration gives one.
const HEAD_FIRST: usize = 16_384;

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

async fn converse(front: Rc<Front>, stream: TcpStream, mut stage: watch::Receiver<Stage>) {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    let limits = front.core.steer.borrow().catalog().map(|c| c.limits());
    let head = limits
        .map_or(HEAD_FIRST, |l| l.header.as_usize())
        .max(HEAD_MIN);
    let leaving = *stage.borrow() != Stage::Open;
    let service = service_fn(move |request: http::Request<Incoming>| {
        let answer = serve(front.clone(), request);
        Box::pin(async move { Ok::<Response<_>, Infallible>(answer.await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.map_or(IDLE_FIRST, |l| l.idle))
        .max_buf_size(head)
        .keep_alive(!leaving)
        .serve_connection(TokioIo::new(stream), service);
    if !leaving {
        tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                finish(connection, ended).await;
                return;
            }
            changed = stage.wait_for(|s| *s != Stage::Open) => drop(changed),
        }
        Pin::new(&mut connection).graceful_shutdown();
    }
    let ended = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    finish(connection, ended).await;
}

/// Closes a connection so that the caller gets all of the last answer: bytes that it sent behind
/// are read first, as closing over them would reset the connection.
async fn finish<S>(connection: http1::Connection<TokioIo<TcpStream>, S>, ended: hyper::Result<()>)
where
    S: HttpService<Incoming, ResBody = Body>,
{
    // The caller has left or spoke no HTTP; its requests have told their ends.
    if ended.is_err() {
        return;
    }
    let mut stream = connection.into_parts().io.into_inner();
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1_024];
    let drain = async { while stream.read(&mut rest).await.is_ok_and(|size| size > 0) {} };
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
