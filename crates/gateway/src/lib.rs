//! An entry host that sends callers' requests straight to endpoints.
//!
//! [`run`] serves one host on one thread. The protocols of callers, endpoints and the registry are
//! implemented behind [`HttpCodec`] and [`Registry`]; all routing decisions are made by
//! `wagtail-steer`.

mod admin;
mod check;
mod codec;
mod connect;
mod exchange;
mod follow;
mod host;
mod logs;
mod memory;
mod metrics;
mod pool;
mod records;
mod registry;
mod request;
mod run;
mod server;
mod settings;
mod signals;
mod stop;
mod supervisor;
mod suspects;
mod tracker;
mod work;

pub use codec::{
    Dispatch, Execution, Health, HttpCodec, InvalidRequest, RequestHead, ResponseHead, Signals,
};
pub use connect::{CallError, Client, RESPONSE_MAX_BYTES};
pub use logs::{LogFlusher, log_panics, stdout_logger};
pub use registry::{Answer, Entry, Fetched, Registry, RegistryError, Topic};
pub use run::{RunError, run};
pub use settings::{Listen, Settings};
pub use supervisor::{Duty, DutyEnded};
