//! Byte counts, byte rates and shares of a whole.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ParseError;

const BITS_PER_BYTE: u64 = 8;
const KIB: u64 = 1024;
const MILLION: u64 = 1_000_000;

/// A size in bytes. Parses `4096`, `64KiB`, `16MiB` or `1GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Display)]
#[display("{_0}B")]
pub struct Bytes(pub u64);

impl Bytes {
    /// Returns a part of the size; `part` is between 0 and 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a size is a size"
    )]
    pub fn part(self, part: f64) -> Self {
        Self((self.0 as f64 * part.clamp(0.0, 1.0)) as u64)
    }

    /// Returns the size as a `usize`, or `usize::MAX` if it does not fit.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let units = [
            ("KiB", KIB),
            ("MiB", KIB * KIB),
            ("GiB", KIB * KIB * KIB),
            ("B", 1),
        ];
        parse_unit("size", text, &units, 1).map(Self)
    }
}

/// A rate in bytes per second. Parses `500KB/s`, `4Gbit/s` or a plain number of bytes per second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Display, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
#[display("{_0}B/s")]
pub struct ByteRate(pub u64);

impl FromStr for ByteRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const BYTES_PER_GBIT: u64 = 1_000 * MILLION / BITS_PER_BYTE;
        let units = [
            ("Gbit/s", BYTES_PER_GBIT),
            ("Mbit/s", MILLION / BITS_PER_BYTE),
            ("MB/s", MILLION),
            ("KB/s", 1_000),
            ("B/s", 1),
        ];
        parse_unit("byte rate", text, &units, 1).map(Self)
    }
}

impl TryFrom<String> for ByteRate {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ByteRate> for String {
    fn from(rate: ByteRate) -> String {
        rate.to_string()
    }
}

/// A share of a whole, from 0 to 100 %, in millionths. Parses `12.5%` or `0.125`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Share(u32);

impl Share {
    /// Nothing (0 %), which is also the default.
    pub const NONE: Self = Self(0);
    /// The whole (100 %).
    pub const ALL: Self = Self(1_000_000);

    /// Creates a share from millionths, or returns `None` if that is more than the whole.
    pub const fn from_ppm(ppm: u32) -> Option<Self> {
        if ppm > 1_000_000 {
            None
        } else {
            Some(Self(ppm))
        }
    }

    /// Returns the share in millionths.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the share as a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / MILLION as f64
    }

    /// Returns this share of `count`, rounded down.
    pub fn of(self, count: u64) -> u64 {
        let part = u128::from(count) * u128::from(self.0) / u128::from(MILLION);
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / 10_000, self.0 % 10_000);
        if part == 0 {
            return write!(f, "{whole}%");
        }
        let digits = format!("{part:04}");
        write!(f, "{whole}.{}%", digits.trim_end_matches('0'))
    }
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || {
            ParseError::new(
                "share",
                text,
                "a form like 12.5% or 0.125, up to 100%, was expected",
            )
        };
        let (number, scale) = match text.strip_suffix('%') {
            Some(number) => (number, 10_000.0),
            None => (text, 1_000_000.0),
        };
        let value: f64 = number.trim().parse().map_err(|_| fail())?;
        let ppm = (value * scale).round();
        if !(0.0..=1_000_000.0).contains(&ppm) {
            return Err(fail());
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "range checked"
        )]
        Ok(Self(ppm as u32))
    }
}

impl TryFrom<String> for Share {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Share> for String {
    fn from(share: Share) -> String {
        share.to_string()
    }
}

fn parse_unit(
    what: &'static str,
    text: &str,
    units: &[(&str, u64)],
    default_unit: u64,
) -> Result<u64, ParseError> {
    let fail = |reason| ParseError::new(what, text, reason);
    let (number, unit) = units
        .iter()
        .find_map(|(name, unit)| text.strip_suffix(name).map(|n| (n.trim_end(), *unit)))
        .unwrap_or((text, default_unit));
    let number: u64 = number
        .parse()
        .map_err(|_| fail("a whole number with a known unit was expected"))?;
    number
        .checked_mul(unit)
        .ok_or_else(|| fail("it is too large"))
}
