//! Answers that a caller can check for wholeness.

use std::fmt::Write as _;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::HeaderMap;
use sha2::{Digest, Sha256};

use super::header;

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Wrong {
    /// It belongs to another request.
    #[display("the answer belongs to another request")]
    Crossed,
    /// It carries no digest.
    #[display("the answer carries no digest")]
    NoDigest,
    /// Its body differs from its digest.
    #[display("the answer's body differs from its digest")]
    Torn,
}

/// The SHA-256 digest of `bytes` in hexadecimal.
pub(crate) fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// The body of an answer: the request's id and body digest, then filler.
pub(crate) fn body(id: &str, request: &str, filler: usize) -> Bytes {
    const LINE: &str = "abcdefghijklmnopqrstuvwxyz0123456789\n";
    let mut text = String::with_capacity(filler + 160);
    let _ = writeln!(text, "{{\"id\":{id:?},\"request\":{request:?}}}");
    let end = text.len() + filler;
    while text.len() < end {
        text.push_str(&LINE[..LINE.len().min(end - text.len())]);
    }
    text.into()
}

/// Checks that an answer is whole and belongs to request `id`.
///
/// # Errors
///
/// Says what is wrong with the answer.
pub fn check_answer(id: &str, headers: &HeaderMap, body: &[u8]) -> Result<(), Wrong> {
    let get = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let line = format!("{{\"id\":{id:?},");
    if get(header::REQUEST_ID) != Some(id) || !body.starts_with(line.as_bytes()) {
        return Err(Wrong::Crossed);
    }
    match get(header::DIGEST) {
        None => Err(Wrong::NoDigest),
        Some(sent) if sent == digest(body) => Ok(()),
        Some(_) => Err(Wrong::Torn),
    }
}
