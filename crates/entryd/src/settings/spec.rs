//! Names, value formats, defaults and descriptions of all settings.

use std::fmt::Write as _;

/// A setting as the help text lists it.
pub(super) struct Spec {
    pub(super) name: &'static str,
    format: &'static str,
    pub(super) default: Option<&'static str>,
    description: &'static str,
}

const fn spec(
    name: &'static str,
    format: &'static str,
    default: Option<&'static str>,
    description: &'static str,
) -> Spec {
    Spec {
        name,
        format,
        default,
        description,
    }
}

pub(super) const SPECS: &[Spec] = &[
    spec(
        "host",
        "NAME",
        None,
        "name of this entry host, as in its host record",
    ),
    spec("zone", "NAME", None, "availability zone of this host"),
    spec("region", "NAME", None, "region of that zone"),
    spec(
        "listen",
        "IP:PORT",
        Some("127.0.0.1:0"),
        "address for callers",
    ),
    spec(
        "ops-listen",
        "IP:PORT",
        Some("127.0.0.1:0"),
        "address for operators",
    ),
    spec(
        "peer-listen",
        "IP:PORT",
        Some("127.0.0.1:0"),
        "address for other entry hosts",
    ),
    spec(
        "platform",
        "IP:PORT",
        None,
        "address of the table service and object store",
    ),
    spec(
        "seeds",
        "LIST",
        Some(""),
        "NAME@IP:PORT,... of hosts to get the configuration from if the platform is down",
    ),
    spec(
        "fleet-secret",
        "TEXT",
        None,
        "secret shared by all entry hosts; prefer the environment variable",
    ),
    spec(
        "fleet-size",
        "COUNT",
        Some("11"),
        "number of entry hosts that share the platform",
    ),
    spec(
        "statsd",
        "IP:PORT",
        Some(""),
        "UDP address for counters and gauges; empty for none",
    ),
    spec(
        "log-format",
        "text|json",
        Some("text"),
        "format of the log lines",
    ),
    spec(
        "max-connections",
        "COUNT",
        Some("4096"),
        "concurrent connections of callers",
    ),
    spec("max-requests", "COUNT", Some("8192"), "concurrent requests"),
    spec("max-header", "SIZE", Some("16KiB"), "longest request head"),
    spec("max-body", "SIZE", Some("16MiB"), "longest request body"),
    spec(
        "buffer-body",
        "SIZE",
        Some("64KiB"),
        "longest body that is buffered for retries, and longest stored answer",
    ),
    spec(
        "keyed-memory",
        "SIZE",
        Some("64MiB"),
        "memory for bodies of requests with idempotency keys",
    ),
    spec(
        "outcome-memory",
        "SIZE",
        Some("64MiB"),
        "memory for stored outcomes of idempotency keys",
    ),
    spec(
        "outcome-time",
        "DURATION",
        Some("10m"),
        "how long outcomes are stored",
    ),
    spec(
        "connect-timeout",
        "DURATION",
        Some("1s"),
        "timeout for connecting to an endpoint",
    ),
    spec(
        "lookup-ttl",
        "DURATION",
        Some("3s"),
        "how long callers may cache a look-up answer",
    ),
    spec(
        "stop-timeout",
        "DURATION",
        Some("60s"),
        "longest duration of a graceful stop",
    ),
    spec(
        "key-staleness",
        "DURATION",
        Some("2s"),
        "time cut off after which a team's cut-off setting applies",
    ),
    spec(
        "lease-term",
        "DURATION",
        Some("6s"),
        "term of a quota shard's lease",
    ),
    spec(
        "outage-term",
        "DURATION",
        Some("10m"),
        "how long a zone that cannot reach the table keeps its quota shards",
    ),
    spec(
        "poll-interval",
        "DURATION",
        Some("500ms"),
        "interval between polls for a new configuration",
    ),
    spec(
        "seed",
        "NUMBER",
        Some("0"),
        "seed of random numbers; 0 draws one",
    ),
];

/// Returns the help text.
pub fn help() -> String {
    let mut text = String::from(
        "The daemon on each entry host.\n\n\
         Usage: wagtail-entryd [--check] [--NAME VALUE]...\n\n\
         Each setting can be given as an environment variable too: --max-body is WAGTAIL_MAX_BODY.\n\
         SIZE: 4096, 64KiB, 16MiB. DURATION: 500ms, 2s, 10m.\n\n\
         \x20 --check                    check the settings, bind nothing, exit\n\
         \x20 --help                     show this text\n",
    );
    for spec in SPECS {
        let flag = format!("--{} {}", spec.name, spec.format);
        let default = match spec.default {
            Some("") => String::new(),
            Some(default) => format!(" [{default}]"),
            None => " (required)".to_owned(),
        };
        let _ = writeln!(text, "  {flag:<26} {}{default}", spec.description);
    }
    text
}
