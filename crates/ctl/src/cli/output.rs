//! Formats tables and the outcome of changes.

use std::fmt::Write;

use serde_json::json;
use wagtail_config::Acceptance;

use super::args::Format;
use crate::Outcome;

/// Formats rows as columns padded to a common width, under a head row.
pub(crate) fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in [head.map(str::to_owned)].iter().chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats the outcome of a change.
pub(crate) fn outcome(outcome: &Outcome, format: Format) -> String {
    match format {
        Format::Table => as_text(outcome),
        Format::Json => as_json(outcome),
    }
}

fn as_text(outcome: &Outcome) -> String {
    let Outcome {
        epoch,
        zones,
        hosts,
        ..
    } = outcome;
    let mut text = match &outcome.acceptance {
        Acceptance::Accepted => {
            let (hosts, zones) = (hosts.len(), zones.len());
            format!("accepted: epoch {epoch} is in force ({hosts} hosts, {zones} zones)\n")
        }
        Acceptance::Committed { missing, confirmed } => {
            let (confirmed_zones, zone_count) = (confirmed.len(), zones.len());
            let mut text = format!(
                "committed: epoch {epoch}, not yet accepted ({confirmed_zones} of {zone_count} zones)\n"
            );
            if !outcome.answered {
                text.push_str("no entry host answered\n");
            }
            for host in missing {
                let _ = writeln!(text, "missing: {host}");
            }
            text
        }
    };
    if let Some(reason) = &outcome.snapshot_failure {
        let _ = writeln!(text, "snapshot not stored: {reason}");
    }
    text
}

fn as_json(outcome: &Outcome) -> String {
    let mut value = match &outcome.acceptance {
        Acceptance::Accepted => json!({
            "epoch": outcome.epoch,
            "state": "accepted",
            "confirmed": outcome.zones,
            "missing": [],
        }),
        Acceptance::Committed { missing, confirmed } => json!({
            "epoch": outcome.epoch,
            "state": "committed",
            "confirmed": confirmed,
            "missing": missing,
        }),
    };
    if let Some(reason) = &outcome.snapshot_failure {
        value["snapshot_failure"] = json!(reason.to_string());
    }
    format!("{value:#}\n")
}
