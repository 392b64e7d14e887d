//! The `experiment` subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, Error, From};
use lexopt::prelude::{Long, Short, Value, ValueExt};

use super::{Request, catalogue, compare, find, run};
use crate::deployment::Deployment;
use crate::fleet::FleetError;
use crate::plot::{PlotError, plot};
use crate::text;

const HELP: &str = "\
Runs a deployment on loopback under load, checks every promise from outside and prints the users'
measures. Exit status 1 where a promise breaks.

Usage: wagtail-load experiment NAME [OPTIONS]
       wagtail-load experiment --list

Options:
      --deployment NAME      tender or annex [tender]
      --seed N               Seed of arrivals, service times and hosts [1]
      --json                 Print the report as JSON
      --plot FILE            Write time series and latency distributions as SVG
      --set NAME=VALUE       A setting of every entry host; may be repeated
      --against NAME=VALUE   Compare with this setting: both in turns on the same seeds; may be
                             repeated
      --turns N              Turns of a comparison [3]
      --list                 List the experiments
  -h, --help                 Print this help
";

/// Why an experiment could not be run.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The arguments are invalid.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// The deployment could not be set up.
    #[display("{_0}")]
    Fleet(FleetError),
    /// The plot could not be drawn.
    #[display("{_0}")]
    Plot(PlotError),
}

struct Args {
    request: Request,
    against: Vec<(String, String)>,
    turns: u64,
    json: bool,
    plot: Option<PathBuf>,
}

/// Runs the subcommand with the remaining arguments.
///
/// # Errors
///
/// Returns an error if the arguments are invalid, the deployment cannot be set up or the plot
/// cannot be written.
pub async fn command(mut args: lexopt::Parser) -> Result<ExitCode, CommandError> {
    match parse(&mut args)? {
        None => Ok(ExitCode::SUCCESS),
        Some(args) if args.against.is_empty() => run_single(&args).await,
        Some(args) => run_comparison(&args).await,
    }
}

async fn run_single(args: &Args) -> Result<ExitCode, CommandError> {
    let report = run(&args.request).await?;
    if let Some(file) = &args.plot {
        let title = format!("{} on {}", report.experiment, report.deployment);
        plot(&report.measures, &title, file)?;
    }
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        print!("{}", text::full_report(&report));
    }
    Ok(ExitCode::from(u8::from(!report.all_kept())))
}

async fn run_comparison(args: &Args) -> Result<ExitCode, CommandError> {
    let mut second = args.request.clone();
    second.flags.extend(args.against.clone());
    let lines = compare(&args.request, &second, args.turns).await?;
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&lines).unwrap_or_default()
        );
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "{:<28}{:>12}{:>12}{:>8}   spread",
        "measure", "first", "second", "ratio"
    );
    for line in lines {
        let (least, most) = line.spread;
        println!(
            "{:<28}{:>12.2}{:>12.2}{:>8.3}   {least:.3} to {most:.3}",
            line.name, line.first, line.second, line.ratio
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(args: &mut lexopt::Parser) -> Result<Option<Args>, lexopt::Error> {
    let (mut name, mut deployment, mut seed) = (None, Deployment::Tender, 1);
    let (mut flags, mut against, mut turns) = (Vec::new(), Vec::new(), 3);
    let (mut json, mut file) = (false, None);
    while let Some(arg) = args.next()? {
        match arg {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("list") => {
                for experiment in catalogue() {
                    println!("{:<20}{}", experiment.name, experiment.about);
                }
                return Ok(None);
            }
            Long("deployment") => deployment = args.value()?.parse()?,
            Long("seed") => seed = args.value()?.parse()?,
            Long("json") => json = true,
            Long("plot") => file = Some(PathBuf::from(args.value()?)),
            Long("set") => flags.push(setting(args)?),
            Long("against") => against.push(setting(args)?),
            Long("turns") => turns = args.value()?.parse()?,
            Value(value) if name.is_none() => name = Some(value.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    let name = name.ok_or("the name of an experiment is needed; see --list")?;
    let experiment =
        find(&name).ok_or_else(|| format!("there is no experiment named {name}; see --list"))?;
    let request = Request {
        experiment,
        deployment,
        seed,
        flags,
    };
    Ok(Some(Args {
        request,
        against,
        turns,
        json,
        plot: file,
    }))
}

fn setting(args: &mut lexopt::Parser) -> Result<(String, String), lexopt::Error> {
    let text = args.value()?.string()?;
    let (name, value) = text
        .split_once('=')
        .ok_or("a form like lease-term=3s was expected")?;
    Ok((name.to_owned(), value.to_owned()))
}
