//! Messages and their form on the wire.

mod config;
pub(crate) mod control;
mod member;
mod quota;
pub(crate) mod relay;
mod route;
pub(crate) mod text;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use derive_more::{Display, Error, From};
use wagtail_types::ParseError;

use crate::message::Control;
use crate::peer_capnp;

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

/// The bytes of a control message.
pub fn encode(message: &Control) -> Vec<u8> {
    let mut builder = Builder::new_default();
    control::write(builder.init_root(), message);
    serialize::write_message_to_words(&builder)
}

/// The control message in these bytes.
///
/// # Errors
///
/// Fails where the bytes are not a whole message of the schema.
pub fn decode(mut bytes: &[u8]) -> Result<Control, Malformed> {
    let message = serialize::read_message(&mut bytes, ReaderOptions::new())?;
    control::read(message.get_root::<peer_capnp::control::Reader<'_>>()?)
}
