//! The secret that every host of a fleet knows, and codes made with it.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const BLOCK_BYTES: usize = 64;
const MIN_CHARS: usize = 16;

/// A code that only a holder of the secret can make.
pub(crate) type Code = [u8; 32];

/// The secret shared by the hosts of a fleet. It is never sent and never shown.
#[derive(Clone)]
pub struct FleetSecret(Box<[u8]>);

/// A text that cannot be a fleet secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a fleet secret needs at least {MIN_CHARS} characters")]
pub struct SecretError;

impl FromStr for FleetSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_CHARS {
            return Err(SecretError);
        }
        Ok(Self(text.as_bytes().into()))
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(…)")
    }
}

impl FleetSecret {
    /// HMAC-SHA-256 (RFC 2104) over the concatenated `parts`.
    pub(crate) fn code(&self, parts: &[&[u8]]) -> Code {
        let mut key = [0; BLOCK_BYTES];
        if self.0.len() > BLOCK_BYTES {
            key[..32].copy_from_slice(&Sha256::digest(&self.0));
        } else {
            key[..self.0.len()].copy_from_slice(&self.0);
        }
        let mut inner = Sha256::new_with_prefix(key.map(|b| b ^ 0x36));
        for part in parts {
            inner.update(part);
        }
        let mut outer = Sha256::new_with_prefix(key.map(|b| b ^ 0x5c));
        outer.update(inner.finalize());
        outer.finalize().into()
    }

    /// Whether `code` is the one over `parts`, compared in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], code: &Code) -> bool {
        self.code(parts).ct_eq(code).into()
    }
}
