//! The public interface of the protocol.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::LocalSet;
use wagtail_types::{Cause, HostId, Reason, Verdict};

use crate::body::Body;
use crate::codec;
use crate::counts::{Counters, Counts};
use crate::message::{Control, Handler, RelayAnswer, RelayHead};
use crate::relay::Job;
use crate::settings::Settings;
use crate::worker::{Addresses, Command, Shared, Worker};

const COMMAND_QUEUE: usize = 4096;

/// The local host's side of the protocol. Its connections close when it is dropped.
#[derive(Debug)]
pub struct Peer {
    addr: SocketAddr,
    max_head: usize,
    commands: mpsc::Sender<Command>,
    addresses: watch::Sender<Addresses>,
    relays: Arc<Semaphore>,
    stop: watch::Sender<bool>,
    stopped: watch::Receiver<()>,
    counters: Arc<Counters>,
}

impl Peer {
    /// Starts to listen, on a new thread. The requests that `handler` runs are spawned on `runtime`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread or its runtime cannot be started.
    pub fn start(
        settings: Settings,
        handler: Arc<dyn Handler>,
        runtime: Handle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (commands, received) = mpsc::channel(COMMAND_QUEUE);
        let (addresses, address_updates) = watch::channel(Addresses::default());
        let (stop, stopping) = watch::channel(false);
        let (running, stopped) = watch::channel(());
        let counters = Arc::new(Counters::default());
        if let Some(emulation) = &settings.emulation {
            emulation.attach(&counters);
        }
        let peer = Self {
            addr,
            max_head: settings.limits.head_size.as_usize(),
            commands,
            addresses,
            relays: Arc::new(Semaphore::new(settings.limits.relays)),
            stop,
            stopped,
            counters: counters.clone(),
        };
        let peer_runtime = Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let _running = running;
            let local = LocalSet::new();
            local.block_on(&peer_runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                    return;
                };
                let shared = shared_state(settings, counters, handler, runtime);
                let worker = Worker::new(Rc::new(shared));
                worker
                    .run(listener, received, address_updates, stopping)
                    .await;
            });
        };
        thread::Builder::new().name("peer".to_owned()).spawn(run)?;
        Ok(peer)
    }

    /// Returns the address on which this host listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the addresses of the other hosts. Connections to a host whose address has changed or
    /// that is no longer listed close once the relays on them have ended.
    pub fn set_addresses(&self, addresses: HashMap<HostId, SocketAddr>) {
        self.addresses.send_replace(Arc::new(addresses));
    }

    /// Queues a message for another host. If the queue is full or no connection can be opened, the
    /// message is dropped and counted.
    pub fn send(&self, to: &HostId, message: Control) {
        let to = to.clone();
        if self
            .commands
            .try_send(Command::Send { to, message })
            .is_err()
        {
            self.counters.messages_dropped.increment();
        }
    }

    /// Relays a request to another host. Dropping the future cancels the request there.
    ///
    /// # Errors
    ///
    /// Returns the other host's verdict; `not-run` if the request was not sent; otherwise
    /// `may-have-run`.
    pub async fn relay(
        &self,
        to: &HostId,
        head: RelayHead,
        body: Body,
    ) -> Result<RelayAnswer, Verdict> {
        if codec::relay::head_bytes(&head) > self.max_head {
            return Err(Verdict::not_run(Reason::BadRequest, None));
        }
        let Ok(_permit) = self.relays.try_acquire() else {
            self.counters.relays_refused.increment();
            return Err(Verdict::not_run(Reason::Overloaded, None));
        };
        let (reply, outcome) = oneshot::channel();
        let to = to.clone();
        let job = Box::new(Job { head, body, reply });
        let sent = self.commands.try_send(Command::Relay { to, job });
        sent.map_err(|_| Verdict::not_run(Reason::Unavailable, None))?;
        let lost = || Err(Verdict::may_have_run(Cause::RelayLost));
        outcome.await.unwrap_or_else(|_| lost())
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.counters.snapshot()
    }

    /// Waits until the thread has ended: after [`Peer::stop`], or because of a fault.
    pub async fn ended(&self) {
        let mut stopped = self.stopped.clone();
        while stopped.changed().await.is_ok() {}
    }

    /// Closes every connection and ends the thread. Messages and relays in flight are lost, so
    /// relays should have ended before the call.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        self.ended().await;
    }
}

fn shared_state(
    settings: Settings,
    counters: Arc<Counters>,
    handler: Arc<dyn Handler>,
    runtime: Handle,
) -> Shared {
    Shared {
        relays: Arc::new(Semaphore::new(settings.limits.relays)),
        rng: StdRng::seed_from_u64(settings.seed).into(),
        settings,
        counters,
        handler,
        runtime,
    }
}
