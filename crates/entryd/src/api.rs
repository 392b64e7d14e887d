//! HTTP interfaces of callers and operators.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, Query, State};
use axum::routing::{any, get, post};
use http::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use wagtail_config::{HostStatus, MemberState, MemberStatus};
use wagtail_member::{HostView, Mode, State as Liveness};
use wagtail_types::{Epoch, HostId, Reason, ServiceId, TeamId, Verdict, ZoneId};

use crate::answer;
use crate::drive;
use crate::host::Host;
use crate::intake;
use crate::request;
use crate::stats::Series;

/// Returns the routes for callers.
pub(crate) fn callers(host: Arc<Host>) -> Router {
    Router::new()
        .route("/v1/lookup", get(lookup))
        .route("/v1/keys", post(keys))
        .route("/v1/status", get(status))
        .route("/svc/{*path}", any(request::serve))
        .fallback(unknown)
        .method_not_allowed_fallback(unknown)
        .with_state(host)
}

/// Returns the routes for operators.
pub(crate) fn operators(host: Arc<Host>) -> Router {
    Router::new()
        .route("/v1/status", get(full_status))
        .route("/v1/histogram", get(histogram))
        .fallback(unknown)
        .method_not_allowed_fallback(unknown)
        .with_state(host)
}

async fn unknown(State(host): State<Arc<Host>>) -> Response<Body> {
    bad(&host, "there is no such path or method")
}

fn bad(host: &Host, detail: &str) -> Response<Body> {
    host.metrics.count("requests.malformed");
    answer::from_verdict(&Verdict::not_run(Reason::BadRequest, None), Some(detail))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LookupQuery {
    client: Option<IpAddr>,
    #[serde(default)]
    keys: usize,
}

/// The answer to a look-up.
#[derive(Debug, Serialize, Deserialize)]
pub struct Lookup {
    /// Entry hosts, best first.
    pub hosts: Vec<LookupHost>,
    /// How long the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The epoch of the configuration in force.
    pub epoch: Epoch,
    /// The site of the client's address; `None` if no block contains it.
    pub site: Option<String>,
    /// Idempotency keys issued by the host that answers.
    pub keys: Vec<String>,
}

/// An entry host in a [`Lookup`].
#[derive(Debug, Serialize, Deserialize)]
pub struct LookupHost {
    /// Its name in the configuration.
    pub host: HostId,
    /// The availability zone in which it runs, according to the configuration.
    pub zone: ZoneId,
    /// Its address for callers.
    pub address: SocketAddr,
}

async fn lookup(
    State(host): State<Arc<Host>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    query: Result<Query<LookupQuery>, axum::extract::rejection::QueryRejection>,
    mut headers: HeaderMap,
) -> Response<Body> {
    let Ok(Query(query)) = query else {
        return bad(&host, "client must be an IP address and keys a number");
    };
    let Ok(key) = intake::take_key(&mut headers) else {
        return bad(&host, "the key is malformed");
    };
    let digest = key.map(|k| intake::digest(k.as_bytes()));
    let team = request::team_of(&host, digest.as_ref());
    let client = query.client.unwrap_or(from.ip());
    host.metrics.count("lookups");
    answer::json(&find(
        &host,
        client,
        team.as_ref(),
        issue(&host, query.keys),
    ))
}

/// Builds the answer to a look-up.
pub(crate) fn find(
    host: &Host,
    client: IpAddr,
    team: Option<&TeamId>,
    keys: Vec<String>,
) -> Lookup {
    let (view, sites, directory) = (host.view.load(), host.sites.load(), host.directory.load());
    let site = sites.blocks.site(client);
    let hosts = directory
        .answer(site, client, team)
        .filter_map(|id| view.hosts().get(id))
        .map(|h| LookupHost {
            host: h.id.clone(),
            zone: h.zone.clone(),
            address: h.api,
        })
        .collect();
    Lookup {
        hosts,
        ttl_ms: u64::try_from(host.settings.times.lookup_ttl.as_millis()).unwrap_or(u64::MAX),
        epoch: view.epoch(),
        site: site
            .and_then(|s| sites.names.get(usize::from(s.0)))
            .map(ToString::to_string),
        keys,
    }
}

fn issue(host: &Arc<Host>, count: usize) -> Vec<String> {
    if count == 0 {
        return Vec::new();
    }
    let keys = host.dedup.lock().machine.issue(host.now(), count);
    drive::apply_dedup(host);
    keys.iter().map(ToString::to_string).collect()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysQuery {
    count: usize,
}

/// Idempotency keys issued by one host.
#[derive(Debug, Serialize, Deserialize)]
pub struct Keys {
    /// The host that issued them.
    pub host: HostId,
    /// New keys in text form, each a valid HTTP header value.
    pub keys: Vec<String>,
}

async fn keys(
    State(host): State<Arc<Host>>,
    query: Result<Query<KeysQuery>, axum::extract::rejection::QueryRejection>,
) -> Response<Body> {
    match query {
        Ok(Query(query)) => {
            let keys = issue(&host, query.count);
            answer::json(&Keys {
                host: host.settings.host.clone(),
                keys,
            })
        }
        Err(_) => bad(&host, "count must be a number"),
    }
}

async fn status(State(host): State<Arc<Host>>) -> Response<Body> {
    answer::json(&summary(&host, Map::new()))
}

async fn full_status(State(host): State<Arc<Host>>) -> Response<Body> {
    let now = host.now();
    let headroom: Vec<Value> = host
        .routing
        .lock()
        .machine
        .headroom(now)
        .into_iter()
        .map(|h| {
            serde_json::json!({
                "service": h.service, "slots": h.slots, "free": h.free, "ejected": h.ejected,
                "queued": h.queued, "region": h.region_free, "beyond": h.other_free,
            })
        })
        .collect();
    let freshness = host.membership.lock().machine.freshness(now);
    let trends = serde_json::to_value(host.stats.trends(now)).unwrap_or_default();
    let extra = serde_json::json!({
        "phase": host.lifecycle.phase(),
        "running": host.lifecycle.running(),
        "fresh_ms": freshness.map(|f| u64::try_from(f.as_millis()).unwrap_or(u64::MAX)),
        "headroom": headroom,
        "trends": trends,
        "issues": host.view.load().issues().iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    let Value::Object(extra) = extra else {
        return answer::json(&());
    };
    answer::json(&summary(&host, extra))
}

fn summary(host: &Host, extra: Map<String, Value>) -> HostStatus {
    let now = host.now();
    let members = {
        let membership = host.membership.lock();
        membership
            .machine
            .members()
            .map(|v| member(host, now, v))
            .collect()
    };
    HostStatus {
        host: host.settings.host.clone(),
        zone: host.settings.zone.clone(),
        epoch: host.view.load().epoch(),
        mode: match **host.mode.load() {
            Mode::Current => wagtail_config::Mode::Current,
            Mode::PlatformOut => wagtail_config::Mode::PlatformOut,
            Mode::CutOff { .. } => wagtail_config::Mode::CutOff,
        },
        members,
        extra,
    }
}

fn member(host: &Host, now: std::time::Instant, view: &HostView) -> MemberStatus {
    let own = view.info.host == host.settings.host;
    // A host that has been dead for longer than the staleness limit and a lease term has stopped or
    // refuses requests.
    let lapsed_after = host.settings.times.staleness + host.settings.times.lease_term;
    let lapsed = now.saturating_duration_since(view.state_since) > lapsed_after;
    let state = match view.state {
        _ if own => MemberState::Live,
        Liveness::Alive => MemberState::Live,
        Liveness::Leaving => MemberState::Leaving,
        Liveness::Dead | Liveness::Unknown if lapsed => MemberState::Lapsed,
        Liveness::Suspect | Liveness::Dead | Liveness::Unknown => MemberState::Suspect,
    };
    let epoch = if own {
        host.view.load().epoch()
    } else {
        view.epoch
    };
    MemberStatus {
        host: view.info.host.clone(),
        zone: view.info.zone.clone(),
        state,
        epoch,
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistogramQuery {
    team: TeamId,
    service: ServiceId,
}

async fn histogram(
    State(host): State<Arc<Host>>,
    query: Result<Query<HistogramQuery>, axum::extract::rejection::QueryRejection>,
) -> Response<Body> {
    let Ok(Query(query)) = query else {
        return bad(&host, "team and service must be names");
    };
    let series = Series {
        team: query.team,
        service: query.service,
    };
    let steps: Vec<BTreeMap<&str, f64>> = host
        .stats
        .histogram(&series)
        .into_iter()
        .map(|(quantile, millis, count)| {
            BTreeMap::from([
                ("quantile", quantile),
                ("ms", millis),
                ("count", count as f64),
            ])
        })
        .collect();
    answer::json(&steps)
}
