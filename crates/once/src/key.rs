//! Idempotency keys, issued by a host or chosen by a caller, and their text forms.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use wagtail_types::{HostId, Incarnation, ParseError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ISSUED_PREFIX: &str = "wt1-";
const CHOSEN_MAX_CHARS: usize = 128;

/// How many bits of the number in a key's text hold the counter; the tag takes the others.
const COUNTER_BITS: u32 = 48;
/// The tag of keys that earlier builds have issued.
const NO_TAG: u64 = 0;

/// An idempotency key issued by a host, the only one that may run requests under it.
///
/// The text form is `wt1-INCARNATION-NUMBER-CHECKSUM-HOST`, with the numbers in hexadecimal; it is
/// a valid HTTP header value. The upper bits of the number are a tag of the fleet, its other bits
/// are the counter. Earlier builds, which know no tag, take the whole number for the counter and
/// pass such a key on to its issuer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// The host that issued the key.
    pub host: HostId,
    /// The incarnation of the host that issued the key.
    pub incarnation: Incarnation,
    /// The sequence number of the key within that incarnation, from 0.
    pub counter: u64,
    tag: u64,
    checksum: u64,
}

/// What the checksum and the tag of a key tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A host of this fleet has issued it.
    Fleet,
    /// It has no tag: a host with an earlier build has issued it.
    Untagged,
    /// A host of another fleet has issued it, or one of this fleet before its secret was changed.
    Elsewhere,
    /// No host has issued it.
    Nowhere,
}

impl IssuedKey {
    /// Creates a key with the tag that follows from the fleet's `seed`.
    pub fn new(host: HostId, incarnation: Incarnation, counter: u64, seed: u64) -> Self {
        let mut key = Self {
            host,
            incarnation,
            counter,
            tag: NO_TAG,
            checksum: 0,
        };
        key.tag = key.expected_tag(seed);
        key.checksum = key.expected_checksum();
        key
    }

    /// Returns where the key comes from, as seen in the fleet with `seed`.
    pub(crate) fn origin(&self, seed: u64) -> Origin {
        if self.checksum != self.expected_checksum() {
            Origin::Nowhere
        } else if self.tag == NO_TAG {
            Origin::Untagged
        } else if self.tag == self.expected_tag(seed) {
            Origin::Fleet
        } else {
            Origin::Elsewhere
        }
    }

    fn expected_tag(&self, seed: u64) -> u64 {
        (self.hash(self.counter, seed) >> COUNTER_BITS).max(NO_TAG + 1)
    }

    fn expected_checksum(&self) -> u64 {
        const SEED: u64 = 0;
        self.hash(self.number(), SEED)
    }

    /// Returns the number in the text of the key.
    fn number(&self) -> u64 {
        self.tag << COUNTER_BITS | self.counter
    }

    fn hash(&self, number: u64, seed: u64) -> u64 {
        let host = self.host.as_str().as_bytes();
        let mut input = Vec::with_capacity(host.len() + 16);
        input.extend_from_slice(&self.incarnation.0.to_be_bytes());
        input.extend_from_slice(&number.to_be_bytes());
        input.extend_from_slice(host);
        xxh3_64_with_seed(&input, seed)
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{ISSUED_PREFIX}{:x}-{:x}-{:016x}-{}",
            self.incarnation.0,
            self.number(),
            self.checksum,
            self.host
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
        let number = hex(part()?)?;
        let checksum = hex(part()?)?;
        let host = part()?
            .parse()
            .map_err(|_| fail("it must end with a host name"))?;
        Ok(Self {
            host,
            incarnation,
            counter: number & ((1 << COUNTER_BITS) - 1),
            tag: number >> COUNTER_BITS,
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
