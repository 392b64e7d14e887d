//! An HTTP server with limits on connections and a graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::ConnectInfo;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;

/// Also how long a connection may be idle between requests.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Limits on the memory that connections can use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Concurrent connections; further ones wait in the listen queue.
    pub(crate) connections: usize,
    /// Longest request head, in bytes.
    pub(crate) header: usize,
}

/// A running HTTP server.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    abort: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    /// Creates a server of `router` on a bound listener. The future accepts connections until
    /// [`Server::stop`].
    pub(crate) fn new(
        listener: TcpListener,
        router: Router,
        limits: Limits,
    ) -> std::io::Result<(Self, impl Future<Output = ()> + Send + use<>)> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let tasks = TaskTracker::new();
        let abort = CancellationToken::new();
        let acceptor = Acceptor {
            router,
            limits,
            stopped,
            abort: abort.clone(),
            tasks: tasks.clone(),
        };
        let accept = tasks.track_future(acceptor.run(listener));
        let server = Self {
            addr,
            stop,
            abort,
            tasks,
        };
        Ok((server, accept))
    }

    /// Returns the bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, closes idle ones and waits for running requests.
    pub(crate) async fn stop(&self) {
        self.stop.send_replace(true);
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Server {
    /// Closes every connection at once.
    pub(crate) fn abort(&self) {
        self.abort.cancel();
        self.stop.send_replace(true);
    }
}

struct Acceptor {
    router: Router,
    limits: Limits,
    stopped: watch::Receiver<bool>,
    abort: CancellationToken,
    tasks: TaskTracker,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        let slots = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.stopped.wait_for(|stopped| *stopped) => return,
            };
            let Ok((stream, from)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let serving = self.serve(stream, from);
            let abort = self.abort.clone();
            self.tasks.spawn(async move {
                abort.run_until_cancelled(serving).await;
                drop(slot);
            });
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr) -> impl Future<Output = ()> + use<> {
        let router = self.router.clone();
        let mut stopped = self.stopped.clone();
        let buffer = self.limits.header.max(MIN_BUFFER_BYTES);
        async move {
            if stream.set_nodelay(true).is_err() {
                return;
            }
            let service = router.map_request(move |mut request: http::Request<_>| {
                request.extensions_mut().insert(ConnectInfo(from));
                request
            });
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .max_buf_size(buffer)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
            tokio::pin!(conn);
            let ended = tokio::select! {
                ended = conn.as_mut() => Some(ended),
                _ = stopped.wait_for(|stopped| *stopped) => None,
            };
            if ended.is_none() {
                conn.as_mut().graceful_shutdown();
                // An error means that the caller broke its own connection; nothing is left to do.
                let _ = conn.await;
            }
        }
    }
}
