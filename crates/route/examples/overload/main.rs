//! Routing policies under load and faults, in virtual time.
//!
//! Run with `cargo run --release -p wagtail-route --example overload`.

mod bench;

use std::ops::Range;
use std::time::Duration;

use wagtail_route::Mutant;

use crate::bench::{Bench, Choice, ENDPOINTS, LENGTH, Load, SLOTS, Trouble};

const SEEDS: u64 = 5;

/// Percentiles in milliseconds over the seeds, and the percentage not answered in time.
fn row(runs: &[Bench], teams: Range<usize>) -> String {
    let mut took: Vec<_> = runs
        .iter()
        .flat_map(|b| b.took[teams.clone()].concat())
        .collect();
    took.sort();
    let refused: usize = runs.iter().flat_map(|b| &b.refused[teams.clone()]).sum();
    let at = |percent: usize| match took.get(took.len() * percent / 100) {
        Some(time) => format!("{:.1}", time.as_secs_f64() * 1e3),
        None => "none".into(),
    };
    let missed = 100.0 * refused as f64 / (refused + took.len()).max(1) as f64;
    format!("{:>8} {:>8} {missed:>8.2} %", at(50), at(99))
}

fn runs(
    choice: Choice,
    mutant: Option<Mutant>,
    trouble: Trouble,
    teams: &'static [f64],
) -> Vec<Bench> {
    let run = |seed| Bench::new(choice, mutant, trouble, Load { teams, seed }).run();
    (0..SEEDS).map(run).collect()
}

fn main() {
    let calm = Trouble {
        name: "none",
        slow: 1,
        misleads: false,
        lag: Some(Duration::from_millis(500)),
    };
    let troubles = [
        calm,
        Trouble {
            name: "reports 3 s old",
            lag: Some(Duration::from_secs(3)),
            ..calm
        },
        Trouble {
            name: "reports stopped",
            lag: None,
            ..calm
        },
        Trouble {
            name: "one slow, honest",
            slow: 5,
            ..calm
        },
        Trouble {
            name: "one slow, says idle",
            slow: 5,
            misleads: true,
            ..calm
        },
    ];
    println!(
        "Endpoint choice: {ENDPOINTS} endpoints of {SLOTS} slots, load 0.7, {SEEDS} seeds of {LENGTH:?}"
    );
    println!(
        "{:<20} {:<12} {:>8} {:>8} {:>10}",
        "trouble", "policy", "p50 ms", "p99 ms", "not in time"
    );
    for trouble in troubles {
        for choice in [Choice::Router, Choice::RoundRobin, Choice::ReportsOnly] {
            let runs = runs(choice, None, trouble, &[0.7]);
            println!(
                "{:<20} {:<12} {}",
                trouble.name,
                format!("{choice:?}"),
                row(&runs, 0..1)
            );
        }
    }
    println!("\nOne team at 5 times its share, the three others at 0.15 each");
    println!(
        "{:<20} {:<12} {:>8} {:>8} {:>10}",
        "load", "queue", "p50 ms", "p99 ms", "not in time"
    );
    let loads: [(&str, &'static [f64]); 2] = [
        ("at its share", &[0.15, 0.15, 0.15, 0.15]),
        ("at 5 times", &[0.75, 0.15, 0.15, 0.15]),
    ];
    for (load, teams) in loads {
        for (queue, mutant) in [("fair", None), ("fifo", Some(Mutant::Fifo))] {
            let runs = runs(Choice::Router, mutant, calm, teams);
            println!(
                "{load:<20} {:<12} {}",
                format!("{queue} others"),
                row(&runs, 1..4)
            );
            println!(
                "{load:<20} {:<12} {}",
                format!("{queue} sender"),
                row(&runs, 0..1)
            );
        }
    }
}
