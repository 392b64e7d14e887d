//! The operators' command line.
//!
//! [`Operator`] carries out changes and says how far they have come; [`cli`] is the command line
//! over it.

pub mod cli;
mod error;
mod operator;
mod spec;
mod watch;

pub use error::CtlError;
pub use operator::{Operator, OperatorSettings, Outcome};
pub use spec::{DrainSpec, MoveSpec, key_digest};
