//! The load tool: load generation, experiments under faults, measurements and reports.

use std::process::ExitCode;

use lexopt::Arg::{Long, Short, Value};
use wagtail_load::experiment::CommandError;
use wagtail_load::run::RunError;
use wagtail_load::slopes::SlopesError;

const USAGE_STATUS: u8 = 2;
/// The seed of the arrivals.
const OVERHEAD_SEED: u64 = 1;
const HELP: &str = "\
Drives wagtailthread and checks its promises from outside.

Usage: wagtail-load <COMMAND> [OPTIONS]

Commands:
  experiment  One deployment in one process under load and faults, promises checked
  overhead    The latency that an entry host adds, against direct calls
  run         An open-loop load against given entry hosts
  slopes      What control costs each host as a fleet grows
  try         A tour of the whole path in one process, under 30 s

Options of a command: wagtail-load <COMMAND> --help
";

fn main() -> ExitCode {
    let mut args = lexopt::Parser::from_env();
    match args.next() {
        Ok(Some(Value(name))) if name == "try" => match args.next() {
            Ok(None) => try_out(),
            Ok(Some(Long("help") | Short('h'))) => help(),
            Ok(Some(other)) => usage(&other.unexpected()),
            Err(e) => usage(&e),
        },
        Ok(Some(Value(name))) if name == "experiment" => experiment(args),
        Ok(Some(Value(name))) if name == "overhead" => overhead(args),
        Ok(Some(Value(name))) if name == "run" => run(args),
        Ok(Some(Value(name))) if name == "slopes" => slopes(args),
        Ok(Some(Long("help") | Short('h'))) => help(),
        Ok(Some(other)) => usage(&other.unexpected()),
        Ok(None) => usage(&"a command is needed"),
        Err(e) => usage(&e),
    }
}

fn help() -> ExitCode {
    print!("{HELP}");
    ExitCode::SUCCESS
}

fn usage(reason: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("wagtail-load: {reason}; see --help");
    ExitCode::from(USAGE_STATUS)
}

fn try_out() -> ExitCode {
    match runtime().map(|r| r.block_on(wagtail_load::tour::run())) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

fn experiment(args: lexopt::Parser) -> ExitCode {
    match runtime().map(|r| r.block_on(wagtail_load::experiment::command(args))) {
        Ok(Ok(status)) => status,
        Ok(Err(CommandError::Arguments(e))) => usage(&e),
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

fn run(args: lexopt::Parser) -> ExitCode {
    match runtime().map(|r| r.block_on(wagtail_load::run::command(args))) {
        Ok(Ok(status)) => status,
        Ok(Err(RunError::Arguments(e))) => usage(&e),
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

fn slopes(args: lexopt::Parser) -> ExitCode {
    match runtime().map(|r| r.block_on(wagtail_load::slopes::command(args))) {
        Ok(Ok(status)) => status,
        Ok(Err(SlopesError::Arguments(e))) => usage(&e),
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("wagtail-load: {error}");
    ExitCode::FAILURE
}

fn overhead(mut args: lexopt::Parser) -> ExitCode {
    match args.next() {
        Ok(None) => {}
        Ok(Some(Long("help") | Short('h'))) => return help(),
        Ok(Some(other)) => return usage(&other.unexpected()),
        Err(e) => return usage(&e),
    }
    match runtime().map(|r| r.block_on(wagtail_load::overhead::run(OVERHEAD_SEED))) {
        Ok(Ok(results)) => {
            for result in results {
                println!("{result}");
            }
            ExitCode::SUCCESS
        }
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}
