//! Periodic maintenance of the endpoint table, and health checks of endpoints that could not be
//! reached.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use slog::info;
use wagtail_steer::{EndpointKey, LeftOut, PlacementCounts, SuspectCounts};
use wagtail_types::millis;

use crate::codec::HttpCodec;
use crate::connect::Client;
use crate::host::Core;
use crate::pool::Pool;
use crate::signals::{Process, heed};
use crate::work::{Work, contain};

/// The period of endpoint maintenance; short compared with the time in which endpoints come and go.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(300);
/// The timeout of a health check; it leaves time for the check to wait in the endpoint's queue.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// The size in bytes of the largest answer to a health check; only its head is used.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// Runs the maintenance loop: removes lapsed endpoints, updates weights, logs how requests were
/// placed in each shift window, closes expired idle connections and starts the health checks that
/// are due.
pub(crate) async fn maintain_endpoints(core: Rc<Core>, pool: Rc<Pool>, codec: Rc<dyn HttpCodec>) {
    let window = core.steer.borrow().settings().shift_window;
    let mut next_report = core.now() + window;
    loop {
        let now = core.now();
        if now >= next_report {
            next_report += window;
            log_placements(&core);
        }
        let due = {
            let mut steer = core.steer.borrow_mut();
            steer.remove_lapsed(now);
            for zone in steer.end_holds(now) {
                info!(core.log, "evacuation ends: its entry has not been written again since the restore";
                    "zone" => %zone);
            }
            steer.update_weights(now);
            steer.due_checks(now)
        };
        report_left_out(&core);
        report_suspects(&core);
        pool.prune(now);
        for key in due {
            let (core, pool, codec) = (core.clone(), pool.clone(), codec.clone());
            tokio::task::spawn_local(async move {
                contain(&core, Work::HealthCheck, check(&core, &pool, &*codec, key)).await;
            });
        }
        tokio::time::sleep(MAINTENANCE_PERIOD).await;
    }
}

fn log_placements(core: &Core) {
    let counts = core.steer.borrow_mut().take_placement_counts();
    if counts != PlacementCounts::default() {
        info!(core.log, "requests placed by region";
            "local" => counts.local, "remote" => counts.remote, "rejected" => counts.rejected);
    }
}

fn report_left_out(core: &Core) {
    let LeftOut {
        leaving,
        evacuated,
        unreachable,
        paused,
        limited,
    } = core.steer.borrow().left_out(core.now());
    let counts = [
        ("leaving", leaving),
        ("evacuated", evacuated),
        ("unreachable", unreachable),
        ("paused", paused),
        ("limited", limited),
    ];
    for (reason, count) in counts {
        core.metrics.set("endpoints_left_out", reason, count.into());
    }
}

fn report_suspects(core: &Core) {
    let SuspectCounts {
        restricted,
        rejected,
    } = core.steer.borrow_mut().review_suspects(core.now());
    let steer = core.steer.borrow();
    if steer.has_suspect_calls() || steer.lacks_suspect_records() {
        core.suspect_calls.notify_one();
    }
    for (state, count) in [("restricted", restricted), ("rejected", rejected)] {
        core.metrics.set("suspects", state, count.into());
    }
}

/// Returns the path of the health check of an endpoint.
fn health_path(core: &Core, key: EndpointKey) -> Option<Rc<str>> {
    let steer = core.steer.borrow();
    let service = &steer.endpoint(key)?.record.service;
    Some(steer.catalog()?.service(service)?.health_path.clone())
}

async fn check(core: &Core, pool: &Pool, codec: &dyn HttpCodec, key: EndpointKey) {
    let target = Process::registered(core, key).zip(health_path(core, key));
    let Some((process, path)) = target else {
        return;
    };
    let addr = process.addr;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let host = HeaderValue::try_from(addr.to_string()).expect("an address is a valid header value");
    request.headers_mut().insert(header::HOST, host);
    core.metrics.count("checks", "health");
    let sent = core.now();
    let client = Client::new(addr);
    let call = client.call(request, CHECK_TIMEOUT, ANSWER_MAX_BYTES);
    // The limit counts the body too, so that checks of an endpoint do not add up.
    let cold = match tokio::time::timeout(CHECK_TIMEOUT, call).await {
        Ok(Ok(answer)) => {
            let health = codec.decode_health(&answer.into_parts().0);
            let same_endpoint = health.endpoint.as_ref().is_none_or(|e| *e == process.id);
            if same_endpoint {
                heed(core, pool, &process, health.signals, sent);
            }
            (health.healthy && same_endpoint).then_some(health.cold)
        }
        // The endpoint remains out of use and is checked again later.
        Ok(Err(_)) | Err(_) => None,
    };
    if let Some(cold) = cold {
        info!(core.log, "endpoint passed its health check and is usable again"; "endpoint" => %process.id,
            "cold_ms" => millis(cold));
    }
    let now = core.now();
    core.steer.borrow_mut().record_check(key, cold, now);
}
