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
const MAX_WAIT_SECS: f64 = 3_600.0;

/// How results are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// Where a key comes from.
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

/// Flags of single commands.
#[derive(Debug, Default)]
struct Flags {
    digest: Option<KeyDigest>,
    key_stdin: bool,
    share: Option<Share>,
    cap: Option<Share>,
    ramp: Option<u64>,
    stop: bool,
}

pub(crate) fn parse(
    args: Vec<OsString>,
    env: &(dyn Fn(&str) -> Option<String> + Sync),
) -> Result<Parsed, CtlError> {
    let mut platform = match env(PLATFORM_VAR) {
        Some(text) => field(PLATFORM_VAR, &text)?,
        None => SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT)),
    };
    let mut settings = OperatorSettings::default();
    let mut format = Format::Table;
    let mut flags = Flags::default();
    let mut words = Vec::new();
    let mut parser = Parser::from_args(args);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("platform") => platform = value(&mut parser)?,
            Arg::Long("entry") => settings.entries.push(value(&mut parser)?),
            Arg::Long("output") => format = output(&mut parser)?,
            Arg::Long("wait") => settings.wait = wait(&mut parser)?,
            Arg::Long("if-epoch") => settings.made_at = Some(Epoch(value(&mut parser)?)),
            Arg::Long("digest") => flags.digest = Some(value(&mut parser)?),
            Arg::Long("key-stdin") => flags.key_stdin = true,
            Arg::Long("share") => flags.share = Some(value(&mut parser)?),
            Arg::Long("cap") => flags.cap = Some(value(&mut parser)?),
            Arg::Long("ramp") => flags.ramp = Some(value(&mut parser)?),
            Arg::Long("stop") => flags.stop = true,
            Arg::Value(word) => words.push(word),
            other => return Err(usage(other.unexpected())),
        }
    }
    if let Some(list) = env(ENTRY_VAR).filter(|_| settings.entries.is_empty()) {
        for text in list.split(',') {
            settings.entries.push(field(ENTRY_VAR, text)?);
        }
    }
    let command = command(words, &flags)?;
    Ok(Parsed::Run(Box::new(Invocation {
        platform,
        settings,
        format,
        command,
    })))
}

fn command(words: Vec<OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let mut words = words.into_iter();
    let name = next(&mut words, "a command")?;
    let command = match name.as_str() {
        "put" => Command::Put {
            files: files(&mut words)?,
        },
        "check" => Command::Check {
            files: files(&mut words)?,
        },
        "explain" => Command::Explain {
            request: next(&mut words, "a request's id")?,
            files: files(&mut words)?,
        },
        "change" => change(&mut words)?,
        "withdraw" => Command::Withdraw {
            key: record(&mut words)?,
        },
        "get" => Command::Get {
            key: record(&mut words)?,
        },
        "list" => Command::List {
            kind: words.next().map(text).transpose()?,
        },
        "key" => key(&mut words, flags)?,
        "drain" => drain(&mut words, flags)?,
        "move" => shift(&mut words, flags)?,
        "status" => Command::Status,
        other => return Err(CtlError::Usage(format!("{other:?} is not a command"))),
    };
    match words.next() {
        None => Ok(command),
        Some(word) => Err(CtlError::Usage(format!(
            "{} is one word too many",
            word.display()
        ))),
    }
}

fn files(words: &mut dyn Iterator<Item = OsString>) -> Result<Vec<OsString>, CtlError> {
    let files: Vec<_> = words.collect();
    if files.is_empty() {
        return Err(CtlError::Usage("a file is missing".to_owned()));
    }
    Ok(files)
}

fn change(words: &mut dyn Iterator<Item = OsString>) -> Result<Command, CtlError> {
    let key = record(words)?;
    let mut fields = Map::new();
    for word in words {
        let word = text(word)?;
        let Some((name, value)) = word.split_once('=') else {
            return Err(CtlError::Usage(format!(
                "{word:?} is not of the form FIELD=VALUE"
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

fn key(words: &mut dyn Iterator<Item = OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let granted = match next(words, "grant or withdraw")?.as_str() {
        "grant" => true,
        "withdraw" => false,
        other => {
            return Err(CtlError::Usage(format!(
                "{other:?} is neither grant nor withdraw"
            )));
        }
    };
    let team = parsed(words, "a team")?;
    let source = match (flags.digest, flags.key_stdin) {
        (Some(digest), false) => KeySource::Digest(digest),
        (None, true) => KeySource::Stdin,
        _ => {
            return Err(CtlError::Usage(
                "one of --digest and --key-stdin is needed".to_owned(),
            ));
        }
    };
    Ok(Command::Key {
        team,
        source,
        granted,
    })
}

fn drain(words: &mut dyn Iterator<Item = OsString>, flags: &Flags) -> Result<Command, CtlError> {
    let kind = next(words, "endpoint, zone or region")?;
    let target = match kind.as_str() {
        "endpoint" => DrainTarget::Endpoint(parsed(words, "an endpoint")?),
        "zone" => DrainTarget::Zone(parsed(words, "a zone")?),
        "region" => DrainTarget::Region(parsed(words, "a region")?),
        other => return Err(CtlError::Usage(format!("{other:?} cannot be drained"))),
    };
    let cap = flags.cap.unwrap_or(Share::ALL);
    Ok(Command::Drain {
        spec: DrainSpec { target, cap },
        stop: flags.stop,
    })
}

fn shift(words: &mut dyn Iterator<Item = OsString>, flags: &Flags) -> Result<Command, CtlError> {
    const DEFAULT_RAMP_S: u64 = 300;
    let service = parsed(words, "a service")?;
    let from = parsed(words, "a region")?;
    let to = parsed(words, "another region")?;
    let share = match flags.share {
        Some(share) => share,
        None if flags.stop => Share::NONE,
        None => return Err(CtlError::Usage("--share is missing".to_owned())),
    };
    let cap = flags.cap.unwrap_or(share);
    let ramp_s = flags.ramp.unwrap_or(DEFAULT_RAMP_S);
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

fn record(words: &mut dyn Iterator<Item = OsString>) -> Result<RecordKey, CtlError> {
    let kind = next(words, "a kind")?;
    let name = next(words, "a name")?;
    RecordKey::new(&kind, &name).map_err(usage)
}

fn output(parser: &mut Parser) -> Result<Format, CtlError> {
    match value::<String>(parser)?.as_str() {
        "table" => Ok(Format::Table),
        "json" => Ok(Format::Json),
        other => Err(CtlError::Usage(format!(
            "{other:?} is neither table nor json"
        ))),
    }
}

fn wait(parser: &mut Parser) -> Result<Duration, CtlError> {
    let seconds: f64 = value(parser)?;
    if !(0.0..=MAX_WAIT_SECS).contains(&seconds) {
        return Err(CtlError::Usage(
            "--wait must lie between 0 and 3600".to_owned(),
        ));
    }
    Ok(Duration::from_secs_f64(seconds))
}

fn value<T>(parser: &mut Parser) -> Result<T, CtlError>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser.value().and_then(|v| v.parse()).map_err(usage)
}

fn field<T: FromStr>(name: &str, text: &str) -> Result<T, CtlError>
where
    T::Err: std::fmt::Display,
{
    text.trim()
        .parse()
        .map_err(|e| CtlError::Usage(format!("{name}: {text:?}: {e}")))
}

fn parsed<T: FromStr<Err = ParseError>>(
    words: &mut dyn Iterator<Item = OsString>,
    what: &str,
) -> Result<T, CtlError> {
    next(words, what)?.parse().map_err(usage)
}

fn next(words: &mut dyn Iterator<Item = OsString>, what: &str) -> Result<String, CtlError> {
    next_os(words, what).and_then(text)
}

fn next_os(words: &mut dyn Iterator<Item = OsString>, what: &str) -> Result<OsString, CtlError> {
    words
        .next()
        .ok_or_else(|| CtlError::Usage(format!("{what} is missing")))
}

fn text(word: OsString) -> Result<String, CtlError> {
    word.into_string()
        .map_err(|w| CtlError::Usage(format!("{} is not UTF-8", w.display())))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "it is passed to map_err by name"
)]
fn usage(error: impl ToString) -> CtlError {
    CtlError::Usage(error.to_string())
}
