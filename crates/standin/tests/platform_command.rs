//! The `platform` command: help, invalid options and the fault table over HTTP.

use std::net::Ipv4Addr;
use std::process::Command;

use wagtail_standin::platform::{Faults, start_with};
use wagtail_store::{HttpClient, HttpSettings};

fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtail-standin"))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn help() {
    let (status, text) = run(&["platform", "--help"]);
    assert_eq!(status, Some(0));
    insta::assert_snapshot!(text);
}

#[test]
fn invalid_options() {
    let lines = [
        &["platform", "--slow"][..],
        &["platform", "--listen", "somewhere"],
        &["platform", "--delay-ms", "-1"],
        &["platform", "--lose-share", "2"],
        &["platform", "extra"],
    ];
    let mut shown = String::new();
    for line in lines {
        let (status, text) = run(line);
        assert_eq!(status, Some(2), "{line:?}");
        shown += &text;
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn the_fault_table_can_be_read() {
    let faults = Faults {
        down: true,
        delay_ms: 1,
        ..Faults::default()
    };
    let running = start_with((Ipv4Addr::LOCALHOST, 0).into(), faults.clone())
        .await
        .unwrap();
    let client = HttpClient::new(HttpSettings::new(running.addr));
    assert_eq!(client.get_json::<Faults>("/faults").await, Ok(faults));
}
