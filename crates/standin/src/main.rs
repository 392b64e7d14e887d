//! Entry point of the `wagtail-standin` binary, which runs one stand-in as a process.

use std::process::ExitCode;

use wagtail_standin::endpoint::{self, CommandError};
use wagtail_standin::platform;

const USAGE_STATUS: u8 = 2;
const HELP: &str = "\
Stand-ins for the services that wagtailthread depends on, for tests on the loopback interface.

Usage: wagtail-standin <COMMAND> [OPTIONS]

Commands:
  endpoint  One endpoint with slots, load reports and faults
  platform  Table service, object store and host list

Options of a command: wagtail-standin <COMMAND> --help
";

fn main() -> ExitCode {
    let mut args = lexopt::Parser::from_env();
    match args.next() {
        Ok(Some(lexopt::Arg::Value(name))) => match name.to_str() {
            Some("endpoint") => run_endpoint(args),
            Some("platform") => platform::main(args),
            _ => usage(&format!("unknown command {}", name.display())),
        },
        Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Some(other)) => usage(&other.unexpected().to_string()),
        Ok(None) => usage("a command is required"),
        Err(error) => usage(&error.to_string()),
    }
}

fn usage(reason: &str) -> ExitCode {
    eprintln!("wagtail-standin: {reason}; see --help");
    ExitCode::from(USAGE_STATUS)
}

fn run_endpoint(args: lexopt::Parser) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(endpoint::command(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Arguments(error)) => usage(&error.to_string()),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("wagtail-standin endpoint: {error}");
    ExitCode::FAILURE
}
