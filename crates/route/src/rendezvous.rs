//! Rendezvous hashing: every host computes the same ranking without coordination.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of a name, which is the same on every host and in every build.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the hash of a numbered part of a named item, such as a slot of an endpoint.
pub(crate) fn part_hash(name: &str, part: u32) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(part))
}

/// Returns the score of `member` for `item`; the member with the highest score owns the item.
pub(crate) fn score(item: u64, member: u64) -> u64 {
    mix(item ^ mix(member))
}

/// Returns a score by which each member owns a share of the items in proportion to `weight`.
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
