//! Starts the duties of a host and waits until it has shut down.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::{Display, Error};
use http::Response;
use http::request::Parts;
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use wagtail_steer::Steer;
use wagtail_types::SystemClock;

use crate::admin;
use crate::check::maintain_endpoints;
use crate::codec::HttpCodec;
use crate::exchange::{Exchange, register};
use crate::follow::follow;
use crate::host::{Core, RequestContext};
use crate::pool::Pool;
use crate::records::keep_records;
use crate::registry::{Registry, Topic};
use crate::request::{Body, LogBudget};
use crate::server::{accept, bind, serve_admin};
use crate::settings::Settings;
use crate::stop::{Shutdown, shut_down};
use crate::supervisor::{Duties, Duty, DutyEnded};

/// The reason why a host could not start or had to stop.
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
    /// A duty ended while the host was to serve or was stopping.
    #[display("{_0}")]
    DutyEnded(DutyEnded),
}

/// Runs a host until `stop` resolves or a duty ends, and the graceful shutdown that follows has ended:
/// all requests are answered or the grace time is over. Must be called within a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns a [`RunError`] if an address cannot be listened on, or if a duty ended.
pub async fn run<R: Registry>(
    settings: Settings,
    steer: Steer,
    registry: Rc<R>,
    codec: Rc<dyn HttpCodec>,
    log: Logger,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let age_limit = settings.age_limit();
    let core = Rc::new(Core::new(
        steer,
        log,
        Rc::new(SystemClock),
        age_limit,
        settings.memory,
    ));
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
    info!(core.log, "starting"; "host" => %core.steer.borrow().local_host().record.id,
        "front" => %listen.front, "peer" => %listen.peer);

    let mut duties = Duties::new(core.clone());
    let callers = bind(listen.front)
        .await
        .map_err(listen_error(listen.front))?;
    duties.start(Duty::Callers, move || {
        accept(context.clone(), callers.clone())
    });
    if let Some(addr) = listen.ready {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let (shared, codec) = (core.clone(), codec.clone());
        let answer = move |head: &Parts| admin::ready(&shared, &*codec, head);
        start_admin(&mut duties, Duty::Readiness, core.clone(), listener, answer);
    }
    if let Some(addr) = listen.directory {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let (shared, codec) = (core.clone(), codec.clone());
        let ttl = settings.directory_ttl;
        let answer = move |head: &Parts| admin::directory(&shared, &*codec, ttl, head);
        start_admin(&mut duties, Duty::Directory, core.clone(), listener, answer);
    }
    if let Some(addr) = listen.metrics {
        let listener = bind(addr).await.map_err(listen_error(addr))?;
        let shared = core.clone();
        let answer = move |head: &Parts| admin::metrics(&shared, head);
        start_admin(&mut duties, Duty::Metrics, core.clone(), listener, answer);
    }

    let messages = exchange.clone();
    duties.start(Duty::PeerMessages, move || messages.clone().receive());
    let digests = exchange.clone();
    duties.start(Duty::Gossip, move || digests.clone().gossip());
    let (shared, peers, rows) = (core.clone(), exchange.clone(), registry.clone());
    duties.start(Duty::Registration, move || {
        register(shared.clone(), peers.clone(), rows.clone())
    });
    for (duty, topic) in [
        (Duty::OperatorChanges, Topic::Operator),
        (Duty::EndpointChanges, Topic::Endpoints),
    ] {
        let (shared, peers, rows) = (core.clone(), exchange.clone(), registry.clone());
        let settings = settings.clone();
        duties.start(duty, move || {
            follow(
                shared.clone(),
                peers.clone(),
                rows.clone(),
                topic,
                settings.clone(),
            )
        });
    }
    let (shared, rows) = (core.clone(), registry.clone());
    duties.start(Duty::SuspectRecords, move || {
        keep_records(shared.clone(), rows.clone())
    });
    let shared = core.clone();
    duties.start(Duty::EndpointChecks, move || {
        maintain_endpoints(shared.clone(), pool.clone(), codec.clone())
    });

    let mut ended = None;
    tokio::select! {
        () = stop => {}
        end = duties.next_end() => ended = Some(end),
    }
    let shutdown = Shutdown::begin(core, settings.grace);
    if let Some(end) = &ended {
        duties.restart(end.duty);
    }
    let stopping = shut_down(shutdown, exchange, registry);
    duties.run_until(stopping, &mut ended).await;
    ended.map_or(Ok(()), |end| Err(RunError::DutyEnded(end)))
}

fn start_admin<F>(
    duties: &mut Duties,
    duty: Duty,
    core: Rc<Core>,
    listener: Rc<TcpListener>,
    answer: F,
) where
    F: Fn(&Parts) -> Response<Body> + 'static,
{
    let answer = Rc::new(answer);
    duties.start(duty, move || {
        serve_admin(core.clone(), listener.clone(), answer.clone())
    });
}
