//! Conversion of membership messages.

use std::time::Duration;

use wagtail_member::{Adoption, Body, Cursor, Delta, Freshness, Message, Sender, State, Summary};
use wagtail_types::{Epoch, HostId, Incarnation};

use super::Malformed;
use super::field::{
    decode_optional, encode_optional, list_len, micros_ceil, parse, parse_optional,
};
use crate::peer_capnp::HostState;
use crate::peer_capnp::member::{self, Kind, adoption, delta, summary};

pub(crate) fn write(mut builder: member::Builder<'_>, message: &Message) {
    write_body(builder.reborrow(), &message.body);
    write_sender(builder.reborrow(), &message.sender);
    if let Some(fresh) = &message.fresh {
        builder.set_fresh_epoch(fresh.epoch.0);
        builder.set_fresh_age(encode_optional(Some(micros_ceil(fresh.age))));
    }
    if let Some(adoption) = &message.adoption {
        write_adoption(builder.reborrow().init_adoption(), adoption);
    }
    if !message.zones.is_empty() {
        let mut list = builder.reborrow().init_zones(list_len(&message.zones));
        for (index, zone) in (0..).zip(&message.zones) {
            write_summary(list.reborrow().get(index), zone);
        }
    }
    if !message.deltas.is_empty() {
        let mut list = builder.init_deltas(list_len(&message.deltas));
        for (index, delta) in (0..).zip(&message.deltas) {
            write_delta(list.reborrow().get(index), delta);
        }
    }
}

fn write_body(mut builder: member::Builder<'_>, body: &Body) {
    let (kind, seq, host) = match body {
        Body::Probe { seq, after } => {
            builder.set_catch_up(after.is_some());
            let host = match after {
                Some(Cursor::Host(host)) => Some(host),
                Some(Cursor::Start) | None => None,
            };
            (Kind::Probe, *seq, host)
        }
        Body::Ack { seq, until } => (Kind::Ack, *seq, until.as_ref()),
        Body::IndirectProbe { seq, target } => (Kind::Ask, *seq, Some(target)),
        Body::IndirectAck { seq, target } => (Kind::Told, *seq, Some(target)),
        Body::Gossip => (Kind::News, 0, None),
    };
    builder.set_kind(kind);
    builder.set_seq(seq);
    if let Some(host) = host {
        builder.set_host(host.as_str());
    }
}

fn write_sender(mut builder: member::Builder<'_>, sender: &Sender) {
    builder.set_incarnation(sender.incarnation.0);
    builder.set_version(sender.version);
    builder.set_state(write_state(sender.state));
    builder.set_epoch(sender.epoch.0);
    builder.set_free(sender.free);
    builder.set_contact(encode_optional(sender.contact.map(micros_ceil)));
}

fn write_adoption(mut builder: adoption::Builder<'_>, adoption: &Adoption) {
    builder.set_epoch(adoption.epoch.0);
    builder.set_complete(adoption.complete.0);
    builder.set_list(adoption.list_digest);
    let mut bits = builder.init_bits(list_len(&adoption.bits));
    for (index, word) in (0..).zip(&adoption.bits) {
        bits.set(index, *word);
    }
}

fn write_summary(mut builder: summary::Builder<'_>, summary: &Summary) {
    builder.set_zone(summary.zone.as_str());
    builder.set_age(micros_ceil(summary.age));
    builder.set_live(summary.live);
    builder.set_newest(summary.newest.0);
    builder.set_oldest(summary.oldest.0);
    builder.set_free(summary.free);
    builder.set_contact(encode_optional(summary.contact.map(micros_ceil)));
}

fn write_delta(mut builder: delta::Builder<'_>, delta: &Delta) {
    builder.set_host(delta.host.as_str());
    builder.set_incarnation(delta.incarnation.0);
    builder.set_version(delta.version);
    builder.set_state(write_state(delta.state));
}

fn write_state(state: State) -> HostState {
    match state {
        State::Unknown => HostState::Unknown,
        State::Alive => HostState::Alive,
        State::Leaving => HostState::Leaving,
        State::Suspect => HostState::Suspect,
        State::Dead => HostState::Dead,
    }
}

pub(crate) fn read(reader: member::Reader<'_>) -> Result<Message, Malformed> {
    let adoption = reader.has_adoption().then(|| read_adoption(reader));
    let fresh = decode_optional(reader.get_fresh_age());
    let zones = reader.get_zones()?.into_iter().map(read_summary);
    let deltas = reader.get_deltas()?.into_iter().map(read_delta);
    Ok(Message {
        body: read_body(reader)?,
        sender: read_sender(reader)?,
        fresh: fresh.map(|age| Freshness {
            epoch: Epoch(reader.get_fresh_epoch()),
            age,
        }),
        adoption: adoption.transpose()?,
        zones: zones.collect::<Result<_, _>>()?,
        deltas: deltas.collect::<Result<_, _>>()?,
    })
}

fn read_body(reader: member::Reader<'_>) -> Result<Body, Malformed> {
    let seq = reader.get_seq();
    let host: Option<HostId> = parse_optional(reader.get_host()?)?;
    let target = |host: Option<HostId>| host.ok_or(Malformed::Range("target"));
    Ok(match reader.get_kind()? {
        Kind::Probe => Body::Probe {
            seq,
            after: reader
                .get_catch_up()
                .then(|| host.map_or(Cursor::Start, Cursor::Host)),
        },
        Kind::Ack => Body::Ack { seq, until: host },
        Kind::Ask => Body::IndirectProbe {
            seq,
            target: target(host)?,
        },
        Kind::Told => Body::IndirectAck {
            seq,
            target: target(host)?,
        },
        Kind::News => Body::Gossip,
    })
}

fn read_sender(reader: member::Reader<'_>) -> Result<Sender, Malformed> {
    Ok(Sender {
        incarnation: Incarnation(reader.get_incarnation()),
        version: reader.get_version(),
        state: read_state(reader.get_state()?),
        epoch: Epoch(reader.get_epoch()),
        free: reader.get_free(),
        contact: decode_optional(reader.get_contact()),
    })
}

fn read_adoption(reader: member::Reader<'_>) -> Result<Adoption, Malformed> {
    let reader = reader.get_adoption()?;
    Ok(Adoption {
        epoch: Epoch(reader.get_epoch()),
        complete: Epoch(reader.get_complete()),
        list_digest: reader.get_list(),
        bits: reader.get_bits()?.iter().collect(),
    })
}

fn read_summary(reader: summary::Reader<'_>) -> Result<Summary, Malformed> {
    Ok(Summary {
        zone: parse(reader.get_zone()?)?,
        age: Duration::from_micros(reader.get_age()),
        live: reader.get_live(),
        newest: Epoch(reader.get_newest()),
        oldest: Epoch(reader.get_oldest()),
        free: reader.get_free(),
        contact: decode_optional(reader.get_contact()),
    })
}

fn read_delta(reader: delta::Reader<'_>) -> Result<Delta, Malformed> {
    Ok(Delta {
        host: parse(reader.get_host()?)?,
        incarnation: Incarnation(reader.get_incarnation()),
        version: reader.get_version(),
        state: read_state(reader.get_state()?),
    })
}

fn read_state(state: HostState) -> State {
    match state {
        HostState::Unknown => State::Unknown,
        HostState::Alive => State::Alive,
        HostState::Leaving => State::Leaving,
        HostState::Suspect => State::Suspect,
        HostState::Dead => State::Dead,
    }
}
