//! Parsing and formatting of the shared types.

use std::time::Duration;

use proptest::prelude::*;
use wagtail_types::{
    AttemptId, ByteRate, Bytes, Cause, KeyDigest, Rate, Reason, Share, TeamId, Tokens,
};

#[test]
fn rates_parse() {
    let table = [
        ("20/s", Some(20_000_000)),
        ("2.5/s", Some(2_500_000)),
        ("30/min", Some(500_000)),
        ("3600/h", Some(1_000_000)),
        ("0.000001/s", Some(1)),
        ("20", None),
        ("/s", None),
        ("-1/s", None),
        ("1./s", None),
        ("1.0000001/s", None),
        ("99999999999999999999/s", None),
        ("1/day", None),
    ];
    for (text, want) in table {
        assert_eq!(text.parse::<Rate>().ok().map(Rate::micros), want, "{text}");
    }
}

#[test]
fn sizes_parse() {
    assert_eq!("64KiB".parse(), Ok(Bytes(65_536)));
    assert_eq!("17".parse(), Ok(Bytes(17)));
    assert_eq!("4Gbit/s".parse(), Ok(ByteRate(500_000_000)));
    assert_eq!("12.5%".parse::<Share>().unwrap().ppm(), 125_000);
    assert_eq!("0.25".parse::<Share>().unwrap().of(10), 2);
    for bad in ["", "KiB", "1TiB", "99999999999GiB", "-1"] {
        assert!(bad.parse::<Bytes>().is_err(), "{bad}");
    }
    for bad in ["", "101%", "-1%", "NaN", "1.1"] {
        assert!(bad.parse::<Share>().is_err(), "{bad}");
    }
}

#[test]
fn invalid_names_are_rejected() {
    for bad in ["", "Upper", "a b", "-a", "ä", &"x".repeat(49)] {
        assert!(bad.parse::<TeamId>().is_err(), "{bad}");
    }
    insta::assert_snapshot!(
        "a b".parse::<TeamId>().unwrap_err(),
        @r#""a b" is not a team name: only a-z, 0-9, '-' and '.' are allowed"#
    );
}

/// Names of another system were held to the form of the product's own.
#[test]
fn names_of_another_system_have_any_form() {
    let long = "x".repeat(1_024);
    for name in ["Upper", "a b", "-a", "ä", "a_b:c/d", &long] {
        let team = TeamId::from_external(name).unwrap();
        assert_eq!(team.as_str(), name);
    }
    for bad in ["", " a", "a\t", "a\r\nb", "\u{0}", &"x".repeat(1_025)] {
        assert!(TeamId::from_external(bad).is_err(), "{bad:?}");
    }
    insta::assert_snapshot!(
        TeamId::from_external("a ").unwrap_err(),
        @r#""a " is not a team name: it begins or ends with white space"#
    );
}

#[test]
fn debug_of_key_digest_shows_only_a_prefix() {
    let digest = KeyDigest([0xab; 32]);
    assert_eq!(format!("{digest:?}"), "KeyDigest(abababab…)");
    assert_eq!(digest.to_string().parse(), Ok(digest));
}

#[test]
fn labels_round_trip() {
    for reason in Reason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(*reason));
        assert_eq!(serde_json::to_value(reason).unwrap(), reason.as_str());
    }
    for cause in Cause::ALL {
        assert_eq!(cause.as_str().parse(), Ok(*cause));
    }
}

proptest! {
    #[test]
    fn text_round_trips(micros: u64, ppm in 0u32..=1_000_000, id: u128) {
        let rate = Rate::from_micros(micros);
        prop_assert_eq!(rate.to_string().parse::<Rate>(), Ok(rate));
        let tokens = Tokens::from_micros(micros);
        prop_assert_eq!(tokens.to_string().parse::<Tokens>(), Ok(tokens));
        let share = Share::from_ppm(ppm).unwrap();
        prop_assert_eq!(share.to_string().parse::<Share>(), Ok(share));
        let id = AttemptId(id);
        prop_assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
    }

    #[test]
    fn time_for_is_the_shortest_sufficient_time(rate in 1u64..1_000_000_000_000, micros in 0u64..1_000_000_000) {
        let (rate, tokens) = (Rate::from_micros(rate), Tokens::from_micros(micros));
        let time = rate.time_for(tokens).unwrap();
        prop_assert!(rate.over(time) >= tokens);
        if let Some(shorter) = time.checked_sub(Duration::from_nanos(1)) {
            prop_assert!(rate.over(shorter) <= tokens);
        }
    }

    #[test]
    fn any_accepted_name_round_trips(text in ".{0,80}") {
        if let Ok(team) = text.parse::<TeamId>() {
            prop_assert_eq!(team.as_str(), text.as_str());
        }
    }
}

/// A part that does not fit must not become zero, which would refuse everything.
#[test]
fn parts_of_rates_and_tokens_saturate() {
    let rate = Rate::per_second(1_000_000);
    assert_eq!(rate.part(1, 4), Rate::per_second(250_000));
    assert_eq!(rate.part(1, 0), Rate::ZERO);
    assert!(rate.part(u64::MAX, 1) > rate);
    let tokens = Tokens::whole(1_000_000);
    assert_eq!(tokens.part(1, 0), Tokens::ZERO);
    assert!(tokens.part(u64::MAX, 1) > tokens);
}
