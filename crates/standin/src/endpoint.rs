//! A stand-in for an endpoint, on a real socket, with slots, service times, load reports, drain and a
//! fault table.
//!
//! # Example
//!
//! ```
//! use wagtail_standin::endpoint::{self, Settings};
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! # runtime.block_on(async {
//! let running = endpoint::start(Settings::default()).await?;
//! assert_ne!(running.addr().port(), 0);
//! running.stop().await;
//! # Ok::<(), std::io::Error>(())
//! # })?;
//! # Ok::<(), std::io::Error>(())
//! ```

mod answer;
mod command;
mod faults;
mod handler;
mod load;
mod log;
mod server;
mod settings;

pub use answer::{AnswerError, check_answer};
pub use command::{CommandError, command};
pub use faults::{Fault, Faults, Report, Rule};
pub use log::{Entry, Log, Outcome};
pub use server::{Running, start};
pub use settings::Settings;

/// Names of the HTTP headers that an endpoint reads and writes.
pub mod header {
    /// Milliseconds left until the caller's deadline.
    pub const DEADLINE: &str = "x-wagtail-deadline-ms";
    /// SHA-256 digest of the answer's body, in hexadecimal.
    pub const DIGEST: &str = "x-wagtail-digest";
    /// Present on every answer of an endpoint that is leaving.
    pub const LEAVING: &str = "x-wagtail-leaving";
    /// Requests in flight and number of slots, such as `2/3`.
    pub const LOAD: &str = "x-wagtail-load";
    /// The caller's request id, which the answer repeats.
    pub const REQUEST_ID: &str = "x-request-id";
    /// The team for which the request runs.
    pub const TEAM: &str = "x-wagtail-team";
    /// Whether a failed request may have run: `not-run` or `may-have-run`.
    pub const VERDICT: &str = "x-wagtail-verdict";
}
