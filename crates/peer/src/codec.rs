//! Messages and their form on the wire.

mod config;
pub(crate) mod control;
mod member;
mod quota;
pub(crate) mod relay;
mod route;
mod text;

use capnp::message::{Builder, ReaderOptions};
use capnp::{serialize, serialize_packed};
use derive_more::{Display, Error, From};
use wagtail_types::{Bytes, ParseError};

use crate::message::Control;
use crate::peer_capnp::batch;

/// A message that does not have the form of this protocol.
#[derive(Debug, Display, Error, From)]
pub enum Malformed {
    /// It is not a message of the schema.
    #[display("not a message: {_0}")]
    Schema(capnp::Error),
    /// It holds something that this version does not know.
    #[display("unknown content")]
    Unknown(capnp::NotInSchema),
    /// A text in it is not UTF-8.
    #[display("a text is not UTF-8")]
    Encoding(std::str::Utf8Error),
    /// A name in it is not one.
    #[display("{_0}")]
    Name(ParseError),
    /// A field is out of its range.
    #[display("{_0} is out of range")]
    #[from(ignore)]
    Range(#[error(not(source))] &'static str),
}

const WORD_BYTES: usize = 8;

/// The bytes of a control message, packed.
pub fn encode(message: &Control) -> Vec<u8> {
    pack(std::slice::from_ref(message), Bytes(u64::MAX)).unwrap_or_default()
}

/// The control message in these bytes.
///
/// # Errors
///
/// Fails where the bytes are not one whole message of the schema.
pub fn decode(bytes: &[u8]) -> Result<Control, Malformed> {
    const LIMIT: Bytes = Bytes(4 * 1024 * 1024);
    let mut messages = Vec::new();
    unpack(bytes, LIMIT, |message| messages.push(message))?;
    match messages.len() {
        1 => messages.remove(0),
        _ => Err(Malformed::Range("the number of messages")),
    }
}

/// A batch as a frame with its length; `None` where it is over the limit.
pub(crate) fn frame(batch: &[Control], limit: Bytes) -> Option<Vec<u8>> {
    let packed = pack(batch, limit)?;
    let length = u32::try_from(packed.len())
        .ok()
        .filter(|l| u64::from(*l) <= limit.0)?;
    Some([&length.to_le_bytes(), packed.as_slice()].concat())
}

fn pack(batch: &[Control], limit: Bytes) -> Option<Vec<u8>> {
    let mut builder = Builder::new_default();
    let root = builder.init_root::<batch::Builder<'_>>();
    let mut list = root.init_messages(text::count(batch));
    for (index, message) in (0..).zip(batch) {
        control::write(list.reborrow().get(index), message);
    }
    let bytes = serialize::compute_serialized_size_in_words(&builder) * WORD_BYTES;
    if bytes as u64 > limit.0 {
        return None;
    }
    let mut packed = Vec::new();
    serialize_packed::write_message(&mut packed, &builder).ok()?;
    Some(packed)
}

/// Hands on each message of a packed batch.
pub(crate) fn unpack(
    mut bytes: &[u8],
    limit: Bytes,
    mut take: impl FnMut(Result<Control, Malformed>),
) -> Result<(), Malformed> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit.as_usize() / WORD_BYTES));
    let message = serialize_packed::read_message(&mut bytes, options)?;
    if !bytes.is_empty() {
        return Err(Malformed::Range("the length of a frame"));
    }
    let batch = message.get_root::<batch::Reader<'_>>()?;
    batch
        .get_messages()?
        .into_iter()
        .map(control::read)
        .for_each(&mut take);
    Ok(())
}
