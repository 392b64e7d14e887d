//! The command line: help texts, the list of experiments and invalid arguments.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtail-load"));
    command.args(args).output().expect("the tool runs")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn help_and_list_match_their_snapshots() {
    for (name, args) in [
        ("help_run", ["run", "--help"]),
        ("help_experiment", ["experiment", "--help"]),
        ("list", ["experiment", "--list"]),
    ] {
        let output = run(&args);
        assert!(output.status.success());
        insta::assert_snapshot!(name, text(output.stdout));
    }
}

#[test]
fn invalid_arguments_print_one_line_and_exit_with_status_2() {
    let base = [
        "run",
        "--hosts",
        "127.0.0.1:1",
        "--class",
        "lookup=rosters,10",
    ];
    let cases: &[&[&str]] = &[
        &["experiment"],
        &["experiment", "nothing"],
        &["experiment", "steady", "--deployment", "moon"],
        &["experiment", "steady", "--set", "lease"],
        &["experiment", "steady", "--seed", "x"],
        &["run"],
        &["run", "--hosts", "here"],
        &["run", "--class", "lookup"],
        &["run", "--class", "lookup=rosters,0"],
        &["run", "--class", "lookup=rosters,10,twice"],
        &["run", "--team", "lead=secret-key"],
        &["run", "--skew", "1.5"],
        &["run", "--load", "NaN"],
        &base,
    ];
    let mut lines = String::new();
    for args in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let error = text(output.stderr);
        assert_eq!(error.lines().count(), 1, "{args:?}: {error}");
        assert!(!error.contains("secret-key"), "a key is shown: {error}");
        lines.push_str(&error);
    }
    insta::assert_snapshot!("bad_arguments", lines);
}

#[test]
fn an_invalid_trace_is_reported_with_its_line_number() {
    let trace = std::env::temp_dir().join(format!("wagtail-trace-{}", std::process::id()));
    std::fs::write(&trace, "0 lead lookup\n250 lead nothing\n").expect("writes");
    let file = trace.to_str().expect("UTF-8");
    let class = ["--class", "lookup=rosters,10", "--team", "lead=12345678,1"];
    let args = [
        &["run", "--hosts", "127.0.0.1:1", "--trace", file][..],
        &class,
    ]
    .concat();
    let output = run(&args);
    std::fs::remove_file(&trace).expect("removes");
    assert_eq!(output.status.code(), Some(1));
    let error = text(output.stderr);
    assert!(
        error.contains("line 2: a form like 250 lead lookup was expected"),
        "{error}"
    );
}
