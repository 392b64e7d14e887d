//! Why a command failed, and the exit status that says so.

use derive_more::{Display, Error, From};
use wagtail_config::ConfigError;
use wagtail_store::{CommitError, PlatformError};

/// The failure of a command.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// A file or the input cannot be read.
    #[display("{name}: {reason}")]
    #[from(ignore)]
    Input {
        /// The file.
        name: String,
        /// What is wrong.
        reason: String,
    },
    /// Records have faults.
    #[display("{}", lines(_0))]
    Faulty(#[error(not(source))] Vec<ConfigError>),
    /// What is asked for is not there.
    #[display("{_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] String),
    /// A change was not committed.
    #[display("{}", shown(_0))]
    Commit(CommitError),
    /// The platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
}

impl CtlError {
    /// The exit status: 1 refused or raced, 2 usage, 4 platform out of reach or outcome unknown.
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

fn lines(faults: &[ConfigError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn shown(error: &CommitError) -> String {
    match error {
        CommitError::Faulty(faults) => lines(faults),
        CommitError::Platform(error) if error.may_have_applied() => {
            format!("{error}; the change may be in force: look with `get` before trying again")
        }
        CommitError::Platform(error) => format!("{error}; nothing was changed"),
        other => other.to_string(),
    }
}
