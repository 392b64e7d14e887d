//! The operators' command line.
//!
//! [`Operator`] commits configuration changes and reports whether hosts have adopted them; [`Logs`]
//! explains the outcome of a request; [`cli`] parses the command line and calls them.

pub mod cli;
mod error;
mod explain;
mod operator;
mod spec;
mod watch;

pub use error::CtlError;
pub use explain::Logs;
pub use operator::{Operator, OperatorSettings, Outcome};
pub use spec::{DrainSpec, MoveSpec, key_digest};
