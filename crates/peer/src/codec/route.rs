//! Free slots offered to other hosts.

use std::time::Duration;

use wagtail_route::{Advert, HandoverRequest};

use super::Malformed;
use super::text::{count, micros, micros_up, parse};
use crate::peer_capnp::{advert, slot_ask};

pub(crate) fn write(mut builder: advert::Builder<'_>, advert: &Advert) {
    builder.set_host(advert.host.as_str());
    builder.set_age(micros_up(advert.age));
    let mut list = builder.init_free(count(&advert.free));
    for (index, (service, slots)) in (0..).zip(&advert.free) {
        let mut free = list.reborrow().get(index);
        free.set_service(service.as_str());
        free.set_slots(*slots);
    }
}

pub(crate) fn read(reader: advert::Reader<'_>) -> Result<Advert, Malformed> {
    let free = reader.get_free()?.into_iter();
    let free = free.map(|free| Ok((parse(free.get_service()?)?, free.get_slots())));
    Ok(Advert {
        host: parse(reader.get_host()?)?,
        free: free.collect::<Result<_, Malformed>>()?,
        age: Duration::from_micros(reader.get_age()),
    })
}

pub(crate) fn write_ask(mut builder: slot_ask::Builder<'_>, ask: &HandoverRequest) {
    builder.set_token(ask.token);
    builder.set_members(ask.members);
    builder.set_life(ask.incarnation);
    builder.set_uptime(micros(ask.uptime));
}

pub(crate) fn read_ask(reader: slot_ask::Reader<'_>) -> HandoverRequest {
    HandoverRequest {
        token: reader.get_token(),
        members: reader.get_members(),
        incarnation: reader.get_life(),
        uptime: Duration::from_micros(reader.get_uptime()),
    }
}
