//! Parses the options of the `platform` command.

use std::net::{Ipv4Addr, SocketAddr};

use lexopt::{Arg, Error, Parser, ValueExt};

use super::Faults;

pub(crate) const HELP: &str = "\
Runs a stand-in for the platform: table service, object store and lagging host list.

Usage: wagtail-standin platform [OPTIONS]

Options:
      --listen ADDR        Address to listen on [default: 127.0.0.1:7700]
      --down               Close the connection of every call before it takes effect
      --delay-ms MS        Delay every call
      --lose-next COUNT    Apply the next COUNT writes but drop their answers
      --lose-share SHARE   Drop this share of the answers to writes, 0 to 1
      --refuse-next COUNT  Reject the next COUNT writes
      --stale              Serve all reads from the state at the start
      --reads-cap RATE     Reject reads above this many a second
      --writes-cap RATE    Reject writes above this many a second
      --hosts-lag-ms MS    How far the host list lags behind changes
  -h, --help               Print this help

The fault table can be read and changed while it runs: GET and PUT /faults.
";

#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) listen: SocketAddr,
    pub(crate) faults: Faults,
}

#[derive(Debug)]
pub(crate) enum Parsed {
    Run(Args),
    Help,
}

pub(crate) fn parse(mut parser: Parser) -> Result<Parsed, Error> {
    const DEFAULT_PORT: u16 = 7700;
    let mut listen = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT));
    let mut faults = Faults::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => listen = parser.value()?.parse()?,
            Arg::Long("down") => faults.down = true,
            Arg::Long("stale") => faults.stale = true,
            Arg::Long("delay-ms") => faults.delay_ms = parser.value()?.parse()?,
            Arg::Long("lose-next") => faults.lose_next = parser.value()?.parse()?,
            Arg::Long("lose-share") => {
                let share: wagtail_types::Share = parser.value()?.parse()?;
                faults.lose_share = share;
            }
            Arg::Long("refuse-next") => faults.refuse_next = parser.value()?.parse()?,
            Arg::Long("reads-cap") => faults.reads_cap = Some(parser.value()?.parse()?),
            Arg::Long("writes-cap") => faults.writes_cap = Some(parser.value()?.parse()?),
            Arg::Long("hosts-lag-ms") => faults.hosts_lag_ms = parser.value()?.parse()?,
            Arg::Long("help") | Arg::Short('h') => return Ok(Parsed::Help),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Parsed::Run(Args { listen, faults }))
}
