//! Health and load that endpoints report, in response headers and to health checks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Body;
use http::header::{HeaderMap, HeaderName};
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use wagtail_config::Endpoint;
use wagtail_route::{Health, Input, Report};
use wagtail_types::{EndpointId, Share};

use crate::drive;
use crate::host::Host;

/// Header with which an endpoint announces that it is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-wagtail-leaving");
/// Header with an endpoint's requests in flight and its slots, as `in flight/slots`.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-wagtail-load");
const HEALTH_PATH: &str = "/.health";
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
const HEALTH_PERIOD: Duration = Duration::from_secs(1);
const HEALTH_MAX_BYTES: usize = 4_096;

/// The time of each endpoint's last report in a response.
#[derive(Debug, Default)]
pub(crate) struct LastReports(Mutex<HashMap<EndpointId, Instant>>);

impl LastReports {
    fn record(&self, endpoint: &EndpointId, now: Instant) {
        let mut last_reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match last_reports.get_mut(endpoint) {
            Some(at) => *at = now,
            None => drop(last_reports.insert(endpoint.clone(), now)),
        }
    }

    fn is_recent(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let last_reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let age = |at: &Instant| now.saturating_duration_since(*at);
        last_reports
            .get(endpoint)
            .is_some_and(|at| age(at) < HEALTH_PERIOD)
    }

    /// Removes endpoints for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&EndpointId) -> bool) {
        let mut last_reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        last_reports.retain(|endpoint, _| keep(endpoint));
    }
}

/// Passes health and load in the headers of a response to the router.
pub(crate) fn read_headers(host: &Arc<Host>, endpoint: &EndpointId, headers: &HeaderMap) {
    let leaving = headers.contains_key(LEAVING);
    let load = headers.get(LOAD).and_then(|v| parse_load(v.to_str().ok()?));
    if leaving || load.is_some() {
        host.last_reports.record(endpoint, host.now());
        let health = if leaving {
            Health::Leaving
        } else {
            Health::Serving
        };
        submit(host, endpoint, health, load);
    }
}

/// Checks the health of endpoints periodically: of those that this host may connect to and that
/// have not reported in a recent response.
///
/// Never returns.
pub(crate) async fn probe_all(host: Arc<Host>) {
    let mut period = tokio::time::interval(HEALTH_PERIOD);
    loop {
        period.tick().await;
        let view = host.view.load_full();
        let now = host.now();
        for endpoint in view.endpoints().values() {
            if may_connect(&host, endpoint) && !host.last_reports.is_recent(&endpoint.id, now) {
                tokio::spawn(probe(host.clone(), endpoint.clone()));
            }
        }
    }
}

/// Returns whether this host may open connections to an endpoint.
fn may_connect(host: &Host, endpoint: &Endpoint) -> bool {
    let routing = host.routing.lock();
    let service = routing.machine.service(&endpoint.service);
    let connections = service.and_then(|s| routing.machine.connections(s, &endpoint.id));
    connections.is_some_and(|connections| connections > 0)
}

async fn probe(host: Arc<Host>, endpoint: Arc<Endpoint>) {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = http::Uri::from_static(HEALTH_PATH);
    let answer = host
        .upstreams
        .send(endpoint.addr, request, HEALTH_TIMEOUT)
        .await;
    let (health, load) = match answer {
        Ok(response) => read_status(response).await,
        Err(_) => (Health::Unhealthy, None),
    };
    submit(&host, &endpoint.id, health, load);
}

#[derive(Debug, Deserialize)]
struct Status {
    state: String,
    load: Option<String>,
}

async fn read_status(response: Response<Body>) -> (Health, Option<Share>) {
    if !response.status().is_success() {
        return (Health::Unhealthy, None);
    }
    let body = Limited::new(response.into_body(), HEALTH_MAX_BYTES)
        .collect()
        .await;
    let status = body
        .ok()
        .and_then(|b| serde_json::from_slice::<Status>(&b.to_bytes()).ok());
    match status {
        None => (Health::Unhealthy, None),
        Some(status) => {
            let leaving = status.state == "leaving";
            let health = if leaving {
                Health::Leaving
            } else {
                Health::Serving
            };
            (health, status.load.as_deref().and_then(parse_load))
        }
    }
}

fn submit(host: &Arc<Host>, endpoint: &EndpointId, health: Health, load: Option<Share>) {
    let input = match (health, load) {
        (Health::Leaving, _) => Input::Leaving(endpoint.clone()),
        (health, load) => Input::Report(Report {
            endpoint: endpoint.clone(),
            health,
            load: load.unwrap_or_default(),
            incarnation: 0,
            age: Duration::ZERO,
        }),
    };
    drive::route_input(host, input);
}

/// Parses `in flight/slots` into the share of slots in use.
fn parse_load(text: &str) -> Option<Share> {
    let (used, slots) = text.split_once('/')?;
    let (used, slots): (u64, u64) = (used.parse().ok()?, slots.parse().ok()?);
    let ppm = used.checked_mul(1_000_000)?.checked_div(slots)?;
    Share::from_ppm(u32::try_from(ppm.min(1_000_000)).ok()?)
}
