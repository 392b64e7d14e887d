//! Idempotency keys, issued by a host or chosen by a caller, and their text forms.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use wagtail_types::{HostId, Incarnation, ParseError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ISSUED_PREFIX: &str = "wt1-";
const CHOSEN_MAX_CHARS: usize = 128;

/// An idempotency key issued by a host, the only one that may run requests under it.
///
/// The text form is `wt1-INCARNATION-COUNTER-CHECKSUM-HOST`, with the numbers in hexadecimal; it is
/// a valid HTTP header value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// The host that issued the key.
    pub host: HostId,
    /// The incarnation of the host that issued the key.
    pub incarnation: Incarnation,
    /// The sequence number of the key within that incarnation, from 0.
    pub counter: u64,
    checksum: u64,
}

impl IssuedKey {
    /// Creates a key and computes its checksum with the fleet's `seed`.
    pub fn new(host: HostId, incarnation: Incarnation, counter: u64, seed: u64) -> Self {
        let checksum = checksum(&host, incarnation, counter, seed);
        Self {
            host,
            incarnation,
            counter,
            checksum,
        }
    }

    /// Returns whether the checksum matches the rest of the key under the fleet's `seed`.
    pub fn verify(&self, seed: u64) -> bool {
        self.checksum == checksum(&self.host, self.incarnation, self.counter, seed)
    }
}

fn checksum(host: &HostId, incarnation: Incarnation, counter: u64, seed: u64) -> u64 {
    let mut input = Vec::with_capacity(host.as_str().len() + 16);
    input.extend_from_slice(&incarnation.0.to_be_bytes());
    input.extend_from_slice(&counter.to_be_bytes());
    input.extend_from_slice(host.as_str().as_bytes());
    xxh3_64_with_seed(&input, seed)
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{ISSUED_PREFIX}{:x}-{:x}-{:016x}-{}",
            self.incarnation.0, self.counter, self.checksum, self.host
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
                .ok_or_else(|| fail("four parts are required after wt1-"))
        };
        let hex = |part: &str| {
            let is_lower_hex = part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
            u64::from_str_radix(if is_lower_hex { part } else { "" }, 16)
                .map_err(|_| fail("the numbers must be lower-case hexadecimal of 64 bits"))
        };
        let incarnation = Incarnation(hex(part()?)?);
        let counter = hex(part()?)?;
        let checksum = hex(part()?)?;
        let host = part()?
            .parse()
            .map_err(|_| fail("it must end with a host name"))?;
        Ok(Self {
            host,
            incarnation,
            counter,
            checksum,
        })
    }
}

/// An idempotency key chosen by a caller; its scope is one team and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ChosenKey(Arc<str>);

impl ChosenKey {
    /// Returns the key as text.
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
            return fail("the prefix wt1- is reserved for host-issued keys");
        }
        Ok(Self(text.into()))
    }
}

/// The idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Key {
    /// A key issued by a host.
    Issued(IssuedKey),
    /// A key chosen by the caller.
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
