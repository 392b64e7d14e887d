//! The rates that `slopes --units` calculates from measured costs.

use std::time::Duration;

use wagtail_load::slopes::units::{Size, Unit};

#[test]
fn traffic_and_core_share_are_rate_times_cost() {
    let size = Size {
        hosts: 540,
        zones: 9,
        teams: 64,
    };
    for (events, bytes, micros, traffic, core) in [
        (0.0, 40.0, 10, 0.0, 0.0),
        (2.0, 40.0, 10, 80.0, 0.000_02),
        (0.5, 300.0, 4_000, 150.0, 0.002),
        (1_000.0, 0.0, 1_000, 0.0, 1.0),
    ] {
        let unit = Unit {
            source: "synthetic",
            size,
            events,
            bytes,
            time: Duration::from_micros(micros),
            memory: None,
        };
        assert!((unit.traffic() - traffic).abs() < 1e-9, "{unit:?}");
        assert!((unit.core() - core).abs() < 1e-12, "{unit:?}");
    }
}
