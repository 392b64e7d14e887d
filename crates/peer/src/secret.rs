//! The secret that the hosts of a fleet share, and message authentication codes made with it.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const BLOCK_BYTES: usize = 64;
const MIN_BYTES: usize = 16;

/// A message authentication code: only a holder of the secret can compute it.
pub(crate) type Mac = [u8; 32];

/// The secret shared by the hosts of a fleet. It is never sent, and its debug output hides it.
#[derive(Clone)]
pub struct FleetSecret(Box<[u8]>);

/// Error of parsing a fleet secret that is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a fleet secret needs at least {MIN_BYTES} bytes")]
pub struct SecretError;

impl FromStr for FleetSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_BYTES {
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
    /// Computes the HMAC-SHA-256 (RFC 2104) of the concatenated `parts`.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Mac {
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

    /// Returns whether `mac` is the code of `parts`. The comparison takes constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], mac: &Mac) -> bool {
        self.mac(parts).ct_eq(mac).into()
    }
}
