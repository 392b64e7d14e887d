//! Parses and runs the `endpoint` command.

use std::io;
use std::time::Duration;

use derive_more::{Display, Error, From};
use lexopt::prelude::{Long, Short, ValueExt};

use super::{Settings, start};

const HELP: &str = "\
Runs one endpoint stand-in until the process is terminated.

Usage: wagtail-standin endpoint [OPTIONS]

Options:
      --listen ADDR          Address to listen on [127.0.0.1:0]
      --seed N               Seed of service times and faults [0]
      --slots N              Requests that run at once [3]
      --backlog N            Requests that may wait for a slot [0]
      --connections N        Connections held at once [300]
      --median-ms N          Median service time [0]
      --sigma X              Spread of the log-normal service time [0]
      --cold-ms N            How long the endpoint stays cold after its start [0]
      --cold-factor X        Service time factor at the start, falling to 1 [1]
      --answer-bytes N       Bytes of filler in each answer [256]
  -h, --help                 Print this help

GET /.health shows state and load, GET and PUT /.faults the fault table,
GET /.log the requests seen.
";

/// Reports why the command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The arguments are invalid.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// The address cannot be bound.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
}

/// Runs the command with the remaining arguments of `args`; returns early only after `--help`
/// or on an error.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address cannot be bound.
pub async fn command(mut args: lexopt::Parser) -> Result<(), CommandError> {
    let Some(settings) = parse(&mut args)? else {
        print!("{HELP}");
        return Ok(());
    };
    let running = start(settings).await?;
    println!("listening on {}", running.addr());
    std::future::pending().await
}

fn parse(args: &mut lexopt::Parser) -> Result<Option<Settings>, lexopt::Error> {
    let mut settings = Settings::default();
    while let Some(arg) = args.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(None),
            Long("listen") => settings.listen = args.value()?.parse()?,
            Long("seed") => settings.seed = args.value()?.parse()?,
            Long("slots") => settings.slots = args.value()?.parse()?,
            Long("backlog") => settings.backlog = args.value()?.parse()?,
            Long("connections") => settings.connections = args.value()?.parse()?,
            Long("median-ms") => settings.median = Duration::from_millis(args.value()?.parse()?),
            Long("sigma") => settings.sigma = bounded(args.value()?.parse()?, 0.0)?,
            Long("cold-ms") => settings.cold = Duration::from_millis(args.value()?.parse()?),
            Long("cold-factor") => settings.cold_factor = bounded(args.value()?.parse()?, 1.0)?,
            Long("answer-bytes") => settings.answer_bytes = args.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(settings))
}

fn bounded(value: f64, min: f64) -> Result<f64, lexopt::Error> {
    const MAX: f64 = 1000.0;
    if (min..=MAX).contains(&value) {
        return Ok(value);
    }
    Err(format!("{value} is not between {min} and {MAX}").into())
}
