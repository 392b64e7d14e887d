//! Periodic maintenance of the endpoint table, and health checks of endpoints that could not be
//! reached.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use slog::info;
use wagtail_steer::EndpointKey;
use wagtail_types::millis;

use crate::codec::HttpCodec;
use crate::connect::Client;
use crate::host::Core;
use crate::pool::Pool;
use crate::work::{Work, contain};

/// The period of endpoint maintenance; short compared with the time in which endpoints come and go.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(300);
/// The timeout of a health check; it leaves time for the check to wait in the endpoint's queue.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Runs the maintenance loop: removes lapsed endpoints, updates weights, closes expired idle
/// connections and starts the health checks that are due.
pub(crate) async fn maintain_endpoints(core: Rc<Core>, pool: Rc<Pool>, codec: Rc<dyn HttpCodec>) {
    loop {
        let now = core.now();
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
        pool.prune(now);
        for key in due {
            let (core, codec) = (core.clone(), codec.clone());
            tokio::task::spawn_local(async move {
                contain(&core, Work::HealthCheck, check(&core, &*codec, key)).await;
            });
        }
        tokio::time::sleep(MAINTENANCE_PERIOD).await;
    }
}

async fn check(core: &Core, codec: &dyn HttpCodec, key: EndpointKey) {
    let target = {
        let steer = core.steer.borrow();
        steer.endpoint(key).and_then(|e| {
            let service = steer.catalog()?.service(&e.record.service)?;
            Some((
                e.record.id.clone(),
                e.record.addr,
                service.health_path.clone(),
            ))
        })
    };
    let Some((id, addr, path)) = target else {
        return;
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let host = HeaderValue::try_from(addr.to_string()).expect("an address is a valid header value");
    request.headers_mut().insert(header::HOST, host);
    core.metrics.count("checks", "health");
    let cold = match Client::new(addr).call(request, CHECK_TIMEOUT).await {
        Ok(answer) => {
            let health = codec.decode_health(&answer.into_parts().0);
            let same_endpoint = health.endpoint.as_ref().is_none_or(|e| *e == id);
            (health.healthy && same_endpoint).then_some(health.cold)
        }
        // The endpoint remains out of use and is checked again later.
        Err(_) => None,
    };
    if let Some(cold) = cold {
        info!(core.log, "endpoint passed its health check and is usable again"; "endpoint" => %id,
            "cold_ms" => millis(cold));
    }
    let now = core.now();
    core.steer.borrow_mut().record_check(key, cold, now);
}
