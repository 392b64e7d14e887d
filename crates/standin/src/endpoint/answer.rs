//! Answers that a caller can verify to be complete and its own.

use std::fmt::Write as _;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::HeaderMap;
use sha2::{Digest, Sha256};

use super::header;

/// Reports why an answer failed verification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum AnswerError {
    /// The answer has the id of another request.
    #[display("the answer belongs to another request")]
    Crossed,
    /// The answer has no digest header.
    #[display("the answer carries no digest")]
    NoDigest,
    /// The body does not match the digest header.
    #[display("the answer's body differs from its digest")]
    DigestMismatch,
}

/// Returns the SHA-256 digest of `bytes` in hexadecimal.
pub(crate) fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Builds the body of an answer: a line with the request's id and the digest of its body, then
/// `filler` bytes.
pub(crate) fn body(id: &str, request_digest: &str, filler: usize) -> Bytes {
    const FILLER_LINE: &str = "abcdefghijklmnopqrstuvwxyz0123456789\n";
    let mut text = String::with_capacity(filler + 160);
    let _ = writeln!(text, "{{\"id\":{id:?},\"request\":{request_digest:?}}}");
    let end = text.len() + filler;
    while text.len() < end {
        text.push_str(&FILLER_LINE[..FILLER_LINE.len().min(end - text.len())]);
    }
    text.into()
}

/// Checks that an answer is complete and belongs to request `id`.
///
/// # Errors
///
/// Returns the first check that failed.
pub fn check_answer(id: &str, headers: &HeaderMap, body: &[u8]) -> Result<(), AnswerError> {
    let get = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let line = format!("{{\"id\":{id:?},");
    if get(header::REQUEST_ID) != Some(id) || !body.starts_with(line.as_bytes()) {
        return Err(AnswerError::Crossed);
    }
    match get(header::DIGEST) {
        None => Err(AnswerError::NoDigest),
        Some(sent) if sent == digest(body) => Ok(()),
        Some(_) => Err(AnswerError::DigestMismatch),
    }
}
