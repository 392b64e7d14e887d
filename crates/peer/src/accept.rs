//! Connections from other hosts.

use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::client::{Closed, network};
use crate::control;
use crate::handshake::{self, HandshakeError, Identity, Purpose};
use crate::link::Link;
use crate::peer_capnp::peer;
use crate::serve::Served;
use crate::worker::Shared;

/// Takes connections until it is dropped.
pub(crate) async fn accept_all(shared: Rc<Shared>, listener: TcpListener) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if open.len() < shared.settings.limits.connections {
                    open.spawn_local(serve(shared.clone(), stream));
                } else {
                    shared.counters.connections_refused.up();
                }
            }
            Some(_) = open.join_next() => {}
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let mut link = Link::new(stream, shared.counters.clone());
    let secret = &shared.settings.secret;
    let me = shared.identity();
    let accepting = handshake::accept(&mut link, &me, secret);
    let (from, purpose) = match timeout(shared.settings.limits.connect, accepting).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => return count(&shared, &error),
        Err(_) => return,
    };
    link.set_purpose(purpose);
    if let Some(lines) = &shared.settings.lines {
        link = link.set_line(from.host.clone(), lines.clone());
    }
    match purpose {
        Purpose::Control => control::receive_all(&shared, link, &from).await,
        Purpose::Relay => relays(shared, link, from).await,
    }
}

async fn relays(shared: Rc<Shared>, link: Link, from: Identity) {
    let (alive, closed) = watch::channel(());
    let served = Served {
        shared: shared.clone(),
        from,
        closed: Closed::new(closed),
    };
    let client: peer::Client = capnp_rpc::new_client(served);
    let network = network(link, Side::Server, shared.settings.limits.message);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let ended = system.await;
    drop(alive);
    let broken = |e: &capnp::Error| e.kind != capnp::ErrorKind::Disconnected;
    if ended.as_ref().is_err_and(broken) {
        shared.counters.malformed.up();
    }
}

fn count(shared: &Shared, error: &HandshakeError) {
    match error {
        HandshakeError::WrongSecret => shared.counters.auth_failures.up(),
        HandshakeError::Malformed => shared.counters.malformed.up(),
        HandshakeError::Io(_) => {}
    }
}
