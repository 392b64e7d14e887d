//! Configurations: consistency checks, look-ups, and that no version is replaced by the same or an
//! earlier one.

use wagtail_steer::{ApiKey, Catalog, Config, ConfigError};

use crate::support::{config, name, route, steer, team};

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut config = config(1);
    config.routes.push(route("r-2", "example", "/a/b/"));
    config.routes.push(route("r-3", "other", "/"));
    let (catalog, errors) = Catalog::new(config);
    assert_eq!(errors, []);
    let found = |host, path| catalog.route(host, path).map(|r| r.id.to_string());
    assert_eq!(found("example", "/a/x").as_deref(), Some("r-1"));
    assert_eq!(found("example", "/a/b/x").as_deref(), Some("r-2"));
    assert_eq!(found("example", "/a/bx").as_deref(), Some("r-1"));
    assert_eq!(found("example", "/b"), None);
    assert_eq!(found("other", "/b").as_deref(), Some("r-3"));
}

#[test]
fn a_version_is_never_replaced_by_an_earlier_one() {
    let mut host = steer("host", "a1", 100);
    assert!(host.configure(config(5)).is_some());
    assert!(host.configure(config(4)).is_none());
    assert!(host.configure(config(5)).is_none());
    assert_eq!(host.catalog().map(|c| c.version().0), Some(5));
}

#[test]
fn a_removed_key_belongs_to_no_team() {
    let mut host = steer("host", "a1", 100);
    assert_eq!(host.configure(config(1)), Some(Vec::new()));
    let key = ApiKey::new("blue-key");
    assert!(
        host.catalog()
            .and_then(|c| c.team_by_key(&key).cloned())
            .is_some()
    );
    let mut next = config(2);
    next.teams[0].keys.clear();
    assert_eq!(host.configure(next), Some(Vec::new()));
    assert!(
        host.catalog()
            .and_then(|c| c.team_by_key(&key).cloned())
            .is_none()
    );
}

/// An error in one part of a configuration kept all of it out of force, so that a key that it took away
/// from another team went on working.
#[test]
fn an_inconsistent_part_keeps_no_other_out_of_force() {
    type Spoil = fn(&mut Config);
    type Check = fn(&ConfigError) -> bool;
    let cases: [(Spoil, Check); 5] = [
        (
            |c| c.routes[1].services[0].service = name("unknown"),
            |e| matches!(e, ConfigError::UnknownService { .. }),
        ),
        (
            |c| c.routes[1].services.clear(),
            |e| matches!(e, ConfigError::NoService { .. }),
        ),
        (
            |c| c.routes.push(route("r-3", "example", "/a/b/")),
            |e| matches!(e, ConfigError::DuplicateRoute { .. }),
        ),
        (
            |c| c.routes[1].prefix = "/a/b".into(),
            |e| matches!(e, ConfigError::InvalidPrefix { .. }),
        ),
        (
            |c| c.teams[1].keys.push(ApiKey::new("green-key")),
            |e| matches!(e, ConfigError::DuplicateKey { .. }),
        ),
    ];
    for (spoil, check) in cases {
        let mut host = steer("host", "a1", 100);
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
        let mut next = config(2);
        next.routes.push(route("r-2", "example", "/a/b/"));
        next.teams[0].keys.clear();
        next.teams.push(team("red", "red-key", None, 0));
        next.teams.push(team("green", "green-key", None, 0));
        spoil(&mut next);
        let errors = host.configure(next).expect("a newer configuration");
        assert!(matches!(&*errors, [e] if check(e)), "{errors:?}");
        let catalog = host.catalog().expect("a configuration").clone();
        assert_eq!(catalog.version().0, 2);
        assert!(catalog.team_by_key(&ApiKey::new("blue-key")).is_none());
        assert!(catalog.team_by_key(&ApiKey::new("red-key")).is_some());
        let sound = catalog.route("example", "/a/x").expect("a route");
        assert!(host.pick_service(sound).is_some(), "{errors:?}");
        // Requests of the part match nothing else, and are not served.
        let spoiled = catalog.route("example", "/a/b/x").expect("a route");
        assert_ne!(spoiled.id, sound.id);
        let is_key = matches!(errors[0], ConfigError::DuplicateKey { .. });
        assert_eq!(host.pick_service(spoiled).is_some(), is_key, "{errors:?}");
        let key = ApiKey::new("green-key");
        assert_eq!(catalog.is_disabled(&key), is_key);
        assert_eq!(catalog.team_by_key(&key).is_none(), is_key);
    }
}

#[test]
fn keys_are_hidden_from_logs() {
    assert!(!format!("{:?}", ApiKey::new("secret")).contains("secret"));
}
