//! The daemon on each entry host.

use std::io::Write;
use std::process::ExitCode;

use wagtail_entryd::{Action, from_env, help, run};

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let vars = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)));
    match from_env(std::env::args_os().skip(1), vars) {
        Ok(Action::Help) => print(&help()),
        Ok(Action::Check(_)) => print("settings are valid\n"),
        Ok(Action::Run(settings)) => match run(*settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e, ExitCode::FAILURE),
        },
        Err(e) => fail(&e, ExitCode::from(EXIT_USAGE)),
    }
}

fn print(text: &str) -> ExitCode {
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(error: &dyn std::error::Error, code: ExitCode) -> ExitCode {
    eprintln!("wagtail-entryd: {error}");
    code
}
