//! The two kinds of idempotency key and their text forms.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use wagtail_types::{HostId, Incarnation, ParseError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ISSUED_PREFIX: &str = "wt1-";
const CHOSEN_MAX_CHARS: usize = 128;

/// An idempotency key that a host handed out and that only this host runs.
///
/// The text form, fit for an HTTP header, is `wt1-INCARNATION-COUNTER-CHECK-HOST` with the numbers
/// in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// The host that issued the key.
    pub host: HostId,
    /// The life of the host that issued the key.
    pub incarnation: Incarnation,
    /// The number of the key in that life.
    pub counter: u64,
    check: u64,
}

impl IssuedKey {
    /// Builds a key with its check, which depends on the fleet's `seed`.
    pub fn new(host: HostId, incarnation: Incarnation, counter: u64, seed: u64) -> Self {
        let check = check(&host, incarnation, counter, seed);
        Self {
            host,
            incarnation,
            counter,
            check,
        }
    }

    /// Whether the check fits the rest of the key under the fleet's `seed`.
    pub fn verify(&self, seed: u64) -> bool {
        self.check == check(&self.host, self.incarnation, self.counter, seed)
    }
}

fn check(host: &HostId, incarnation: Incarnation, counter: u64, seed: u64) -> u64 {
    let mut text = Vec::with_capacity(host.as_str().len() + 16);
    text.extend_from_slice(&incarnation.0.to_be_bytes());
    text.extend_from_slice(&counter.to_be_bytes());
    text.extend_from_slice(host.as_str().as_bytes());
    xxh3_64_with_seed(&text, seed)
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{ISSUED_PREFIX}{:x}-{:x}-{:016x}-{}",
            self.incarnation.0, self.counter, self.check, self.host
        )
    }
}

impl FromStr for IssuedKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = |reason| ParseError::new("host-issued idempotency key", text, reason);
        let rest = text
            .strip_prefix(ISSUED_PREFIX)
            .ok_or_else(|| fail("it must start with wt1-"))?;
        let mut parts = rest.splitn(4, '-');
        let mut part = || {
            parts
                .next()
                .ok_or_else(|| fail("four parts were expected after wt1-"))
        };
        let hex = |part: &str| {
            let plain = part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
            u64::from_str_radix(if plain { part } else { "" }, 16)
                .map_err(|_| fail("the numbers must be lower-case hexadecimal of 64 bits"))
        };
        let incarnation = Incarnation(hex(part()?)?);
        let counter = hex(part()?)?;
        let check = hex(part()?)?;
        let host = part()?
            .parse()
            .map_err(|_| fail("it must end with a host name"))?;
        Ok(Self {
            host,
            incarnation,
            counter,
            check,
        })
    }
}

/// An idempotency key that a caller made up; it counts within one team and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ChosenKey(Arc<str>);

impl ChosenKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ChosenKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = |reason| Err(ParseError::new("idempotency key", text, reason));
        if text.is_empty() || text.len() > CHOSEN_MAX_CHARS {
            return fail("1 to 128 characters are allowed");
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return fail("only visible ASCII characters are allowed");
        }
        if text.starts_with(ISSUED_PREFIX) {
            return fail("the start wt1- is kept for keys that hosts issue");
        }
        Ok(Self(text.into()))
    }
}

/// The idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Key {
    /// A key that a host handed out.
    Issued(IssuedKey),
    /// A key that the caller made up.
    Chosen(ChosenKey),
}

impl FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.starts_with(ISSUED_PREFIX) {
            text.parse().map(Self::Issued)
        } else {
            text.parse().map(Self::Chosen)
        }
    }
}
