//! Parses the command line.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use serde_json::{Map, Value};
use wagtail_config::{DrainTarget, RecordKey};
use wagtail_types::{Epoch, KeyDigest, ParseError, Share, TeamId};

use super::help::HELP;
use crate::{CtlError, DrainSpec, MoveSpec, OperatorSettings};

const DEFAULT_PORT: u16 = 7700;
const PLATFORM_VAR: &str = "WAGTAIL_PLATFORM";
const ENTRY_VAR: &str = "WAGTAIL_ENTRY";
const MAX_WAIT_S: f64 = 3_600.0;

/// Selects the output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// Selects where a key is read from: a digest argument or standard input.
#[derive(Debug)]
pub(crate) enum KeySource {
    Digest(KeyDigest),
    Stdin,
}

#[derive(Debug)]
pub(crate) enum Command {
    Put {
        files: Vec<OsString>,
    },
    Change {
        key: RecordKey,
        fields: Map<String, Value>,
    },
    Withdraw {
        key: RecordKey,
    },
    Get {
        key: RecordKey,
    },
    List {
        kind: Option<String>,
    },
    Key {
        team: TeamId,
        source: KeySource,
        granted: bool,
    },
    Drain {
        spec: DrainSpec,
        stop: bool,
    },
    Move {
        spec: MoveSpec,
        stop: bool,
    },
    Status,
    Check {
        files: Vec<OsString>,
    },
    Explain {
        request: String,
        files: Vec<OsString>,
    },
}

#[derive(Debug)]
pub(crate) struct Invocation {
    pub(crate) platform: SocketAddr,
    pub(crate) settings: OperatorSettings,
    pub(crate) format: Format,
    pub(crate) command: Command,
}

#[derive(Debug)]
pub(crate) enum Parsed {
    Run(Box<Invocation>),
    Help(&'static str),
}

/// Options that only some commands use.
#[derive(Debug, Default)]
struct Flags {
    digest: Option<KeyDigest>,
    key_stdin: bool,
    share: Option<Share>,
    cap: Option<Share>,
    ramp_s: Option<u64>,
    stop: bool,
}

pub(crate) fn parse(
    args: Vec<OsString>,
    env: &(dyn Fn(&str) -> Option<String> + Sync),
) -> Result<Parsed, CtlError> {
    let mut platform = match env(PLATFORM_VAR) {
        Some(text) => parse_variable(PLATFORM_VAR, &text)?,
        None => SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT)),
    };
    let mut settings = OperatorSettings::default();
    let mut format = Format::Table;
    let mut flags = Flags::default();
    let mut operands = Vec::new();
    let mut parser = Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("platform") => platform = option_value(&mut parser)?,
            Arg::Long("entry") => settings.entries.push(option_value(&mut parser)?),
            Arg::Long("output") => format = output_format(&mut parser)?,
            Arg::Long("wait") => settings.wait = wait_limit(&mut parser)?,
            Arg::Long("if-epoch") => settings.base_epoch = Some(Epoch(option_value(&mut parser)?)),
            Arg::Long("digest") => flags.digest = Some(option_value(&mut parser)?),
            Arg::Long("key-stdin") => flags.key_stdin = true,
            Arg::Long("share") => flags.share = Some(option_value(&mut parser)?),
            Arg::Long("cap") => flags.cap = Some(option_value(&mut parser)?),
            Arg::Long("ramp") => flags.ramp_s = Some(option_value(&mut parser)?),
            Arg::Long("stop") => flags.stop = true,
            Arg::Value(operand) => operands.push(operand),
            other => return Err(usage(other.unexpected())),
        }
    }
    if let Some(list) = env(ENTRY_VAR).filter(|_| settings.entries.is_empty()) {
        for text in list.split(',') {
            settings.entries.push(parse_variable(ENTRY_VAR, text)?);
        }
    }
    let command = command(operands, &flags)?;
    Ok(Parsed::Run(Box::new(Invocation {
        platform,
        settings,
        format,
        command,
    })))
}

fn command(operands: Vec<OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let mut operands = operands.into_iter();
    let name = next(&mut operands, "a command")?;
    let command = match name.as_str() {
        "put" => Command::Put {
            files: files(&mut operands)?,
        },
        "check" => Command::Check {
            files: files(&mut operands)?,
        },
        "explain" => Command::Explain {
            request: next(&mut operands, "a request id")?,
            files: files(&mut operands)?,
        },
        "change" => change(&mut operands)?,
        "withdraw" => Command::Withdraw {
            key: record_key(&mut operands)?,
        },
        "get" => Command::Get {
            key: record_key(&mut operands)?,
        },
        "list" => Command::List {
            kind: operands.next().map(into_utf8).transpose()?,
        },
        "key" => key(&mut operands, flags)?,
        "drain" => drain(&mut operands, flags)?,
        "move" => move_traffic(&mut operands, flags)?,
        "status" => Command::Status,
        other => return Err(CtlError::Usage(format!("unknown command {other:?}"))),
    };
    match operands.next() {
        None => Ok(command),
        Some(operand) => Err(CtlError::Usage(format!(
            "unexpected argument {}",
            operand.display()
        ))),
    }
}

fn files(operands: &mut dyn Iterator<Item = OsString>) -> Result<Vec<OsString>, CtlError> {
    let files: Vec<_> = operands.collect();
    if files.is_empty() {
        return Err(CtlError::Usage("a file is missing".to_owned()));
    }
    Ok(files)
}

fn change(operands: &mut dyn Iterator<Item = OsString>) -> Result<Command, CtlError> {
    let key = record_key(operands)?;
    let mut fields = Map::new();
    for operand in operands {
        let operand = into_utf8(operand)?;
        let Some((name, value)) = operand.split_once('=') else {
            return Err(CtlError::Usage(format!(
                "expected FIELD=VALUE, got {operand:?}"
            )));
        };
        let value = match value {
            "" => Value::Null,
            text => serde_json::from_str(text).unwrap_or_else(|_| Value::from(text)),
        };
        fields.insert(name.to_owned(), value);
    }
    if fields.is_empty() {
        return Err(CtlError::Usage("FIELD=VALUE is missing".to_owned()));
    }
    Ok(Command::Change { key, fields })
}

fn key(operands: &mut dyn Iterator<Item = OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let granted = match next(operands, "grant or withdraw")?.as_str() {
        "grant" => true,
        "withdraw" => false,
        other => {
            return Err(CtlError::Usage(format!(
                "expected grant or withdraw, got {other:?}"
            )));
        }
    };
    let team = parse_next(operands, "a team")?;
    let source = match (flags.digest, flags.key_stdin) {
        (Some(digest), false) => KeySource::Digest(digest),
        (None, true) => KeySource::Stdin,
        _ => {
            return Err(CtlError::Usage(
                "exactly one of --digest and --key-stdin is required".to_owned(),
            ));
        }
    };
    Ok(Command::Key {
        team,
        source,
        granted,
    })
}

fn drain(operands: &mut dyn Iterator<Item = OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let kind = next(operands, "endpoint, zone or region")?;
    let target = match kind.as_str() {
        "endpoint" => DrainTarget::Endpoint(parse_next(operands, "an endpoint")?),
        "zone" => DrainTarget::Zone(parse_next(operands, "a zone")?),
        "region" => DrainTarget::Region(parse_next(operands, "a region")?),
        other => return Err(CtlError::Usage(format!("{other:?} cannot be drained"))),
    };
    let cap = flags.cap.unwrap_or(Share::ALL);
    Ok(Command::Drain {
        spec: DrainSpec { target, cap },
        stop: flags.stop,
    })
}

fn move_traffic(
    operands: &mut dyn Iterator<Item = OsString>,
    flags: &Flags,
) -> Result<Command, CtlError> {
    const DEFAULT_RAMP_S: u64 = 300;
    let service = parse_next(operands, "a service")?;
    let from = parse_next(operands, "a region")?;
    let to = parse_next(operands, "another region")?;
    let share = match flags.share {
        Some(share) => share,
        None if flags.stop => Share::NONE,
        None => return Err(CtlError::Usage("--share is missing".to_owned())),
    };
    let cap = flags.cap.unwrap_or(share);
    let ramp_s = flags.ramp_s.unwrap_or(DEFAULT_RAMP_S);
    let spec = MoveSpec {
        service,
        from,
        to,
        share,
        cap,
        ramp_s,
    };
    Ok(Command::Move {
        spec,
        stop: flags.stop,
    })
}

fn record_key(operands: &mut dyn Iterator<Item = OsString>) -> Result<RecordKey, CtlError> {
    let kind = next(operands, "a kind")?;
    let name = next(operands, "a name")?;
    RecordKey::new(&kind, &name).map_err(usage)
}

fn output_format(parser: &mut Parser) -> Result<Format, CtlError> {
    match option_value::<String>(parser)?.as_str() {
        "table" => Ok(Format::Table),
        "json" => Ok(Format::Json),
        other => Err(CtlError::Usage(format!(
            "unknown output format {other:?}: expected table or json"
        ))),
    }
}

fn wait_limit(parser: &mut Parser) -> Result<Duration, CtlError> {
    let seconds: f64 = option_value(parser)?;
    if !(0.0..=MAX_WAIT_S).contains(&seconds) {
        return Err(CtlError::Usage(
            "--wait must be between 0 and 3600 seconds".to_owned(),
        ));
    }
    Ok(Duration::from_secs_f64(seconds))
}

fn option_value<T>(parser: &mut Parser) -> Result<T, CtlError>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser.value().and_then(|v| v.parse()).map_err(usage)
}

fn parse_variable<T: FromStr>(name: &str, text: &str) -> Result<T, CtlError>
where
    T::Err: std::fmt::Display,
{
    text.trim()
        .parse()
        .map_err(|e| CtlError::Usage(format!("{name}: {text:?}: {e}")))
}

fn parse_next<T: FromStr<Err = ParseError>>(
    operands: &mut dyn Iterator<Item = OsString>,
    what: &str,
) -> Result<T, CtlError> {
    next(operands, what)?.parse().map_err(usage)
}

fn next(operands: &mut dyn Iterator<Item = OsString>, what: &str) -> Result<String, CtlError> {
    next_operand(operands, what).and_then(into_utf8)
}

fn next_operand(
    operands: &mut dyn Iterator<Item = OsString>,
    what: &str,
) -> Result<OsString, CtlError> {
    operands
        .next()
        .ok_or_else(|| CtlError::Usage(format!("{what} is missing")))
}

fn into_utf8(operand: OsString) -> Result<String, CtlError> {
    operand
        .into_string()
        .map_err(|raw| CtlError::Usage(format!("argument {} is not valid UTF-8", raw.display())))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "it is passed to map_err by name"
)]
fn usage(error: impl ToString) -> CtlError {
    CtlError::Usage(error.to_string())
}
