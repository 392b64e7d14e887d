//! Reports as text.

use std::fmt::Write as _;

use crate::experiment::Report;
use crate::measure::{Measures, Summary, Wrongful};

/// Returns the measures as tables.
pub fn tables(measures: &Measures) -> String {
    let mut text = String::new();
    table(&mut text, "team", &measures.teams);
    text.push('\n');
    table(&mut text, "class", &measures.classes);
    text
}

fn table(text: &mut String, what: &str, summaries: &[Summary]) {
    let _ = writeln!(
        text,
        "{what:<14}{:>7}{:>9}{:>8}{:>9}{:>6}{:>10}{:>10}{:>10}{:>10}{:>11}{:>11}{:>7}",
        "sent",
        "answered",
        "refused",
        "unknown",
        "lost",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms",
        "wrongful %",
        "of rate %",
        "other"
    );
    for summary in summaries {
        let unknown: u64 = summary.unknown.values().sum();
        let latency = summary.latency;
        let _ = write!(
            text,
            "{:<14}{:>7}{:>9}{:>8}{unknown:>9}{:>6}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
            summary.name,
            summary.sent,
            summary.answered,
            summary.refusals(),
            summary.lost,
            latency.p50,
            latency.p90,
            latency.p99,
            latency.max
        );
        match summary.wrongful {
            Some(wrongful) => {
                let (refused, admitted) =
                    (wrongful_percent(wrongful), 100.0 * admitted_ratio(wrongful));
                let _ = writeln!(text, "{refused:>11.3}{admitted:>11.2}{:>7}", wrongful.other);
            }
            None => text.push('\n'),
        }
    }
    for summary in summaries
        .iter()
        .filter(|s| !s.refused.is_empty() || !s.unknown.is_empty())
    {
        let reasons = summary.refused.iter().chain(&summary.unknown);
        let list: Vec<_> = reasons
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        let _ = writeln!(text, "  {}: {}", summary.name, list.join(", "));
    }
}

/// Returns the wrongful over-rate refusals, in percent of what one central bucket would have
/// admitted.
pub fn wrongful_percent(wrongful: Wrongful) -> f64 {
    if wrongful.within == 0 {
        return 0.0;
    }
    100.0 * wrongful.over_rate as f64 / wrongful.within as f64
}

/// Returns the admitted requests as a share of what one central bucket would have admitted.
pub fn admitted_ratio(wrongful: Wrongful) -> f64 {
    if wrongful.within == 0 {
        return 1.0;
    }
    wrongful.admitted as f64 / wrongful.within as f64
}

/// Returns the full report of an experiment.
pub fn full_report(report: &Report) -> String {
    let mut text = format!(
        "{} on {}, seed {}\n\n",
        report.experiment, report.deployment, report.seed
    );
    text.push_str(&tables(&report.measures));
    text.push('\n');
    for served in &report.served {
        let all: u64 = served.regions.iter().map(|(_, count)| count).sum();
        let share = |(region, count): &(String, u64)| {
            format!(
                "{region} {:.1} %",
                100.0 * *count as f64 / all.max(1) as f64
            )
        };
        let shares: Vec<_> = served.regions.iter().map(share).collect();
        let _ = writeln!(
            text,
            "{} from {} ran in {}",
            served.class,
            served.home,
            shares.join(", ")
        );
    }
    if !report.notes.is_empty() {
        text.push('\n');
    }
    for note in &report.notes {
        let _ = writeln!(text, "{note}");
    }
    text.push('\n');
    for promise in &report.promises {
        let mark = if promise.broken == 0 {
            "kept  "
        } else {
            "BROKEN"
        };
        let _ = writeln!(
            text,
            "{mark}  {} ({} of {} broken)",
            promise.name, promise.broken, promise.checked
        );
        for example in &promise.examples {
            let _ = writeln!(text, "          {example}");
        }
    }
    text
}
