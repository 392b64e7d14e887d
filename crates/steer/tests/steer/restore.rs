//! Beliefs of a host after the registry has been restored from an older copy.

use std::collections::HashSet;
use std::time::Duration;

use wagtail_steer::{
    ConfigVersion, Cursor, EndpointState, Extent, Fingerprint, Generation, GenerationTag,
    GenerationTracker, Observation, Placement, PlacementRequest, Steer,
};
use wagtail_types::{Clock, ManualClock, ZoneId};

use crate::support::{SERVICE, config, endpoint, name, steer};

fn known(generation: u64) -> GenerationTag {
    GenerationTag::Known(Generation(generation))
}

fn unreadable(text: &str) -> GenerationTag {
    GenerationTag::Unreadable(text.to_owned())
}

fn tracker(first: &GenerationTag) -> GenerationTracker {
    let mut tracker = GenerationTracker::default();
    tracker.observe(first);
    tracker
}

#[test]
fn a_higher_generation_is_a_restore_and_a_lower_one_is_outdated() {
    let mut tracker = tracker(&known(4));
    assert_eq!(tracker.observe(&known(4)), Observation::Current);
    assert_eq!(tracker.observe(&known(6)), Observation::Restored);
    assert_eq!(tracker.observe(&known(5)), Observation::Outdated);
    assert_eq!(tracker.observe(&known(6)), Observation::Current);
}

/// A registry of an earlier version names no generation, and an answer without one must not cause a
/// full read.
#[test]
fn answers_without_a_generation_change_nothing() {
    let mut tracker = tracker(&GenerationTag::Absent);
    assert_eq!(tracker.observe(&known(4)), Observation::Current);
    assert_eq!(
        tracker.observe(&GenerationTag::Absent),
        Observation::Current
    );
    assert_eq!(tracker.observe(&known(5)), Observation::Restored);
}

#[test]
fn an_unreadable_generation_is_a_restore_once() {
    let mut tracker = tracker(&known(4));
    assert_eq!(tracker.observe(&unreadable("x")), Observation::Restored);
    assert_eq!(tracker.observe(&unreadable("x")), Observation::Current);
    assert_eq!(tracker.observe(&unreadable("y")), Observation::Restored);
    assert_eq!(tracker.observe(&known(3)), Observation::Outdated);
    assert_eq!(tracker.observe(&known(5)), Observation::Restored);
}

/// Pages that a host of an earlier build relays name no generation: they could be from before a
/// restore, so that they must not be applied if the registry counts generations.
#[test]
fn relayed_entries_apply_in_the_current_generation_only() {
    let mut tracker = GenerationTracker::default();
    assert!(tracker.applies(None));
    assert!(!tracker.applies(Some(Generation(4))));
    tracker.observe(&known(4));
    assert!(!tracker.applies(None));
    assert!(!tracker.applies(Some(Generation(3))));
    assert!(tracker.applies(Some(Generation(4))));
    tracker.observe(&unreadable("x"));
    assert!(!tracker.applies(Some(Generation(4))));
}

/// A generation that another host names must not make the answers of the registry outdated.
#[test]
fn a_hint_is_taken_once_and_does_not_become_current() {
    let mut tracker = tracker(&known(4));
    assert!(!tracker.hint(Generation(4)));
    assert!(tracker.hint(Generation(u64::MAX)));
    assert!(!tracker.hint(Generation(u64::MAX)));
    assert_eq!(tracker.observe(&known(4)), Observation::Current);
    assert_eq!(tracker.observe(&known(5)), Observation::Restored);
}

/// Versions are assigned again after a restore. A host that kept the higher of two versions would
/// skip all changes up to it for good.
#[test]
fn a_restart_of_the_cursor_accepts_lower_versions() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.advance(100), Extent::All);
    assert_eq!(cursor.advance(90), Extent::Changes);
    assert_eq!(cursor.version(), Some(100));
    assert!(cursor.continues(95, 101) && !cursor.continues(101, 102));
    cursor.restart();
    assert_eq!(cursor.version(), None);
    assert!(!cursor.continues(0, 200));
    assert_eq!(cursor.advance(60), Extent::Restored);
    assert_eq!(cursor.version(), Some(60));
    cursor.lose_history();
    assert_eq!(cursor.advance(61), Extent::All);
}

/// Returns a host that serves, with one endpoint in each of two zones.
fn host() -> (Steer, ManualClock) {
    let clock = ManualClock::new();
    let mut host = steer("host", "a1", 100);
    assert_eq!(host.configure(config(3)), Some(Vec::new()));
    host.register(endpoint("e", "a1", 2), clock.now());
    host.register(endpoint("f", "a2", 2), clock.now());
    host.mark_hosts_read();
    (host, clock)
}

/// Returns the names of the endpoints that requests reach.
fn reached(host: &mut Steer, clock: &ManualClock) -> HashSet<String> {
    let route = std::rc::Rc::new(config(1).routes.remove(0));
    let service = name(SERVICE);
    let mut tried = Vec::new();
    let mut reached = HashSet::new();
    loop {
        let request = PlacementRequest {
            route: &route,
            service: &service,
            object: None,
            permitted_regions: &[],
            fingerprint: Fingerprint::default(),
            tried: &tried,
            repeated: false,
            elapsed: Duration::ZERO,
            remaining: route.timeout,
        };
        let Placement::Send(choice) = host.place(&request, clock.now()) else {
            return reached;
        };
        tried.push(choice.key);
        let endpoint = host.endpoint(choice.key).expect("it is registered");
        reached.insert(endpoint.record.id.to_string());
    }
}

fn set(names: &[&str]) -> HashSet<String> {
    names.iter().map(|&n| n.to_owned()).collect()
}

#[test]
fn an_older_configuration_of_the_copy_is_ignored() {
    let (mut host, clock) = host();
    host.registry_restored(clock.now());
    assert_eq!(host.configure(config(2)), None);
    assert_eq!(
        host.catalog().expect("in force").version(),
        ConfigVersion(3)
    );
    assert_eq!(host.lost_config(), Some(ConfigVersion(3)));
    assert_eq!(host.configure(config(3)), None);
    assert_eq!(host.lost_config(), None);
}

/// The address of an endpoint that has departed may belong to another service by now.
#[test]
fn a_departed_endpoint_of_the_copy_must_pass_a_health_check() {
    let (mut host, clock) = host();
    host.unregister(&name("e"), clock.now());
    clock.advance(Duration::from_secs(5));
    host.registry_restored(clock.now());
    let key = host.register_restored(endpoint("e", "a1", 2), clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["f"]));
    let key = key.expect("its zone is known");
    assert_eq!(host.due_checks(clock.now()), [key]);
    host.record_check(key, Some(Duration::ZERO), clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["e", "f"]));
}

#[test]
fn a_new_process_of_a_departed_endpoint_is_used_at_once() {
    let (mut host, clock) = host();
    host.unregister(&name("e"), clock.now());
    host.registry_restored(clock.now());
    let mut record = endpoint("e", "a1", 2);
    record.started = Some(2);
    host.register_restored(record, clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["e", "f"]));
}

#[test]
fn an_endpoint_that_drains_is_not_used_on_the_word_of_the_copy() {
    let (mut host, clock) = host();
    let mut draining = endpoint("e", "a1", 2);
    draining.state = EndpointState::Draining;
    host.register(draining, clock.now());
    host.registry_restored(clock.now());
    host.register_restored(endpoint("e", "a1", 2), clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["f"]));
    // What the endpoint writes from then on is newer than the copy.
    host.register(endpoint("e", "a1", 2), clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["e", "f"]));
}

#[test]
fn an_earlier_process_of_a_registered_endpoint_is_ignored() {
    let (mut host, clock) = host();
    let mut restarted = endpoint("e", "a1", 4);
    restarted.started = Some(2);
    let key = host.register(restarted, clock.now()).expect("a known zone");
    host.registry_restored(clock.now());
    assert_eq!(
        host.register_restored(endpoint("e", "a1", 2), clock.now()),
        None
    );
    assert_eq!(host.endpoint(key).expect("registered").record.slots, 4);
}

/// A live endpoint that registered after the copy was made has two seconds to register again.
#[test]
fn an_endpoint_that_the_copy_lacks_serves_for_two_seconds() {
    let (mut host, clock) = host();
    host.registry_restored(clock.now());
    host.retain_endpoints(&HashSet::from([name("f")]), clock.now());
    clock.advance(Duration::from_millis(1_900));
    host.remove_lapsed(clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["e", "f"]));
    clock.advance(Duration::from_millis(200));
    host.remove_lapsed(clock.now());
    assert_eq!(reached(&mut host, &clock), set(&["f"]));
}

#[test]
fn an_evacuation_that_the_copy_lacks_holds_until_its_row_is_back() {
    let zone: ZoneId = name("a1");
    let (mut host, clock) = host();
    host.evacuate(&zone, true, clock.now());
    host.registry_restored(clock.now());
    host.set_evacuated_restored(&HashSet::new(), clock.now());
    clock.advance(Duration::from_secs(4));
    assert!(host.end_holds(clock.now()).is_empty());
    assert_eq!(reached(&mut host, &clock), set(&["f"]));
    // The operator's row is back: the evacuation has no end of its own any more.
    host.evacuate(&zone, true, clock.now());
    clock.advance(Duration::from_secs(4));
    assert!(host.end_holds(clock.now()).is_empty());
    host.evacuate(&zone, false, clock.now());
    assert!(!host.is_evacuated(&zone));
}

#[test]
fn an_evacuation_whose_row_does_not_come_back_ends() {
    let zone: ZoneId = name("a1");
    let (mut host, clock) = host();
    host.evacuate(&zone, true, clock.now());
    host.registry_restored(clock.now());
    host.set_evacuated_restored(&HashSet::new(), clock.now());
    clock.advance(Duration::from_secs(5));
    assert_eq!(host.end_holds(clock.now()), std::slice::from_ref(&zone));
    assert!(!host.is_evacuated(&zone));
}

/// A host that starts from an old copy must not accept keys that have been withdrawn since: it
/// refuses all requests until it has the configuration of the other hosts, at most for three seconds.
#[test]
fn a_starting_host_waits_for_the_configuration_of_its_peers() {
    let (mut host, clock) = host();
    assert!(host.is_initialized(clock.now()));
    assert!(!host.hint_config(ConfigVersion(3), clock.now()));
    assert!(host.hint_config(ConfigVersion(5), clock.now()));
    assert!(
        !host.hint_config(ConfigVersion(5), clock.now()),
        "known already"
    );
    assert!(!host.is_initialized(clock.now()));
    assert_eq!(host.configure(config(4)), Some(Vec::new()));
    assert!(!host.is_initialized(clock.now()));
    let mut other = host;
    clock.advance(Duration::from_millis(2_900));
    assert!(!other.is_initialized(clock.now()));
    assert_eq!(other.configure(config(5)), Some(Vec::new()));
    assert!(other.is_initialized(clock.now()));
    assert!(other.hint_config(ConfigVersion(6), clock.now()));
    clock.advance(Duration::from_millis(200));
    assert!(other.is_initialized(clock.now()), "the wait has an end");
    assert!(
        !other.hint_config(ConfigVersion(7), clock.now()),
        "it is no longer starting"
    );
}

/// Guards against an evacuation or a withdrawn key that ends because a replica of the registry that lags
/// behind answers a read of all entries.
#[test]
fn all_entries_older_than_those_applied_are_ignored() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.replace(7), Some(Extent::All));
    assert_eq!(cursor.advance(9), Extent::Changes);
    assert_eq!(cursor.replace(8), None);
    assert_eq!(cursor.version(), Some(9));
    assert_eq!(cursor.replace(9), Some(Extent::All));
    cursor.restart();
    assert_eq!(cursor.replace(3), Some(Extent::Restored));
}
