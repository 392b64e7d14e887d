//! Messages about the configuration between hosts.

use serde::{Deserialize, Serialize};
use wagtail_types::{Epoch, ParseError};

use crate::{Cursor, Page};

/// Lists the messages between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Message {
    /// The sender has adopted this epoch.
    Epoch {
        /// The highest epoch that the sender holds; zero if it has no configuration.
        epoch: Epoch,
    },
    /// The sender has adopted the head of this page by applying its rows.
    Push {
        /// Every row changed after `page.since`.
        page: Page,
    },
    /// The sender asks for the rows changed since an epoch.
    Pull {
        /// The request number, which the answer repeats.
        request: u64,
        /// The epoch that the sender has.
        since: Epoch,
        /// The row to resume after; `None` to start right after `since`.
        after: Option<Cursor>,
    },
    /// The answer to a pull.
    Page {
        /// The request number of the pull.
        request: u64,
        /// The rows after the pull's position; another pull must follow if `page.more` is set.
        page: Page,
    },
}

impl Message {
    /// Encodes the message as JSON.
    ///
    /// # Panics
    ///
    /// Never panics, because every message can be written as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("messages are plain JSON")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ParseError> {
        let fail = |_| {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(64)]);
            ParseError::new("config message", &text, "it is malformed")
        };
        serde_json::from_slice(bytes).map_err(fail)
    }
}
