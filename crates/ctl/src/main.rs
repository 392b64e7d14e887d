//! Entry point of the `wagtail-ctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtail_ctl::cli::main()
}
