//! Configurations: consistency checks, look-ups, and that no version is replaced by the same or an
//! earlier one.

use wagtail_steer::{ApiKey, Catalog, ConfigError};

use crate::support::{config, name, route, steer, team};

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut config = config(1);
    config.routes.push(route("r-2", "example", "/a/b/"));
    config.routes.push(route("r-3", "other", "/"));
    let catalog = Catalog::try_from(config).expect("a valid configuration");
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
    assert!(host.configure(config(5)).expect("valid").is_some());
    assert!(host.configure(config(4)).expect("valid").is_none());
    assert!(host.configure(config(5)).expect("valid").is_none());
    assert_eq!(host.catalog().map(|c| c.version().0), Some(5));
}

#[test]
fn a_removed_key_belongs_to_no_team() {
    let mut host = steer("host", "a1", 100);
    host.configure(config(1)).expect("valid");
    let key = ApiKey::new("blue-key");
    assert!(
        host.catalog()
            .and_then(|c| c.team_by_key(&key).cloned())
            .is_some()
    );
    let mut next = config(2);
    next.teams[0].keys.clear();
    host.configure(next).expect("valid");
    assert!(
        host.catalog()
            .and_then(|c| c.team_by_key(&key).cloned())
            .is_none()
    );
}

#[test]
fn an_inconsistent_configuration_is_rejected_and_the_current_one_stays() {
    let mut host = steer("host", "a1", 100);
    host.configure(config(1)).expect("valid");
    let mut bad = config(2);
    bad.routes[0].services[0].service = name("unknown");
    assert!(matches!(
        host.configure(bad),
        Err(ConfigError::UnknownService { .. })
    ));
    let mut bad = config(2);
    bad.routes[0].services.clear();
    assert!(matches!(
        host.configure(bad),
        Err(ConfigError::NoService { .. })
    ));
    let mut bad = config(2);
    bad.routes.push(route("r-2", "example", "/a/"));
    assert!(matches!(
        host.configure(bad),
        Err(ConfigError::DuplicateRoute { .. })
    ));
    let mut bad = config(2);
    bad.routes[0].prefix = "/a".into();
    assert!(matches!(
        host.configure(bad),
        Err(ConfigError::InvalidPrefix { .. })
    ));
    let mut bad = config(2);
    bad.teams.push(team("red", "blue-key", None, 0));
    assert!(matches!(
        host.configure(bad),
        Err(ConfigError::DuplicateKey { .. })
    ));
    assert_eq!(host.catalog().map(|c| c.version().0), Some(1));
}

#[test]
fn keys_are_hidden_from_logs() {
    assert!(!format!("{:?}", ApiKey::new("secret")).contains("secret"));
}
