//! Reports as text.

use std::fmt::Write as _;

use crate::experiment::Report;
use crate::measure::{Line, Measures, Wrongful};

/// The measures as tables.
pub fn tables(measures: &Measures) -> String {
    let mut text = String::new();
    table(&mut text, "team", &measures.teams);
    text.push('\n');
    table(&mut text, "class", &measures.classes);
    text
}

fn table(text: &mut String, what: &str, lines: &[Line]) {
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
    for line in lines {
        let unknown: u64 = line.unknown.values().sum();
        let latency = line.latency;
        let _ = write!(
            text,
            "{:<14}{:>7}{:>9}{:>8}{unknown:>9}{:>6}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
            line.name,
            line.sent,
            line.answered,
            line.refusals(),
            line.lost,
            latency.p50,
            latency.p90,
            latency.p99,
            latency.max
        );
        match line.wrongful {
            Some(wrongful) => {
                let (refused, admitted) = (percent(wrongful), 100.0 * admitted(wrongful));
                let _ = writeln!(text, "{refused:>11.3}{admitted:>11.2}{:>7}", wrongful.other);
            }
            None => text.push('\n'),
        }
    }
    for line in lines
        .iter()
        .filter(|l| !l.refused.is_empty() || !l.unknown.is_empty())
    {
        let reasons = line.refused.iter().chain(&line.unknown);
        let list: Vec<_> = reasons
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        let _ = writeln!(text, "  {}: {}", line.name, list.join(", "));
    }
}

/// Refusals as over the rate, in percent of what one central bucket would have admitted.
pub fn percent(wrongful: Wrongful) -> f64 {
    if wrongful.within == 0 {
        return 0.0;
    }
    100.0 * wrongful.over_rate as f64 / wrongful.within as f64
}

/// What was admitted, as a share of what one central bucket would have admitted.
pub fn admitted(wrongful: Wrongful) -> f64 {
    if wrongful.within == 0 {
        return 1.0;
    }
    wrongful.admitted as f64 / wrongful.within as f64
}

/// The whole report.
pub fn whole(report: &Report) -> String {
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
