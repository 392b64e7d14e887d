//! Record kinds and keys.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtail_types::ParseError;

const MAX_PART_CHARS: usize = 48;

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $label:literal,)*) => {
        /// Lists the kinds of record that this build knows.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub enum Kind {
            $($(#[$doc])* #[display($label)] $kind,)*
        }

        impl Kind {
            /// Every kind, ordered so that a kind comes before the kinds that refer to it.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the name of the kind in records.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $label,)*
                }
            }
        }
    };
}

kinds! {
    /// A region and its one-way delays.
    Region => "region",
    /// An availability zone of a region.
    Zone => "zone",
    /// An entry host, its zone and its addresses.
    Host => "host",
    /// A service that endpoints offer.
    Service => "service",
    /// An endpoint of a service.
    Endpoint => "endpoint",
    /// A team, its rate and its entitlements.
    Team => "team",
    /// A planned move of traffic between regions.
    Move => "move",
    /// A drain of an endpoint, zone or region.
    Drain => "drain",
    /// A site that client blocks map to.
    Site => "site",
    /// One part of the client blocks.
    Blocks => "blocks",
}

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::ALL
            .iter()
            .copied()
            .find(|k| k.as_str() == text)
            .ok_or_else(|| ParseError::new("record kind", text, "it is not a known kind"))
    }
}

/// Identifies a record by its kind, which this build need not know, and its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
#[display("{kind}/{name}")]
pub struct RecordKey {
    kind: String,
    name: String,
}

impl RecordKey {
    /// Creates a key, written `kind/name`.
    ///
    /// # Errors
    ///
    /// Fails if either part is empty, is longer than 48 characters or holds characters other than
    /// `a-z`, `0-9`, `-` and `.`.
    pub fn new(kind: &str, name: &str) -> Result<Self, ParseError> {
        check_part("record kind", kind)?;
        check_part("record name", name)?;
        Ok(Self {
            kind: kind.to_owned(),
            name: name.to_owned(),
        })
    }

    /// Returns the kind as text, whether or not this build knows it.
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Returns the kind if this build knows it.
    pub fn known_kind(&self) -> Option<Kind> {
        self.kind.parse().ok()
    }

    /// Returns the name, which is unique within the kind.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl FromStr for RecordKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("record key", text, "a form like team/archive was expected");
        let (kind, name) = text.split_once('/').ok_or_else(fail)?;
        Self::new(kind, name)
    }
}

impl TryFrom<String> for RecordKey {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<RecordKey> for String {
    fn from(key: RecordKey) -> String {
        key.to_string()
    }
}

fn check_part(subject: &'static str, text: &str) -> Result<(), ParseError> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    if text.is_empty() || text.len() > MAX_PART_CHARS {
        return Err(ParseError::new(
            subject,
            text,
            "1 to 48 characters are allowed",
        ));
    }
    if !text.bytes().all(is_allowed) {
        return Err(ParseError::new(
            subject,
            text,
            "only a-z, 0-9, '-' and '.' are allowed",
        ));
    }
    Ok(())
}
