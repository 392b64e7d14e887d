//! Tests of single decisions, claims and relays, mostly in tables of cases.

use std::time::{Duration, Instant};

use wagtail_once::{
    Answer, ClaimResult, Decision, Deduplicator, Effect, Fingerprint, Input, IssuedKey, Key,
    Outcome, PendingRelays, ReplyStatus, Request, Resolution, Settings,
};
use wagtail_types::{Bytes, Cause, HostId, Incarnation, Reason, Verdict};

const SEED: u64 = 5;
const INCARNATION: Incarnation = Incarnation(3);

fn host(name: &str) -> HostId {
    name.parse().expect("a host name")
}

fn dedup(now: Instant) -> Deduplicator {
    let settings = Settings {
        checksum_seed: SEED,
        answer_max: Bytes(1024),
        memory: Bytes(8 * 2048),
        ..Settings::default()
    };
    let mut dedup = Deduplicator::new(settings, host("h1"), INCARNATION, 1, now);
    let peer = Input::Host {
        host: host("h2"),
        incarnation: Some(Incarnation(9)),
    };
    dedup.handle(now, peer);
    dedup
}

fn request(key: Key) -> Request {
    Request {
        team: "team".parse().expect("a team"),
        service: "service".parse().expect("a service"),
        key,
        fingerprint: Fingerprint::of("POST", "/a", b"body"),
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

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Run(_) => "run".into(),
        Decision::Wait(_) => "wait".into(),
        Decision::Claiming(_) => "claiming".into(),
        Decision::Replay(answer) => format!("replay {}", answer.status),
        Decision::Relay { host } => format!("relay {host}"),
        Decision::Refuse(verdict) => verdict.to_string(),
    }
}

#[test]
fn key_texts() {
    let good = IssuedKey::new(host("gulf-a-1"), Incarnation(255), 16, SEED).to_string();
    let parts: Vec<&str> = good.splitn(5, '-').collect();
    let [prefix, incarnation, number, _, name] = parts[..] else {
        panic!("{good}");
    };
    assert_eq!((prefix, incarnation, name), ("wt1", "ff", "gulf-a-1"));
    let number = u64::from_str_radix(number, 16).expect("hexadecimal");
    assert_eq!(number & 0xffff_ffff_ffff, 16, "the counter");
    assert_ne!(number >> 48, 0, "the tag");
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
    let mut dedup = dedup(now);
    assert_eq!(dedup.issue(now, 3).len(), 3);
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
        let decision = dedup.begin(now, &request);
        assert_eq!(describe(&decision), expected, "{}", request.key);
        permits.push(decision);
    }
}

// Guards against keys that are refused across an update of the hosts: those that earlier builds have
// issued go on being accepted, and earlier builds accept the checksum of those issued now.
#[test]
fn keys_of_earlier_builds_are_accepted() {
    let now = Instant::now();
    let mut dedup = dedup(now);
    dedup.issue(now, 1);
    let table = [
        ("wt1-9-1-46307f701fc4c94a-h2", "relay h2".to_owned()),
        ("wt1-1-1-d4bde57a95247525-h3", issuer_gone().to_string()),
        // This incarnation issues none of this form.
        (
            "wt1-3-0-ccd8360264a558a0-h1",
            Verdict::not_run(Reason::KeyExpired, None).to_string(),
        ),
    ];
    for (text, expected) in table {
        assert_eq!(
            describe(&dedup.begin(now, &chosen(text))),
            expected,
            "{text}"
        );
    }
    let text = dedup.issue(now, 1).remove(0).to_string();
    let parts: Vec<&str> = text.splitn(5, '-').collect();
    let hex = |part| u64::from_str_radix(part, 16).expect("hexadecimal");
    let mut input = Vec::from(hex(parts[1]).to_be_bytes());
    input.extend(hex(parts[2]).to_be_bytes());
    input.extend(parts[4].as_bytes());
    assert_eq!(
        hex(parts[3]),
        xxhash_rust::xxh3::xxh3_64_with_seed(&input, 0)
    );
}

// Guards against a false "not run" for a repeat: a request may have run under a key that was issued
// before the fleet's secret was changed.
#[test]
fn a_key_from_elsewhere_may_have_run_unless_this_incarnation_would_have_issued_it() {
    let now = Instant::now();
    let mut dedup = dedup(now);
    dedup.issue(now, 1);
    let expired = Verdict::not_run(Reason::KeyExpired, None).to_string();
    let table = [
        (issued("h1", 3, 0, SEED + 1), expired),
        (issued("h1", 2, 0, SEED + 1), issuer_gone().to_string()),
        (issued("h2", 9, 0, SEED + 1), issuer_gone().to_string()),
    ];
    for (request, expected) in table {
        let decision = dedup.begin(now, &request);
        assert_eq!(describe(&decision), expected, "{}", request.key);
    }
}

#[test]
fn expired_keys_never_run_again() {
    let start = Instant::now();
    let mut dedup = dedup(start);
    let keys = dedup.issue(start, 2);
    let used = request(Key::Issued(keys[0].clone()));
    let Decision::Run(permit) = dedup.begin(start, &used) else {
        panic!("an unused key runs");
    };
    dedup.finish(
        start,
        permit,
        Outcome::Answer(Answer::new(200, vec![], "x")),
    );
    let later = start + Duration::from_secs(3600);
    dedup.tick(later);
    assert!(dedup.is_empty());
    let unused = request(Key::Issued(keys[1].clone()));
    let expired = Verdict::not_run(Reason::KeyExpired, None).to_string();
    assert_eq!(describe(&dedup.begin(later, &unused)), expired);
    let unknown = Verdict::may_have_run(Cause::Unknown).to_string();
    assert_eq!(describe(&dedup.begin(later, &used)), unknown);
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
        (Some(Outcome::Unbuffered), unknown.as_str()),
        (Some(Outcome::Unknown(Cause::Broken)), unknown.as_str()),
        (Some(Outcome::NotRun(refused)), "run"),
        (Some(Outcome::NotRun(issuer_gone())), unknown.as_str()),
        (None, unknown.as_str()),
    ];
    for (outcome, expected) in table {
        let now = Instant::now();
        let mut dedup = dedup(now);
        let request = request(Key::Issued(dedup.issue(now, 1).remove(0)));
        let Decision::Run(permit) = dedup.begin(now, &request) else {
            panic!("an unused key runs");
        };
        let label = format!("{outcome:?}");
        match outcome {
            Some(outcome) => dedup.finish(now, permit, outcome),
            None => drop(permit),
        }
        let other = Request {
            fingerprint: Fingerprint::of("POST", "/b", b"body"),
            ..request.clone()
        };
        let misuse = Verdict::not_run(Reason::BadRequest, None).to_string();
        assert_eq!(describe(&dedup.begin(now, &other)), misuse, "{label}");
        assert_eq!(describe(&dedup.begin(now, &request)), expected, "{label}");
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
        let mut dedup = dedup(now);
        assert_eq!(describe(&dedup.begin(now, &chosen("k"))), "claiming");
        assert_eq!(describe(&dedup.begin(now, &chosen("k"))), "wait");
        for result in results {
            let (Some(Effect::Claim { claim, .. } | Effect::ReadClaim { claim, .. }), result) =
                (dedup.poll_effect(), result.clone())
            else {
                panic!("expected a call to the table service");
            };
            dedup.handle(now, Input::Claimed { claim, result });
        }
        let Some(Effect::Resolve { to, .. }) = dedup.poll_effect() else {
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
    let mut dedup = dedup(now);
    let first = Request {
        repeat: false,
        ..chosen("k")
    };
    assert_eq!(describe(&dedup.begin(now, &first)), "claiming");
    let Some(Effect::Claim { claim, .. }) = dedup.poll_effect() else {
        panic!("expected a claim");
    };
    let result = ClaimResult::Unavailable;
    dedup.handle(now, Input::Claimed { claim, result });
    let Some(Effect::Resolve {
        to: Resolution::Refuse(verdict),
        ..
    }) = dedup.poll_effect()
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
    let mut dedup = dedup(now);
    let keys = dedup.issue(now, 9);
    let mut permits = Vec::new();
    let mut refused = 0;
    for key in &keys {
        match dedup.begin(now, &request(Key::Issued(key.clone()))) {
            Decision::Run(permit) => permits.push(permit),
            Decision::Refuse(verdict) => {
                assert!(verdict.is_not_run());
                refused += 1;
            }
            other => panic!("unexpected decision: {other:?}"),
        }
    }
    assert_eq!((permits.len(), refused), (8, 1));
    let first = permits.remove(0);
    dedup.finish(
        now,
        first,
        Outcome::Answer(Answer::new(200, vec![], vec![0; 1024])),
    );
    let again = dedup.begin(now, &request(Key::Issued(keys[0].clone())));
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
