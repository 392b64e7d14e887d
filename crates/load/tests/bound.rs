//! Upper bounds of small deployments, compared with values calculated by hand.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtail_load::bound::{Capacity, Day, Kind, Plan, Source, bound};

/// Returns a plan with two regions, each with ten requests per second of one kind.
fn plan(slots: [u32; 2], objects: u32) -> Plan {
    let regions = ["a", "b"].map(str::to_owned);
    let source = |region: &String| Source {
        region: region.clone(),
        rates: vec![10.0],
        swing: 0.0,
        period: Duration::ZERO,
        phase: 0.0,
    };
    Plan {
        name: "small".to_owned(),
        services: vec![Capacity {
            service: "svc".to_owned(),
            slots: regions
                .iter()
                .cloned()
                .zip(slots)
                .collect::<BTreeMap<_, _>>(),
            warm_objects: 10 * (slots[0] + slots[1]),
        }],
        kinds: vec![Kind {
            name: "read".to_owned(),
            service: 0,
            target_latency: Duration::from_millis(500),
            worth: 2.0,
            late_worth: 0.4,
            cold_time: Duration::from_secs(1),
            warm_time: Duration::from_millis(300),
            objects,
        }],
        days: vec![Day {
            name: "any".to_owned(),
            length: Duration::from_secs(20),
            sources: regions.iter().map(source).collect(),
        }],
    }
}

fn near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-3, "{value}, not {expected}");
}

#[test]
fn enough_slots_and_warm_objects_earn_all_worth() {
    let plan = plan([4, 4], 0);
    let best = bound(&plan, &plan.days[0]);
    near(best.pooled, 1.0);
    near(best.per_region, 1.0);
    near(best.uses[0].warm_peak, 6.0);
    near(best.uses[0].cold_peak, 20.0);
}

/// With warm objects six slots are needed, three in each region.
#[test]
fn work_beyond_the_slots_earns_nothing() {
    let few = plan([2, 1], 0);
    near(bound(&few, &few.days[0]).pooled, 0.5);
    let uneven = plan([1, 5], 0);
    let best = bound(&uneven, &uneven.days[0]);
    near(best.pooled, 1.0);
    near(best.per_region, f64::midpoint(1.0 / 3.0, 1.0));
}

/// The first request for each object is cold and late: 8 of 400 requests for 8 objects.
#[test]
fn the_first_request_for_each_object_is_cold() {
    let plan = plan([20, 20], 4);
    let best = bound(&plan, &plan.days[0]);
    near(best.pooled, (392.0 + 8.0 * 0.2) / 400.0);
    near(best.uses[0].warm_fraction, 1.0);
}
