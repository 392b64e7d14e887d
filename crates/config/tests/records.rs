//! Tests of record validation, of views and of acceptance.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{Value, json};
use wagtail_config::{
    Acceptance, Confirmation, CutOff, MemberState, Raw, Record, Row, Scope, View, acceptance,
};
use wagtail_types::{Epoch, Rate, Tokens};

fn raw(kind: &str, name: &str, schema: u32, body: Value) -> Raw {
    Raw {
        kind: kind.into(),
        name: name.into(),
        schema,
        body,
    }
}

fn check(kind: &str, body: Value) -> Result<Record, String> {
    Record::try_from(&raw(kind, "x", 1, body)).map_err(|e| e.to_string())
}

fn fault(kind: &str, body: Value) -> String {
    check(kind, body).expect_err("the record is invalid")
}

#[test]
fn both_team_schemas_give_equal_teams() {
    let digest = "ab".repeat(32);
    let old = json!({"limit": "20/s", "burst_seconds": 2, "keys": [digest], "services": ["s"]});
    let new = json!({"rate": "20/s", "burst": 40, "keys": [digest], "services": ["s"]});
    let [old, new] = [(1, old), (2, new)]
        .map(|(schema, body)| Record::try_from(&raw("team", "t", schema, body)).unwrap());
    assert_eq!(old, new);
    let Record::Team(team) = new else {
        panic!("a team")
    };
    assert_eq!(
        (team.rate, team.burst),
        (Rate::per_second(20), Tokens::whole(40))
    );
    assert_eq!((&team.regions, team.cutoff), (&Scope::All, CutOff::Refuse));
}

#[test]
fn faults_name_record_field_and_reason() {
    let zone = "z";
    let table = [
        ("region", json!({"delay_ms": {"eire": -1}})),
        ("region", json!({"delay": {}})),
        ("zone", json!({})),
        ("zone", json!([])),
        ("zone", json!(["r"])),
        (
            "host",
            json!({"zone": zone, "api": "127.0.0.1", "peer": "127.0.0.1:2"}),
        ),
        (
            "host",
            json!({"zone": zone, "api": "127.0.0.1:1", "peer": "127.0.0.1:1"}),
        ),
        (
            "service",
            json!({"class": "Look up", "idempotent": true, "deadline_ms": 5}),
        ),
        (
            "service",
            json!({"class": "lookup", "idempotent": 1, "deadline_ms": 5}),
        ),
        (
            "endpoint",
            json!({"service": "s", "zone": zone, "addr": "127.0.0.1:9", "slots": 0, "connections": 1}),
        ),
        (
            "endpoint",
            json!({"service": "s", "zone": zone, "addr": "127.0.0.1:9", "slots": 3, "connections": 2}),
        ),
        (
            "team",
            json!({"limit": "0/s", "burst_seconds": 2, "services": []}),
        ),
        (
            "team",
            json!({"limit": "1/min", "burst_seconds": 1, "services": []}),
        ),
        (
            "team",
            json!({"limit": "1/s", "burst_seconds": 1, "services": [], "keys": ["00"]}),
        ),
        (
            "move",
            json!({"service": "s", "from": "a", "to": "b", "share": "30%", "cap": "20%", "ramp_s": 1}),
        ),
        ("drain", json!({"zone": zone, "region": "r"})),
        ("site", json!({"zones": []})),
        ("blocks", json!({"blocks": ["10.0.0.1/8 s"]})),
        (
            "blocks",
            json!({"blocks": ["10.0.0.0/8 s", "10.0.0.0/8 t"]}),
        ),
    ];
    let faults: Vec<String> = table.map(|(kind, body)| fault(kind, body)).into();
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn invalid_names_are_rejected_without_a_panic() {
    for name in ["", "A", "a/b", "../x", "ä", &"x".repeat(49), "-"] {
        let raw = raw("zone", name, 1, json!({"region": "r"}));
        assert!(Record::try_from(&raw).is_err(), "{name}");
    }
}

#[test]
fn unknown_kinds_and_schemas_are_kept_and_not_in_force() {
    let kept = [
        raw("team", "t", 3, json!({"rate": {"per_minute": 5}})),
        raw("mirror", "m", 1, json!({"of": "t"})),
    ];
    let rows = kept.iter().map(|r| Row::put(r, Epoch(1)).unwrap());
    let view = View::empty().apply(Epoch(1), rows);
    let mut seen: Vec<Raw> = view.unknown().map(|row| row.raw().unwrap()).collect();
    seen.sort_by(|a, b| b.kind.cmp(&a.kind));
    assert_eq!(seen, kept);
    assert!(view.teams().is_empty() && view.issues().is_empty());
}

#[test]
fn a_record_with_a_dangling_reference_is_not_in_force() {
    let zone = Row::put(&raw("zone", "z", 1, json!({"region": "r"})), Epoch(1)).unwrap();
    let view = View::empty().apply(Epoch(1), [zone]);
    assert!(view.zones().is_empty());
    assert_eq!(
        view.issues()[0].to_string(),
        "zone/z body.region: dangling reference: r is not in force"
    );
    let region = Row::put(&raw("region", "r", 1, json!({})), Epoch(2)).unwrap();
    let view = view.apply(Epoch(2), [region]);
    assert_eq!((view.zones().len(), view.issues().len()), (1, 0));
}

#[test]
fn a_key_of_two_teams_belongs_to_neither() {
    let digest = "ab".repeat(32);
    let body = json!({"limit": "1/s", "burst_seconds": 1, "keys": [digest], "services": []});
    let rows = ["t", "u"].map(|t| Row::put(&raw("team", t, 1, body.clone()), Epoch(1)).unwrap());
    let view = View::empty().apply(Epoch(1), rows);
    assert!(view.team_of(&digest.parse().unwrap()).is_none());
    assert_eq!((view.teams().len(), view.issues().len()), (2, 2));
}

#[test]
fn a_service_has_its_fields_and_defaults() {
    let body =
        json!({"class": "submission", "idempotent": false, "weight": 4, "deadline_ms": 1500});
    let Ok(Record::Service(service)) = check("service", body) else {
        panic!("a service")
    };
    assert_eq!(service.deadline, Duration::from_millis(1500));
    assert_eq!(
        (service.class.as_str(), service.weight, service.open),
        ("submission", 4, false)
    );
}

#[test]
fn acceptance_by_zone_and_member_state() {
    use MemberState::{Lapsed, Leaving, Live, Suspect};
    type Hosts = &'static [(&'static str, MemberState, u64)];
    /// The hosts that have not confirmed; `None` if the change is accepted.
    type Missing = Option<&'static [&'static str]>;
    let zones: BTreeSet<_> = ["a", "b", "c"].map(|z| z.parse().unwrap()).into();
    let host = |(n, (zone, state, epoch)): (usize, &(&str, MemberState, u64))| Confirmation {
        host: format!("h{n}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        state: *state,
        epoch: Epoch(*epoch),
    };
    let table: [(Hosts, Missing); 8] = [
        (&[("a", Live, 5), ("b", Live, 5), ("c", Live, 6)], None),
        (&[("a", Live, 5), ("b", Live, 5), ("c", Lapsed, 4)], None),
        (
            &[("a", Live, 5), ("b", Live, 5), ("c", Live, 4)],
            Some(&["h2"]),
        ),
        (
            &[("a", Live, 5), ("b", Live, 5), ("c", Suspect, 4)],
            Some(&["h2"]),
        ),
        (
            &[("a", Live, 5), ("b", Lapsed, 4), ("c", Lapsed, 4)],
            Some(&[]),
        ),
        (
            &[
                ("a", Live, 5),
                ("a", Leaving, 4),
                ("b", Live, 5),
                ("c", Lapsed, 4),
            ],
            Some(&["h1"]),
        ),
        (&[("a", Live, 5), ("b", Live, 5)], None),
        (&[], Some(&[])),
    ];
    for (hosts, want) in table {
        let hosts: Vec<_> = hosts.iter().enumerate().map(host).collect();
        let missing = match acceptance(Epoch(5), &zones, &hosts) {
            Acceptance::Accepted => None,
            Acceptance::Committed { missing, .. } => Some(missing),
        };
        let want = want.map(|list| list.iter().map(|h| h.parse().unwrap()).collect());
        assert_eq!(missing, want, "{hosts:?}");
    }
}
