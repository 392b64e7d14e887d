//! Settings from flags and environment variables, checked before anything binds.
//!
//! Every setting has a flag `--name` and a variable `WAGTAIL_NAME`; the flag takes precedence.

mod raw;
mod spec;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use wagtail_types::{Bytes, HostId, ParseError, RegionId, ZoneId};

use raw::Raw;
use spec::SPECS;

pub use spec::help;

const ENV_PREFIX: &str = "WAGTAIL_";

/// An invalid or missing setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// An unknown flag or variable, or an unexpected argument.
    #[display("{message}; see --help")]
    Usage {
        /// What was wrong.
        message: String,
    },
    /// A value that is missing, malformed or out of range.
    #[display("--{name}: {message}")]
    Value {
        /// The setting's name.
        name: String,
        /// What was wrong.
        message: String,
    },
}

impl SettingsError {
    fn value(name: &str, message: impl Into<String>) -> Self {
        Self::Value {
            name: name.to_owned(),
            message: message.into(),
        }
    }
}

/// The action that the command line requests.
#[derive(Debug, Clone)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Check the settings, then exit.
    Check(Box<Settings>),
    /// Serve.
    Run(Box<Settings>),
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The secret that entry hosts share. Its `Debug` form does not reveal it.
#[derive(Clone)]
pub struct Secret(pub(crate) String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// A host to get the configuration from while the platform is unavailable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its name; the address in the host's record takes precedence over `addr`.
    pub host: HostId,
    /// Its address for other hosts.
    pub addr: SocketAddr,
}

impl FromStr for Seed {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("seed", text, "a form like NAME@IP:PORT was expected");
        let (host, addr) = text.split_once('@').ok_or_else(fail)?;
        Ok(Self {
            host: host.parse()?,
            addr: addr.parse().map_err(|_| fail())?,
        })
    }
}

/// Limits on the memory that callers can make the host use.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Concurrent connections of callers.
    pub connections: usize,
    /// Concurrent requests.
    pub requests: usize,
    /// Longest request head.
    pub header: Bytes,
    /// Longest request body.
    pub body: Bytes,
    /// Longest body that is buffered so that a request can be retried, and longest answer that is
    /// stored.
    pub buffered_body: Bytes,
    /// Memory for bodies of requests with idempotency keys.
    pub keyed_memory: Bytes,
    /// Memory for stored outcomes of idempotency keys.
    pub outcome_memory: Bytes,
}

/// Intervals and timeouts.
#[derive(Debug, Clone)]
pub struct Times {
    /// How long outcomes of idempotency keys are stored.
    pub outcome_ttl: Duration,
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// How long callers may cache a look-up answer.
    pub lookup_ttl: Duration,
    /// Longest duration of a graceful stop.
    pub stop_timeout: Duration,
    /// How long a host may be cut off before the cut-off setting of a team applies.
    pub staleness: Duration,
    /// Term of a quota shard's lease.
    pub lease_term: Duration,
    /// How long a zone that cannot reach the table keeps its quota shards.
    pub outage_term: Duration,
    /// Interval between polls for a new configuration.
    pub poll_interval: Duration,
}

/// Validated settings of one entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone in which this host runs.
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
    /// Hosts to get the configuration from while the platform is unavailable.
    pub seeds: Vec<Seed>,
    /// Secret shared by all entry hosts.
    pub secret: Secret,
    /// Number of entry hosts that share the platform.
    pub fleet: u32,
    /// Address to which metrics are sent over UDP.
    pub statsd: Option<SocketAddr>,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Limits on the memory that callers can make the host use.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub times: Times,
    /// Seed of the random number generator; 0 draws one at random.
    pub seed: u64,
}

/// Parses the command line (without the program's name) and the environment.
///
/// # Errors
///
/// Fails at the first setting that is unknown, missing, malformed or out of range.
pub fn from_env<A, E>(args: A, vars: E) -> Result<Action, SettingsError>
where
    A: IntoIterator<Item = OsString>,
    E: IntoIterator<Item = (String, String)>,
{
    let mut raw = read_vars(vars)?;
    let mut check = false;
    let mut parser = lexopt::Parser::from_args(args);
    let usage = |e: lexopt::Error| SettingsError::Usage {
        message: e.to_string(),
    };
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
    Ok(if check {
        Action::Check(settings)
    } else {
        Action::Run(settings)
    })
}

fn read_vars(
    vars: impl IntoIterator<Item = (String, String)>,
) -> Result<BTreeMap<String, String>, SettingsError> {
    let mut raw = BTreeMap::new();
    for (var, value) in vars {
        let Some(name) = var.strip_prefix(ENV_PREFIX) else {
            continue;
        };
        let name = name.to_lowercase().replace('_', "-");
        if !SPECS.iter().any(|s| s.name == name) {
            return Err(SettingsError::Usage {
                message: format!("unknown variable {var}"),
            });
        }
        raw.insert(name, value);
    }
    Ok(raw)
}
