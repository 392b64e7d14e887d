//! Conversion between messages and the wire format.

mod config;
pub(crate) mod control;
mod field;
mod member;
mod quota;
pub(crate) mod relay;
mod route;

use capnp::message::{Builder, ReaderOptions};
use capnp::{serialize, serialize_packed};
use derive_more::{Display, Error, From};
use wagtail_types::{Bytes, ParseError};

use crate::message::Control;
use crate::peer_capnp::batch;

/// Error of decoding a message.
#[derive(Debug, Display, Error, From)]
pub enum Malformed {
    /// The bytes are not a message of the schema.
    #[display("not a message: {_0}")]
    Schema(capnp::Error),
    /// The message holds a union member or enum value that this version does not know.
    #[display("unknown union member or enum value")]
    Unknown(capnp::NotInSchema),
    /// A text is not valid UTF-8.
    #[display("a text is not UTF-8")]
    Encoding(std::str::Utf8Error),
    /// A name is invalid.
    #[display("{_0}")]
    Name(ParseError),
    /// A field is out of range.
    #[display("{_0} is out of range")]
    #[from(ignore)]
    Range(#[error(not(source))] &'static str),
}

const WORD_BYTES: usize = 8;

/// Encodes a control message as a packed batch of one.
pub fn encode(message: &Control) -> Vec<u8> {
    pack(std::slice::from_ref(message), Bytes(u64::MAX)).unwrap_or_default()
}

/// Decodes a packed batch that holds exactly one control message.
///
/// # Errors
///
/// Fails if the bytes are not a complete batch of the schema, or if the batch does not hold exactly
/// one valid message.
pub fn decode(bytes: &[u8]) -> Result<Control, Malformed> {
    const LIMIT: Bytes = Bytes(4 * 1024 * 1024);
    let mut messages = Vec::new();
    unpack(bytes, LIMIT, |message| messages.push(message))?;
    match messages.len() {
        1 => messages.remove(0),
        _ => Err(Malformed::Range("the number of messages")),
    }
}

/// Encodes a batch as a frame: its length, little-endian, and its packed bytes. Returns `None` if
/// the batch is over the limit, packed or unpacked.
pub(crate) fn encode_frame(batch: &[Control], limit: Bytes) -> Option<Vec<u8>> {
    let packed = pack(batch, limit)?;
    let length = u32::try_from(packed.len())
        .ok()
        .filter(|l| u64::from(*l) <= limit.0)?;
    Some([&length.to_le_bytes(), packed.as_slice()].concat())
}

fn pack(batch: &[Control], limit: Bytes) -> Option<Vec<u8>> {
    let mut builder = Builder::new_default();
    let root = builder.init_root::<batch::Builder<'_>>();
    let mut list = root.init_messages(field::list_len(batch));
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

/// Decodes a packed batch and calls `on_message` for each message in order.
pub(crate) fn unpack(
    mut bytes: &[u8],
    limit: Bytes,
    mut on_message: impl FnMut(Result<Control, Malformed>),
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
        .for_each(&mut on_message);
    Ok(())
}
