//! Fingerprints of request contents.

use xxhash_rust::xxh3::Xxh3;

/// A hash of method, path and body that tells a duplicate from a key reused for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request from its whole body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self::of_digest(method, path, body.len() as u64, body)
    }

    /// Computes the fingerprint of a request from the `digest` of its body and the body's `length`
    /// in bytes.
    pub fn of_digest(method: &str, path: &str, length: u64, digest: &[u8]) -> Self {
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
