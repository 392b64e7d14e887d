//! The event loop of the peer's thread, which owns every connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use wagtail_types::{HostId, Reason, Verdict};

use crate::accept::accept_all;
use crate::control::{self, FrameSender};
use crate::counts::Counters;
use crate::handshake::Identity;
use crate::manager::ConnectionManager;
use crate::message::{Control, Handler};
use crate::peer_capnp::peer;
use crate::relay;
use crate::settings::{LinkState, Settings};

/// Addresses of the other hosts, by name.
pub(crate) type Addresses = Arc<HashMap<HostId, SocketAddr>>;

/// A command from another thread to the peer's thread.
pub(crate) enum Command {
    Send { to: HostId, message: Control },
    Relay { to: HostId, job: Box<relay::Job> },
}

/// State that all tasks on the peer's thread share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) counters: Arc<Counters>,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) runtime: Handle,
    pub(crate) relays: Arc<Semaphore>,
    pub(crate) rng: RefCell<StdRng>,
}

impl Shared {
    pub(crate) fn identity(&self) -> Identity {
        Identity {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    /// Returns the state of the emulated link to a host; `None` without emulation.
    pub(crate) fn link_state(&self, to: &HostId) -> Option<LinkState> {
        self.settings
            .emulation
            .as_ref()
            .map(|emulation| emulation.state(to))
    }
}

/// Holds another host's address and the connections to it.
pub(crate) struct Remote {
    pub(crate) host: HostId,
    pub(crate) addr: Cell<Option<SocketAddr>>,
    pub(crate) control: ConnectionManager<FrameSender>,
    pub(crate) relay: ConnectionManager<peer::Client>,
}

/// Owns the connections to all other hosts.
pub(crate) struct Worker {
    shared: Rc<Shared>,
    remotes: HashMap<HostId, (Rc<Remote>, mpsc::Sender<Control>)>,
}

impl Worker {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            remotes: HashMap::new(),
        }
    }

    /// Runs the event loop until `stop` becomes true or no more connections are accepted.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut commands: mpsc::Receiver<Command>,
        mut addresses: watch::Receiver<Addresses>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut accepting = tokio::task::spawn_local(accept_all(self.shared.clone(), listener));
        let mut idle_check = interval(self.shared.settings.limits.idle_timeout / 2);
        idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                _ = &mut accepting => break,
                Ok(()) = addresses.changed() => {
                    let listed = addresses.borrow_and_update().clone();
                    self.update_addresses(&listed);
                }
                Some(command) = commands.recv() => self.handle(command),
                _ = idle_check.tick() => self.close_idle(),
            }
        }
        accepting.abort();
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Send { to, message } => {
                let queue = self.remotes.get(&to).map(|(_, queue)| queue);
                if queue.is_none_or(|q| q.try_send(message).is_err()) {
                    self.shared.counters.messages_dropped.increment();
                }
            }
            Command::Relay { to, job } => {
                let Some((remote, _)) = self.remotes.get(&to) else {
                    let unknown = Verdict::not_run(Reason::ConnectFailed, None);
                    let _ = job.reply.send(Err(unknown));
                    return;
                };
                tokio::task::spawn_local(relay::run(self.shared.clone(), remote.clone(), *job));
            }
        }
    }

    fn update_addresses(&mut self, listed: &HashMap<HostId, SocketAddr>) {
        self.remotes.retain(|host, _| listed.contains_key(host));
        for (host, addr) in listed {
            let shared = &self.shared;
            let (remote, _) = self
                .remotes
                .entry(host.clone())
                .or_insert_with(|| add_remote(shared, host));
            if remote.addr.replace(Some(*addr)) != Some(*addr) {
                remote.control.close();
                remote.relay.close();
            }
        }
    }

    fn close_idle(&self) {
        for (remote, _) in self.remotes.values() {
            remote.control.close_idle(&self.shared);
            remote.relay.close_idle(&self.shared);
        }
    }
}

fn add_remote(shared: &Rc<Shared>, host: &HostId) -> (Rc<Remote>, mpsc::Sender<Control>) {
    let remote = Rc::new(Remote {
        host: host.clone(),
        addr: Cell::new(None),
        control: ConnectionManager::new(shared),
        relay: ConnectionManager::new(shared),
    });
    let (queue, queued) = mpsc::channel(shared.settings.limits.queue);
    tokio::task::spawn_local(control::send_all(shared.clone(), remote.clone(), queued));
    (remote, queue)
}
