//! Hashes and rates as they appear in messages between hosts; they must be the same in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the 64-bit hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the 32-bit hash of a name for messages, where a rare collision is harmless.
pub(crate) fn short_hash(name: &str) -> u32 {
    let [a, b, c, d, ..] = name_hash(name).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Converts a rate per second to the tenths that messages carry.
pub(crate) fn tenths(rate: f64) -> u16 {
    const TENTHS: f64 = 10.0;
    // The cast saturates: rates out of range become 0 or `u16::MAX`.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tenths = (rate * TENTHS).round() as u16;
    tenths
}

/// Converts the tenths in a message to a rate per second.
pub(crate) fn from_tenths(tenths: u16) -> f64 {
    const TENTHS: f64 = 10.0;
    f64::from(tenths) / TENTHS
}

/// Returns the rendezvous-hashing score of `member` for `item`, in 0 to 1; the member with the
/// highest score is assigned the item.
pub(crate) fn rendezvous_score(item: u64, member: u64) -> f64 {
    (xxh3_64_with_seed(&item.to_le_bytes(), member) >> 11) as f64 / (1_u64 << 53) as f64
}
