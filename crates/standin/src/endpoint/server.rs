//! Sockets and the life cycle of an endpoint.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::faults::Faults;
use super::log::Log;
use super::settings::Settings;
use super::work::State;

/// A running endpoint. It ends when this is dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Where the endpoint listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// When the endpoint started; the times in its log count from here.
    pub fn started(&self) -> std::time::Instant {
        self.state.started
    }

    /// The log of requests.
    pub fn log(&self) -> Log {
        self.state.log.clone()
    }

    /// The fault table as it stands.
    pub fn faults(&self) -> Faults {
        self.state.faults.borrow().clone()
    }

    /// Replaces the fault table.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.send_replace(faults);
    }

    /// The most requests that ever were in flight at once.
    pub fn peak(&self) -> usize {
        self.state.peak.load(Ordering::Relaxed)
    }

    /// The most connections that ever were open at once.
    pub fn peak_connections(&self) -> usize {
        self.state.peak_connections.load(Ordering::Relaxed)
    }

    /// Stops taking connections, lets running requests finish and ends.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        let _ = (&mut self.task).await;
    }

    /// Ends at once, as a crash would.
    pub async fn kill(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts an endpoint on the current tokio runtime.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Running> {
    let listener = TcpListener::bind(settings.listen).await?;
    let addr = listener.local_addr()?;
    let state = Arc::new(State::new(settings));
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(serve(listener, state.clone(), stopped));
    Ok(Running {
        addr,
        state,
        stop,
        task,
    })
}

async fn serve(listener: TcpListener, state: Arc<State>, stop: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let mut stopped = stop.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if connections.len() < state.settings.connections {
                    connections.spawn(connection(stream, state.clone(), stop.clone()));
                    state.peak_connections.fetch_max(connections.len(), Ordering::Relaxed);
                }
            }
            Some(_) = connections.join_next() => {}
            _ = stopped.wait_for(|stop| *stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(stream: TcpStream, state: Arc<State>, mut stop: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = state.clone().answer(request);
        async move {
            let closed = || io::Error::other("closed by the fault table");
            answer.await.ok_or_else(closed)
        }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}
