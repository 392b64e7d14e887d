//! The operators' command line.
//!
//! [`Operator`] carries out changes and says how far they have come; [`Logs`] tells what became of a
//! request; [`cli`] is the command line over them.

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
