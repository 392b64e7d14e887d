//! Settings: the texts of help and errors, and that invalid values are found before any socket is
//! bound.

use std::ffi::OsString;
use std::fmt::Write as _;

use wagtail_entryd::{Action, from_env, help};

const GOOD: &[&str] = &[
    "--host",
    "entry-1",
    "--zone",
    "cymru-a",
    "--region",
    "cymru",
    "--platform",
    "127.0.0.1:7000",
    "--fleet-secret",
    "sixteen-bytes-or-more",
];

fn parse(more: &[&str], vars: &[(&str, &str)]) -> Result<Action, String> {
    let args = GOOD.iter().chain(more).map(OsString::from);
    let vars = vars.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
    from_env(args, vars).map_err(|e| e.to_string())
}

#[test]
fn help_names_every_setting() {
    insta::assert_snapshot!(help());
}

#[test]
fn bad_settings_are_one_clear_line() {
    let table: &[&[&str]] = &[
        &["--nothing"],
        &["stray"],
        &["--host"],
        &["--host", "Upper Case"],
        &["--listen", "nowhere"],
        &["--platform", "7000"],
        &["--fleet-size", "0"],
        &["--fleet-size", "-3"],
        &["--fleet-secret", "short"],
        &["--max-connections", "0"],
        &["--max-body", "0"],
        &["--max-body", "1TB"],
        &["--max-body", "1KiB"],
        &["--keyed-memory", "1MiB"],
        &["--lookup-ttl", "3"],
        &["--lookup-ttl", "0s"],
        &["--stop-timeout", "1s"],
        &["--outage-term", "6s"],
        &["--log-format", "xml"],
        &["--seeds", "entry-2"],
        &["--statsd", "host:port"],
    ];
    let mut lines = String::new();
    for more in table {
        let error = parse(more, &[]).expect_err("a bad setting");
        assert!(!error.contains('\n'), "{error}");
        let _ = writeln!(lines, "{}\n    {error}", more.join(" "));
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn each_required_setting_is_asked_for() {
    for at in (0..GOOD.len()).step_by(2) {
        let mut args = GOOD.to_vec();
        let name = args[at];
        args.drain(at..at + 2);
        let error = from_env(args.iter().map(OsString::from), []).expect_err("incomplete");
        assert_eq!(error.to_string(), format!("{name}: it is required"));
    }
}

#[test]
fn flags_go_before_variables_and_unknown_variables_are_errors() {
    let vars = [("WAGTAIL_LOOKUP_TTL", "9s"), ("PATH", "/bin")];
    let Ok(Action::Run(settings)) = parse(&["--lookup-ttl", "4s"], &vars) else {
        panic!("good settings");
    };
    assert_eq!(settings.times.lookup_ttl.as_secs(), 4);
    let Ok(Action::Check(settings)) = parse(&["--check"], &vars) else {
        panic!("good settings");
    };
    assert_eq!(settings.times.lookup_ttl.as_secs(), 9);
    let error = parse(&[], &[("WAGTAIL_NOTHING", "1")]).expect_err("unknown");
    assert_eq!(error, "unknown variable WAGTAIL_NOTHING; see --help");
}

#[test]
fn the_secret_is_not_shown() {
    let action = parse(&[], &[]).expect("good settings");
    assert!(!format!("{action:?}").contains("sixteen"));
}
