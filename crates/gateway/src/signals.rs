//! Acts on what endpoints say of themselves in their answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::HeaderName;
use slog::{info, warn};
use wagtail_steer::{EndpointKey, LimitChange, LimitNotice};
use wagtail_types::{EndpointId, millis};

use crate::codec::Signals;
use crate::host::Core;
use crate::pool::Pool;

/// Pauses shorter than this are counted but not logged.
const LOGGED_PAUSE_MIN: Duration = Duration::from_secs(1);

/// The number of unknown headers that are logged.
const UNKNOWN_HEADERS_MAX: usize = 16;

/// The process of an endpoint that a request is sent to. Its answer says nothing of a later process
/// under the same name.
#[derive(Debug, Clone)]
pub(crate) struct Process {
    pub(crate) key: EndpointKey,
    pub(crate) id: EndpointId,
    pub(crate) addr: SocketAddr,
    pub(crate) started: Option<u64>,
}

impl Process {
    /// Returns the registered process of an endpoint.
    pub(crate) fn registered(core: &Core, key: EndpointKey) -> Option<Self> {
        let steer = core.steer.borrow();
        let record = &steer.endpoint(key)?.record;
        Some(Self {
            key,
            id: record.id.clone(),
            addr: record.addr,
            started: record.started,
        })
    }
}

/// Records what the head of the answer to a request that was sent at `sent` says of the endpoint. Closes
/// the idle connections to one that leaves.
pub(crate) fn heed(core: &Core, pool: &Pool, process: &Process, signals: Signals, sent: Instant) {
    let now = core.now();
    let (key, started) = (process.key, process.started);
    if signals.leaving {
        let news = core
            .steer
            .borrow_mut()
            .record_leaving(key, started, core.wall_millis(), now);
        if news {
            pool.drop_endpoint(key);
            core.metrics.count("endpoint_signals", "leaving");
            info!(core.log, "endpoint says that it leaves; sending it no further requests";
                "endpoint" => %process.id);
        }
    }
    if let Some(pause) = signals.pause {
        let begins =
            core.steer
                .borrow_mut()
                .record_pause(key, started, pause, core.wall_millis(), now);
        core.metrics.count("endpoint_signals", "pause");
        if begins && pause >= LOGGED_PAUSE_MIN {
            info!(core.log, "endpoint asks for a pause; sending it no requests meanwhile";
                "endpoint" => %process.id, "pause_ms" => millis(pause));
        }
    }
    if matches!(signals.limit, LimitNotice::Limited(_)) {
        core.metrics.count("endpoint_signals", "limit");
    }
    let change = core.steer.borrow_mut().record_limit(
        key,
        started,
        signals.limit,
        sent,
        core.wall_millis(),
        now,
    );
    match change {
        Some(LimitChange::Set(rate)) => {
            info!(core.log, "endpoint names a limit on its requests";
                "endpoint" => %process.id, "limit" => %rate);
        }
        Some(LimitChange::Ended) => {
            info!(core.log, "endpoint names no limit on its requests any more";
                "endpoint" => %process.id);
        }
        None => {}
    }
}

/// Counts a header of an endpoint's answer that this host does not know, and logs it once.
pub(crate) fn report_unknown(core: &Core, process: &Process, name: &HeaderName) {
    core.metrics.count("endpoint_signals", "unknown");
    let mut reported = core.unknown_headers.borrow_mut();
    if reported.len() < UNKNOWN_HEADERS_MAX && reported.insert(name.clone()) {
        warn!(core.log, "endpoint says something that this host does not know; ignoring it";
            "endpoint" => %process.id, "header" => %name);
    }
}
