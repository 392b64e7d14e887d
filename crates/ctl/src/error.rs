//! Errors of commands and their exit statuses.

use derive_more::{Display, Error, From};
use wagtail_config::ConfigError;
use wagtail_store::{CommitError, PlatformError};

/// Reports why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// A file or the input cannot be read, or the output cannot be written.
    #[display("{name}: {reason}")]
    #[from(ignore)]
    Input {
        /// The file, or `-`, `key` or `output`.
        name: String,
        /// Why it failed.
        reason: String,
    },
    /// Records are invalid.
    #[display("{}", join_lines(_0))]
    Faulty(#[error(not(source))] Vec<ConfigError>),
    /// The requested record, host or log line does not exist.
    #[display("{_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] String),
    /// The change was not committed, or its outcome is unknown.
    #[display("{}", describe_commit_error(_0))]
    Commit(CommitError),
    /// A call to the platform or to an entry host failed.
    #[display("{_0}")]
    Platform(PlatformError),
}

impl CtlError {
    /// Returns the exit status: 1 if refused, faulty, unreadable, not found or raced by another
    /// operator, 2 for wrong usage, 4 if the platform or the entry hosts cannot be reached, the
    /// platform rejected the call or the outcome is unknown.
    pub fn status(&self) -> u8 {
        const REFUSED: u8 = 1;
        const USAGE: u8 = 2;
        const PLATFORM: u8 = 4;
        match self {
            Self::Usage(_) => USAGE,
            Self::Platform(error) | Self::Commit(CommitError::Platform(error)) => match error {
                PlatformError::Conflict { .. } => REFUSED,
                _ => PLATFORM,
            },
            _ => REFUSED,
        }
    }
}

fn join_lines(faults: &[ConfigError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn describe_commit_error(error: &CommitError) -> String {
    match error {
        CommitError::Faulty(faults) => join_lines(faults),
        CommitError::Platform(error) if error.may_have_applied() => {
            format!("{error}; the change may be in force; check with `get` before retrying")
        }
        CommitError::Platform(error) => format!("{error}; nothing was changed"),
        other => other.to_string(),
    }
}
