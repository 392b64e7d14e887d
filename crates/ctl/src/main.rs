//! The operators' command line as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtail_ctl::cli::main()
}
