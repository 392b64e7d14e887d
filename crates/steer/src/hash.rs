//! Hashes that agree on every host and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A short hash of a name for messages, where a rare clash does no harm.
pub(crate) fn short_hash(name: &str) -> u32 {
    (name_hash(name) >> 32) as u32
}

/// The score of `member` for `item`, in 0 to 1; the highest score has the item.
pub(crate) fn score(item: u64, member: u64) -> f64 {
    (xxh3_64_with_seed(&item.to_le_bytes(), member) >> 11) as f64 / (1_u64 << 53) as f64
}
