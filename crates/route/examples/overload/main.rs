//! Compares routing policies under load and endpoint faults, in simulated time.
//!
//! Run with `cargo run --release -p wagtail-route --example overload`.

mod sim;

use std::ops::Range;
use std::time::Duration;

use wagtail_route::Mutant;

use crate::sim::{ENDPOINTS, LENGTH, Load, Policy, SLOTS, Scenario, Simulation};

const SEEDS: u64 = 5;

/// Formats latency percentiles in milliseconds over all seeds, and the percentage of requests not
/// answered in time.
fn row(runs: &[Simulation], teams: Range<usize>) -> String {
    let mut took: Vec<_> = runs
        .iter()
        .flat_map(|run| run.took[teams.clone()].concat())
        .collect();
    took.sort();
    let refused: usize = runs
        .iter()
        .flat_map(|run| &run.refused[teams.clone()])
        .sum();
    let at = |percent: usize| match took.get(took.len() * percent / 100) {
        Some(time) => format!("{:.1}", time.as_secs_f64() * 1e3),
        None => "none".into(),
    };
    let missed = 100.0 * refused as f64 / (refused + took.len()).max(1) as f64;
    format!("{:>8} {:>8} {missed:>8.2} %", at(50), at(99))
}

fn runs(
    policy: Policy,
    mutant: Option<Mutant>,
    scenario: Scenario,
    teams: &'static [f64],
) -> Vec<Simulation> {
    let run = |seed| Simulation::new(policy, mutant, scenario, Load { teams, seed }).run();
    (0..SEEDS).map(run).collect()
}

fn main() {
    let baseline = Scenario {
        name: "none",
        slow: 1,
        reports_idle: false,
        report_age: Some(Duration::from_millis(500)),
    };
    let scenarios = [
        baseline,
        Scenario {
            name: "reports 3 s old",
            report_age: Some(Duration::from_secs(3)),
            ..baseline
        },
        Scenario {
            name: "reports stopped",
            report_age: None,
            ..baseline
        },
        Scenario {
            name: "one slow, honest",
            slow: 5,
            ..baseline
        },
        Scenario {
            name: "one slow, says idle",
            slow: 5,
            reports_idle: true,
            ..baseline
        },
    ];
    println!(
        "Endpoint choice: {ENDPOINTS} endpoints of {SLOTS} slots, load 0.7, {SEEDS} seeds of {LENGTH:?}"
    );
    println!(
        "{:<20} {:<12} {:>8} {:>8} {:>10}",
        "scenario", "policy", "p50 ms", "p99 ms", "not in time"
    );
    for scenario in scenarios {
        for policy in [Policy::Router, Policy::RoundRobin, Policy::ReportsOnly] {
            let runs = runs(policy, None, scenario, &[0.7]);
            println!(
                "{:<20} {:<12} {}",
                scenario.name,
                format!("{policy:?}"),
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
            let runs = runs(Policy::Router, mutant, baseline, teams);
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
