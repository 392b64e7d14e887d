//! What hosts tell one another about the configuration.

use serde::{Deserialize, Serialize};
use wagtail_types::{Epoch, ParseError};

use crate::{Cursor, Page};

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Message {
    /// The sender has adopted this epoch.
    Epoch {
        /// The epoch.
        epoch: Epoch,
    },
    /// The sender has adopted the head of this page, and these are the rows that led there.
    Push {
        /// Every row changed after `page.since`.
        page: Page,
    },
    /// Asks for the rows changed since an epoch.
    Pull {
        /// The number that the answer bears.
        request: u64,
        /// The epoch that the asker builds on.
        since: Epoch,
        /// Where to go on.
        after: Option<Cursor>,
    },
    /// The answer to a pull.
    Page {
        /// The number of the pull.
        request: u64,
        /// The rows.
        page: Page,
    },
}

impl Message {
    /// The message as bytes.
    ///
    /// # Panics
    ///
    /// Does not: every message can be written as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("messages are plain JSON")
    }

    /// Reads a message back.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ParseError> {
        let fail = |_| {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(64)]);
            ParseError::new("config message", &text, "it is malformed")
        };
        serde_json::from_slice(bytes).map_err(fail)
    }
}
