//! The command line: arguments, commands and their output.

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

/// What a command reads and writes.
pub struct Streams<'a> {
    /// Where `-` and keys are read from.
    pub input: &'a mut (dyn Read + Send),
    /// Where results go.
    pub output: &'a mut (dyn Write + Send),
    /// Where errors go.
    pub errors: &'a mut (dyn Write + Send),
}

/// Runs the command line of this process.
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

/// Runs one command line and gives its exit status.
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
        Ok(Parsed::Run(invocation)) => carry_out(*invocation, input, output).await,
        Err(error) => Err(error),
    };
    result.unwrap_or_else(|error| {
        let more = if matches!(error, CtlError::Usage(_)) {
            "; see --help"
        } else {
            ""
        };
        let _ = writeln!(errors, "wagtail-ctl: {error}{more}");
        error.status()
    })
}

async fn carry_out(
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
