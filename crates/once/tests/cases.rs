//! Tests of single decisions, claims and relays, mostly in tables of cases.

use std::time::{Duration, Instant};

use wagtail_once::{
    Answer, Begin, ClaimResult, Effect, Fingerprint, Input, IssuedKey, Key, Once, Outcome,
    PendingRelays, ReplyStatus, Request, Resolution, Settings,
};
use wagtail_types::{Bytes, Cause, HostId, Incarnation, Reason, Verdict};

const SEED: u64 = 5;
const INCARNATION: Incarnation = Incarnation(3);

fn host(name: &str) -> HostId {
    name.parse().expect("a host name")
}

fn once(now: Instant) -> Once {
    let settings = Settings {
        checksum_seed: SEED,
        answer_max: Bytes(1024),
        memory: Bytes(8 * 2048),
        ..Settings::default()
    };
    let mut once = Once::new(settings, host("h1"), INCARNATION, 1, now);
    let peer = Input::Host {
        host: host("h2"),
        incarnation: Some(Incarnation(9)),
    };
    once.handle(now, peer);
    once
}

fn request(key: Key) -> Request {
    Request {
        team: "team".parse().expect("a team"),
        service: "service".parse().expect("a service"),
        key,
        print: Fingerprint::of("POST", "/a", b"body"),
        repeat: true,
    }
}

fn chosen(text: &str) -> Request {
    request(text.parse().expect("a key"))
}

fn issued(name: &str, incarnation: u64, counter: u64, seed: u64) -> Request {
    let key = IssuedKey::new(host(name), Incarnation(incarnation), counter, seed);
    request(Key::Issued(key))
}

fn issuer_gone() -> Verdict {
    Verdict::may_have_run(Cause::IssuerGone)
}

fn describe(begin: &Begin) -> String {
    match begin {
        Begin::Run(_) => "run".into(),
        Begin::Wait(_) => "wait".into(),
        Begin::Claiming(_) => "claiming".into(),
        Begin::Replay(answer) => format!("replay {}", answer.status),
        Begin::Relay { host } => format!("relay {host}"),
        Begin::Refuse(verdict) => verdict.to_string(),
    }
}

#[test]
fn key_texts() {
    let good = IssuedKey::new(host("gulf-a-1"), Incarnation(255), 16, SEED).to_string();
    assert!(
        good.starts_with("wt1-ff-10-") && good.ends_with("-gulf-a-1"),
        "{good}"
    );
    let table = [
        (good.as_str(), true),
        ("wt1-", false),
        ("wt1-1-2-3", false),
        ("wt1-1-2-3-", false),
        ("wt1-1-2-3-UPPER", false),
        ("wt1-+1-2-3-h", false),
        ("wt1-1-2-fffffffffffffffff-h", false),
        ("order-17", true),
        ("", false),
        ("a b", false),
        ("ä", false),
        (&"x".repeat(128), true),
        (&"x".repeat(129), false),
    ];
    for (text, expected) in table {
        let key = text.parse::<Key>();
        assert_eq!(key.is_ok(), expected, "{text}");
        assert!(key.is_err() || key.is_ok_and(|key| key.to_string() == text));
    }
}

#[test]
fn issued_keys() {
    let now = Instant::now();
    let mut once = once(now);
    assert_eq!(once.issue(now, 3).len(), 3);
    let expired = Verdict::not_run(Reason::KeyExpired, None).to_string();
    let table = [
        (issued("h1", 3, 0, SEED), "run".into()),
        (issued("h1", 3, 0, SEED), "wait".into()),
        (issued("h1", 3, 3, SEED), expired.clone()),
        (issued("h1", 3, 1, SEED + 1), expired),
        (issued("h1", 2, 1, SEED), issuer_gone().to_string()),
        (issued("h2", 9, 1, SEED), "relay h2".into()),
        // Membership can lag behind a host that has just started.
        (issued("h2", 10, 1, SEED), "relay h2".into()),
        (issued("h2", 8, 1, SEED), issuer_gone().to_string()),
        (issued("h3", 1, 1, SEED), issuer_gone().to_string()),
    ];
    let mut permits = Vec::new();
    for (request, expected) in table {
        let begin = once.begin(now, &request);
        assert_eq!(describe(&begin), expected, "{}", request.key);
        permits.push(begin);
    }
}

#[test]
fn expired_keys_never_run_again() {
    let start = Instant::now();
    let mut once = once(start);
    let keys = once.issue(start, 2);
    let used = request(Key::Issued(keys[0].clone()));
    let Begin::Run(permit) = once.begin(start, &used) else {
        panic!("an unused key runs");
    };
    once.finish(
        start,
        permit,
        Outcome::Answer(Answer::new(200, vec![], "x")),
    );
    let later = start + Duration::from_secs(3600);
    once.tick(later);
    assert!(once.is_empty());
    let unused = request(Key::Issued(keys[1].clone()));
    let expired = Verdict::not_run(Reason::KeyExpired, None).to_string();
    assert_eq!(describe(&once.begin(later, &unused)), expired);
    let unknown = Verdict::may_have_run(Cause::Unknown).to_string();
    assert_eq!(describe(&once.begin(later, &used)), unknown);
}

#[test]
fn outcomes_decide_on_duplicates() {
    let unknown = Verdict::may_have_run(Cause::Unknown).to_string();
    let refused = Verdict::not_run(Reason::Overloaded, None);
    let large = Answer::new(200, vec![], vec![0; 2000]);
    let table = [
        (
            Some(Outcome::Answer(Answer::new(201, vec![], "x"))),
            "replay 201",
        ),
        (Some(Outcome::Answer(large)), unknown.as_str()),
        (Some(Outcome::Unkept), unknown.as_str()),
        (Some(Outcome::Unknown(Cause::Broken)), unknown.as_str()),
        (Some(Outcome::NotRun(refused)), "run"),
        (Some(Outcome::NotRun(issuer_gone())), unknown.as_str()),
        (None, unknown.as_str()),
    ];
    for (outcome, expected) in table {
        let now = Instant::now();
        let mut once = once(now);
        let request = request(Key::Issued(once.issue(now, 1).remove(0)));
        let Begin::Run(permit) = once.begin(now, &request) else {
            panic!("an unused key runs");
        };
        let label = format!("{outcome:?}");
        match outcome {
            Some(outcome) => once.finish(now, permit, outcome),
            None => drop(permit),
        }
        let other = Request {
            print: Fingerprint::of("POST", "/b", b"body"),
            ..request.clone()
        };
        let misuse = Verdict::not_run(Reason::BadRequest, None).to_string();
        assert_eq!(describe(&once.begin(now, &other)), misuse, "{label}");
        assert_eq!(describe(&once.begin(now, &request)), expected, "{label}");
    }
}

#[test]
fn claims() {
    use ClaimResult::{Absent, AlreadyHeldBy, Applied, Unavailable, Unknown};
    let held = |name: &str, incarnation| AlreadyHeldBy {
        host: host(name),
        incarnation: Incarnation(incarnation),
    };
    let unknown = Verdict::may_have_run(Cause::Unknown).to_string();
    let table: [(&[ClaimResult], &str); 10] = [
        (&[Applied], "run"),
        (&[Unknown, Applied], "run"),
        (&[Unknown, Absent, Applied], "run"),
        (&[Unknown, Unknown, Unknown, Unknown, Unknown], &unknown),
        (&[Unavailable], &unknown),
        (&[held("h2", 9)], "relay h2"),
        (&[Unknown, held("h2", 9)], "relay h2"),
        (&[held("h2", 8)], &issuer_gone().to_string()),
        (&[held("h1", 2)], &issuer_gone().to_string()),
        (&[held("h1", 3)], &unknown),
    ];
    for (results, expected) in table {
        let now = Instant::now();
        let mut once = once(now);
        assert_eq!(describe(&once.begin(now, &chosen("k"))), "claiming");
        assert_eq!(describe(&once.begin(now, &chosen("k"))), "wait");
        for result in results {
            let (Some(Effect::Claim { claim, .. } | Effect::ReadClaim { claim, .. }), result) =
                (once.poll_effect(), result.clone())
            else {
                panic!("expected a call to the table service");
            };
            once.handle(now, Input::Claimed { claim, result });
        }
        let Some(Effect::Resolve { to, .. }) = once.poll_effect() else {
            panic!("expected a resolution");
        };
        let actual = match &to {
            Resolution::Run(_) => "run".into(),
            Resolution::Answer(answer) => format!("replay {}", answer.status),
            Resolution::Relay { host } => format!("relay {host}"),
            Resolution::Refuse(verdict) => verdict.to_string(),
        };
        assert_eq!(actual, expected, "{results:?}");
    }
}

#[test]
fn a_first_attempt_without_table_is_not_run() {
    let now = Instant::now();
    let mut once = once(now);
    let first = Request {
        repeat: false,
        ..chosen("k")
    };
    assert_eq!(describe(&once.begin(now, &first)), "claiming");
    let Some(Effect::Claim { claim, .. }) = once.poll_effect() else {
        panic!("expected a claim");
    };
    let result = ClaimResult::Unavailable;
    once.handle(now, Input::Claimed { claim, result });
    let Some(Effect::Resolve {
        to: Resolution::Refuse(verdict),
        ..
    }) = once.poll_effect()
    else {
        panic!("expected a refusal");
    };
    assert_eq!(
        verdict,
        Verdict::not_run(Reason::ClaimFailed, Duration::from_secs(1))
    );
}

#[test]
fn memory_bound_refuses_new_keys_and_keeps_outcomes() {
    let now = Instant::now();
    let mut once = once(now);
    let keys = once.issue(now, 9);
    let mut permits = Vec::new();
    let mut refused = 0;
    for key in &keys {
        match once.begin(now, &request(Key::Issued(key.clone()))) {
            Begin::Run(permit) => permits.push(permit),
            Begin::Refuse(verdict) => {
                assert!(verdict.is_not_run());
                refused += 1;
            }
            other => panic!("unexpected decision: {other:?}"),
        }
    }
    assert_eq!((permits.len(), refused), (8, 1));
    let first = permits.remove(0);
    once.finish(
        now,
        first,
        Outcome::Answer(Answer::new(200, vec![], vec![0; 1024])),
    );
    let again = once.begin(now, &request(Key::Issued(keys[0].clone())));
    assert_eq!(describe(&again), "replay 200");
}

#[test]
fn relays_take_one_answer_each() {
    let now = Instant::now();
    let relay_ttl = Duration::from_secs(5);
    let mut relays = PendingRelays::new(relay_ttl, 1);
    let attempt = relays.open(now, host("h2"), INCARNATION, false);
    assert!(relays.begin_send(now, attempt).is_some());
    assert!(relays.begin_send(now + relay_ttl, attempt).is_none());
    assert_eq!(relays.answered(attempt), ReplyStatus::First);
    assert_eq!(relays.answered(attempt), ReplyStatus::Late);
    assert_eq!(relays.give_up(attempt), None);
    let sent = relays.open(now, host("h2"), INCARNATION, false);
    assert!(relays.begin_send(now, sent).is_some());
    assert_eq!(
        relays.give_up(sent),
        Some(Verdict::may_have_run(Cause::RelayLost))
    );
    let unsent = relays.open(now, host("h2"), INCARNATION, false);
    assert!(relays.begin_send(now, unsent).is_some());
    relays.cancel_send(unsent);
    assert_eq!(
        relays.give_up(unsent),
        Some(Verdict::not_run(Reason::ConnectFailed, None))
    );
}
