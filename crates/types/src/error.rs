//! The error of every `FromStr` in this crate.

use derive_more::{Display, Error};

/// A text that does not have the form its type asks for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not a {what}: {reason}")]
pub struct ParseError {
    what: &'static str,
    text: String,
    reason: &'static str,
}

impl ParseError {
    /// Builds an error for `text`, which should have been a `what`.
    pub fn new(what: &'static str, text: &str, reason: &'static str) -> Self {
        const SHOWN_CHARS: usize = 64;
        let text = text.chars().take(SHOWN_CHARS).collect();
        Self { what, text, reason }
    }

    /// Why the text was turned down.
    pub fn reason(&self) -> &'static str {
        self.reason
    }
}
