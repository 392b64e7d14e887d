//! Faults of the table and of peers, as seen by a single host.

use std::time::{Duration, Instant};

use wagtail_quota::{
    Admission, Effect, Hint, Input, LoanId, Member, Message, PeerInfo, Quota, ReadOutcome, Row,
    Settings, ShardId, ShardMap, TeamLimit, WriteOutcome,
};
use wagtail_types::{AttemptId, Epoch, Incarnation, Rate, TeamId, Tokens};

const TERM: Duration = Duration::from_secs(6);
const SECOND: Duration = Duration::from_secs(1);

fn shard() -> ShardId {
    ShardId {
        zone: "a".parse().unwrap(),
        index: 0,
    }
}

fn team() -> TeamId {
    "lead".parse().unwrap()
}

fn member(host: &str, incarnation: u64) -> Member {
    Member {
        host: host.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn row(holder: Option<Member>, members: Vec<Member>, epoch: u64) -> Row {
    let attempt = AttemptId(77);
    let (epoch, confirmed) = (Epoch(epoch), Epoch(0));
    Row {
        holder,
        epoch,
        confirmed,
        members,
        attempt,
        tokens: Vec::new(),
        spreads: Vec::new(),
    }
}

/// Host of zone `a` that knows one peer.
struct Case {
    quota: Quota,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        let now = Instant::now();
        let me = "me".parse().unwrap();
        let mut settings = Settings::new(me, "a".parse().unwrap(), Incarnation(5));
        settings.outage_term = 60 * SECOND;
        let mut quota = Quota::new(settings, 1, now);
        quota.handle(
            now,
            Input::Peers(vec![PeerInfo {
                host: "peer".parse().unwrap(),
                incarnation: Incarnation(1),
                zone: "a".parse().unwrap(),
                latency: Duration::from_millis(1),
            }]),
        );
        let limit = TeamLimit {
            team: team(),
            rate: Rate::per_second(10),
            burst: Tokens::whole(10),
            since: Epoch(3),
        };
        let shards = ShardMap::new(vec![("a".parse().unwrap(), 1)]);
        quota.handle(
            now,
            Input::Config {
                epoch: Epoch(3),
                teams: vec![limit],
                shards,
            },
        );
        Self { quota, now }
    }

    /// Advances time in steps of 100 ms, and returns the effects.
    fn advance(&mut self, time: Duration) -> Vec<Effect> {
        let end = self.now + time;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = (self.now + Duration::from_millis(100)).min(end);
            self.quota.tick(self.now);
            effects.extend(std::iter::from_fn(|| self.quota.poll_effect()));
        }
        effects
    }

    fn read(&mut self, outcome: ReadOutcome) {
        self.quota.handle(
            self.now,
            Input::Row {
                shard: shard(),
                outcome,
            },
        );
    }

    fn found(&mut self, version: u64, row: &Row) {
        self.read(ReadOutcome::Found {
            version,
            row: row.clone(),
        });
    }

    /// Returns the next write within a time, while every read finds the same row.
    fn write_within(
        &mut self,
        time: Duration,
        version: u64,
        row: &Row,
    ) -> Option<(AttemptId, Row)> {
        let end = self.now + time;
        while self.now < end {
            for effect in self.advance(Duration::from_millis(100)) {
                match effect {
                    Effect::Write { row, .. } => return Some((row.attempt, row)),
                    Effect::Read { .. } => self.found(version, row),
                    _ => {}
                }
            }
            let pending = std::iter::from_fn(|| self.quota.poll_effect()).find_map(|e| match e {
                Effect::Write { row, .. } => Some((row.attempt, row)),
                _ => None,
            });
            if pending.is_some() {
                return pending;
            }
        }
        None
    }

    fn complete(&mut self, attempt: AttemptId, outcome: WriteOutcome) {
        self.quota.handle(
            self.now,
            Input::WriteDone {
                shard: shard(),
                attempt,
                outcome,
            },
        );
    }

    /// Creates the row as its first holder.
    fn acquire_lease(&mut self) -> Row {
        self.advance(Duration::from_millis(100));
        self.read(ReadOutcome::Absent);
        let effects = self.advance(SECOND);
        let row = effects.into_iter().find_map(|e| match e {
            Effect::Write { row, .. } => Some(row),
            _ => None,
        });
        let row = row.expect("a free shard is claimed");
        self.complete(row.attempt, WriteOutcome::Applied { version: 1 });
        row
    }

    fn receive(&mut self, message: Message) {
        let from = "peer".parse().unwrap();
        self.quota
            .handle(self.now, Input::Received { from, message });
    }

    fn level(&mut self) -> Tokens {
        self.quota.view(self.now, &team()).unwrap().level
    }

    fn cap(&mut self) -> Tokens {
        self.quota.view(self.now, &team()).unwrap().cap
    }
}

#[test]
fn claims_only_what_the_row_allows() {
    let me = member("me", 5);
    let earlier_me = member("me", 4);
    let peer = || Some(member("peer", 1));
    let cases = [
        (
            "listed, one term",
            row(peer(), vec![me.clone()], 3),
            10,
            true,
        ),
        (
            "listed, within the term",
            row(peer(), vec![me.clone()], 3),
            6,
            false,
        ),
        (
            "an earlier incarnation is listed",
            row(peer(), vec![earlier_me.clone()], 3),
            20,
            false,
        ),
        (
            "held by an earlier incarnation",
            row(Some(earlier_me), Vec::new(), 3),
            20,
            false,
        ),
        (
            "not listed, after the outage term",
            row(peer(), Vec::new(), 3),
            70,
            true,
        ),
        ("released", row(None, Vec::new(), 3), 2, true),
        (
            "released by a host with a later epoch",
            row(None, Vec::new(), 4),
            70,
            false,
        ),
        (
            "written by this incarnation",
            row(Some(me), Vec::new(), 3),
            1,
            true,
        ),
    ];
    for (name, row, seconds, claims) in cases {
        let mut case = Case::new();
        let write = case.write_within(seconds * SECOND, 9, &row);
        assert_eq!(write.is_some(), claims, "{name}");
    }
}

#[test]
fn a_claimed_shard_starts_with_tokens_that_are_surely_unspent() {
    let peer = member("peer", 1);
    let tokens = vec![wagtail_quota::TeamTokens {
        team: team(),
        tokens: Tokens::whole(4),
    }];
    let left = Row {
        tokens,
        ..row(None, Vec::new(), 3)
    };
    let lapsed = row(Some(peer), vec![member("me", 5)], 3);
    for (name, row, expected) in [
        ("left", left, Tokens::whole(4)),
        ("lapsed", lapsed, Tokens::ZERO),
    ] {
        let mut case = Case::new();
        let (attempt, _) = case.write_within(10 * SECOND, 9, &row).unwrap();
        case.complete(attempt, WriteOutcome::Applied { version: 10 });
        assert_eq!(case.level(), expected, "{name}");
    }
    let mut fresh = Case::new();
    fresh.acquire_lease();
    assert_eq!(fresh.level(), Tokens::whole(10));
}

#[test]
fn outcomes_of_a_claim_whose_answer_was_lost() {
    let released = row(None, Vec::new(), 3);
    let other = row(Some(member("peer", 1)), Vec::new(), 3);
    for (name, held) in [("mine", true), ("unchanged", false), ("another's", false)] {
        let mut case = Case::new();
        let (attempt, mine) = case.write_within(2 * SECOND, 9, &released).unwrap();
        case.complete(attempt, WriteOutcome::Unknown);
        match name {
            "mine" => case.found(10, &mine),
            "unchanged" => case.found(9, &released),
            _ => case.found(10, &other),
        }
        assert_eq!(case.quota.held().count() == 1, held, "{name}");
    }
}

#[test]
fn a_lease_ends_unless_every_listed_host_promises() {
    let cases = [
        ("no promise", None, false),
        ("the listed incarnation promises", Some(1), true),
        ("another incarnation promises", Some(2), false),
    ];
    for (name, promiser, holds) in cases {
        let mut case = Case::new();
        case.acquire_lease();
        for _ in 0..100 {
            for effect in case.advance(Duration::from_millis(100)) {
                match effect {
                    Effect::Read { .. } => case.read(ReadOutcome::Failed),
                    Effect::Write { row, .. } => case.complete(row.attempt, WriteOutcome::Unknown),
                    Effect::Send {
                        message: Message::PromiseRequest { shard, id, .. },
                        ..
                    } => {
                        if let Some(promiser) = promiser {
                            let incarnation = Incarnation(promiser);
                            case.receive(Message::Promise {
                                shard,
                                id,
                                incarnation,
                            });
                        }
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(case.quota.held().count() == 1, holds, "{name}");
    }
}

#[test]
fn after_a_pause_longer_than_the_term_nothing_is_spent() {
    let mut case = Case::new();
    case.acquire_lease();
    case.now += TERM;
    let admission = case.quota.admit(case.now, &team(), case.now + SECOND);
    assert!(
        matches!(admission, Admission::Refused { .. }),
        "{admission:?}"
    );
}

#[test]
fn loans_are_credited_once_and_in_time() {
    let loan = |id, tokens| Message::Loan {
        id,
        loan: LoanId(1),
        team: team(),
        rate: Rate::ZERO,
        cap: Tokens::whole(2),
        tokens: Tokens::whole(tokens),
        duration: Duration::from_millis(200),
        hint: Hint::default(),
    };
    let cases = [
        ("in time", 10, 1, true, Tokens::whole(2)),
        ("more tokens than room", 10, 9, true, Tokens::whole(2)),
        ("late", 210, 1, true, Tokens::ZERO),
        ("not requested", 10, 1, false, Tokens::ZERO),
    ];
    for (name, delay, tokens, asked, cap) in cases {
        let mut case = Case::new();
        let funded = Hint {
            level: Tokens::whole(9),
            spare: Rate::ZERO,
            cap: Tokens::whole(9),
        };
        let hints = vec![wagtail_quota::TeamHint {
            team: team(),
            hint: funded,
        }];
        let (confirmed, shards) = (Epoch(0), Vec::new());
        case.receive(Message::Gossip {
            confirmed,
            shards,
            hints,
        });
        // More requests than any case lends tokens for.
        for _ in 0..4 {
            case.quota.admit(case.now, &team(), case.now + SECOND);
        }
        let requests = std::iter::from_fn(|| case.quota.poll_effect()).filter_map(|e| match e {
            Effect::Send {
                message: Message::LoanRequest { id, .. },
                ..
            } => Some(id),
            _ => None,
        });
        let id = requests
            .last()
            .expect("a loan is requested from a host with tokens");
        case.now += Duration::from_millis(delay);
        let id = if asked { id } else { id.wrapping_add(1000) };
        case.receive(loan(id, tokens));
        let granted = case.quota.counters().delayed_grants;
        let expected = if cap == Tokens::ZERO {
            0
        } else {
            tokens.min(2)
        };
        assert_eq!(granted, expected, "{name}");
        case.receive(loan(id, tokens));
        assert_eq!(
            case.quota.counters().delayed_grants,
            expected,
            "{name}, repeated"
        );
        assert!(case.cap() <= cap, "{name}");
    }
}

#[test]
fn a_lower_epoch_changes_nothing() {
    let mut case = Case::new();
    case.acquire_lease();
    let shards = ShardMap::new(vec![("a".parse().unwrap(), 1)]);
    case.quota.handle(
        case.now,
        Input::Config {
            epoch: Epoch(2),
            teams: Vec::new(),
            shards,
        },
    );
    assert_eq!(case.cap(), Tokens::whole(10));
}

#[test]
fn a_released_host_leaves_its_tokens_in_the_row() {
    let mut case = Case::new();
    case.acquire_lease();
    case.quota.release(case.now);
    let effects = case.advance(Duration::from_millis(300));
    let row = effects.into_iter().find_map(|e| match e {
        Effect::Write { row, .. } => Some(row),
        _ => None,
    });
    let row = row.expect("the release is written");
    assert_eq!(row.holder, None);
    assert_eq!(
        row.tokens.first().map(|t| t.tokens),
        Some(Tokens::whole(10))
    );
    case.complete(row.attempt, WriteOutcome::Applied { version: 2 });
    assert!(case.advance(SECOND).contains(&Effect::Released));
}

#[test]
fn oversized_values_from_peers_are_clamped_to_the_limit() {
    let huge = Tokens::from_micros(u64::MAX);
    let mut case = Case::new();
    let hint = Hint {
        level: huge,
        spare: Rate::from_micros(u64::MAX),
        cap: huge,
    };
    let hints = vec![wagtail_quota::TeamHint { team: team(), hint }];
    let (confirmed, shards) = (Epoch(0), Vec::new());
    case.receive(Message::Gossip {
        confirmed,
        shards,
        hints,
    });
    for _ in 0..3 {
        case.quota.admit(case.now, &team(), case.now + SECOND);
    }
    let requests: Vec<u64> = std::iter::from_fn(|| case.quota.poll_effect())
        .filter_map(|e| match e {
            Effect::Send {
                message: Message::LoanRequest { id, .. },
                ..
            } => Some(id),
            _ => None,
        })
        .collect();
    for (number, id) in requests.iter().enumerate() {
        case.receive(Message::Loan {
            id: *id,
            loan: LoanId(number as u64),
            team: team(),
            rate: Rate::from_micros(u64::MAX),
            cap: huge,
            tokens: huge,
            duration: Duration::MAX,
            hint,
        });
    }
    let (need, rate) = (huge, Rate::from_micros(u64::MAX));
    case.receive(Message::LoanRequest {
        id: 1,
        team: team(),
        need,
        rate,
        extend: None,
        hint,
    });
    case.receive(Message::Return {
        loan: LoanId(9),
        team: team(),
        tokens: huge,
    });
    assert_eq!(requests.len(), 3);
    assert!(case.cap() <= Tokens::whole(30));
    case.advance(70 * SECOND);
    assert_eq!(case.cap(), Tokens::ZERO);
}
