//! Formats records and the status of hosts.

use std::fmt::Write;

use serde_json::{Value, json};
use wagtail_config::{Category, ConfigError, HostStatus, Row, View};

use super::args::Format;
use super::output::table;
use crate::CtlError;

/// Formats one record; the JSON in the output can be passed to `put`.
pub(crate) fn record(row: &Row, format: Format) -> Result<String, CtlError> {
    let Some(raw) = row.raw() else {
        return Err(CtlError::Missing(format!(
            "record {} is not valid JSON",
            row.key
        )));
    };
    let value = serde_json::to_value(raw).unwrap_or_default();
    Ok(match format {
        Format::Table => format!("changed at epoch {}\n{value:#}\n", row.epoch),
        Format::Json => format!("{value:#}\n"),
    })
}

/// Lists records; a note gives the first fault of a record, or that its kind or schema is unknown.
pub(crate) fn list(view: &View, kind: Option<&str>, format: Format) -> String {
    let shown = |row: &&Row| row.body.is_some() && kind.is_none_or(|k| k == row.key.kind());
    let rows: Vec<&Row> = view.rows().map(|row| &**row).filter(shown).collect();
    let unknown: Vec<&Row> = view.unknown().map(|row| &**row).collect();
    let note = |row: &Row| {
        let fault = view
            .issues()
            .iter()
            .find(|issue| issue.at.record == row.key);
        match fault {
            Some(fault) => summary(fault),
            None if unknown.iter().any(|u| u.key == row.key) => Category::Unknown.to_string(),
            None => String::new(),
        }
    };
    match format {
        Format::Table => {
            let cells = |row: &&Row| {
                let (key, epoch, schema) = (&row.key, row.epoch, row.schema);
                [
                    key.kind().into(),
                    key.name().into(),
                    schema.to_string(),
                    epoch.to_string(),
                    note(row),
                ]
            };
            let cells: Vec<_> = rows.iter().map(cells).collect();
            let list = table(["KIND", "NAME", "SCHEMA", "EPOCH", "NOTE"], &cells);
            format!("{list}epoch {}, {} records\n", view.epoch(), rows.len())
        }
        Format::Json => {
            let item =
                |row: &&Row| json!({ "epoch": row.epoch, "note": note(row), "record": row.raw() });
            let items: Vec<Value> = rows.iter().map(item).collect();
            format!("{:#}\n", json!({ "epoch": view.epoch(), "records": items }))
        }
    }
}

fn summary(fault: &ConfigError) -> String {
    format!("{}: {}", fault.category, fault.reason)
}

/// Formats the result of a successful check.
pub(crate) fn checked(view: &View, format: Format) -> String {
    let records = view.rows().count();
    let unknown: Vec<String> = view.unknown().map(|row| row.key.to_string()).collect();
    if format == Format::Json {
        return format!(
            "{:#}\n",
            json!({ "records": records, "unknown": unknown, "faults": [] })
        );
    }
    let mut text = format!("{records} records, no faults\n");
    for key in unknown {
        let _ = writeln!(
            text,
            "unknown schema, would be kept and not acted on: {key}"
        );
    }
    text
}

/// Formats the status that an entry host reports.
pub(crate) fn status(status: &HostStatus, format: Format) -> String {
    if format == Format::Json {
        return format!("{:#}\n", serde_json::to_value(status).unwrap_or_default());
    }
    let HostStatus {
        host,
        zone,
        epoch,
        mode,
        members,
        extra,
    } = status;
    let cells = |m: &wagtail_config::MemberStatus| {
        [
            m.host.to_string(),
            m.zone.to_string(),
            m.state.to_string(),
            m.epoch.to_string(),
        ]
    };
    let cells: Vec<_> = members.iter().map(cells).collect();
    let mut text = format!("{host} in {zone}: epoch {epoch}, {mode}\n");
    text += &table(["HOST", "ZONE", "STATE", "EPOCH"], &cells);
    if let Some(trends) = extra.get("trends").and_then(Value::as_array) {
        text += &self::trends(trends);
    }
    for (name, value) in extra.iter().filter(|(name, _)| *name != "trends") {
        let _ = writeln!(text, "{name}: {value}");
    }
    text
}

/// Formats latency and refusals by team and service: now, over the last hour and since the start.
fn trends(trends: &[Value]) -> String {
    const SPANS: [&str; 3] = ["now", "hour", "total"];
    let mut cells = Vec::new();
    for trend in trends {
        for span in SPANS {
            let window = &trend[span];
            let refused = window["refused"].as_object();
            let refused: u64 = refused
                .into_iter()
                .flatten()
                .filter_map(|(_, n)| n.as_u64())
                .sum();
            let text_or_dash = |value: &Value| value.as_str().unwrap_or("-").to_owned();
            let milliseconds = |name: &str| {
                window[name]
                    .as_f64()
                    .map_or("-".into(), |ms| format!("{ms:.2}"))
            };
            cells.push([
                text_or_dash(&trend["team"]),
                text_or_dash(&trend["service"]),
                span.to_owned(),
                window["answered"].to_string(),
                milliseconds("p50_ms"),
                milliseconds("p99_ms"),
                refused.to_string(),
            ]);
        }
    }
    table(
        [
            "TEAM", "SERVICE", "SPAN", "ANSWERED", "P50 MS", "P99 MS", "REFUSED",
        ],
        &cells,
    )
}
