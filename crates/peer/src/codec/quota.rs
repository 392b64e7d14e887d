//! Conversion of quota messages.

use std::time::Duration;

use wagtail_quota::{Hint, LoanId, Message, ShardId, ShardNote, TeamHint};
use wagtail_types::{Epoch, Incarnation, Rate, Tokens};

use super::Malformed;
use super::field::{list_len, micros, parse};
use crate::peer_capnp::hint;
use crate::peer_capnp::quota::{self, ask};

pub(crate) fn write(builder: quota::Builder<'_>, message: &Message) {
    match message {
        Message::LoanRequest { .. } => write_loan_request(builder.init_ask(), message),
        Message::Loan { .. } => write_loan(builder.init_loan(), message),
        Message::Return { loan, team, tokens } => {
            let mut builder = builder.init_return();
            builder.set_loan(loan.0);
            builder.set_team(team.as_str());
            builder.set_tokens(tokens.micros());
        }
        Message::PromiseRequest { shard, version, id } => {
            let mut builder = builder.init_hold();
            write_shard(builder.reborrow().init_shard(), shard);
            builder.set_version(*version);
            builder.set_id(*id);
        }
        Message::Promise {
            shard,
            id,
            incarnation,
        } => {
            let mut builder = builder.init_held();
            write_shard(builder.reborrow().init_shard(), shard);
            builder.set_id(*id);
            builder.set_incarnation(incarnation.0);
        }
        Message::Released { shard } => write_shard(builder.init_released(), shard),
        Message::Gossip {
            confirmed,
            shards,
            hints,
        } => {
            let mut builder = builder.init_gossip();
            builder.set_confirmed(confirmed.0);
            write_shard_notes(builder.reborrow(), shards);
            write_hints(builder, hints);
        }
    }
}

fn write_loan_request(mut builder: ask::Builder<'_>, message: &Message) {
    if let Message::LoanRequest {
        id,
        team,
        need,
        rate,
        extend,
        hint,
    } = message
    {
        builder.set_id(*id);
        builder.set_team(team.as_str());
        builder.set_need(need.micros());
        builder.set_rate(rate.micros());
        if let Some(loan) = extend {
            builder.reborrow().init_extend().set_loan(loan.0);
        }
        write_hint(builder.init_hint(), hint);
    }
}

fn write_loan(mut builder: quota::loan::Builder<'_>, message: &Message) {
    if let Message::Loan {
        id,
        loan,
        team,
        rate,
        cap,
        tokens,
        duration,
        hint,
    } = message
    {
        builder.set_id(*id);
        builder.set_loan(loan.0);
        builder.set_team(team.as_str());
        builder.set_rate(rate.micros());
        builder.set_cap(cap.micros());
        builder.set_tokens(tokens.micros());
        builder.set_life(micros(*duration));
        write_hint(builder.init_hint(), hint);
    }
}

fn write_shard_notes(builder: quota::gossip::Builder<'_>, notes: &[ShardNote]) {
    let mut list = builder.init_shards(list_len(notes));
    for (index, note) in (0..).zip(notes) {
        let mut builder = list.reborrow().get(index);
        write_shard(builder.reborrow().init_shard(), &note.shard);
        builder.set_holder(note.holder.as_str());
        builder.set_version(note.version);
        builder.set_epoch(note.epoch.0);
    }
}

fn write_hints(builder: quota::gossip::Builder<'_>, hints: &[TeamHint]) {
    let mut list = builder.init_hints(list_len(hints));
    for (index, hint) in (0..).zip(hints) {
        let mut builder = list.reborrow().get(index);
        builder.set_team(hint.team.as_str());
        write_hint(builder.init_hint(), &hint.hint);
    }
}

fn write_shard(mut builder: quota::shard::Builder<'_>, shard: &ShardId) {
    builder.set_zone(shard.zone.as_str());
    builder.set_index(shard.index);
}

fn write_hint(mut builder: hint::Builder<'_>, hint: &Hint) {
    builder.set_level(hint.level.micros());
    builder.set_spare(hint.spare.micros());
    builder.set_cap(hint.cap.micros());
}

pub(crate) fn read(reader: quota::Reader<'_>) -> Result<Message, Malformed> {
    Ok(match reader.which()? {
        quota::Ask(request) => read_loan_request(request?)?,
        quota::Loan(loan) => read_loan(loan?)?,
        quota::Return(returned) => {
            let returned = returned?;
            Message::Return {
                loan: LoanId(returned.get_loan()),
                team: parse(returned.get_team()?)?,
                tokens: Tokens::from_micros(returned.get_tokens()),
            }
        }
        quota::Hold(request) => {
            let request = request?;
            Message::PromiseRequest {
                shard: read_shard(request.get_shard()?)?,
                version: request.get_version(),
                id: request.get_id(),
            }
        }
        quota::Held(promise) => {
            let promise = promise?;
            Message::Promise {
                shard: read_shard(promise.get_shard()?)?,
                id: promise.get_id(),
                incarnation: Incarnation(promise.get_incarnation()),
            }
        }
        quota::Released(shard) => Message::Released {
            shard: read_shard(shard?)?,
        },
        quota::Gossip(gossip) => read_gossip(gossip?)?,
    })
}

fn read_loan_request(reader: ask::Reader<'_>) -> Result<Message, Malformed> {
    Ok(Message::LoanRequest {
        id: reader.get_id(),
        team: parse(reader.get_team()?)?,
        need: Tokens::from_micros(reader.get_need()),
        rate: Rate::from_micros(reader.get_rate()),
        extend: match reader.get_extend().which()? {
            ask::extend::None(()) => None,
            ask::extend::Loan(loan) => Some(LoanId(loan)),
        },
        hint: read_hint(reader.get_hint()?),
    })
}

fn read_loan(reader: quota::loan::Reader<'_>) -> Result<Message, Malformed> {
    Ok(Message::Loan {
        id: reader.get_id(),
        loan: LoanId(reader.get_loan()),
        team: parse(reader.get_team()?)?,
        rate: Rate::from_micros(reader.get_rate()),
        cap: Tokens::from_micros(reader.get_cap()),
        tokens: Tokens::from_micros(reader.get_tokens()),
        duration: Duration::from_micros(reader.get_life()),
        hint: read_hint(reader.get_hint()?),
    })
}

fn read_gossip(reader: quota::gossip::Reader<'_>) -> Result<Message, Malformed> {
    let shards = reader.get_shards()?.into_iter().map(read_shard_note);
    let hints = reader.get_hints()?.into_iter().map(|hint| {
        Ok(TeamHint {
            team: parse(hint.get_team()?)?,
            hint: read_hint(hint.get_hint()?),
        })
    });
    Ok(Message::Gossip {
        confirmed: Epoch(reader.get_confirmed()),
        shards: shards.collect::<Result<_, _>>()?,
        hints: hints.collect::<Result<_, Malformed>>()?,
    })
}

fn read_shard_note(reader: quota::shard_note::Reader<'_>) -> Result<ShardNote, Malformed> {
    Ok(ShardNote {
        shard: read_shard(reader.get_shard()?)?,
        holder: parse(reader.get_holder()?)?,
        version: reader.get_version(),
        epoch: Epoch(reader.get_epoch()),
    })
}

fn read_shard(reader: quota::shard::Reader<'_>) -> Result<ShardId, Malformed> {
    Ok(ShardId {
        zone: parse(reader.get_zone()?)?,
        index: reader.get_index(),
    })
}

fn read_hint(reader: hint::Reader<'_>) -> Hint {
    Hint {
        level: Tokens::from_micros(reader.get_level()),
        spare: Rate::from_micros(reader.get_spare()),
        cap: Tokens::from_micros(reader.get_cap()),
    }
}
