//! Identifiers: names, which are short lower-case labels or were given by another system, and opaque
//! counters.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use rand::Rng;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::ParseError;

const NAME_MAX_CHARS: usize = 48;
/// The size in bytes of the longest name that another system may give.
const EXTERNAL_NAME_MAX_BYTES: usize = 1_024;

/// Checks a name that another system gave. It must be a valid value of an HTTP header, which some names
/// are sent in.
fn check_external_name(what: &'static str, text: &str) -> Result<(), ParseError> {
    let fail = |reason| Err(ParseError::new(what, text, reason));
    if text.is_empty() {
        return fail("it is empty");
    }
    if text.len() > EXTERNAL_NAME_MAX_BYTES {
        return fail("it is longer than 1024 bytes");
    }
    if text.contains(char::is_control) {
        return fail("it has control characters");
    }
    if text.trim() != text {
        return fail("it begins or ends with white space");
    }
    Ok(())
}

fn check_name(what: &'static str, text: &str) -> Result<(), ParseError> {
    let fail = |reason| Err(ParseError::new(what, text, reason));
    if text.is_empty() {
        return fail("it is empty");
    }
    if text.len() > NAME_MAX_CHARS {
        return fail("it is longer than 48 characters");
    }
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    if !text.bytes().all(is_allowed) {
        return fail("only a-z, 0-9, '-' and '.' are allowed");
    }
    if !text.as_bytes()[0].is_ascii_alphanumeric() {
        return fail("it must start with a letter or digit");
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Creates the id from a name that another system gave: any text of at most 1,024 bytes
            /// without control characters and without white space at its ends.
            ///
            /// # Errors
            ///
            /// [`ParseError`] if the text is not such a name.
            pub fn from_external(text: &str) -> Result<Self, ParseError> {
                check_external_name($what, text)?;
                Ok(Self(text.into()))
            }

            /// Deserializes a name that another system gave, like
            /// [`from_external`](Self::from_external).
            ///
            /// # Errors
            ///
            /// The error of the deserializer, also if the text is not such a name.
            pub fn deserialize_external<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                Self::from_external(&text).map_err(D::Error::custom)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name($what, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// The name of an entry host, stable over restarts.
    HostId,
    "host name"
);
name!(
    /// The name of an availability zone.
    ZoneId,
    "zone name"
);
name!(
    /// The name of a region, which holds one or more zones.
    RegionId,
    "region name"
);
name!(
    /// The name of a team: a customer, whose requests share one rate limit.
    TeamId,
    "team name"
);
name!(
    /// The name of a service that endpoints offer.
    ServiceId,
    "service name"
);
name!(
    /// The name of an endpoint, a back end that serves requests for one service.
    EndpointId,
    "endpoint name"
);
name!(
    /// The name of a site, to which blocks of client addresses map.
    SiteId,
    "site name"
);
name!(
    /// The name of a configuration record without an identifier type of its own, such as a move.
    RecordId,
    "record name"
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Display, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($what, text, "a whole number was expected"))
            }
        }
    };
}

number!(
    /// The version of the whole configuration, raised by every committed change.
    Epoch,
    "config epoch"
);
number!(
    /// One run of a host's process. A later run has a higher number.
    Incarnation,
    "incarnation"
);

/// A random 128-bit identifier of one attempt at an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:032x}")]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// Generates a random identifier.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl FromStr for AttemptId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("attempt id", text, "32 hexadecimal digits were expected");
        if text.len() != 32 {
            return Err(fail());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| fail())
    }
}

/// The SHA-256 digest of a team's API key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}…)", hex::encode(&self.0[..4]))
    }
}

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest).map_err(|_| {
            ParseError::new("key digest", text, "64 hexadecimal digits were expected")
        })?;
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
