//! Control messages.

use super::Malformed;
use super::text::parse;
use crate::message::Control;
use crate::peer_capnp::control;

pub(crate) fn write(mut builder: control::Builder<'_>, message: &Control) {
    match message {
        Control::Leaving(endpoint) => builder.set_leaving(endpoint.as_str()),
    }
}

pub(crate) fn read(reader: control::Reader<'_>) -> Result<Control, Malformed> {
    match reader.which()? {
        control::Leaving(endpoint) => Ok(Control::Leaving(parse(endpoint?)?)),
        control::Advert(_) => Err(Malformed::Range("advert")),
    }
}
