//! Hashes and rates as hosts tell them to each other, the same in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A short hash of a name for messages, where a rare clash does no harm.
pub(crate) fn short_hash(name: &str) -> u32 {
    let [a, b, c, d, ..] = name_hash(name).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// A rate in tenths of a request a second, for messages.
pub(crate) fn tenths(rate: f64) -> u16 {
    const TENTHS: f64 = 10.0;
    // A saturating cast: rates beyond the range are told as its ends.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tenths = (rate * TENTHS).round() as u16;
    tenths
}

/// The rate that a message tells.
pub(crate) fn from_tenths(tenths: u16) -> f64 {
    const TENTHS: f64 = 10.0;
    f64::from(tenths) / TENTHS
}

/// The score of `member` for `item`, in 0 to 1; the highest score has the item.
pub(crate) fn score(item: u64, member: u64) -> f64 {
    (xxh3_64_with_seed(&item.to_le_bytes(), member) >> 11) as f64 / (1_u64 << 53) as f64
}
