//! Control messages.

use wagtail_route::HandoverConsent;

use super::text::parse;
use super::{Malformed, config, member, quota, route};
use crate::message::Control;
use crate::peer_capnp::control;

pub(crate) fn write(mut builder: control::Builder<'_>, message: &Control) {
    match message {
        Control::Leaving(endpoint) => builder.set_leaving(endpoint.as_str()),
        Control::Advert(advert) => route::write(builder.init_advert(), advert),
        Control::Quota(message) => quota::write(builder.init_quota(), message),
        Control::Member(message) => member::write(builder.init_member(), message),
        Control::Config(message) => config::write(builder.init_config(), message),
        Control::Ask(ask) => route::write_ask(builder.init_slot_ask(), ask),
        Control::Agree(agree) => builder.init_slot_agree().set_token(agree.token),
    }
}

pub(crate) fn read(reader: control::Reader<'_>) -> Result<Control, Malformed> {
    Ok(match reader.which()? {
        control::Leaving(endpoint) => Control::Leaving(parse(endpoint?)?),
        control::Advert(advert) => Control::Advert(route::read(advert?)?),
        control::Quota(message) => Control::Quota(quota::read(message?)?),
        control::Member(message) => Control::Member(member::read(message?)?),
        control::Config(message) => Control::Config(config::read(message?)?),
        control::SlotAsk(ask) => Control::Ask(route::read_ask(ask?)),
        control::SlotAgree(agree) => Control::Agree(HandoverConsent {
            token: agree?.get_token(),
        }),
    })
}
