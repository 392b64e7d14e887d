//! The HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use wagtail_store::{
    BoxFuture, FailKind, Failure, Listed, ListedState, Objects, PlatformError, RowKey, Scan, Table,
    Txn,
};

use super::injector::{CallKind, Rejection};
use super::{Counters, Faults, Shared};

const MAX_OBJECT_BYTES: usize = 256 * 1024 * 1024;

type SharedState = State<Arc<Shared>>;

/// Marks a response that must not be sent; the connection is closed instead.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CutConnection;

pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/table/read", post(read))
        .route("/table/scan", post(scan))
        .route("/table/transact", post(transact))
        .route("/objects/{name}", get(get_object).put(put_object))
        .route("/hosts", get(list_hosts))
        .route("/hosts/{name}", put(set_host).delete(remove_host))
        .route("/faults", get(get_faults).put(set_faults))
        .route("/counters", get(counters))
        .layer(DefaultBodyLimit::max(MAX_OBJECT_BYTES))
        .with_state(shared)
}

async fn read(shared: SharedState, Json(key): Json<RowKey>) -> Response {
    run_call(&shared, CallKind::Read, || shared.memory.read(&key)).await
}

async fn scan(shared: SharedState, Json(scan): Json<Scan>) -> Response {
    run_call(&shared, CallKind::Read, || shared.memory.scan(&scan)).await
}

async fn transact(shared: SharedState, Json(txn): Json<Txn>) -> Response {
    run_call(&shared, CallKind::Write, || shared.memory.transact(&txn)).await
}

async fn put_object(shared: SharedState, Path(name): Path<String>, bytes: Bytes) -> Response {
    run_call(&shared, CallKind::Write, || shared.memory.put(&name, bytes)).await
}

async fn get_object(shared: SharedState, Path(name): Path<String>) -> Response {
    if let Err(rejection) = shared.injector.admit(CallKind::Read).await {
        return rejection_response(rejection);
    }
    match shared.memory.get(&name).await {
        Ok(Some(bytes)) => bytes.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => error_response(error),
    }
}

async fn list_hosts(shared: SharedState) -> Response {
    if let Err(rejection) = shared.injector.admit(CallKind::Read).await {
        return rejection_response(rejection);
    }
    let lag = Duration::from_millis(shared.injector.faults.get().hosts_lag_ms);
    Json(shared.hosts.read(lag)).into_response()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostBody {
    zone: String,
    state: ListedState,
}

async fn set_host(shared: SharedState, Path(name): Path<String>, Json(body): Json<HostBody>) {
    let HostBody { zone, state } = body;
    shared.hosts.set(Listed { name, zone, state });
}

async fn remove_host(shared: SharedState, Path(name): Path<String>) {
    shared.hosts.remove(name);
}

async fn get_faults(shared: SharedState) -> Json<Faults> {
    Json(shared.injector.faults.get())
}

async fn set_faults(shared: SharedState, Json(faults): Json<Faults>) {
    shared.injector.faults.set(faults);
}

async fn counters(shared: SharedState) -> Json<Counters> {
    Json(shared.injector.faults.counters())
}

/// Runs a call if the fault injector admits it, and answers unless the answer is to be dropped.
async fn run_call<'a, T: Serialize>(
    shared: &Shared,
    call_kind: CallKind,
    call: impl FnOnce() -> BoxFuture<'a, T>,
) -> Response {
    if let Err(rejection) = shared.injector.admit(call_kind).await {
        return rejection_response(rejection);
    }
    let result = call().await;
    if call_kind == CallKind::Write && result.is_ok() && shared.injector.drops_answer() {
        return cut_response();
    }
    match result {
        Ok(value) => Json(value).into_response(),
        Err(error) => error_response(error),
    }
}

fn rejection_response(rejection: Rejection) -> Response {
    match rejection {
        Rejection::Cut => cut_response(),
        Rejection::Refused(error) => error_response(error),
    }
}

fn cut_response() -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    response.extensions_mut().insert(CutConnection);
    response
}

fn error_response(error: PlatformError) -> Response {
    let failure = Failure::from(error);
    let status = match failure.kind {
        FailKind::Conflict => StatusCode::CONFLICT,
        FailKind::NotApplied => StatusCode::TOO_MANY_REQUESTS,
        FailKind::Unknown => StatusCode::INTERNAL_SERVER_ERROR,
    };
    (status, Json(failure)).into_response()
}
