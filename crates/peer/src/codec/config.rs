//! Conversion of messages that distribute the configuration.

use wagtail_config::{Cursor, Message, Page, Row};
use wagtail_types::Epoch;

use super::Malformed;
use super::field::{list_len, parse, parse_optional};
use crate::peer_capnp::config::{self, cursor, page, row};

pub(crate) fn write(mut builder: config::Builder<'_>, message: &Message) {
    match message {
        Message::Epoch { epoch } => builder.set_epoch(epoch.0),
        Message::Push { page } => write_page(builder.init_push(), page),
        Message::Pull {
            request,
            since,
            after,
        } => {
            let mut builder = builder.init_pull();
            builder.set_request(*request);
            builder.set_since(since.0);
            if let Some(after) = after {
                write_cursor(builder.init_after(), after);
            }
        }
        Message::Page { request, page } => {
            let mut builder = builder.init_page();
            builder.set_request(*request);
            write_page(builder.init_page(), page);
        }
    }
}

fn write_cursor(mut builder: cursor::Builder<'_>, cursor: &Cursor) {
    builder.set_epoch(cursor.epoch.0);
    if let Some(key) = &cursor.key {
        builder.set_key(key.to_string());
    }
}

fn write_page(mut builder: page::Builder<'_>, page: &Page) {
    builder.set_since(page.since.0);
    builder.set_head(page.head.0);
    builder.set_floor(page.floor.0);
    builder.set_more(page.more);
    let mut rows = builder.init_rows(list_len(&page.rows));
    for (index, row) in (0..).zip(&page.rows) {
        write_row(rows.reborrow().get(index), row);
    }
}

fn write_row(mut builder: row::Builder<'_>, row: &Row) {
    builder.set_key(row.key.to_string());
    builder.set_epoch(row.epoch.0);
    builder.set_schema(row.schema);
    match &row.body {
        Some(body) => builder.set_body(&**body),
        None => builder.set_withdrawn(()),
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

fn read_cursor(reader: cursor::Reader<'_>) -> Result<Cursor, Malformed> {
    Ok(Cursor {
        epoch: Epoch(reader.get_epoch()),
        key: parse_optional(reader.get_key()?)?,
    })
}

fn read_page(reader: page::Reader<'_>) -> Result<Page, Malformed> {
    let rows = reader.get_rows()?.into_iter().map(read_row);
    Ok(Page {
        since: Epoch(reader.get_since()),
        head: Epoch(reader.get_head()),
        floor: Epoch(reader.get_floor()),
        rows: rows.collect::<Result<_, _>>()?,
        more: reader.get_more(),
    })
}

fn read_row(reader: row::Reader<'_>) -> Result<Row, Malformed> {
    Ok(Row {
        key: parse(reader.get_key()?)?,
        epoch: Epoch(reader.get_epoch()),
        schema: reader.get_schema(),
        body: match reader.which()? {
            row::Withdrawn(()) => None,
            row::Body(body) => Some(body?.to_str()?.into()),
        },
    })
}
