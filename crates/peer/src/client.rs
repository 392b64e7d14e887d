//! The connecting side of a connection.

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
use wagtail_types::Bytes;

use crate::handshake::{self, HandshakeError, Purpose};
use crate::link::Link;
use crate::peer_capnp::peer;
use crate::settings::{Limits, Line};
use crate::worker::{Remote, Shared};

/// Why there is no connection.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectError {
    /// The address of the host is not known.
    #[display("the host has no known address")]
    NoAddress,
    /// An attempt failed a moment ago.
    #[display("the last attempt failed a moment ago")]
    Backoff,
    /// The connection could not be made.
    Io(io::Error),
    /// The connection took too long.
    Slow(Elapsed),
    /// The other side did not prove itself.
    Handshake(HandshakeError),
    /// Another host answered.
    #[display("another host answered")]
    WrongHost,
}

/// Tells when a connection is gone.
#[derive(Debug, Clone)]
pub(crate) struct Closed(watch::Receiver<()>);

impl Closed {
    pub(crate) fn new(closed: watch::Receiver<()>) -> Self {
        Self(closed)
    }

    pub(crate) async fn wait(mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// What a connection is used through; it lives as long as the future beside it.
pub(crate) trait Channel: Sized {
    const PURPOSE: Purpose;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>);
}

impl Channel for peer::Client {
    const PURPOSE: Purpose = Purpose::Relay;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>) {
        let network = network(link, Side::Client, limits.message);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        let running = system.map(|_| ()).boxed_local();
        (client, running)
    }
}

/// A connection to another host.
pub(crate) struct Connection<C> {
    pub(crate) channel: C,
    closed: Closed,
    task: AbortHandle,
    used: Cell<Instant>,
}

impl<C: Channel> Connection<C> {
    /// Connects and proves the secret.
    pub(crate) async fn open(shared: &Shared, remote: &Remote) -> Result<Self, ConnectError> {
        let addr = remote.addr.get().ok_or(ConnectError::NoAddress)?;
        let limits = &shared.settings.limits;
        let opening = async {
            if shared.line(&remote.host) == Some(Line::Down) {
                std::future::pending::<()>().await;
            }
            let stream = TcpStream::connect(addr).await?;
            let mut link = Link::new(stream, shared.counters.clone());
            link.set_purpose(C::PURPOSE);
            if let Some(lines) = &shared.settings.lines {
                link = link.set_line(remote.host.clone(), lines.clone());
            }
            let (me, secret) = (shared.identity(), &shared.settings.secret);
            let who = handshake::connect(&mut link, &me, C::PURPOSE, secret).await?;
            if who.host != remote.host {
                return Err(ConnectError::WrongHost);
            }
            Ok(link)
        };
        let link = timeout(limits.connect, opening).await??;
        Ok(Self::start(link, limits))
    }

    fn start(link: Link, limits: &Limits) -> Self {
        let (channel, running) = C::start(link, limits);
        let (alive, closed) = watch::channel(());
        let task = tokio::task::spawn_local(async move {
            let _alive = alive;
            running.await;
        });
        Self {
            channel,
            closed: Closed(closed),
            task: task.abort_handle(),
            used: Cell::new(Instant::now()),
        }
    }
}

impl<C> Connection<C> {
    /// Tells when the connection is gone.
    pub(crate) fn closed(&self) -> Closed {
        self.closed.clone()
    }

    /// Whether the connection can still be used.
    pub(crate) fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Notes that the connection is in use now.
    pub(crate) fn touch(&self) {
        self.used.set(Instant::now());
    }

    /// How long the connection has not been used.
    pub(crate) fn idle(&self) -> Duration {
        self.used.get().elapsed()
    }

    /// Gives the connection up.
    pub(crate) fn close(&self) {
        self.task.abort();
    }
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.close();
    }
}

/// The two-party network over a link.
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
