//! Tables and the outcome of changes.

use std::fmt::Write;

use serde_json::json;
use wagtail_config::Acceptance;

use super::args::Format;
use crate::Outcome;

/// Lays rows out in columns.
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

/// Shows how far a change has come.
pub(crate) fn outcome(outcome: &Outcome, format: Format) -> String {
    match format {
        Format::Table => words(outcome),
        Format::Json => document(outcome),
    }
}

fn words(outcome: &Outcome) -> String {
    let Outcome {
        epoch,
        zones,
        hosts,
        ..
    } = outcome;
    match &outcome.acceptance {
        Acceptance::Accepted => {
            let (hosts, zones) = (hosts.len(), zones.len());
            format!("accepted: epoch {epoch} is in force ({hosts} hosts, {zones} zones)\n")
        }
        Acceptance::Committed { missing, confirmed } => {
            let (done, all) = (confirmed.len(), zones.len());
            let mut text =
                format!("committed: epoch {epoch}, not yet accepted ({done} of {all} zones)\n");
            if !outcome.answered {
                text.push_str("no entry host answered\n");
            }
            for host in missing {
                let _ = writeln!(text, "missing: {host}");
            }
            text
        }
    }
}

fn document(outcome: &Outcome) -> String {
    let value = match &outcome.acceptance {
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
    format!("{value:#}\n")
}
