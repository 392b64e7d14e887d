//! Settings from flags and environment variables, checked before anything binds.
//!
//! Every setting has a flag `--name` and a variable `WAGTAIL_NAME`; the flag goes first.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use wagtail_types::{Bytes, HostId, ParseError, RegionId, ZoneId};

const ENV_PREFIX: &str = "WAGTAIL_";
const SECRET_MIN_BYTES: usize = 16;

/// One setting: name, value's form, default, description.
struct Spec {
    name: &'static str,
    form: &'static str,
    default: Option<&'static str>,
    about: &'static str,
}

const fn spec(
    name: &'static str,
    form: &'static str,
    default: Option<&'static str>,
    about: &'static str,
) -> Spec {
    Spec { name, form, default, about }
}

const SPECS: &[Spec] = &[
    spec("host", "NAME", None, "name of this entry host, as in its host record"),
    spec("zone", "NAME", None, "availability zone of this host"),
    spec("region", "NAME", None, "region of that zone"),
    spec("listen", "IP:PORT", Some("127.0.0.1:0"), "address for callers"),
    spec("ops-listen", "IP:PORT", Some("127.0.0.1:0"), "address for operators"),
    spec("peer-listen", "IP:PORT", Some("127.0.0.1:0"), "address for other entry hosts"),
    spec("platform", "IP:PORT", None, "address of the table service and object store"),
    spec("seeds", "LIST", Some(""), "NAME@IP:PORT,... of hosts to ask while the platform is out"),
    spec("fleet-secret", "TEXT", None, "secret shared by all entry hosts; prefer the variable"),
    spec("fleet-size", "COUNT", Some("11"), "number of entry hosts that share the platform"),
    spec("statsd", "IP:PORT", Some(""), "where counters and gauges go by UDP; empty for none"),
    spec("log-format", "text|json", Some("text"), "form of the log lines"),
    spec("max-connections", "COUNT", Some("4096"), "caller connections at one time"),
    spec("max-requests", "COUNT", Some("8192"), "requests at one time"),
    spec("max-header", "SIZE", Some("16KiB"), "request head"),
    spec("max-body", "SIZE", Some("16MiB"), "request body"),
    spec("buffer-body", "SIZE", Some("64KiB"), "part of a body held so that it can be sent again"),
    spec("outcome-memory", "SIZE", Some("64MiB"), "outcomes kept for idempotency keys"),
    spec("outcome-time", "DURATION", Some("10m"), "how long outcomes are kept"),
    spec("connect-timeout", "DURATION", Some("1s"), "connecting to an endpoint or host"),
    spec("deadline", "DURATION", Some("10s"), "for requests that bring none to a service with none"),
    spec("max-deadline", "DURATION", Some("120s"), "longest deadline taken from a request"),
    spec("lookup-ttl", "DURATION", Some("3s"), "how long callers may cache a look-up"),
    spec("stop-timeout", "DURATION", Some("60s"), "longest graceful stop"),
    spec("key-staleness", "DURATION", Some("2s"), "cut off for longer, a host follows cut-off settings"),
    spec("lease-term", "DURATION", Some("6s"), "term of a quota shard's lease"),
    spec("poll-interval", "DURATION", Some("500ms"), "between polls of the config head"),
    spec("probe-interval", "DURATION", Some("200ms"), "between membership probes"),
    spec("seed", "NUMBER", Some("0"), "seed of random choices; 0 draws one"),
];

/// A bad or missing setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// A flag that does not exist, or a stray word.
    #[display("{message}; see --help")]
    Usage {
        /// What was wrong.
        message: String,
    },
    /// A value that does not parse or is out of range.
    #[display("--{name}: {message}")]
    Value {
        /// The setting's name.
        name: String,
        /// What was wrong.
        message: String,
    },
}

impl SettingsError {
    fn value(name: &str, message: impl ToString) -> Self {
        Self::Value { name: name.to_owned(), message: message.to_string() }
    }
}

/// What the command line asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Check the settings, then exit.
    Check(Box<Settings>),
    /// Serve.
    Run(Box<Settings>),
}

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The secret that entry hosts share. Never shown.
#[derive(Clone)]
pub struct Secret(pub(crate) String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// A host to ask while the platform is out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub host: HostId,
    /// Where other hosts reach it.
    pub addr: SocketAddr,
}

impl FromStr for Seed {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("seed", text, "a form like NAME@IP:PORT was expected");
        let (host, addr) = text.split_once('@').ok_or_else(fail)?;
        Ok(Self { host: host.parse()?, addr: addr.parse().map_err(|_| fail())? })
    }
}

/// Sizes and counts that bound what callers can make the host hold.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Caller connections at one time.
    pub connections: usize,
    /// Requests at one time.
    pub requests: usize,
    /// Request head.
    pub header: Bytes,
    /// Request body.
    pub body: Bytes,
    /// Part of a body held so that it can be sent again.
    pub buffer: Bytes,
    /// Memory for outcomes under idempotency keys.
    pub outcomes: Bytes,
}

/// Intervals and timeouts.
#[derive(Debug, Clone)]
pub struct Times {
    /// How long outcomes are kept.
    pub outcomes: Duration,
    /// Connecting to an endpoint or host.
    pub connect: Duration,
    /// Deadline for requests that bring none to a service with none.
    pub deadline: Duration,
    /// Longest deadline taken from a request.
    pub longest: Duration,
    /// How long callers may cache a look-up.
    pub lookup: Duration,
    /// Longest graceful stop.
    pub stop: Duration,
    /// Contact loss after which cut-off settings apply.
    pub staleness: Duration,
    /// Term of a quota shard's lease.
    pub lease: Duration,
    /// Between polls of the config head.
    pub poll: Duration,
    /// Between membership probes.
    pub probe: Duration,
}

/// Checked settings of one entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// That zone's region.
    pub region: RegionId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
    /// Address for other entry hosts.
    pub peer: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Hosts to ask while the platform is out.
    pub seeds: Vec<Seed>,
    /// Secret shared by all entry hosts.
    pub secret: Secret,
    /// Number of entry hosts.
    pub fleet: u32,
    /// Where metrics go.
    pub statsd: Option<SocketAddr>,
    /// Form of the log lines.
    pub logs: LogFormat,
    /// Bounds on what callers can make the host hold.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub times: Times,
    /// Seed of random choices; 0 draws one.
    pub seed: u64,
}

/// Reads the command line (without the program's name) and the environment.
///
/// # Errors
///
/// The first setting that is unknown, missing, malformed or out of range.
pub fn from_env<A, E>(args: A, vars: E) -> Result<Action, SettingsError>
where
    A: IntoIterator<Item = OsString>,
    E: IntoIterator<Item = (String, String)>,
{
    let mut raw = read_vars(vars)?;
    let mut check = false;
    let mut parser = lexopt::Parser::from_args(args);
    let usage = |e: lexopt::Error| SettingsError::Usage { message: e.to_string() };
    while let Some(arg) = parser.next().map_err(usage)? {
        let name = match arg {
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Action::Help),
            lexopt::Arg::Long("check") => {
                check = true;
                continue;
            }
            lexopt::Arg::Long(name) if SPECS.iter().any(|s| s.name == name) => name.to_owned(),
            other => return Err(usage(other.unexpected())),
        };
        let value = parser.value().map_err(usage)?;
        let value = value
            .into_string()
            .map_err(|_| SettingsError::value(&name, "it is not UTF-8 text"))?;
        raw.insert(name, value);
    }
    let settings = Box::new(Settings::try_from(Raw(raw))?);
    Ok(if check { Action::Check(settings) } else { Action::Run(settings) })
}

fn read_vars(
    vars: impl IntoIterator<Item = (String, String)>,
) -> Result<BTreeMap<String, String>, SettingsError> {
    let mut raw = BTreeMap::new();
    for (var, value) in vars {
        let Some(name) = var.strip_prefix(ENV_PREFIX) else { continue };
        let name = name.to_lowercase().replace('_', "-");
        if !SPECS.iter().any(|s| s.name == name) {
            return Err(SettingsError::Usage { message: format!("unknown variable {var}") });
        }
        raw.insert(name, value);
    }
    Ok(raw)
}

/// Settings as given: name to text.
#[derive(Debug)]
pub(crate) struct Raw(BTreeMap<String, String>);

impl Raw {
    fn text(&self, name: &str) -> Result<&str, SettingsError> {
        let default = || SPECS.iter().find(|s| s.name == name).and_then(|s| s.default);
        self.0
            .get(name)
            .map(String::as_str)
            .or_else(default)
            .ok_or_else(|| SettingsError::value(name, "it is required"))
    }

    fn get<T: FromStr>(&self, name: &str) -> Result<T, SettingsError>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.text(name)?;
        text.parse().map_err(|e| SettingsError::value(name, format!("{text:?}: {e}")))
    }

    fn count(&self, name: &str) -> Result<usize, SettingsError> {
        match self.get(name)? {
            0 => Err(SettingsError::value(name, "it must be at least 1")),
            count => Ok(count),
        }
    }

    fn size(&self, name: &str) -> Result<Bytes, SettingsError> {
        match self.get(name)? {
            Bytes(0) => Err(SettingsError::value(name, "it must be at least 1 byte")),
            size => Ok(size),
        }
    }

    fn time(&self, name: &str) -> Result<Duration, SettingsError> {
        let text = self.text(name)?;
        parse_time(text).ok_or_else(|| {
            SettingsError::value(name, format!("{text:?}: a form like 500ms, 2s or 10m was expected"))
        })
    }
}

fn parse_time(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(split);
    let count: u64 = count.parse().ok().filter(|c| *c > 0)?;
    match unit {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => count.checked_mul(60).map(Duration::from_secs),
        _ => None,
    }
}

impl TryFrom<Raw> for Settings {
    type Error = SettingsError;

    fn try_from(raw: Raw) -> Result<Self, SettingsError> {
        let settings = Self {
            host: raw.get("host")?,
            zone: raw.get("zone")?,
            region: raw.get("region")?,
            listen: raw.get("listen")?,
            ops: raw.get("ops-listen")?,
            peer: raw.get("peer-listen")?,
            platform: raw.get("platform")?,
            seeds: seeds(&raw)?,
            secret: secret(&raw)?,
            fleet: raw.get("fleet-size")?,
            statsd: statsd(&raw)?,
            logs: log_format(&raw)?,
            limits: limits(&raw)?,
            times: times(&raw)?,
            seed: raw.get("seed")?,
        };
        settings.check()?;
        Ok(settings)
    }
}

impl Settings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.fleet == 0 {
            return Err(SettingsError::value("fleet-size", "it must be at least 1"));
        }
        if self.limits.buffer > self.limits.body {
            return Err(SettingsError::value("buffer-body", "it must not exceed --max-body"));
        }
        if self.times.deadline > self.times.longest {
            return Err(SettingsError::value("deadline", "it must not exceed --max-deadline"));
        }
        if self.times.stop <= self.times.lookup {
            return Err(SettingsError::value("stop-timeout", "it must exceed --lookup-ttl"));
        }
        Ok(())
    }
}

fn secret(raw: &Raw) -> Result<Secret, SettingsError> {
    let text = raw.text("fleet-secret")?;
    if text.len() < SECRET_MIN_BYTES {
        return Err(SettingsError::value("fleet-secret", "it must have at least 16 bytes"));
    }
    Ok(Secret(text.to_owned()))
}

fn seeds(raw: &Raw) -> Result<Vec<Seed>, SettingsError> {
    let list = raw.text("seeds")?.split(',').filter(|s| !s.is_empty());
    list.map(|s| s.trim().parse().map_err(|e| SettingsError::value("seeds", e))).collect()
}

fn statsd(raw: &Raw) -> Result<Option<SocketAddr>, SettingsError> {
    if raw.text("statsd")?.is_empty() { Ok(None) } else { raw.get("statsd").map(Some) }
}

fn log_format(raw: &Raw) -> Result<LogFormat, SettingsError> {
    match raw.text("log-format")? {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        other => Err(SettingsError::value("log-format", format!("{other:?}: text or json was expected"))),
    }
}

fn limits(raw: &Raw) -> Result<Limits, SettingsError> {
    Ok(Limits {
        connections: raw.count("max-connections")?,
        requests: raw.count("max-requests")?,
        header: raw.size("max-header")?,
        body: raw.size("max-body")?,
        buffer: raw.size("buffer-body")?,
        outcomes: raw.size("outcome-memory")?,
    })
}

fn times(raw: &Raw) -> Result<Times, SettingsError> {
    Ok(Times {
        outcomes: raw.time("outcome-time")?,
        connect: raw.time("connect-timeout")?,
        deadline: raw.time("deadline")?,
        longest: raw.time("max-deadline")?,
        lookup: raw.time("lookup-ttl")?,
        stop: raw.time("stop-timeout")?,
        staleness: raw.time("key-staleness")?,
        lease: raw.time("lease-term")?,
        poll: raw.time("poll-interval")?,
        probe: raw.time("probe-interval")?,
    })
}

/// The help text.
pub fn help() -> String {
    let mut text = String::from(
        "The daemon on each entry host.\n\n\
         Usage: wagtail-entryd [--check] [--NAME VALUE]...\n\n\
         Each setting can stand in a variable too: --max-body is WAGTAIL_MAX_BODY.\n\
         SIZE: 4096, 64KiB, 16MiB. DURATION: 500ms, 2s, 10m.\n\n\
         \x20 --check                    check the settings, bind nothing, exit\n\
         \x20 --help                     show this text\n",
    );
    for spec in SPECS {
        let flag = format!("--{} {}", spec.name, spec.form);
        let default = match spec.default {
            Some("") => String::new(),
            Some(default) => format!(" [{default}]"),
            None => " (required)".to_owned(),
        };
        text.push_str(&format!("  {flag:<26} {}{default}\n", spec.about));
    }
    text
}
