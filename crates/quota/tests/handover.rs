//! Who holds which shards after hosts stop, crash and return.

#[expect(dead_code, reason = "shared with the fuzz")]
#[path = "fake/world.rs"]
mod world;

use std::time::Duration;

use world::{SECOND, World};

const ZONES: [usize; 4] = [0, 0, 1, 1];

fn world() -> World {
    let mut world = World::new(&ZONES, 2, &[(10, 10)], 3, |settings| {
        settings.outage_term = Duration::from_secs(20);
    });
    world.run(3 * SECOND);
    world
}

/// The hosts that hold shards of a zone, one entry a shard.
fn holders(world: &World, zone: usize) -> Vec<usize> {
    let zone = &world.hosts[ZONES.iter().position(|z| *z == zone).unwrap()].zone;
    let mut found = Vec::new();
    for (index, host) in world.hosts.iter().enumerate() {
        let held = host.quota.iter().flat_map(wagtail_quota::Quota::held);
        found.extend(held.filter(|shard| shard.zone == *zone).map(|_| index));
    }
    found
}

fn lose(world: &mut World, hosts: &[usize]) {
    for host in hosts {
        world.crash(*host);
    }
    for host in 0..ZONES.len() {
        world.tell_peers(host);
    }
}

fn run_for(world: &mut World, seconds: u64) {
    world.run(world.now + seconds * SECOND);
}

#[test]
fn every_shard_is_held_once() {
    let world = world();
    assert_eq!((holders(&world, 0).len(), holders(&world, 1).len()), (2, 2));
}

#[test]
fn a_crashed_host_is_followed_by_its_zone() {
    let mut world = world();
    lose(&mut world, &[3]);
    run_for(&mut world, 12);
    assert_eq!(holders(&world, 1), [2, 2]);
}

#[test]
fn a_stopped_host_is_followed_at_once() {
    let mut world = world();
    world.release(3);
    run_for(&mut world, 1);
    assert!(world.hosts[3].released);
    assert_eq!(holders(&world, 1), [2, 2]);
}

#[test]
fn a_lost_zone_is_followed_after_the_outage_term_and_gets_its_shards_back() {
    let mut world = world();
    lose(&mut world, &[2, 3]);
    run_for(&mut world, 15);
    assert_eq!(holders(&world, 1), [], "within the outage term");
    run_for(&mut world, 20);
    assert_eq!(holders(&world, 1).len(), 2, "after it");
    world.boot(2);
    run_for(&mut world, 10);
    assert_eq!(holders(&world, 1), [2, 2], "after a return");
}

#[test]
fn a_zone_without_the_table_keeps_its_shards_for_the_outage_term() {
    let mut world = world();
    let before = holders(&world, 0);
    world.faults.table_down = true;
    run_for(&mut world, 15);
    assert_eq!(holders(&world, 0), before);
    run_for(&mut world, 10);
    assert_eq!(holders(&world, 0), []);
    world.faults.table_down = false;
    run_for(&mut world, 10);
    assert_eq!(holders(&world, 0).len(), 2);
}

#[test]
fn reads_do_not_grow_with_the_hosts_of_a_zone() {
    let reads = |hosts: usize| {
        let mut world = World::new(&vec![0; hosts], 2, &[(10, 10)], 3, |_| {});
        run_for(&mut world, 60);
        let before = world.reads;
        run_for(&mut world, 60);
        world.reads - before
    };
    // Three hosts read a row every 2 s; the others, one in 30 s each.
    let (few, many) = (reads(4), reads(24));
    assert!(
        few > 0 && many <= few + 2 * 20 * 3,
        "{few} reads, then {many}"
    );
}
