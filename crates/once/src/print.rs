//! What identifies the content of a request.

use xxhash_rust::xxh3::Xxh3;

/// A fingerprint of method, path and body, which tells a duplicate from a misused key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request whose whole body is at hand.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self::digested(method, path, body.len() as u64, body)
    }

    /// The fingerprint of a request whose body of `length` bytes is known by its `digest`.
    pub fn digested(method: &str, path: &str, length: u64, digest: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(&length.to_be_bytes());
        hash.update(digest);
        Self(hash.digest128())
    }
}
