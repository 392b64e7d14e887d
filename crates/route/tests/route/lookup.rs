//! Look-up answers spread callers, stay stable, and leave out hosts that do not serve.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use wagtail_route::{Directory, HostRow, HostState, SiteKey, SiteRow};
use wagtail_types::{HostId, Share};

use crate::support::id;

const CALLERS: u32 = 4_000;

fn row(name: &str, zone: &str, state: HostState, free: Share) -> HostRow {
    HostRow {
        id: id(name),
        zone: id(zone),
        state,
        free,
        teams: Vec::new(),
    }
}

fn fleet() -> Vec<HostRow> {
    let serving = |(name, zone)| row(name, zone, HostState::Serving, Share::ALL);
    let hosts = [
        ("a1", "a"),
        ("a2", "a"),
        ("a3", "a"),
        ("b1", "b"),
        ("b2", "b"),
    ];
    hosts.map(serving).into()
}

fn sites() -> Vec<SiteRow> {
    let site = |zones: &[&str]| SiteRow {
        zones: zones.iter().map(|zone| id(zone)).collect(),
    };
    vec![site(&["a", "b"]), site(&["b", "a"]), site(&["gone"])]
}

fn first_hosts(hosts: &[HostRow], site: u16) -> Vec<HostId> {
    let directory = Directory::new(hosts, &sites());
    let first = |n: u32| {
        let caller = Ipv4Addr::from_bits(n << 8).into();
        let mut answer = directory.answer(Some(SiteKey(site)), caller, None);
        answer.next().expect("a host").clone()
    };
    (0..CALLERS).map(first).collect()
}

fn counts(first_hosts: &[HostId]) -> HashMap<&str, u32> {
    let mut counts = HashMap::new();
    for host in first_hosts {
        *counts.entry(host.as_str()).or_default() += 1;
    }
    counts
}

#[test]
fn callers_spread_over_the_nearest_zone() {
    let first_hosts = first_hosts(&fleet(), 0);
    let counts = counts(&first_hosts);
    assert_eq!(counts.len(), 3, "{counts:?}");
    for (host, count) in counts {
        assert!(
            (CALLERS / 5..CALLERS / 2).contains(&count),
            "{host}: {count}"
        );
    }
}

#[test]
fn a_host_with_less_free_capacity_gets_fewer_callers() {
    let mut hosts = fleet();
    hosts[0].free = Share::NONE;
    let first_hosts = first_hosts(&hosts, 0);
    let counts = counts(&first_hosts);
    assert!(counts["a1"] * 2 < counts["a2"], "{counts:?}");
}

#[test]
fn small_changes_of_capacity_move_no_caller() {
    let mut hosts = fleet();
    let before = first_hosts(&hosts, 0);
    hosts[0].free = Share::from_ppm(999_999).expect("a share");
    hosts[1].free = Share::from_ppm(999_000).expect("a share");
    hosts[2].free = Share::from_ppm(990_000).expect("a share");
    let after = first_hosts(&hosts, 0);
    assert_eq!(before, after);
}

#[test]
fn only_the_callers_of_a_host_that_leaves_move() {
    for state in [HostState::Leaving, HostState::Dead] {
        let mut hosts = fleet();
        let before = first_hosts(&hosts, 0);
        hosts[1].state = state;
        let after = first_hosts(&hosts, 0);
        for (old, new) in before.iter().zip(&after) {
            assert_ne!(new.as_str(), "a2");
            assert!(old == new || old.as_str() == "a2", "{old} moved to {new}");
        }
    }
}

#[test]
fn the_answer_goes_on_to_the_next_zone() {
    let directory = Directory::new(&fleet(), &sites());
    let caller = Ipv4Addr::LOCALHOST.into();
    let answer: Vec<_> = directory.answer(Some(SiteKey(1)), caller, None).collect();
    assert_eq!(answer.len(), 5);
    assert!(
        answer[..2]
            .iter()
            .all(|host| host.as_str().starts_with('b'))
    );
}

#[test]
fn callers_without_a_usable_site_get_hosts_of_every_zone() {
    let directory = Directory::new(&fleet(), &sites());
    let caller = Ipv4Addr::LOCALHOST.into();
    for site in [None, Some(SiteKey(2)), Some(SiteKey(99))] {
        assert_eq!(directory.answer(site, caller, None).count(), 5, "{site:?}");
    }
    let empty = Directory::new(&[], &sites());
    assert_eq!(empty.answer(Some(SiteKey(0)), caller, None).count(), 0);
}

#[test]
fn a_holder_of_the_teams_shards_goes_first_within_near_zones() {
    let mut hosts = fleet();
    hosts[4].teams.push(id("dyfrdwy"));
    let directory = Directory::new(&hosts, &sites());
    let team = id("dyfrdwy");
    for n in 0..CALLERS {
        let caller = Ipv4Addr::from_bits(n << 8).into();
        let answer: Vec<_> = directory
            .answer(Some(SiteKey(0)), caller, Some(&team))
            .collect();
        assert_eq!(answer[0].as_str(), "b2");
        assert_eq!(answer.len(), 5, "each host once");
    }
}

#[test]
fn only_the_callers_of_a_holder_that_is_lost_move() {
    let team = id("dyfrdwy");
    let first = |holders: &[usize]| -> Vec<HostId> {
        let mut hosts = fleet();
        for at in holders {
            hosts[*at].teams.push(id("dyfrdwy"));
        }
        let directory = Directory::new(&hosts, &sites());
        let first = |n: u32| {
            let caller = Ipv4Addr::from_bits(n << 8).into();
            let mut answer = directory.answer(Some(SiteKey(0)), caller, Some(&team));
            answer.next().expect("a host").clone()
        };
        (0..CALLERS).map(first).collect()
    };
    let (before, after) = (first(&[0, 1, 2]), first(&[0, 2]));
    assert_eq!(counts(&before).len(), 3, "callers spread over the holders");
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || old.as_str() == "a2", "{old} moved to {new}");
    }
}
