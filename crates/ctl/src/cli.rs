//! Parses and runs command lines and formats their results.

mod args;
mod command;
mod help;
mod input;
mod output;
mod show;

use std::ffi::OsString;
use std::io::{Read, Write};
use std::process::ExitCode;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use wagtail_store::{HttpClient, HttpSettings};

use crate::{CtlError, Operator};
use args::{Invocation, Parsed};

/// Holds the streams that a command reads and writes.
pub struct Streams<'a> {
    /// Read for the file name `-` and for `--key-stdin`.
    pub input: &'a mut (dyn Read + Send),
    /// Receives results.
    pub output: &'a mut (dyn Write + Send),
    /// Receives error messages.
    pub errors: &'a mut (dyn Write + Send),
}

/// Runs the command line of this process and returns its exit status.
pub fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    let env = |name: &str| std::env::var(name).ok();
    let (mut input, mut output, mut errors) =
        (std::io::stdin(), std::io::stdout(), std::io::stderr());
    let streams = Streams {
        input: &mut input,
        output: &mut output,
        errors: &mut errors,
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("wagtail-ctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    ExitCode::from(runtime.block_on(run(args, &env, streams)))
}

/// Runs one command line and returns its exit status.
pub async fn run(
    args: Vec<OsString>,
    env: &(dyn Fn(&str) -> Option<String> + Sync),
    streams: Streams<'_>,
) -> u8 {
    let Streams {
        input,
        output,
        errors,
    } = streams;
    let result = match args::parse(args, env) {
        Ok(Parsed::Help(text)) => output
            .write_all(text.as_bytes())
            .map_err(output_error)
            .map(|()| 0),
        Ok(Parsed::Run(invocation)) => execute(*invocation, input, output).await,
        Err(error) => Err(error),
    };
    result.unwrap_or_else(|error| {
        let hint = if matches!(error, CtlError::Usage(_)) {
            "; see --help"
        } else {
            ""
        };
        let _ = writeln!(errors, "wagtail-ctl: {error}{hint}");
        error.status()
    })
}

async fn execute(
    invocation: Invocation,
    input: &mut (dyn Read + Send),
    output: &mut (dyn Write + Send),
) -> Result<u8, CtlError> {
    let Invocation {
        platform,
        settings,
        format,
        command,
    } = invocation;
    let client = HttpClient::new(HttpSettings::new(platform));
    let operator = Operator::new(Arc::new(client), settings, StdRng::from_os_rng());
    let (text, status) = command::run(command, operator, format, input).await?;
    output.write_all(text.as_bytes()).map_err(output_error)?;
    Ok(status)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "it is passed to map_err by name"
)]
fn output_error(error: std::io::Error) -> CtlError {
    CtlError::Input {
        name: "output".to_owned(),
        reason: error.to_string(),
    }
}
