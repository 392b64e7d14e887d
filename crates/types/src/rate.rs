//! Request rates and token counts in fixed-point arithmetic, exact to a millionth of a token.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;

const MICROS_PER_UNIT: u64 = 1_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A token count in millionths; a request costs [`Tokens::ONE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Tokens(u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// The cost of one request.
    pub const ONE: Self = Self(MICROS_PER_UNIT);

    /// Creates a count from a whole number of tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count * MICROS_PER_UNIT)
    }

    /// Creates a count from millionths of a token.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the count in millionths of a token.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the sum, or the largest count if it would overflow.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or [`Tokens::ZERO`] if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the fraction `num / den` of the count, rounded down; zero if `den` is 0. A
    /// result that does not fit becomes the largest value.
    #[must_use]
    pub fn part(self, num: u64, den: u64) -> Self {
        if den == 0 {
            return Self::ZERO;
        }
        Self(mul_div(self.0, num, u128::from(den)).unwrap_or(u64::MAX))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        self.0 -= other.0;
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt_micros(self.0, f)
    }
}

impl FromStr for Tokens {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_micros("token count", text, text).map(Self)
    }
}

/// A rate in requests per second, exact to a millionth.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// No requests at all.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from a whole number of requests per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count * MICROS_PER_UNIT)
    }

    /// Creates a rate from millionths of a request per second.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the rate in millionths of a request per second.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the tokens that accrue at this rate over `time`, rounded down.
    pub fn over(self, time: Duration) -> Tokens {
        let micros = u128::from(self.0).saturating_mul(time.as_nanos()) / NANOS_PER_SECOND;
        Tokens(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns how long `tokens` take to accrue at this rate, rounded up, or `None` if the rate is
    /// zero.
    pub fn time_for(self, tokens: Tokens) -> Option<Duration> {
        if self.0 == 0 {
            return None;
        }
        let nanos = (u128::from(tokens.0) * NANOS_PER_SECOND).div_ceil(u128::from(self.0));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    /// Returns the fraction `num / den` of the rate, rounded down; zero if `den` is 0. A
    /// result that does not fit becomes the largest value.
    #[must_use]
    pub fn part(self, num: u64, den: u64) -> Self {
        if den == 0 {
            return Self::ZERO;
        }
        Self(mul_div(self.0, num, u128::from(den)).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt_micros(self.0, f)?;
        f.write_str("/s")
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const WHAT: &str = "rate";
        let (count, per) = text.split_once('/').ok_or_else(|| {
            ParseError::new(WHAT, text, "a form like 20/s or 30/min was expected")
        })?;
        let seconds = match per {
            "s" => 1,
            "min" => 60,
            "h" => 3600,
            _ => return Err(ParseError::new(WHAT, text, "the unit must be s, min or h")),
        };
        parse_micros(WHAT, count, text).map(|micros| Self(micros / seconds))
    }
}

impl TryFrom<String> for Rate {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> String {
        rate.to_string()
    }
}

fn mul_div(value: u64, num: u64, den: u128) -> Option<u64> {
    let product = u128::from(value) * u128::from(num);
    u64::try_from(product.checked_div(den)?).ok()
}

fn fmt_micros(micros: u64, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let (whole, part) = (micros / MICROS_PER_UNIT, micros % MICROS_PER_UNIT);
    if part == 0 {
        return write!(f, "{whole}");
    }
    let digits = format!("{part:06}");
    write!(f, "{whole}.{}", digits.trim_end_matches('0'))
}

fn parse_micros(what: &'static str, number: &str, text: &str) -> Result<u64, ParseError> {
    const FRACTION_DIGITS: usize = 6;
    let fail = |reason| ParseError::new(what, text, reason);
    let (whole, part) = number.split_once('.').unwrap_or((number, "0"));
    if part.is_empty() || part.len() > FRACTION_DIGITS {
        return Err(fail("one to six digits are allowed after the point"));
    }
    let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !digits(whole) || !digits(part) {
        return Err(fail("a decimal number was expected"));
    }
    let whole: u64 = whole.parse().map_err(|_| fail("it is too large"))?;
    let part: u64 = format!("{part:0<FRACTION_DIGITS$}")
        .parse()
        .map_err(|_| fail("it is too large"))?;
    whole
        .checked_mul(MICROS_PER_UNIT)
        .and_then(|w| w.checked_add(part))
        .ok_or_else(|| fail("it is too large"))
}
