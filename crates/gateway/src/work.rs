//! The containment of panics in the handling of single requests, connections and messages.

use derive_more::Display;
use slog::error;
use wagtail_task::{Panic, catch, catch_sync};

use crate::host::Core;

/// A kind of work that is done piece by piece. A panic costs one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Work {
    /// The handling of a caller's request.
    #[display("request")]
    Request,
    /// A connection of a caller.
    #[display("connection")]
    Connection,
    /// A connection for readiness checks, directory look-ups or metrics.
    #[display("admin-connection")]
    AdminConnection,
    /// The handling of a message of another host.
    #[display("peer-message")]
    PeerMessage,
    /// The application of an entry of the registry.
    #[display("registry-entry")]
    RegistryEntry,
    /// The health check of an endpoint.
    #[display("health-check")]
    HealthCheck,
    /// What a stopping host tells the other hosts and the registry.
    #[display("leave-notice")]
    LeaveNotice,
}

/// Does a piece of work. Returns `None` if it panics, which is logged and counted.
pub(crate) async fn contain<T>(
    core: &Core,
    kind: Work,
    work: impl Future<Output = T>,
) -> Option<T> {
    let done = catch(async {
        hit(core, kind);
        work.await
    });
    done.await
        .map_err(|panic| record_panic(core, kind, &panic))
        .ok()
}

/// Does a piece of work like [`contain`].
pub(crate) fn contain_sync<T>(core: &Core, kind: Work, work: impl FnOnce() -> T) -> Option<T> {
    let done = catch_sync(|| {
        hit(core, kind);
        work()
    });
    done.map_err(|panic| record_panic(core, kind, &panic)).ok()
}

fn record_panic(core: &Core, kind: Work, panic: &Panic) {
    core.metrics.count("panics", &kind.to_string());
    error!(core.log, "work panicked and was given up"; "kind" => %kind, "cause" => %panic);
}

/// Panics if a test asked for it.
#[cfg_attr(not(feature = "faults"), expect(unused_variables))]
fn hit(core: &Core, kind: Work) {
    #[cfg(feature = "faults")]
    wagtail_task::faults::hit(&core.steer.borrow().local_host().record.peer, &kind);
}
