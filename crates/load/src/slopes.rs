//! The `slopes` subcommand: the cost of control traffic as a fleet grows, measured on running hosts
//! or on the control state machines alone.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use lexopt::prelude::{Long, Short, ValueExt};
use serde::Serialize;
use serde_json::json;
use wagtail_config::RawRecord;
use wagtail_types::{Rate, Tokens};

use crate::deployment::{Deployment, Layout, Team, raw};
use crate::experiment::{start_fleet, wait_until_ready};
use crate::fleet::{Fleet, FleetError};
use crate::network::Network;

pub mod units;

const HELP: &str = "\
Starts idle fleets of several sizes in this process and prints what control costs each host: bytes
between hosts (each counted at both of its ends), processor time and memory of the whole process,
stand-ins included, divided by the hosts. With --units: what one event of each control machine costs
at up to 540 hosts, in one thread and in virtual time, for a host.

Usage: wagtail-load slopes [OPTIONS]

Options:
      --seed N      Seed of the hosts [1]
      --time S      Seconds measured at each size [5]
      --units       Measure the machines alone, without sockets
      --json        Print the points as JSON
  -h, --help        Print this help
";

/// Why the slopes could not be measured.
#[derive(Debug, Display, Error, From)]
pub enum SlopesError {
    /// The arguments are invalid.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// A fleet could not be set up.
    #[display("{_0}")]
    Fleet(FleetError),
    /// The resource usage of the process cannot be read.
    #[display("{_0}")]
    System(std::io::Error),
}

/// The size of a fleet.
#[derive(Debug, Clone, Copy, Serialize)]
struct Size {
    hosts: usize,
    teams: usize,
    blocks: usize,
    /// Configuration changes per second.
    changes: u32,
}

/// The cost of one host at a fleet size.
#[derive(Debug, Clone, Copy, Serialize)]
struct Point {
    #[serde(flatten)]
    size: Size,
    /// Control bytes per second.
    control: f64,
    /// Control messages sent per second.
    messages: f64,
    /// Platform reads per second.
    reads: f64,
    /// Platform writes per second.
    writes: f64,
    /// The share of a core.
    cpu: f64,
    /// The growth of the process's memory in MB.
    memory: f64,
}

const BASE: Size = Size {
    hosts: 6,
    teams: 8,
    blocks: 0,
    changes: 0,
};

const SIZES: [Size; 6] = [
    BASE,
    Size { hosts: 12, ..BASE },
    Size { hosts: 24, ..BASE },
    Size { teams: 64, ..BASE },
    Size {
        blocks: 20_000,
        ..BASE
    },
    Size { changes: 4, ..BASE },
];

/// Runs the subcommand with the remaining arguments.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or a fleet cannot be set up.
pub async fn command(mut args: lexopt::Parser) -> Result<ExitCode, SlopesError> {
    let (mut seed, mut time, mut as_json) = (1, Duration::from_secs(5), false);
    let mut units_only = false;
    while let Some(arg) = args.next()? {
        match arg {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Long("seed") => seed = args.value()?.parse()?,
            Long("time") => time = Duration::from_secs(args.value()?.parse::<u64>()?.max(1)),
            Long("json") => as_json = true,
            Long("units") => units_only = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    if units_only {
        if as_json {
            let mut all = Vec::new();
            units::measure(seed, |unit| all.push(unit))?;
            print_json(&all);
        } else {
            units::print_head();
            units::measure(seed, |unit| units::print(&unit))?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let mut points = Vec::new();
    for size in SIZES {
        points.push(measure_size(size, seed, time).await?);
    }
    if as_json {
        print_json(&points);
    } else {
        print(&points);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_json(rows: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(rows).unwrap_or_default());
}

fn print(points: &[Point]) {
    println!(
        "{:>6}{:>7}{:>8}{:>10}{:>14}{:>12}{:>9}{:>9}{:>9}{:>9}",
        "hosts",
        "teams",
        "blocks",
        "changes/s",
        "control B/s",
        "messages/s",
        "reads/s",
        "writes/s",
        "core %",
        "MB"
    );
    for point in points {
        let size = point.size;
        println!(
            "{:>6}{:>7}{:>8}{:>10}{:>14.0}{:>12.1}{:>9.2}{:>9.2}{:>9.2}{:>9.1}",
            size.hosts,
            size.teams,
            size.blocks,
            size.changes,
            point.control,
            point.messages,
            point.reads,
            point.writes,
            100.0 * point.cpu,
            point.memory
        );
    }
}

async fn measure_size(size: Size, seed: u64, time: Duration) -> Result<Point, SlopesError> {
    const SETTLE: Duration = Duration::from_secs(2);
    let memory = resident_mb()?;
    let layout = Arc::new(layout_for(size));
    let network = Network::new(layout.clone());
    let mut fleet = start_fleet(&layout, &network, seed, &[], block_records(size.blocks)).await?;
    wait_until_ready(&layout, &fleet).await;
    tokio::time::sleep(SETTLE).await;

    let (traffic, calls, cpu) = (
        network.traffic(),
        fleet.platform.faults.counters(),
        cpu_seconds()?,
    );
    let begun = Instant::now();
    commit_changes(&mut fleet, &layout, size.changes, time).await?;
    let (traffic_after, calls_after, cpu_after) = (
        network.traffic(),
        fleet.platform.faults.counters(),
        cpu_seconds()?,
    );
    let elapsed = begun.elapsed().as_secs_f64();
    let host_rate = |count: u64| count as f64 / elapsed / size.hosts as f64;
    let point = Point {
        size,
        control: host_rate(traffic_after.control - traffic.control),
        messages: host_rate(traffic_after.messages - traffic.messages),
        reads: host_rate(calls_after.reads - calls.reads),
        writes: host_rate(calls_after.writes - calls.writes),
        cpu: (cpu_after - cpu) / elapsed / size.hosts as f64,
        memory: (resident_mb()? - memory) / size.hosts as f64,
    };
    fleet.stop().await?;
    Ok(point)
}

/// Commits `rate` changes of a team's record per second, evenly spaced, for `time`.
async fn commit_changes(
    fleet: &mut Fleet,
    layout: &Layout,
    rate: u32,
    time: Duration,
) -> Result<(), FleetError> {
    let Some(interval) = Duration::from_secs(1).checked_div(rate) else {
        tokio::time::sleep(time).await;
        return Ok(());
    };
    let mut ticks = tokio::time::interval(interval);
    let begun = Instant::now();
    while begun.elapsed() < time {
        ticks.tick().await;
        let mut team = layout.teams[0].clone();
        team.rate = Rate::per_second(100 + u64::from(begun.elapsed().subsec_millis()));
        let key = team.key();
        fleet.commit(vec![layout.team(&team, &[key])]).await?;
    }
    Ok(())
}

fn layout_for(size: Size) -> Layout {
    let mut layout = Deployment::Tender.layout();
    layout.hosts = [size.hosts / 6; 6];
    layout.teams = (0..size.teams)
        .map(|n| Team {
            name: format!("team-{n}"),
            share: 0.0,
            home_region: n % 3,
            rate: Rate::per_second(20),
            burst: Tokens::whole(20),
        })
        .collect();
    layout
}

/// Returns records that hold `count` client address blocks.
fn block_records(count: usize) -> Vec<RawRecord> {
    const BLOCKS_PER_RECORD: usize = 1_000;
    let block = |n: usize| format!("10.{}.{}.{}/30 eire", n >> 14, n >> 6 & 255, (n & 63) << 2);
    let part = |at: usize| {
        let list: Vec<_> = (at..count.min(at + BLOCKS_PER_RECORD)).map(block).collect();
        raw(
            1,
            "blocks",
            &format!("part-{}", at / BLOCKS_PER_RECORD),
            json!({ "blocks": list }),
        )
    };
    (0..count).step_by(BLOCKS_PER_RECORD).map(part).collect()
}

/// Returns the processor time that this process has used, in seconds.
fn cpu_seconds() -> Result<f64, SlopesError> {
    // /proc counts processor time in ticks of USER_HZ, which is 100 per second on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    // The positions of utime and stime among the fields after the command name.
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    let text = std::fs::read_to_string("/proc/self/stat").map_err(SlopesError::System)?;
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let sum = ticks(USER)
        .zip(ticks(SYSTEM))
        .map(|(user, system)| user + system);
    let sum = sum.ok_or_else(|| std::io::Error::other("/proc/self/stat is malformed"))?;
    Ok(sum / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in MB.
fn resident_mb() -> Result<f64, SlopesError> {
    const PAGE_MB: f64 = 4_096.0 / 1_000_000.0;
    let text = std::fs::read_to_string("/proc/self/statm").map_err(SlopesError::System)?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok());
    let pages = pages.ok_or_else(|| std::io::Error::other("/proc/self/statm is malformed"))?;
    Ok(pages * PAGE_MB)
}
