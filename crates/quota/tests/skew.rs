//! Requests at one host only: the others must lend it all of their rate while it is needed.
//!
//! Guards against lenders that stop renewing because they see no rate to spare.

#[expect(dead_code, reason = "shared with the other tests")]
#[path = "support/simulation.rs"]
mod simulation;

use wagtail_types::Share;

use simulation::{MS, SECOND, Simulation};

/// One host in each zone; only the first receives requests.
const ZONES: [usize; 4] = [0, 1, 2, 3];
const SHARDS: u32 = 2;
const RATE: u64 = 80;
const WARM_UP: u64 = 10 * SECOND;
const MEASUREMENT: u64 = 30 * SECOND;
const REQUEST_INTERVAL: u64 = 8 * MS;
const TIMEOUT: u64 = 250 * MS;

#[test]
fn one_busy_host_gets_the_whole_rate() {
    let mut sim = Simulation::new(&ZONES, SHARDS, &[(RATE, RATE)], 1, |s| {
        s.drift = Share::from_ppm(500).expect("a share");
    });
    let mut at = 0;
    while at < WARM_UP + MEASUREMENT {
        at += REQUEST_INTERVAL;
        sim.run_until(at);
        sim.admit(0, 0, TIMEOUT);
    }
    sim.run_until(at + SECOND);
    let measured = sim
        .decisions
        .iter()
        .filter(|d| d.at >= WARM_UP && d.at < WARM_UP + MEASUREMENT);
    let granted = measured.filter(|d| d.granted).count() as u64;
    let rate = RATE * (MEASUREMENT / SECOND);
    assert!(granted * 100 >= rate * 99, "{granted} of {rate}");
}
