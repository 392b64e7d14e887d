//! Finds out whether endpoints have ended under requests, and tells the other hosts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::info;
use wagtail_steer::Fingerprint;

use crate::connect::{Reachability, probe};
use crate::host::{Core, RequestContext};
use crate::pool::Pool;
use crate::signals::Process;
use crate::work::{Work, contain};

/// The time limit of a probe; as long as for any connection to an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// The number of requests that a log line names.
const LOGGED_REQUESTS_MAX: usize = 8;

/// Records that an endpoint closed the connection of a request that was sent at `began` before it answered,
/// and starts a probe that tells whether the endpoint has ended.
pub(crate) fn look_into_break(
    context: &RequestContext,
    process: &Process,
    fingerprint: Fingerprint,
    began: Instant,
) {
    let core = &context.core;
    core.steer.borrow_mut().record_break(
        fingerprint,
        process.key,
        process.started,
        began,
        core.wall_millis(),
        core.now(),
    );
    if !core.probed.borrow_mut().insert(process.key) {
        return;
    }
    let (core, pool, process) = (core.clone(), context.pool.clone(), process.clone());
    tokio::task::spawn_local(async move {
        contain(&core, Work::HealthCheck, find_out(&core, &pool, &process)).await;
        core.probed.borrow_mut().remove(&process.key);
    });
}

async fn find_out(core: &Rc<Core>, pool: &Pool, process: &Process) {
    core.metrics.count("checks", "connection");
    match probe(process.addr, PROBE_TIMEOUT).await {
        Reachability::Open => core
            .steer
            .borrow_mut()
            .record_open(process.key, process.started),
        Reachability::Refused => record_refusal(core, pool, process),
        Reachability::Unknown => {}
    }
}

/// Records that an endpoint refuses connections. Requests that broke there lately may have ended it.
pub(crate) fn record_refusal(core: &Core, pool: &Pool, process: &Process) {
    pool.drop_endpoint(process.key);
    let now = core.now();
    let requests = core
        .steer
        .borrow_mut()
        .record_refusal(process.key, process.started, now);
    if requests.is_empty() {
        return;
    }
    for _ in &requests {
        core.metrics.count("suspect_requests", "ended");
    }
    let names = requests.iter().take(LOGGED_REQUESTS_MAX);
    let names: Vec<_> = names.map(Fingerprint::to_string).collect();
    info!(core.log, "endpoint ended while requests ran there"; "endpoint" => %process.id,
        "requests" => requests.len(), "fingerprints" => names.join(" "));
    core.suspect_news.notify_one();
}
