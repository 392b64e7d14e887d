//! Mutual authentication at the start of a connection.
//!
//! Both sides send a hello with a fresh nonce, then prove the fleet's secret with a code over both
//! hellos and their own role. The secret itself is never sent.

use std::io;

use derive_more::{Display, Error, From};
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use wagtail_types::{HostId, Incarnation};

use crate::FleetSecret;
use crate::secret::Code;

const MAGIC: [u8; 4] = *b"wtp1";
const NONCE_BYTES: usize = 32;
const NAME_MAX_BYTES: usize = 48;
const CONNECTOR: &[u8] = b"connector";
const ACCEPTOR: &[u8] = b"acceptor";

/// What a connection is for. Each purpose has its own connections, so that bodies never hold up
/// control messages and the bytes of each are counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Control,
    Relay,
}

/// The other side of an authenticated connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

/// Why a connection was not authenticated.
#[derive(Debug, Display, Error, From)]
pub(crate) enum HandshakeError {
    /// The connection broke.
    Io(io::Error),
    /// The other side speaks something else.
    #[display("the other side does not speak this protocol")]
    Malformed,
    /// The other side does not know the secret.
    #[display("the other side does not know the fleet's secret")]
    WrongSecret,
}

struct Hello {
    bytes: Vec<u8>,
    identity: Identity,
    purpose: Purpose,
}

impl Hello {
    fn new(identity: &Identity, purpose: Purpose, nonce: [u8; NONCE_BYTES]) -> Self {
        let name = identity.host.as_str().as_bytes();
        let mut bytes = MAGIC.to_vec();
        bytes.push(u8::from(purpose == Purpose::Relay));
        bytes.extend_from_slice(&nonce);
        bytes.extend_from_slice(&identity.incarnation.0.to_be_bytes());
        bytes.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
        bytes.extend_from_slice(name);
        Self {
            bytes,
            identity: identity.clone(),
            purpose,
        }
    }

    async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Self, HandshakeError> {
        const PURPOSE: usize = MAGIC.len();
        const INCARNATION: usize = PURPOSE + 1 + NONCE_BYTES;
        const LENGTH: usize = INCARNATION + 8;
        let mut bytes = vec![0; LENGTH + 1];
        stream.read_exact(&mut bytes).await?;
        let length = usize::from(bytes[LENGTH]);
        if bytes[..PURPOSE] != MAGIC || length > NAME_MAX_BYTES {
            return Err(HandshakeError::Malformed);
        }
        let purpose = match bytes[PURPOSE] {
            0 => Purpose::Control,
            1 => Purpose::Relay,
            _ => return Err(HandshakeError::Malformed),
        };
        let mut incarnation = [0; 8];
        incarnation.copy_from_slice(&bytes[INCARNATION..LENGTH]);
        let mut name = vec![0; length];
        stream.read_exact(&mut name).await?;
        let host = str::from_utf8(&name).ok().and_then(|n| n.parse().ok());
        let host = host.ok_or(HandshakeError::Malformed)?;
        bytes.extend_from_slice(&name);
        let identity = Identity {
            host,
            incarnation: Incarnation(u64::from_be_bytes(incarnation)),
        };
        Ok(Self {
            bytes,
            identity,
            purpose,
        })
    }
}

fn nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}

/// Runs the connecting side and tells who answered.
pub(crate) async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    me: &Identity,
    purpose: Purpose,
    secret: &FleetSecret,
) -> Result<Identity, HandshakeError> {
    let mine = Hello::new(me, purpose, nonce()?);
    stream.write_all(&mine.bytes).await?;
    let theirs = Hello::read(stream).await?;
    let mut code = Code::default();
    stream.read_exact(&mut code).await?;
    if !secret.verify(&[ACCEPTOR, &mine.bytes, &theirs.bytes], &code) {
        return Err(HandshakeError::WrongSecret);
    }
    let code = secret.code(&[CONNECTOR, &mine.bytes, &theirs.bytes]);
    stream.write_all(&code).await?;
    Ok(theirs.identity)
}

/// Runs the accepting side and tells who connected, and what for.
pub(crate) async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    me: &Identity,
    secret: &FleetSecret,
) -> Result<(Identity, Purpose), HandshakeError> {
    let theirs = Hello::read(stream).await?;
    let mine = Hello::new(me, theirs.purpose, nonce()?);
    let code = secret.code(&[ACCEPTOR, &theirs.bytes, &mine.bytes]);
    stream
        .write_all(&[mine.bytes.as_slice(), &code].concat())
        .await?;
    let mut code = Code::default();
    stream.read_exact(&mut code).await?;
    if !secret.verify(&[CONNECTOR, &theirs.bytes, &mine.bytes], &code) {
        return Err(HandshakeError::WrongSecret);
    }
    Ok((theirs.identity, theirs.purpose))
}
