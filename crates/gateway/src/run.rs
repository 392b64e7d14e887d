//! Starts the tasks of a host and waits until it has shut down.

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
use crate::check::maintain_endpoints;
use crate::codec::HttpCodec;
use crate::exchange::{Exchange, register};
use crate::follow::follow;
use crate::host::{Core, RequestContext};
use crate::pool::Pool;
use crate::registry::{Registry, Topic};
use crate::request::LogBudget;
use crate::server::{accept, bind, serve_admin};
use crate::settings::Settings;
use crate::stop::{ShutdownStage, shut_down};

/// The reason why a host could not start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// A socket could not be bound to an address.
    #[display("cannot listen on {addr}: {source}")]
    Listen {
        /// The address that was to be bound.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs a host until `stop` resolves and the graceful shutdown that follows has ended: all requests
/// are answered or the grace time is over. Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns a [`RunError`] if an address cannot be listened on.
pub async fn run<R: Registry>(
    settings: Settings,
    steer: Steer,
    registry: Rc<R>,
    codec: Rc<dyn HttpCodec>,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let age_limit = settings.age_limit();
    let core = Rc::new(Core::new(steer, log, Rc::new(SystemClock), age_limit));
    let pool = Rc::new(Pool::default());
    let log_budget = RefCell::new(LogBudget::new(core.now()));
    let listen = settings.listen.clone();
    let listen_error = |addr| move |source| RunError::Listen { addr, source };
    let peer = UdpSocket::bind(listen.peer)
        .await
        .map_err(listen_error(listen.peer))?;
    let exchange = Rc::new(Exchange::new(core.clone(), peer));
    let context = Rc::new(RequestContext {
        core: core.clone(),
        exchange: exchange.clone(),
        pool: pool.clone(),
        codec: codec.clone(),
        log_budget,
    });
    let (stage, stage_updates) = watch::channel(ShutdownStage::Open);
    info!(core.log, "starting"; "host" => %core.steer.borrow().local_host().record.id,
        "front" => %listen.front, "peer" => %listen.peer);

    let callers = bind(listen.front)
        .await
        .map_err(listen_error(listen.front))?;
    spawn_local(accept(context, callers, stage_updates));
    if let Some(addr) = listen.ready {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let (shared, codec) = (core.clone(), codec.clone());
        let answer = move |head: &Parts| admin::ready(&shared, &*codec, head);
        spawn_local(serve_admin(core.clone(), listener, answer));
    }
    if let Some(addr) = listen.directory {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let (shared, codec) = (core.clone(), codec.clone());
        let ttl = settings.directory_ttl;
        let answer = move |head: &Parts| admin::directory(&shared, &*codec, ttl, head);
        spawn_local(serve_admin(core.clone(), listener, answer));
    }
    if let Some(addr) = listen.metrics {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let shared = core.clone();
        let answer = move |head: &Parts| admin::metrics(&shared, head);
        spawn_local(serve_admin(core.clone(), listener, answer));
    }

    spawn_local(exchange.clone().receive());
    spawn_local(exchange.clone().gossip());
    spawn_local(register(core.clone(), exchange.clone(), registry.clone()));
    for topic in [Topic::Operator, Topic::Endpoints] {
        spawn_local(follow(
            core.clone(),
            exchange.clone(),
            registry.clone(),
            topic,
            settings.clone(),
        ));
    }
    spawn_local(maintain_endpoints(core.clone(), pool, codec));

    stop.await;
    shut_down(core, exchange, registry, stage, settings.grace).await;
    Ok(())
}
