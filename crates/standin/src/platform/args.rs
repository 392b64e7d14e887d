//! Flags of the `platform` command.

use std::net::{Ipv4Addr, SocketAddr};

use lexopt::{Arg, Error, Parser, ValueExt};

use super::Faults;

pub(crate) const HELP: &str = "\
A stand-in for the platform: table service, object store and lagging host list.

Usage: wagtail-standin platform [OPTIONS]

Options:
      --listen ADDR        Where to listen [default: 127.0.0.1:7700]
      --down               Cut every call before it takes effect
      --delay-ms MS        Delay every call
      --lose-next COUNT    Apply the next writes and lose their answers
      --lose-share SHARE   Lose this share of the answers to writes, 0 to 1
      --refuse-next COUNT  Turn down the next writes
      --stale              Let reads see the state of this moment only
      --reads-cap RATE     Reads a second past which reads are turned down
      --writes-cap RATE    Writes a second past which writes are turned down
      --hosts-lag-ms MS    How far the host list lags
  -h, --help               Show this text

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
