//! The error type of every `FromStr` in this crate.

use derive_more::{Display, Error};

/// The error for a text that does not have the form which its type requires.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not a {what}: {reason}")]
pub struct ParseError {
    what: &'static str,
    text: String,
    reason: &'static str,
}

impl ParseError {
    /// Creates an error for `text`, which should have been a `what`. Only the first 64 characters
    /// of `text` are kept.
    pub fn new(what: &'static str, text: &str, reason: &'static str) -> Self {
        const MAX_SHOWN_CHARS: usize = 64;
        let text = text.chars().take(MAX_SHOWN_CHARS).collect();
        Self { what, text, reason }
    }

    /// Returns why the text was rejected.
    pub fn reason(&self) -> &'static str {
        self.reason
    }
}
