//! The daemon on each entry host.
//!
//! [`start`] runs one entry host in this process. It answers look-ups, sends requests to endpoints,
//! and enforces quotas and at-most-once execution together with the other hosts.

mod answer;
mod api;
mod calls;
mod derived;
mod drive;
mod duty;
mod host;
mod intake;
mod job;
mod keyed;
mod lifecycle;
mod listed;
mod logs;
mod machine;
mod metrics;
mod paced;
pub mod periods;
mod relay;
mod reports;
mod request;
mod rows;
mod run;
mod server;
mod settings;
mod start;
mod stats;
mod tasks;
mod tracked;
mod upstream;

pub use api::{Keys, Lookup, LookupHost};
pub use duty::{Duty, DutyEnded};
pub use lifecycle::Phase;
pub use settings::{
    Action, Limits, LogFormat, Secret, Seed, Settings, SettingsError, Times, from_env, help,
};
pub use start::{Bound, Options, RunError, Running, bind, run, start};
pub use stats::{Summary, Trend};
