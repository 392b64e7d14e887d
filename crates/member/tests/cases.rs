//! Table-driven tests of how one state machine handles single messages and inputs.

use std::time::{Duration, Instant};

use wagtail_member::{
    Adoption, Body, Delta, Effect, Freshness, HostInfo, Input, Member, Message, Mode, Sender,
    Settings, State, Summary,
};
use wagtail_types::{Epoch, HostId, Incarnation};

const INCARNATION: Incarnation = Incarnation(5);

fn info(name: &str, zone: &str) -> HostInfo {
    let expected = "a name";
    HostInfo::new(
        name.parse().expect(expected),
        zone.parse().expect(expected),
        "gulf".parse().expect(expected),
    )
}

fn host(name: &str) -> HostId {
    name.parse().expect("a host name")
}

fn member(now: Instant) -> Member {
    let mut member = Member::new(Settings::new(info("h1", "z1"), INCARNATION), 1, now);
    let hosts = vec![info("h1", "z1"), info("h2", "z1"), info("h3", "z2")];
    member.handle(now, Input::Hosts(hosts));
    member
}

fn message(body: Body) -> Message {
    Message {
        body,
        sender: Sender {
            incarnation: Incarnation(3),
            version: 0,
            state: State::Alive,
            epoch: Epoch(1),
            free: 4,
            contact: None,
        },
        fresh: None,
        adoption: None,
        zones: Vec::new(),
        deltas: Vec::new(),
    }
}

fn receive(member: &mut Member, now: Instant, from: &str, message: Message) {
    let from = host(from);
    member.handle(now, Input::Received { from, message });
}

fn gossip(name: &str, incarnation: u64, version: u32, state: State) -> Message {
    Message {
        deltas: vec![Delta {
            host: host(name),
            incarnation: Incarnation(incarnation),
            version,
            state,
        }],
        ..message(Body::Gossip)
    }
}

/// Discards effects up to the next message to `to`, and returns that message.
fn next_message_to(member: &mut Member, to: &str) -> Option<Message> {
    let to = host(to);
    std::iter::from_fn(|| member.poll_effect()).find_map(|effect| match effect {
        Effect::Send { to: at, message } if at == to => Some(message),
        _ => None,
    })
}

#[test]
fn newer_state_supersedes_older() {
    use State::{Alive, Dead, Leaving, Suspect};
    let table = [
        ((4, 1, Suspect), Suspect, 4),
        ((4, 0, Dead), Dead, 4),
        ((4, 0, Leaving), Leaving, 4),
        ((4, 1, Alive), Alive, 4),
        ((3, 9, Dead), Alive, 4),
        ((6, 0, Alive), Alive, 6),
        ((6, 0, State::Unknown), Alive, 4),
        ((u64::MAX, u32::MAX, Dead), Dead, u64::MAX),
    ];
    for ((incarnation, version, state), want, want_incarnation) in table {
        let now = Instant::now();
        let mut member = member(now);
        receive(&mut member, now, "h2", gossip("h3", 4, 0, Alive));
        receive(
            &mut member,
            now,
            "h2",
            gossip("h3", incarnation, version, state),
        );
        let view = member.get(&host("h3")).expect("h3 is listed");
        assert_eq!(
            (view.state, view.incarnation.0),
            (want, want_incarnation),
            "{incarnation} {version} {state}"
        );
    }
}

#[test]
fn invalid_messages_are_ignored() {
    let far = Duration::MAX;
    let summary = Summary {
        zone: "z2".parse().expect("a zone"),
        age: far,
        live: 1,
        newest: Epoch(9),
        oldest: Epoch(9),
        free: 1,
        contact: Some(far),
    };
    let adoption = Adoption {
        epoch: Epoch(9),
        complete: Epoch(0),
        list_digest: 1,
        bits: vec![u64::MAX; 1000],
    };
    let fresh = Freshness {
        epoch: Epoch(0),
        age: Duration::ZERO,
    };
    let table = [
        ("unknown sender", "h9", gossip("h3", 4, 0, State::Alive)),
        (
            "the local host as sender",
            "h1",
            gossip("h3", 4, 0, State::Alive),
        ),
        (
            "state of an unknown host",
            "h2",
            gossip("h9", 4, 0, State::Alive),
        ),
        (
            "ages before the start of the clock",
            "h2",
            Message {
                zones: vec![summary],
                ..message(Body::Gossip)
            },
        ),
        (
            "adoption bits of another host list",
            "h2",
            Message {
                adoption: Some(adoption),
                ..message(Body::Gossip)
            },
        ),
        (
            "an ack that no probe requested",
            "h2",
            Message {
                fresh: Some(fresh),
                ..message(Body::Ack {
                    seq: 77,
                    until: None,
                })
            },
        ),
        (
            "an indirect ack that no probe requested",
            "h2",
            message(Body::IndirectAck {
                seq: 77,
                target: host("h3"),
            }),
        ),
    ];
    for (label, from, message) in table {
        let now = Instant::now();
        let mut member = member(now);
        receive(&mut member, now, from, message);
        assert_eq!(member.state(&host("h3")), Some(State::Unknown), "{label}");
        assert_eq!(member.freshness(now), None, "{label}");
        assert!(matches!(member.mode(), Mode::CutOff { .. }), "{label}");
        assert!(!member.confirmed(Epoch(9), now).is_majority(), "{label}");
    }
}

#[test]
fn false_suspicion_is_refuted() {
    for state in [State::Suspect, State::Dead] {
        let now = Instant::now();
        let mut member = member(now);
        receive(
            &mut member,
            now,
            "h2",
            gossip("h1", INCARNATION.0, 7, state),
        );
        receive(
            &mut member,
            now,
            "h2",
            message(Body::Probe {
                seq: 1,
                after: None,
            }),
        );
        let answers = std::iter::from_fn(|| next_message_to(&mut member, "h2"));
        let answer = answers.last().expect("an answer");
        assert_eq!(
            (answer.sender.version, answer.sender.state),
            (8, State::Alive)
        );
    }
}

#[test]
fn older_incarnation_stops_when_replaced() {
    let now = Instant::now();
    let mut member = member(now);
    receive(
        &mut member,
        now,
        "h2",
        gossip("h1", INCARNATION.0 + 1, 0, State::Alive),
    );
    let replaced = Effect::Replaced {
        incarnation: INCARNATION.next(),
    };
    assert!(std::iter::from_fn(|| member.poll_effect()).any(|effect| effect == replaced));
    assert_eq!(member.next_wake(), None);
}

#[test]
fn contact_before_a_pause_is_ignored() {
    let now = Instant::now();
    let mut member = member(now);
    let contact = |at| Input::TableContact { at, head: Epoch(0) };
    member.handle(now, contact(now));
    assert_eq!(member.mode(), Mode::Current);
    let later = now + Duration::from_secs(30);
    member.handle(later, contact(now));
    assert_eq!(member.freshness(later), None);
    assert!(matches!(member.mode(), Mode::CutOff { .. }));
    member.handle(later, contact(later));
    assert_eq!(
        (member.mode(), member.freshness(later)),
        (Mode::Current, Some(Duration::ZERO))
    );
}

#[test]
fn leaving_host_is_not_live() {
    let now = Instant::now();
    let mut member = member(now);
    let zone = "z1".parse().expect("a zone");
    receive(&mut member, now, "h2", message(Body::Gossip));
    assert_eq!(member.live_in(&zone).count(), 2);
    while member.poll_effect().is_some() {}
    member.handle(now, Input::Leave);
    let notification = next_message_to(&mut member, "h2").expect("h2 is notified at once");
    assert_eq!(notification.sender.state, State::Leaving);
    assert_eq!(member.live_in(&zone).count(), 1);
}

#[test]
fn longest_names_keep_messages_within_size_limit() {
    let now = Instant::now();
    let long = |start: &str| format!("{start:x<48}");
    let zones = ["a", "b", "c", "d", "e", "f"];
    let hosts: Vec<HostInfo> = zones
        .iter()
        .map(|z| info(&long(&format!("{z}1")), &long(z)))
        .collect();
    let settings = Settings::new(hosts[0].clone(), INCARNATION);
    let max = settings.message_max;
    let mut member = Member::new(settings, 1, now);
    member.handle(now, Input::Hosts(hosts.clone()));
    let summaries = hosts.iter().map(|host| Summary {
        zone: host.zone.clone(),
        age: Duration::ZERO,
        live: 1,
        newest: Epoch(1),
        oldest: Epoch(1),
        free: 1,
        contact: None,
    });
    for summary in summaries {
        let zones = vec![summary];
        let message = Message {
            zones,
            ..message(Body::Gossip)
        };
        receive(&mut member, now, &long("b1"), message);
    }
    for host in &hosts[1..] {
        receive(
            &mut member,
            now,
            &long("b1"),
            gossip(host.host.as_str(), 9, 0, State::Suspect),
        );
    }
    let target = hosts[2].host.clone();
    receive(
        &mut member,
        now,
        &long("b1"),
        message(Body::IndirectProbe { seq: 1, target }),
    );
    receive(
        &mut member,
        now,
        &long("b1"),
        message(Body::Probe {
            seq: 2,
            after: None,
        }),
    );
    let after = Some(wagtail_member::Cursor::Start);
    receive(
        &mut member,
        now,
        &long("b1"),
        message(Body::Probe { seq: 3, after }),
    );
    let sizes = std::iter::from_fn(|| member.poll_effect()).filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message.size()),
        _ => None,
    });
    let sizes: Vec<usize> = sizes.collect();
    assert!(
        sizes.len() >= 3 && sizes.iter().all(|size| *size <= max),
        "{sizes:?}"
    );
}
