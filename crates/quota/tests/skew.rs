//! Calls at one host only: the others lend it all of their rate for as long as it is wanted.

#[expect(dead_code, reason = "shared with the other tests")]
#[path = "fake/world.rs"]
mod world;

use wagtail_types::Share;

use world::{MS, SECOND, World};

/// One host in each zone; only the first gets calls.
const ZONES: [usize; 4] = [0, 1, 2, 3];
const SHARDS: u32 = 2;
const RATE: u64 = 80;
const WARM_UP: u64 = 10 * SECOND;
const MEASURED: u64 = 30 * SECOND;
const GAP: u64 = 8 * MS;
const PATIENCE: u64 = 250 * MS;

#[test]
fn one_busy_host_gets_the_whole_rate() {
    let mut world = World::new(&ZONES, SHARDS, &[(RATE, RATE)], 1, |s| {
        s.drift = Share::from_ppm(500).expect("a share");
    });
    let mut at = 0;
    while at < WARM_UP + MEASURED {
        at += GAP;
        world.run(at);
        world.admit(0, 0, PATIENCE);
    }
    world.run(at + SECOND);
    let measured = world
        .decisions
        .iter()
        .filter(|d| d.at >= WARM_UP && d.at < WARM_UP + MEASURED);
    let granted = measured.filter(|d| d.granted).count() as u64;
    let rate = RATE * (MEASURED / SECOND);
    assert!(granted * 100 >= rate * 99, "{granted} of {rate}");
}
