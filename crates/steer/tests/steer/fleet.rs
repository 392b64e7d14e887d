//! Digests, membership, the registry follower and the directory.

use std::time::Duration;

use wagtail_steer::{
    ConfigVersion, Datagram, Follower, Generation, HostState, LeavingEndpoint, Message,
    RegistryView,
};
use wagtail_types::{Clock, ManualClock};

use crate::support::{addr, exchange, name, steer};

const VIEW: RegistryView = RegistryView {
    generation: Some(Generation(300)),
    lost_config: Some(ConfigVersion(7)),
};

fn digest(registry: Option<RegistryView>, clock: &ManualClock) -> Datagram {
    let digest = steer("host", "a1", 100).next_digest(HostState::Ready, clock.now());
    Datagram {
        message: Message::Digest(digest),
        registry,
        leaving: Vec::new(),
        limits: Vec::new(),
    }
}

#[test]
fn a_digest_round_trips() {
    let clock = ManualClock::new();
    let report = |started| LeavingEndpoint {
        endpoint: 7,
        started,
    };
    let leaving = vec![report(Some(1)), report(None)];
    for (registry, leaving) in [
        (None, Vec::new()),
        (Some(VIEW), Vec::new()),
        (Some(VIEW), leaving),
    ] {
        let mut digest = digest(registry, &clock);
        digest.leaving = leaving;
        let bytes = digest.encode().expect("it encodes");
        assert_eq!(Datagram::decode(&bytes).expect("it decodes"), digest);
    }
}

#[test]
fn invalid_datagrams_are_rejected() {
    let clock = ManualClock::new();
    let bytes = digest(None, &clock).encode().expect("it encodes");
    assert!(Datagram::decode(&[]).is_err());
    assert!(Datagram::decode(&[9; 40]).is_err());
    for end in 0..bytes.len() {
        assert!(Datagram::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
    let longer = digest(Some(VIEW), &clock).encode().expect("it encodes");
    for end in bytes.len() + 1..longer.len() {
        assert!(Datagram::decode(&longer[..end]).is_err(), "cut at {end}");
    }
}

/// Hosts of builds before and after the view of the registry was added run side by side during a
/// rolling restart.
#[test]
fn a_message_reads_the_same_without_the_view_of_the_registry() {
    let clock = ManualClock::new();
    let (old, new) = (digest(None, &clock), digest(Some(VIEW), &clock));
    let (old_bytes, new_bytes) = (
        old.encode().expect("it encodes"),
        new.encode().expect("it encodes"),
    );
    assert!(new_bytes.starts_with(&old_bytes));
    let decoded = Datagram::decode(&old_bytes).expect("it decodes");
    assert_eq!((decoded.message, decoded.registry), (new.message, None));
}

#[test]
fn an_older_digest_does_not_replace_a_newer_one() {
    let clock = ManualClock::new();
    let mut host = steer("one", "a1", 100);
    let mut other = steer("two", "a2", 200);
    let first = other.next_digest(HostState::Ready, clock.now());
    let second = other.next_digest(HostState::Leaving, clock.now());
    assert!(host.apply_digest(second, clock.now()));
    assert!(!host.apply_digest(first, clock.now()));
    assert!(host.directory(None, false, clock.now()).is_empty());
}

#[test]
fn the_directory_lists_live_hosts_of_the_region() {
    let clock = ManualClock::new();
    let mut hosts = [
        steer("one", "a1", 100),
        steer("two", "a2", 200),
        steer("three", "b1", 300),
    ];
    exchange(&mut hosts, &clock);
    let zone = name("a2");
    let mut found = hosts[0].directory(Some(&zone), true, clock.now());
    found.sort();
    assert_eq!(found, [addr(100), addr(200)]);
    clock.advance(Duration::from_secs(4));
    assert_eq!(
        hosts[0].directory(Some(&zone), true, clock.now()),
        [addr(100)]
    );
    assert_eq!(hosts[0].host_count(clock.now()), 1);
}

/// Registry calls are billed, so that in a zone with several hosts one of them must follow the
/// registry for all.
#[test]
fn one_host_of_a_large_zone_follows_the_registry() {
    let clock = ManualClock::new();
    let host = |id: &str, port| steer(id, "a1", port);
    let mut hosts = vec![
        host("one", 100),
        host("two", 200),
        steer("three", "a2", 300),
    ];
    exchange(&mut hosts, &clock);
    assert!(
        hosts
            .iter()
            .all(|h| h.follower(clock.now()) == Follower::Each)
    );
    hosts.push(host("four", 400));
    exchange(&mut hosts, &clock);
    let follower = |at: usize| hosts[at].follower(clock.now());
    let mut peers = match follower(3) {
        Follower::Local(peers) => peers,
        other => panic!("{other:?}"),
    };
    peers.sort();
    assert_eq!(peers, [addr(101), addr(201)]);
    assert_eq!(follower(0), Follower::Other);
    assert_eq!(follower(1), Follower::Other);
    assert_eq!(follower(2), Follower::Each);
    // Without the following host, too few remain, and each host follows for itself again.
    clock.advance(Duration::from_secs(4));
    assert_eq!(hosts[0].follower(clock.now()), Follower::Each);
}
