//! Accepts connections and controls the life cycle of an endpoint.

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
use super::handler::State;
use super::log::Log;
use super::settings::Settings;

/// A running endpoint, which ends when this handle is dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Returns the address that the endpoint listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns when the endpoint started; times in its log are relative to this.
    pub fn started(&self) -> std::time::Instant {
        self.state.started
    }

    /// Returns a handle to the log of requests.
    pub fn log(&self) -> Log {
        self.state.log.clone()
    }

    /// Returns a copy of the fault table.
    pub fn faults(&self) -> Faults {
        self.state.faults.borrow().clone()
    }

    /// Replaces the fault table.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.send_replace(faults);
    }

    /// Returns the highest number of requests that ran at once, without those waiting for a slot.
    pub fn peak(&self) -> usize {
        self.state.peak.load(Ordering::Relaxed)
    }

    /// Returns the highest number of connections that were open at once.
    pub fn peak_connections(&self) -> usize {
        self.state.peak_connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and waits until running requests have finished.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        let _ = (&mut self.task).await;
    }

    /// Ends at once without answering requests in flight, as a crash would.
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
/// Returns an error if the address cannot be bound.
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
            let closed = || io::Error::other("connection closed by the fault table");
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
