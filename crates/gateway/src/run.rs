//! Starts the tasks of a host and waits for its end.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::{Display, Error};
use http::request::Parts;
use slog::{Logger, info};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::spawn_local;
use wagtail_steer::Steer;
use wagtail_types::SystemClock;

use crate::admin;
use crate::check::upkeep;
use crate::conventions::Conventions;
use crate::exchange::{Exchange, register};
use crate::follow::follow;
use crate::host::{Core, Front};
use crate::pool::Pool;
use crate::registry::{Registry, Topic};
use crate::request::LogBudget;
use crate::server::{accept, bind, serve_small};
use crate::settings::Settings;
use crate::stop::{Stage, leave};

/// Why a host could not start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// An address could not be listened on.
    #[display("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// Runs a host until `stop` resolves and all is answered. Must be called within a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// [`RunError`] if an address cannot be listened on.
pub async fn run<R: Registry>(
    settings: Settings,
    steer: Steer,
    registry: Rc<R>,
    conventions: Rc<dyn Conventions>,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let core = Rc::new(Core::new(steer, log, Rc::new(SystemClock)));
    let pool = Rc::new(Pool::default());
    let lines = RefCell::new(LogBudget::new(core.now()));
    let listen = settings.listen.clone();
    let at = |addr| move |source| RunError::Listen { addr, source };
    let peer = UdpSocket::bind(listen.peer)
        .await
        .map_err(at(listen.peer))?;
    let exchange = Rc::new(Exchange::new(core.clone(), peer));
    let front = Rc::new(Front {
        core: core.clone(),
        exchange: exchange.clone(),
        pool: pool.clone(),
        conventions: conventions.clone(),
        lines,
    });
    let (stage, stages) = watch::channel(Stage::Open);
    info!(core.log, "starting"; "host" => %core.steer.borrow().local_host().record.id,
        "front" => %listen.front, "peer" => %listen.peer);

    let callers = bind(listen.front).await.map_err(at(listen.front))?;
    spawn_local(accept(front, callers, stages));
    if let Some(addr) = listen.ready {
        let listener = bind(addr).await.map_err(at(addr))?;
        let (own, conventions) = (core.clone(), conventions.clone());
        let answer = move |head: &Parts| admin::ready(&own, &*conventions, head);
        spawn_local(serve_small(core.clone(), listener, answer));
    }
    if let Some(addr) = listen.directory {
        let listener = bind(addr).await.map_err(at(addr))?;
        let (own, conventions) = (core.clone(), conventions.clone());
        let ttl = settings.directory_ttl;
        let answer = move |head: &Parts| admin::directory(&own, &*conventions, ttl, head);
        spawn_local(serve_small(core.clone(), listener, answer));
    }
    if let Some(addr) = listen.metrics {
        let listener = bind(addr).await.map_err(at(addr))?;
        let own = core.clone();
        let answer = move |head: &Parts| admin::metrics(&own, head);
        spawn_local(serve_small(core.clone(), listener, answer));
    }

    spawn_local(exchange.clone().receive());
    spawn_local(exchange.clone().send());
    spawn_local(register(core.clone(), registry.clone()));
    for topic in [Topic::Operator, Topic::Endpoints] {
        spawn_local(follow(
            core.clone(),
            exchange.clone(),
            registry.clone(),
            topic,
            settings.clone(),
        ));
    }
    spawn_local(upkeep(core.clone(), pool, conventions));

    stop.await;
    leave(core, exchange, registry, stage, settings.grace).await;
    Ok(())
}
