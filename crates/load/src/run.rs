//! The `run` subcommand: open-loop load against given entry hosts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use derive_more::{Display, Error, From};
use lexopt::prelude::{Long, Short, ValueExt};
use tokio::time::Instant;

use crate::arrivals::{Arrival, Profile, arrivals};
use crate::callers::Callers;
use crate::client::CallOutcome;
use crate::measure::{Sample, measure};
use crate::mix::{Class, Mix, Team};
use crate::plot::{PlotError, plot};
use crate::text;

const HELP: &str = "\
Sends an open-loop load to entry hosts and prints latency, from when each request was due, and
outcomes per team and class. Exit status 1 where an answer is not whole or not the caller's own.

Usage: wagtail-load run --hosts IP:PORT,... --class SPEC... --team SPEC... [OPTIONS]

Options:
      --hosts LIST           Entry hosts to look further hosts up at
      --class SPEC           NAME=SERVICE,RATE[,once]: a class, its requests a second and whether
                             they must not run twice; may be repeated
      --team SPEC            NAME=KEY,SHARE: a team, its key and its share; may be repeated
      --client IP            Address that the callers look hosts up for [127.0.0.1]
      --time SECONDS         How long requests arrive [10]
      --load X               Factor on every class's rate [1]
      --skew X               Share of calls that go to the first host [0.6]
      --keyed X              Share of requests of a class `once` under an idempotency key [0.5]
      --repeated X           Share of keyed requests that are sent twice [0]
      --deadline-ms N        Deadline of every request [2000]
      --trace FILE           Arrivals in place of Poisson ones, a line each: ms team class
      --seed N               Seed of the arrivals [1]
      --json                 Print the measures as JSON
      --plot FILE            Write time series and latency distributions as SVG
  -h, --help                 Print this help
";

/// Why a load could not be sent.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The arguments are invalid.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// The trace file cannot be read or parsed.
    #[display("{file}: {reason}")]
    #[from(ignore)]
    Trace {
        /// The path of the file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// The plot could not be drawn.
    #[display("{_0}")]
    Plot(PlotError),
}

struct Args {
    hosts: Vec<SocketAddr>,
    mix: Mix,
    profile: Profile,
    trace: Option<PathBuf>,
    seed: u64,
    json: bool,
    plot: Option<PathBuf>,
}

/// Runs the subcommand with the remaining arguments.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or a file cannot be read or written.
pub async fn command(mut args: lexopt::Parser) -> Result<ExitCode, RunError> {
    let Some(args) = parse(&mut args)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let due = match &args.trace {
        Some(file) => read_trace(file, &args.mix)?,
        None => arrivals(&args.mix, &args.profile, args.seed),
    };
    let callers = Callers::new(args.mix.clone(), args.hosts.clone());
    callers.refresh_hosts().await;
    let samples = tokio::select! {
        samples = callers.send(due, Instant::now()) => samples,
        () = callers.keep_refreshing_hosts() => Vec::new(),
    };
    let measures = measure(&args.mix, &samples);
    if let Some(file) = &args.plot {
        plot(&measures, "run", file)?;
    }
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&measures).unwrap_or_default()
        );
    } else {
        print!("{}", text::tables(&measures));
    }
    let wrong = wrong_answers(&samples);
    for example in &wrong {
        eprintln!("{example}");
    }
    Ok(ExitCode::from(u8::from(!wrong.is_empty())))
}

fn wrong_answers(samples: &[Sample]) -> Vec<String> {
    let wrong = samples
        .iter()
        .filter(|s| matches!(s.outcome, CallOutcome::Wrong { .. }));
    wrong.map(|s| format!("{}: {}", s.id, s.outcome)).collect()
}

fn parse(args: &mut lexopt::Parser) -> Result<Option<Args>, lexopt::Error> {
    let mut parsed = Args {
        hosts: Vec::new(),
        mix: Mix {
            teams: Vec::new(),
            classes: Vec::new(),
            client_addrs: vec!["127.0.0.1".to_owned()],
            deadline: Duration::from_secs(2),
        },
        profile: Profile {
            load: 1.0,
            repeated: 0.0,
            ..Profile::steady(Duration::from_secs(10))
        },
        trace: None,
        seed: 1,
        json: false,
        plot: None,
    };
    while let Some(arg) = args.next()? {
        let (mix, profile) = (&mut parsed.mix, &mut parsed.profile);
        match arg {
            Short('h') | Long("help") => return Ok(None),
            Long("hosts") => parsed.hosts = parse_hosts(&args.value()?.string()?)?,
            Long("class") => mix.classes.push(parse_class(&args.value()?.string()?)?),
            Long("team") => mix.teams.push(parse_team(&args.value()?.string()?)?),
            Long("client") => {
                let client: std::net::IpAddr = args.value()?.parse()?;
                mix.client_addrs = vec![client.to_string()];
            }
            Long("time") => profile.duration = Duration::from_secs(args.value()?.parse()?),
            Long("load") => profile.load = parse_positive(&args.value()?.string()?)?,
            Long("skew") => profile.skew = parse_fraction(&args.value()?.string()?)?,
            Long("keyed") => profile.keyed = parse_fraction(&args.value()?.string()?)?,
            Long("repeated") => profile.repeated = parse_fraction(&args.value()?.string()?)?,
            Long("deadline-ms") => mix.deadline = Duration::from_millis(args.value()?.parse()?),
            Long("trace") => parsed.trace = Some(args.value()?.into()),
            Long("seed") => parsed.seed = args.value()?.parse()?,
            Long("json") => parsed.json = true,
            Long("plot") => parsed.plot = Some(args.value()?.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    for (name, missing) in [
        ("--hosts", parsed.hosts.is_empty()),
        ("--class", parsed.mix.classes.is_empty()),
        ("--team", parsed.mix.teams.is_empty()),
    ] {
        if missing {
            return Err(format!("{name} is needed").into());
        }
    }
    Ok(Some(parsed))
}

fn parse_hosts(text: &str) -> Result<Vec<SocketAddr>, lexopt::Error> {
    let host = |host: &str| {
        let addr = host.trim().parse();
        addr.map_err(|_| format!("{host:?}: a form like 10.0.0.1:8080 was expected").into())
    };
    text.split(',').map(host).collect()
}

fn parse_class(text: &str) -> Result<Class, lexopt::Error> {
    let fail = || format!("{text:?}: a form like lookup=rosters,100 was expected");
    let (name, rest) = text.split_once('=').ok_or_else(fail)?;
    let mut parts = rest.split(',');
    let service = parts.next().filter(|s| !s.is_empty()).ok_or_else(fail)?;
    let load = parse_positive(parts.next().ok_or_else(fail)?)?;
    let idempotent = match parts.next() {
        None => true,
        Some("once") => false,
        Some(_) => return Err(fail().into()),
    };
    Ok(Class {
        name: name.to_owned(),
        service: service.to_owned(),
        idempotent,
        load,
    })
}

fn parse_team(text: &str) -> Result<Team, lexopt::Error> {
    // The error does not quote the argument because it contains the key.
    let fail = || "a form like --team lead=KEY,0.5 was expected";
    let (name, rest) = text.split_once('=').ok_or_else(fail)?;
    let (key, share) = rest.rsplit_once(',').ok_or_else(fail)?;
    Ok(Team {
        name: name.to_owned(),
        key: key.to_owned(),
        share: parse_positive(share)?,
        home_region: 0,
        limit: None,
    })
}

fn parse_positive(text: &str) -> Result<f64, lexopt::Error> {
    const MAX: f64 = 1_000_000.0;
    let value = text.parse().ok().filter(|v| *v > 0.0 && *v <= MAX);
    value.ok_or_else(|| format!("{text:?}: a number above 0 was expected").into())
}

fn parse_fraction(text: &str) -> Result<f64, lexopt::Error> {
    let value = text.parse().ok().filter(|v| (0.0..=1.0).contains(v));
    value.ok_or_else(|| format!("{text:?}: a number from 0 to 1 was expected").into())
}

fn read_trace(file: &Path, mix: &Mix) -> Result<Vec<Arrival>, RunError> {
    let fail = |reason: String| RunError::Trace {
        file: file.display().to_string(),
        reason,
    };
    let text = std::fs::read_to_string(file).map_err(|e| fail(e.to_string()))?;
    let lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty());
    let arrival = |(index, line)| {
        parse_trace_line(line, mix).ok_or_else(|| {
            fail(format!(
                "line {}: a form like 250 lead lookup was expected",
                index + 1
            ))
        })
    };
    let mut due = lines.map(arrival).collect::<Result<Vec<_>, _>>()?;
    due.sort_by_key(|arrival| arrival.at);
    Ok(due)
}

fn parse_trace_line(line: &str, mix: &Mix) -> Option<Arrival> {
    let mut parts = line.split_whitespace();
    let at = Duration::from_millis(parts.next()?.parse().ok()?);
    let (team, class) = (parts.next()?, parts.next()?);
    Some(Arrival {
        at,
        team: mix.teams.iter().position(|t| t.name == team)?,
        class: mix.classes.iter().position(|c| c.name == class)?,
        first_host: true,
        host_draw: 0,
        keyed: false,
        repeated: false,
    })
}
