//! The HTTP interface.

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

use super::gate::{Access, Stopped};
use super::{Counters, Faults, Shared};

const MAX_OBJECT_BYTES: usize = 256 * 1024 * 1024;

type Handle = State<Arc<Shared>>;

/// Marks a response whose connection is to be cut in its place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cut;

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

async fn read(shared: Handle, Json(key): Json<RowKey>) -> Response {
    carry_out(&shared, Access::Read, || shared.memory.read(&key)).await
}

async fn scan(shared: Handle, Json(scan): Json<Scan>) -> Response {
    carry_out(&shared, Access::Read, || shared.memory.scan(&scan)).await
}

async fn transact(shared: Handle, Json(txn): Json<Txn>) -> Response {
    carry_out(&shared, Access::Write, || shared.memory.transact(&txn)).await
}

async fn put_object(shared: Handle, Path(name): Path<String>, bytes: Bytes) -> Response {
    carry_out(&shared, Access::Write, || shared.memory.put(&name, bytes)).await
}

async fn get_object(shared: Handle, Path(name): Path<String>) -> Response {
    if let Err(stopped) = shared.gate.enter(Access::Read).await {
        return stop(stopped);
    }
    match shared.memory.get(&name).await {
        Ok(Some(bytes)) => bytes.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => fail(error),
    }
}

async fn list_hosts(shared: Handle) -> Response {
    if let Err(stopped) = shared.gate.enter(Access::Read).await {
        return stop(stopped);
    }
    let lag = Duration::from_millis(shared.gate.faults.get().hosts_lag_ms);
    Json(shared.hosts.read(lag)).into_response()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostBody {
    zone: String,
    state: ListedState,
}

async fn set_host(shared: Handle, Path(name): Path<String>, Json(body): Json<HostBody>) {
    let HostBody { zone, state } = body;
    shared.hosts.set(Listed { name, zone, state });
}

async fn remove_host(shared: Handle, Path(name): Path<String>) {
    shared.hosts.remove(name);
}

async fn get_faults(shared: Handle) -> Json<Faults> {
    Json(shared.gate.faults.get())
}

async fn set_faults(shared: Handle, Json(faults): Json<Faults>) {
    shared.gate.faults.set(faults);
}

async fn counters(shared: Handle) -> Json<Counters> {
    Json(shared.gate.faults.counters())
}

/// Passes a call through the gate, runs it and answers, unless the answer is to be lost.
async fn carry_out<'a, T: Serialize>(
    shared: &Shared,
    access: Access,
    call: impl FnOnce() -> BoxFuture<'a, T>,
) -> Response {
    if let Err(stopped) = shared.gate.enter(access).await {
        return stop(stopped);
    }
    let result = call().await;
    if access == Access::Write && result.is_ok() && shared.gate.loses_answer() {
        return cut();
    }
    match result {
        Ok(value) => Json(value).into_response(),
        Err(error) => fail(error),
    }
}

fn stop(stopped: Stopped) -> Response {
    match stopped {
        Stopped::Cut => cut(),
        Stopped::Refused(error) => fail(error),
    }
}

fn cut() -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    response.extensions_mut().insert(Cut);
    response
}

fn fail(error: PlatformError) -> Response {
    let failure = Failure::from(error);
    let status = match failure.kind {
        FailKind::Conflict => StatusCode::CONFLICT,
        FailKind::NotApplied => StatusCode::TOO_MANY_REQUESTS,
        FailKind::Unknown => StatusCode::INTERNAL_SERVER_ERROR,
    };
    (status, Json(failure)).into_response()
}
