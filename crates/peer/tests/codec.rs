//! Property tests of the wire format: control messages round-trip, and corrupted bytes never panic.

use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wagtail_config::{Cursor as ConfigCursor, Message as Config, Page, RecordKey, Row};
use wagtail_member::{Adoption, Body, Cursor, Delta, Freshness, Sender, State, Summary};
use wagtail_peer::{Control, wire};
use wagtail_quota::{Hint, LoanId, Message as Quota, ShardId, ShardNote, TeamHint};
use wagtail_route::{Advert, HandoverConsent, HandoverRequest};
use wagtail_types::{Epoch, Incarnation, Rate, Tokens};

fn name<T>() -> impl Strategy<Value = T>
where
    T: FromStr + Debug,
    T::Err: Debug,
{
    "[a-z0-9][a-z0-9.-]{0,47}".prop_map(|text| text.parse().expect("a name"))
}

fn duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(0),
        Just(1),
        any::<u32>().prop_map(u64::from),
        0..1_u64 << 50
    ]
    .prop_map(Duration::from_micros)
}

fn epoch() -> impl Strategy<Value = Epoch> {
    any::<u64>().prop_map(Epoch)
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u64>().prop_map(Incarnation)
}

fn tokens() -> impl Strategy<Value = Tokens> {
    any::<u64>().prop_map(Tokens::from_micros)
}

fn rate() -> impl Strategy<Value = Rate> {
    any::<u64>().prop_map(Rate::from_micros)
}

fn advert() -> impl Strategy<Value = Advert> {
    let free = vec((name(), any::<u32>()), 0..6);
    (name(), free, duration()).prop_map(|(host, free, age)| Advert { host, free, age })
}

fn hint() -> impl Strategy<Value = Hint> {
    (tokens(), rate(), tokens()).prop_map(|(level, spare, cap)| Hint { level, spare, cap })
}

fn shard() -> impl Strategy<Value = ShardId> {
    (name(), any::<u32>()).prop_map(|(zone, index)| ShardId { zone, index })
}

fn loan_request() -> impl Strategy<Value = Quota> {
    let extend = option::of(any::<u64>().prop_map(LoanId));
    (any::<u64>(), name(), tokens(), rate(), extend, hint()).prop_map(
        |(id, team, need, rate, extend, hint)| Quota::LoanRequest {
            id,
            team,
            need,
            rate,
            extend,
            hint,
        },
    )
}

fn loan() -> impl Strategy<Value = Quota> {
    let ids = (any::<u64>(), any::<u64>().prop_map(LoanId));
    (ids, name(), rate(), tokens(), tokens(), duration(), hint()).prop_map(
        |((id, loan), team, rate, cap, tokens, duration, hint)| Quota::Loan {
            id,
            loan,
            team,
            rate,
            cap,
            tokens,
            duration,
            hint,
        },
    )
}

fn gossip() -> impl Strategy<Value = Quota> {
    let note =
        (shard(), name(), any::<u64>(), epoch()).prop_map(|(shard, holder, version, epoch)| {
            ShardNote {
                shard,
                holder,
                version,
                epoch,
            }
        });
    let hint = (name(), hint()).prop_map(|(team, hint)| TeamHint { team, hint });
    (epoch(), vec(note, 0..4), vec(hint, 0..4)).prop_map(|(confirmed, shards, hints)| {
        Quota::Gossip {
            confirmed,
            shards,
            hints,
        }
    })
}

fn quota() -> impl Strategy<Value = Quota> {
    let returned =
        (any::<u64>(), name(), tokens()).prop_map(|(loan, team, tokens)| Quota::Return {
            loan: LoanId(loan),
            team,
            tokens,
        });
    let promise_request = (shard(), any::<u64>(), any::<u64>())
        .prop_map(|(shard, version, id)| Quota::PromiseRequest { shard, version, id });
    let promise = (shard(), any::<u64>(), incarnation()).prop_map(|(shard, id, incarnation)| {
        Quota::Promise {
            shard,
            id,
            incarnation,
        }
    });
    let released = shard().prop_map(|shard| Quota::Released { shard });
    prop_oneof![
        loan_request(),
        loan(),
        returned,
        promise_request,
        promise,
        released,
        gossip()
    ]
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Unknown),
        Just(State::Alive),
        Just(State::Leaving),
        Just(State::Suspect),
        Just(State::Dead),
    ]
}

fn member_body() -> impl Strategy<Value = Body> {
    let cursor = prop_oneof![Just(Cursor::Start), name().prop_map(Cursor::Host)];
    let seq = any::<u64>;
    prop_oneof![
        (seq(), option::of(cursor)).prop_map(|(seq, after)| Body::Probe { seq, after }),
        (seq(), option::of(name())).prop_map(|(seq, until)| Body::Ack { seq, until }),
        (seq(), name()).prop_map(|(seq, target)| Body::IndirectProbe { seq, target }),
        (seq(), name()).prop_map(|(seq, target)| Body::IndirectAck { seq, target }),
        Just(Body::Gossip),
    ]
}

fn sender() -> impl Strategy<Value = Sender> {
    let numbers = (incarnation(), any::<u32>(), epoch(), any::<u32>());
    (numbers, state(), option::of(duration())).prop_map(
        |((incarnation, version, epoch, free), state, contact)| Sender {
            incarnation,
            version,
            state,
            epoch,
            free,
            contact,
        },
    )
}

fn summary() -> impl Strategy<Value = Summary> {
    let numbers = (any::<u32>(), epoch(), epoch(), any::<u64>());
    (name(), duration(), numbers, option::of(duration())).prop_map(
        |(zone, age, (live, newest, oldest, free), contact)| Summary {
            zone,
            age,
            live,
            newest,
            oldest,
            free,
            contact,
        },
    )
}

fn member() -> impl Strategy<Value = wagtail_member::Message> {
    let fresh = (epoch(), duration()).prop_map(|(epoch, age)| Freshness { epoch, age });
    let bits = vec(any::<u64>(), 0..10);
    let adoption =
        (epoch(), epoch(), any::<u64>(), bits).prop_map(|(epoch, complete, list_digest, bits)| {
            Adoption {
                epoch,
                complete,
                list_digest,
                bits,
            }
        });
    let delta = (name(), incarnation(), any::<u32>(), state()).prop_map(
        |(host, incarnation, version, state)| Delta {
            host,
            incarnation,
            version,
            state,
        },
    );
    let lists = (vec(summary(), 0..4), vec(delta, 0..4));
    (
        member_body(),
        sender(),
        option::of(fresh),
        option::of(adoption),
        lists,
    )
        .prop_map(
            |(body, sender, fresh, adoption, (zones, deltas))| wagtail_member::Message {
                body,
                sender,
                fresh,
                adoption,
                zones,
                deltas,
            },
        )
}

fn row() -> impl Strategy<Value = Row> {
    let key = ("[a-z0-9.-]{1,48}", "[a-z0-9.-]{1,48}")
        .prop_map(|(kind, name)| RecordKey::new(&kind, &name).expect("a key"));
    let body = option::of(any::<String>().prop_map(Into::into));
    (key, epoch(), any::<u32>(), body).prop_map(|(key, epoch, schema, body)| Row {
        key,
        epoch,
        schema,
        body,
    })
}

fn page() -> impl Strategy<Value = Page> {
    let epochs = (epoch(), epoch(), epoch());
    (epochs, vec(row(), 0..4), any::<bool>()).prop_map(|((since, head, floor), rows, more)| Page {
        since,
        head,
        floor,
        rows,
        more,
    })
}

fn config_message() -> impl Strategy<Value = Config> {
    let after = (epoch(), option::of(row())).prop_map(|(epoch, row)| ConfigCursor {
        epoch,
        key: row.map(|row| row.key),
    });
    let request = any::<u64>;
    prop_oneof![
        epoch().prop_map(|epoch| Config::Epoch { epoch }),
        page().prop_map(|page| Config::Push { page }),
        (request(), epoch(), option::of(after)).prop_map(|(request, since, after)| {
            Config::Pull {
                request,
                since,
                after,
            }
        }),
        (request(), page()).prop_map(|(request, page)| Config::Page { request, page }),
    ]
}

fn control() -> impl Strategy<Value = Control> {
    prop_oneof![
        name().prop_map(Control::Leaving),
        advert().prop_map(Control::Advert),
        quota().prop_map(Control::Quota),
        member().prop_map(Control::Member),
        config_message().prop_map(Control::Config),
        (any::<[u64; 3]>(), duration()).prop_map(|([token, members, incarnation], uptime)| {
            Control::HandoverRequest(HandoverRequest {
                token,
                members,
                incarnation,
                uptime,
            })
        }),
        any::<u64>().prop_map(|token| Control::HandoverConsent(HandoverConsent { token })),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn messages_round_trip(message in control()) {
        let bytes = wire::encode(&message);
        prop_assert_eq!(wire::decode(&bytes).expect("decodes"), message);
    }

    #[test]
    fn corrupted_bytes_are_rejected_or_decoded_but_never_panic(
        message in control(),
        cut in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = wire::encode(&message);
        let truncated = &bytes[..cut.index(bytes.len())];
        prop_assert!(wire::decode(truncated).is_err());
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Ok(other) = wire::decode(&bytes) {
            prop_assert_eq!(wire::decode(&wire::encode(&other)).expect("decodes"), other);
        }
    }
}

// Guards against information that seems newer to its receiver than it is, and against a loan that
// lasts longer for its borrower than for its lender.
#[test]
fn ages_round_up_and_loan_durations_round_down() {
    let fractional = Duration::from_nanos(1_001);
    let advert = Advert {
        host: "h1".parse().expect("name"),
        free: Vec::new(),
        age: fractional,
    };
    let Ok(Control::Advert(advert)) = wire::decode(&wire::encode(&Control::Advert(advert))) else {
        panic!("the advert did not round-trip");
    };
    assert_eq!(advert.age, Duration::from_micros(2));

    let loan = Quota::Loan {
        id: 1,
        loan: LoanId(2),
        team: "lead".parse().expect("name"),
        rate: Rate::ZERO,
        cap: Tokens::ONE,
        tokens: Tokens::ONE,
        duration: fractional,
        hint: Hint::default(),
    };
    let Ok(Control::Quota(Quota::Loan { duration, .. })) =
        wire::decode(&wire::encode(&Control::Quota(loan)))
    else {
        panic!("the loan did not round-trip");
    };
    assert_eq!(duration, Duration::from_micros(1));
}
