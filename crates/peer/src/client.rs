//! Outgoing connections.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use derive_more::{Display, Error, From};
use futures_util::future::LocalBoxFuture;
use futures_util::io::{BufReader, BufWriter};
use futures_util::{AsyncReadExt as _, FutureExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, error::Elapsed, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt as _;
use wagtail_progress::Progress;
use wagtail_types::Bytes;

use crate::handshake::{self, HandshakeError, Purpose};
use crate::link::Link;
use crate::peer_capnp::peer;
use crate::settings::{Limits, LinkState};
use crate::worker::{Remote, Shared};

/// Error of opening a connection.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectError {
    /// The host has no known address.
    #[display("the host has no known address")]
    NoAddress,
    /// The backoff after a failed attempt has not passed.
    #[display("the last connection attempt failed recently; waiting before the next")]
    Backoff,
    /// The TCP connection failed.
    Io(io::Error),
    /// Connection and handshake did not complete within the connect timeout.
    Timeout(Elapsed),
    /// The hello was malformed, the proof was wrong, or reading or writing failed.
    Handshake(HandshakeError),
    /// A host with another name answered at the address.
    #[display("a host with another name answered at the address")]
    WrongHost,
}

/// Signals that a connection has closed.
#[derive(Debug, Clone)]
pub(crate) struct CloseSignal(watch::Receiver<()>);

impl CloseSignal {
    pub(crate) fn new(closed: watch::Receiver<()>) -> Self {
        Self(closed)
    }

    /// Waits until the connection has closed.
    pub(crate) async fn wait(mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// The interface to an open connection. It works while the future that `start` returns with it
/// runs; that future ends when the connection breaks.
pub(crate) trait Channel: Sized {
    const PURPOSE: Purpose;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>);
}

impl Channel for peer::Client {
    const PURPOSE: Purpose = Purpose::Relay;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>) {
        let network = network(link, Side::Client, limits.message_size);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        let running = system.map(|_| ()).boxed_local();
        (client, running)
    }
}

/// A connection to another host.
pub(crate) struct Connection<C> {
    pub(crate) channel: C,
    received: Progress,
    closed: CloseSignal,
    task: AbortHandle,
    last_used: Cell<Instant>,
}

impl<C: Channel> Connection<C> {
    /// Connects to the host and performs the handshake.
    pub(crate) async fn open(shared: &Shared, remote: &Remote) -> Result<Self, ConnectError> {
        let addr = remote.addr.get().ok_or(ConnectError::NoAddress)?;
        let limits = &shared.settings.limits;
        let opening = async {
            if shared.link_state(&remote.host) == Some(LinkState::Down) {
                std::future::pending::<()>().await;
            }
            let stream = TcpStream::connect(addr).await?;
            let mut link = Link::new(stream, shared.counters.clone());
            link.set_purpose(C::PURPOSE);
            if let Some(emulation) = &shared.settings.emulation {
                link = link.with_emulation(remote.host.clone(), emulation.clone());
            }
            let (local, secret) = (shared.identity(), &shared.settings.secret);
            let accepted = handshake::connect(&mut link, &local, C::PURPOSE, secret).await?;
            if accepted.host != remote.host {
                return Err(ConnectError::WrongHost);
            }
            Ok(link)
        };
        let link = timeout(limits.connect_timeout, opening).await??;
        Ok(Self::start(link, limits))
    }

    fn start(link: Link, limits: &Limits) -> Self {
        let received = link.received().clone();
        let (channel, running) = C::start(link, limits);
        let (close_guard, closed) = watch::channel(());
        let task = tokio::task::spawn_local(async move {
            let _close_guard = close_guard;
            running.await;
        });
        Self {
            channel,
            received,
            closed: CloseSignal(closed),
            task: task.abort_handle(),
            last_used: Cell::new(Instant::now()),
        }
    }
}

impl<C> Connection<C> {
    /// Returns the signal that the connection has closed.
    pub(crate) fn closed(&self) -> CloseSignal {
        self.closed.clone()
    }

    /// Returns the record of when bytes were last received.
    pub(crate) fn received(&self) -> &Progress {
        &self.received
    }

    /// Returns whether the connection can still be used.
    pub(crate) fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Records that the connection is in use now.
    pub(crate) fn touch(&self) {
        self.last_used.set(Instant::now());
    }

    /// Returns the time since the connection was last used.
    pub(crate) fn idle_time(&self) -> Duration {
        self.last_used.get().elapsed()
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.task.abort();
    }
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.close();
    }
}

/// Returns a two-party RPC network over `link`. `limit` bounds the bytes read of one message.
pub(crate) fn network<S>(
    link: S,
    side: Side,
    limit: Bytes,
) -> VatNetwork<impl futures_util::AsyncRead + Unpin>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
{
    const WORD_BYTES: usize = 8;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit.as_usize() / WORD_BYTES));
    let (read, write) = link.compat().split();
    let (read, write) = (BufReader::new(read), BufWriter::new(write));
    VatNetwork::new(read, write, side, options)
}
