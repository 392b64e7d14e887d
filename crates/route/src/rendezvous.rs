//! Rendezvous hashing: every host works out the same order without a message.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a name, the same on every host and in every build.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The hash of a numbered part of a named thing.
pub(crate) fn part_hash(name: &str, part: u32) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(part))
}

/// The score of `member` for `item`; the member with the highest score has the item.
pub(crate) fn score(item: u64, member: u64) -> u64 {
    mix(item ^ mix(member))
}

/// A score that gives each member a share of the items in proportion to `weight`.
pub(crate) fn weighted(item: u64, member: u64, weight: f64) -> f64 {
    const UNIT: f64 = 1.0 / (1_u64 << 53) as f64;
    let unit = ((score(item, member) >> 11) as f64 + 0.5) * UNIT;
    -weight / unit.ln()
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
