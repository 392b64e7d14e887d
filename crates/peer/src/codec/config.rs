//! Messages about the configuration.

use wagtail_config::{Cursor, Message, Page, Row};
use wagtail_types::Epoch;

use super::Malformed;
use super::text::{count, parse, parse_some};
use crate::peer_capnp::config;

pub(crate) fn write(mut builder: config::Builder<'_>, message: &Message) {
    match message {
        Message::Epoch { epoch } => builder.set_epoch(epoch.0),
        Message::Push { page } => write_page(builder.init_push(), page),
        Message::Pull {
            request,
            since,
            after,
        } => {
            let mut pull = builder.init_pull();
            pull.set_request(*request);
            pull.set_since(since.0);
            if let Some(after) = after {
                let mut cursor = pull.init_after();
                cursor.set_epoch(after.epoch.0);
                let key = after.key.as_ref().map(ToString::to_string);
                cursor.set_key(key.unwrap_or_default());
            }
        }
        Message::Page { request, page } => {
            let mut answer = builder.init_page();
            answer.set_request(*request);
            write_page(answer.init_page(), page);
        }
    }
}

fn write_page(mut builder: config::page::Builder<'_>, page: &Page) {
    builder.set_since(page.since.0);
    builder.set_head(page.head.0);
    builder.set_floor(page.floor.0);
    builder.set_more(page.more);
    let mut list = builder.init_rows(count(&page.rows));
    for (index, row) in (0..).zip(&page.rows) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(row.key.to_string());
        builder.set_epoch(row.epoch.0);
        builder.set_schema(row.schema);
        match &row.body {
            Some(body) => builder.set_body(&**body),
            None => builder.set_withdrawn(()),
        }
    }
}

pub(crate) fn read(reader: config::Reader<'_>) -> Result<Message, Malformed> {
    Ok(match reader.which()? {
        config::Epoch(epoch) => Message::Epoch {
            epoch: Epoch(epoch),
        },
        config::Push(page) => Message::Push {
            page: read_page(page?)?,
        },
        config::Pull(pull) => {
            let pull = pull?;
            let after = pull.has_after().then(|| read_cursor(pull.get_after()?));
            Message::Pull {
                request: pull.get_request(),
                since: Epoch(pull.get_since()),
                after: after.transpose()?,
            }
        }
        config::Page(answer) => {
            let answer = answer?;
            Message::Page {
                request: answer.get_request(),
                page: read_page(answer.get_page()?)?,
            }
        }
    })
}

fn read_cursor(reader: config::cursor::Reader<'_>) -> Result<Cursor, Malformed> {
    Ok(Cursor {
        epoch: Epoch(reader.get_epoch()),
        key: parse_some(reader.get_key()?)?,
    })
}

fn read_page(reader: config::page::Reader<'_>) -> Result<Page, Malformed> {
    let rows = reader.get_rows()?.into_iter().map(read_row);
    Ok(Page {
        since: Epoch(reader.get_since()),
        head: Epoch(reader.get_head()),
        floor: Epoch(reader.get_floor()),
        rows: rows.collect::<Result<_, _>>()?,
        more: reader.get_more(),
    })
}

fn read_row(reader: config::row::Reader<'_>) -> Result<Row, Malformed> {
    let body = match reader.which()? {
        config::row::Withdrawn(()) => None,
        config::row::Body(body) => Some(body?.to_str()?.into()),
    };
    Ok(Row {
        key: parse(reader.get_key()?)?,
        epoch: Epoch(reader.get_epoch()),
        schema: reader.get_schema(),
        body,
    })
}
