//! Parsing and validation of settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use wagtail_types::{Bytes, ParseError};

use super::spec::SPECS;
use super::{Limits, LogFormat, Secret, Seed, Settings, SettingsError, Times};

const SECRET_MIN_BYTES: usize = 16;

/// Unparsed settings: name to text.
#[derive(Debug)]
pub(super) struct Raw(pub(super) BTreeMap<String, String>);

impl Raw {
    fn text(&self, name: &str) -> Result<&str, SettingsError> {
        let default = || {
            SPECS
                .iter()
                .find(|s| s.name == name)
                .and_then(|s| s.default)
        };
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
        text.parse().map_err(|e: T::Err| {
            let message = e.to_string();
            let named = message.starts_with(&format!("{text:?}"));
            let message = if named {
                message
            } else {
                format!("{text:?}: {message}")
            };
            SettingsError::value(name, message)
        })
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
            SettingsError::value(
                name,
                format!("{text:?}: a form like 500ms, 2s or 10m was expected"),
            )
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
            log_format: log_format(&raw)?,
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
        if self.limits.buffered_body > self.limits.body {
            return Err(SettingsError::value(
                "buffer-body",
                "it must not exceed --max-body",
            ));
        }
        if self.limits.body > self.limits.keyed_memory {
            let message = "it must be at least --max-body";
            return Err(SettingsError::value("keyed-memory", message));
        }
        if self.times.outage_term <= self.times.lease_term {
            return Err(SettingsError::value(
                "outage-term",
                "it must exceed --lease-term",
            ));
        }
        if self.times.stop_timeout <= self.times.lookup_ttl {
            return Err(SettingsError::value(
                "stop-timeout",
                "it must exceed --lookup-ttl",
            ));
        }
        Ok(())
    }
}

fn secret(raw: &Raw) -> Result<Secret, SettingsError> {
    let text = raw.text("fleet-secret")?;
    if text.len() < SECRET_MIN_BYTES {
        return Err(SettingsError::value(
            "fleet-secret",
            "it must have at least 16 bytes",
        ));
    }
    Ok(Secret(text.to_owned()))
}

fn seeds(raw: &Raw) -> Result<Vec<Seed>, SettingsError> {
    let list = raw.text("seeds")?.split(',').filter(|s| !s.is_empty());
    list.map(|s| {
        s.trim()
            .parse()
            .map_err(|e: ParseError| SettingsError::value("seeds", e.to_string()))
    })
    .collect()
}

fn statsd(raw: &Raw) -> Result<Option<SocketAddr>, SettingsError> {
    if raw.text("statsd")?.is_empty() {
        Ok(None)
    } else {
        raw.get("statsd").map(Some)
    }
}

fn log_format(raw: &Raw) -> Result<LogFormat, SettingsError> {
    match raw.text("log-format")? {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        other => Err(SettingsError::value(
            "log-format",
            format!("{other:?}: text or json was expected"),
        )),
    }
}

fn limits(raw: &Raw) -> Result<Limits, SettingsError> {
    Ok(Limits {
        connections: raw.count("max-connections")?,
        requests: raw.count("max-requests")?,
        header: raw.size("max-header")?,
        body: raw.size("max-body")?,
        buffered_body: raw.size("buffer-body")?,
        keyed_memory: raw.size("keyed-memory")?,
        outcome_memory: raw.size("outcome-memory")?,
    })
}

fn times(raw: &Raw) -> Result<Times, SettingsError> {
    Ok(Times {
        outcome_ttl: raw.time("outcome-time")?,
        connect_timeout: raw.time("connect-timeout")?,
        lookup_ttl: raw.time("lookup-ttl")?,
        stop_timeout: raw.time("stop-timeout")?,
        staleness: raw.time("key-staleness")?,
        lease_term: raw.time("lease-term")?,
        outage_term: raw.time("outage-term")?,
        poll_interval: raw.time("poll-interval")?,
    })
}
