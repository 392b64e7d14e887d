//! Incoming connections.

use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::client::{CloseSignal, network};
use crate::control;
use crate::handshake::{self, HandshakeError, Identity, Purpose};
use crate::link::Link;
use crate::peer_capnp::peer;
use crate::serve::RelayServer;
use crate::worker::Shared;

/// Accepts connections until the future is dropped. A connection over the limit is closed at once.
pub(crate) async fn accept_all(shared: Rc<Shared>, listener: TcpListener) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if open.len() < shared.settings.limits.connections {
                    open.spawn_local(serve_connection(shared.clone(), stream));
                } else {
                    shared.counters.connections_refused.increment();
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream) {
    let mut link = Link::new(stream, shared.counters.clone());
    let secret = &shared.settings.secret;
    let local = shared.identity();
    let accepting = handshake::accept(&mut link, &local, secret);
    let (from, purpose) = match timeout(shared.settings.limits.connect_timeout, accepting).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => return count_failure(&shared, &error),
        Err(_) => return,
    };
    link.set_purpose(purpose);
    if let Some(emulation) = &shared.settings.emulation {
        link = link.with_emulation(from.host.clone(), emulation.clone());
    }
    match purpose {
        Purpose::Control => control::receive_all(&shared, link, &from).await,
        Purpose::Relay => serve_relays(shared, link, from).await,
    }
}

async fn serve_relays(shared: Rc<Shared>, link: Link, from: Identity) {
    let (close_guard, closed) = watch::channel(());
    let server = RelayServer {
        shared: shared.clone(),
        from,
        closed: CloseSignal::new(closed),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    let network = network(link, Side::Server, shared.settings.limits.message_size);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let result = system.await;
    drop(close_guard);
    let is_protocol_error = |e: &capnp::Error| e.kind != capnp::ErrorKind::Disconnected;
    if result.as_ref().is_err_and(is_protocol_error) {
        shared.counters.malformed.increment();
    }
}

fn count_failure(shared: &Shared, error: &HandshakeError) {
    match error {
        HandshakeError::WrongSecret => shared.counters.auth_failures.increment(),
        HandshakeError::Malformed => shared.counters.malformed.increment(),
        HandshakeError::Io(_) => {}
    }
}
