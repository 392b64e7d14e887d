//! The graceful shutdown of a host.

use std::cell::Cell;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::sync::{Notify, watch};
use wagtail_steer::{Departure, HostStage};
use wagtail_types::millis;

use crate::exchange::Exchange;
use crate::host::Core;
use crate::registry::Registry;
use crate::work::{Work, contain};

/// The stage of the host, and the connections of callers that are open.
#[derive(Debug)]
pub(crate) struct StopState {
    stage: watch::Sender<HostStage>,
    departure: Cell<Option<Departure>>,
    connections: Cell<usize>,
    /// Notified when the last connection closes.
    all_closed: Notify,
}

impl StopState {
    pub(crate) fn new() -> Self {
        Self {
            stage: watch::Sender::new(HostStage::Open),
            departure: Cell::new(None),
            connections: Cell::new(0),
            all_closed: Notify::new(),
        }
    }

    pub(crate) fn stage(&self) -> HostStage {
        *self.stage.borrow()
    }

    /// Returns a receiver that changes with each stage that the host enters from now on.
    pub(crate) fn stages(&self) -> watch::Receiver<HostStage> {
        self.stage.subscribe()
    }

    /// Returns the times of the departure; `None` while the host accepts connections.
    pub(crate) fn departure(&self) -> Option<Departure> {
        self.departure.get()
    }

    /// Waits until the host has entered a stage or a later one.
    pub(crate) async fn entered(&self, stage: HostStage) {
        // The sender cannot be dropped meanwhile, as `self` holds it.
        let _ = self.stages().wait_for(|s| *s >= stage).await;
    }

    /// Waits until the host leaves and passes no further request on.
    pub(crate) async fn last_start(&self) {
        self.entered(HostStage::Leaving).await;
        if let Some(departure) = self.departure.get() {
            tokio::time::sleep_until(departure.last_start().into()).await;
        }
    }

    /// Waits until all connections have closed.
    async fn all_closed(&self) {
        while self.connections.get() > 0 {
            self.all_closed.notified().await;
        }
    }
}

/// Counts a connection of a caller as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Rc<Core>);

impl OpenConnection {
    pub(crate) fn new(core: Rc<Core>) -> Self {
        let open = &core.stop.connections;
        open.set(open.get() + 1);
        Self(core)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let stop = &self.0.stop;
        stop.connections.set(stop.connections.get() - 1);
        if stop.connections.get() == 0 {
            stop.all_closed.notify_one();
        }
    }
}

/// The host accepts connections for a while, as callers have not heard of its departure.
#[derive(Debug)]
pub(crate) struct Leaving;

/// The host finishes the requests that it has.
#[derive(Debug)]
pub(crate) struct Closed;

/// The host delivers the last responses.
#[derive(Debug)]
pub(crate) struct Ending;

/// The shutdown of a host. Each stage has one way on; the last one ends the process.
#[derive(Debug)]
pub(crate) struct Shutdown<S> {
    core: Rc<Core>,
    departure: Departure,
    stage: PhantomData<S>,
}

impl<S> Shutdown<S> {
    fn enter(core: Rc<Core>, departure: Departure, stage: HostStage) -> Self {
        core.stop.departure.set(Some(departure));
        core.stop.stage.send_replace(stage);
        Self {
            core,
            departure,
            stage: PhantomData,
        }
    }

    /// Waits until a time, or until all connections have closed.
    async fn closed_by(&self, time: Instant) {
        let _ = tokio::time::timeout_at(time.into(), self.core.stop.all_closed()).await;
    }
}

impl Shutdown<Leaving> {
    /// Begins the shutdown of a host whose process is killed after `grace`.
    pub(crate) fn begin(core: Rc<Core>, grace: Duration) -> Self {
        info!(core.log, "stopping"; "grace_ms" => millis(grace));
        let departure = Departure::new(core.now(), grace);
        Self::enter(core, departure, HostStage::Leaving)
    }

    /// Tells the other hosts and the registry, and serves further connections meanwhile.
    pub(crate) async fn announce<R: Registry>(
        self,
        exchange: Rc<Exchange>,
        registry: Rc<R>,
    ) -> Shutdown<Closed> {
        let core = &self.core;
        contain(core, Work::LeaveNotice, exchange.send_digest(true)).await;
        exchange.hand_over_tokens();
        tokio::task::spawn_local(withdraw(core.clone(), registry));
        tokio::time::sleep_until(self.departure.accepts_until().into()).await;
        Shutdown::enter(self.core, self.departure, HostStage::Closed)
    }
}

impl Shutdown<Closed> {
    /// Waits until all connections have closed or the time for requests is over.
    pub(crate) async fn drain(self) -> Shutdown<Ending> {
        self.closed_by(self.departure.cut()).await;
        Shutdown::enter(self.core, self.departure, HostStage::Ending)
    }
}

impl Shutdown<Ending> {
    /// Waits until all connections have closed or the process must end, and reports what it leaves undone.
    pub(crate) async fn deliver(self) {
        self.closed_by(self.departure.end()).await;
        let core = &self.core;
        let now = core.now();
        let age = self.departure.age(now);
        let unanswered = core.tracker.report(&core.log, &core.metrics, age, now);
        info!(core.log, "stopped"; "connections" => core.stop.connections.get(),
            "delivered" => core.tracker.delivered.get(), "refused" => core.tracker.refused.get(),
            "cut" => core.tracker.cut.get(), "unanswered" => unanswered, "stop_ms" => millis(age));
    }
}

/// Shuts the host down: informs the other hosts, keeps serving requests that end in time, and returns when all
/// connections have closed or the grace time is almost over.
pub(crate) async fn shut_down<R: Registry>(
    shutdown: Shutdown<Leaving>,
    exchange: Rc<Exchange>,
    registry: Rc<R>,
) {
    let closed = shutdown.announce(exchange, registry).await;
    closed.drain().await.deliver().await;
}

/// Removes the registration of this host, and not that of its next process, however late the registry does
/// it.
async fn withdraw<R: Registry>(core: Rc<Core>, registry: Rc<R>) {
    let record = core.steer.borrow().local_host().record.clone();
    let removal = async {
        let version = match core.registration.get() {
            Some(version) => version,
            // The last write was not confirmed, so that the version is not known.
            None => {
                registry
                    .announce(&record, core.wall_millis())
                    .await
                    .result?
            }
        };
        registry.withdraw(&record, version).await.result
    };
    if let Some(Err(e)) = contain(&core, Work::LeaveNotice, removal).await {
        warn!(core.log, "host registration could not be removed"; "error" => %e);
    }
}
