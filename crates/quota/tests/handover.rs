//! Holders of shards after hosts stop, crash and return.
//!
//! Guards against shards that stay unheld, move too early, or are not returned to their zone.

#[expect(dead_code, reason = "shared with the fuzz")]
#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{SECOND, Simulation};

const ZONES: [usize; 4] = [0, 0, 1, 1];

fn start_simulation() -> Simulation {
    let mut sim = Simulation::new(&ZONES, 2, &[(10, 10)], 3, |settings| {
        settings.outage_term = Duration::from_secs(20);
    });
    sim.run_until(3 * SECOND);
    sim
}

/// Returns the hosts that hold shards of a zone, with one entry per shard.
fn holders(sim: &Simulation, zone: usize) -> Vec<usize> {
    let zone = &sim.hosts[ZONES.iter().position(|z| *z == zone).unwrap()].zone;
    let mut found = Vec::new();
    for (index, host) in sim.hosts.iter().enumerate() {
        let held = host.quota.iter().flat_map(wagtail_quota::Quota::held);
        found.extend(held.filter(|shard| shard.zone == *zone).map(|_| index));
    }
    found
}

fn crash_all(sim: &mut Simulation, hosts: &[usize]) {
    for host in hosts {
        sim.crash(*host);
    }
    for host in 0..ZONES.len() {
        sim.update_peers(host);
    }
}

fn run_for(sim: &mut Simulation, seconds: u64) {
    sim.run_until(sim.now + seconds * SECOND);
}

#[test]
fn every_shard_is_held_once() {
    let sim = start_simulation();
    assert_eq!((holders(&sim, 0).len(), holders(&sim, 1).len()), (2, 2));
}

#[test]
fn shards_of_a_crashed_host_move_within_its_zone() {
    let mut sim = start_simulation();
    crash_all(&mut sim, &[3]);
    run_for(&mut sim, 12);
    assert_eq!(holders(&sim, 1), [2, 2]);
}

#[test]
fn shards_of_a_released_host_move_at_once() {
    let mut sim = start_simulation();
    sim.release(3);
    run_for(&mut sim, 1);
    assert!(sim.hosts[3].released);
    assert_eq!(holders(&sim, 1), [2, 2]);
}

#[test]
fn shards_of_a_lost_zone_move_after_the_outage_term_and_return() {
    let mut sim = start_simulation();
    crash_all(&mut sim, &[2, 3]);
    run_for(&mut sim, 15);
    assert_eq!(holders(&sim, 1), [], "within the outage term");
    run_for(&mut sim, 20);
    assert_eq!(holders(&sim, 1).len(), 2, "after it");
    sim.boot(2);
    run_for(&mut sim, 10);
    assert_eq!(holders(&sim, 1), [2, 2], "after a return");
}

#[test]
fn a_zone_without_the_table_keeps_its_shards_for_the_outage_term() {
    let mut sim = start_simulation();
    let before = holders(&sim, 0);
    sim.faults.table_down = true;
    run_for(&mut sim, 15);
    assert_eq!(holders(&sim, 0), before);
    run_for(&mut sim, 10);
    assert_eq!(holders(&sim, 0), []);
    sim.faults.table_down = false;
    run_for(&mut sim, 10);
    assert_eq!(holders(&sim, 0).len(), 2);
}

#[test]
fn reads_do_not_grow_with_the_hosts_of_a_zone() {
    let reads = |hosts: usize| {
        let mut sim = Simulation::new(&vec![0; hosts], 2, &[(10, 10)], 3, |_| {});
        run_for(&mut sim, 60);
        let before = sim.reads;
        run_for(&mut sim, 60);
        sim.reads - before
    };
    // Three hosts read each row every 2 s; each of the others reads it once in 30 s.
    let (few, many) = (reads(4), reads(24));
    assert!(
        few > 0 && many <= few + 2 * 20 * 3,
        "{few} reads, then {many}"
    );
}
