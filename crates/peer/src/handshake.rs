//! Mutual authentication at the start of a connection.
//!
//! Both sides send a hello with a fresh nonce. Each then proves that it knows the fleet's secret with
//! a message authentication code (MAC) over its own role and both hellos. The secret itself is never
//! sent.

use std::io;

use derive_more::{Display, Error, From};
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use wagtail_types::{HostId, Incarnation};

use crate::FleetSecret;
use crate::secret::Mac;

const MAGIC: [u8; 4] = *b"wtp1";
const NONCE_BYTES: usize = 32;
const NAME_MAX_BYTES: usize = 48;
// Each code covers the role of its sender, so that a received code cannot be sent back as a proof.
const CONNECTOR: &[u8] = b"connector";
const ACCEPTOR: &[u8] = b"acceptor";

/// The purpose of a connection. Each purpose has its own connections, so that bodies never delay
/// control messages and the bytes of each purpose are counted separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Control,
    Relay,
}

/// Names a host and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

/// Error of the handshake.
#[derive(Debug, Display, Error, From)]
pub(crate) enum HandshakeError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The hello is malformed.
    #[display("the other side sent a malformed hello")]
    Malformed,
    /// The other side's proof is wrong.
    #[display("the other side did not prove that it knows the fleet's secret")]
    WrongSecret,
}

/// The first message of each side: magic, purpose, nonce, incarnation, and the host name preceded by
/// its length.
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
        const PURPOSE_AT: usize = MAGIC.len();
        const INCARNATION_AT: usize = PURPOSE_AT + 1 + NONCE_BYTES;
        const LENGTH_AT: usize = INCARNATION_AT + 8;
        let mut bytes = vec![0; LENGTH_AT + 1];
        stream.read_exact(&mut bytes).await?;
        let length = usize::from(bytes[LENGTH_AT]);
        if bytes[..PURPOSE_AT] != MAGIC || length > NAME_MAX_BYTES {
            return Err(HandshakeError::Malformed);
        }
        let purpose = match bytes[PURPOSE_AT] {
            0 => Purpose::Control,
            1 => Purpose::Relay,
            _ => return Err(HandshakeError::Malformed),
        };
        let mut incarnation = [0; 8];
        incarnation.copy_from_slice(&bytes[INCARNATION_AT..LENGTH_AT]);
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

/// Performs the connecting side of the handshake and returns the identity of the accepting host.
pub(crate) async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    local: &Identity,
    purpose: Purpose,
    secret: &FleetSecret,
) -> Result<Identity, HandshakeError> {
    let mine = Hello::new(local, purpose, nonce()?);
    stream.write_all(&mine.bytes).await?;
    let theirs = Hello::read(stream).await?;
    let mut mac = Mac::default();
    stream.read_exact(&mut mac).await?;
    if !secret.verify(&[ACCEPTOR, &mine.bytes, &theirs.bytes], &mac) {
        return Err(HandshakeError::WrongSecret);
    }
    let mac = secret.mac(&[CONNECTOR, &mine.bytes, &theirs.bytes]);
    stream.write_all(&mac).await?;
    Ok(theirs.identity)
}

/// Performs the accepting side of the handshake and returns the identity of the connecting host and
/// the purpose of the connection.
pub(crate) async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    local: &Identity,
    secret: &FleetSecret,
) -> Result<(Identity, Purpose), HandshakeError> {
    let theirs = Hello::read(stream).await?;
    let mine = Hello::new(local, theirs.purpose, nonce()?);
    let mac = secret.mac(&[ACCEPTOR, &theirs.bytes, &mine.bytes]);
    stream
        .write_all(&[mine.bytes.as_slice(), &mac].concat())
        .await?;
    let mut mac = Mac::default();
    stream.read_exact(&mut mac).await?;
    if !secret.verify(&[CONNECTOR, &theirs.bytes, &mine.bytes], &mac) {
        return Err(HandshakeError::WrongSecret);
    }
    Ok((theirs.identity, theirs.purpose))
}
