//! The best that a deployment allows, worked out by hand for small ones.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtail_load::bound::{Capacity, Day, Kind, Plan, Source, bound};

/// Two regions with ten requests a second each, of one kind.
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
            keeps: 10 * (slots[0] + slots[1]),
        }],
        kinds: vec![Kind {
            name: "read".to_owned(),
            service: 0,
            aim: Duration::from_millis(500),
            worth: 2.0,
            late: 0.4,
            plain: Duration::from_secs(1),
            warm: Duration::from_millis(300),
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
fn with_room_and_nothing_to_learn_all_worth_is_earned() {
    let plan = plan([4, 4], 0);
    let best = bound(&plan, &plan.days[0]);
    near(best.pooled, 1.0);
    near(best.per_region, 1.0);
    near(best.uses[0].warm_peak, 6.0);
    near(best.uses[0].cold_peak, 20.0);
}

/// Six slots are needed where objects are known, three a region.
#[test]
fn work_beyond_the_slots_earns_nothing() {
    let few = plan([2, 1], 0);
    near(bound(&few, &few.days[0]).pooled, 0.5);
    let uneven = plan([1, 5], 0);
    let best = bound(&uneven, &uneven.days[0]);
    near(best.pooled, 1.0);
    near(best.per_region, f64::midpoint(1.0 / 3.0, 1.0));
}

/// An object's first run is late; of 400 requests for 8 objects that is 8.
#[test]
fn objects_are_unknown_once() {
    let plan = plan([20, 20], 4);
    let best = bound(&plan, &plan.days[0]);
    near(best.pooled, (392.0 + 8.0 * 0.2) / 400.0);
    near(best.uses[0].warm_fraction, 1.0);
}
