//! The cost of one event of each control state machine, in one thread and in virtual time.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{SlopesError, resident_mb};

mod member;
mod quota;
mod route;

/// The size of a fleet.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Teams with a limit.
    pub teams: usize,
}

/// The measured cost of one source of control work, for one host.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Unit {
    /// The name of the source.
    pub source: &'static str,
    /// The size at which it was measured.
    pub size: Size,
    /// Events per second.
    pub events: f64,
    /// Bytes that an event sends, as encoded, without TCP and IP headers.
    pub bytes: f64,
    /// Processor time of an event.
    pub time: Duration,
    /// Memory of the state machine in bytes, if it was measured.
    pub memory: Option<f64>,
}

impl Unit {
    /// Returns the bytes sent per second.
    pub fn traffic(&self) -> f64 {
        self.events * self.bytes
    }

    /// Returns the share of a core.
    pub fn core(&self) -> f64 {
        self.events * self.time.as_secs_f64()
    }
}

const BASE: Size = Size {
    hosts: 540,
    zones: 9,
    teams: 64,
};

const SIZES: [Size; 6] = [
    Size { hosts: 60, ..BASE },
    Size { hosts: 180, ..BASE },
    BASE,
    Size {
        hosts: 60,
        teams: 8,
        ..BASE
    },
    Size {
        hosts: 60,
        teams: 512,
        ..BASE
    },
    Size {
        hosts: 60,
        zones: 3,
        ..BASE
    },
];

/// Measures every source at every size and passes each result to `report` as soon as it is known.
///
/// # Errors
///
/// Returns an error if the memory usage of the process cannot be read.
pub fn measure(seed: u64, mut report: impl FnMut(Unit)) -> Result<(), SlopesError> {
    // Fleets are retained because freed memory would be reused and hide the growth of the next fleet.
    let mut retained = Retained::new();
    for size in SIZES {
        // Membership and routing do not depend on teams, so one team count is enough for them.
        if size.teams == BASE.teams {
            report(member::unit(size, seed, &mut retained)?);
            route::units(size, seed).into_iter().for_each(&mut report);
        }
        quota::units(size, seed, &mut retained)?
            .into_iter()
            .for_each(&mut report);
    }
    Ok(())
}

/// Prints the header of the table.
pub fn print_head() {
    println!(
        "{:<18}{:>6}{:>6}{:>6}{:>10}{:>9}{:>9}{:>11}{:>9}{:>9}",
        "source",
        "hosts",
        "zones",
        "teams",
        "events/s",
        "B/event",
        "B/s",
        "us/event",
        "core %",
        "KB"
    );
}

/// Prints a row of the table.
pub fn print(unit: &Unit) {
    let size = unit.size;
    let memory = unit
        .memory
        .map_or_else(|| "-".to_owned(), |bytes| format!("{:.0}", bytes / 1_000.0));
    println!(
        "{:<18}{:>6}{:>6}{:>6}{:>10.2}{:>9.0}{:>9.0}{:>11.1}{:>9.3}{:>9}",
        unit.source,
        size.hosts,
        size.zones,
        size.teams,
        unit.events,
        unit.bytes,
        unit.traffic(),
        unit.time.as_secs_f64() * 1e6,
        100.0 * unit.core(),
        memory
    );
}

type Retained = Vec<Box<dyn std::any::Any>>;

/// Events with the bytes and the processor time that they took.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    events: u32,
    bytes: usize,
    time: Duration,
}

impl Tally {
    /// Runs `work` and adds its time.
    fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = work();
        self.time += begun.elapsed();
        result
    }

    /// Returns the cost per event and host after the hosts of `size` ran for `virtual_time`.
    fn unit(self, source: &'static str, size: Size, virtual_time: Duration) -> Unit {
        let count = f64::from(self.events.max(1));
        Unit {
            source,
            size,
            events: f64::from(self.events) / virtual_time.as_secs_f64() / size.hosts as f64,
            bytes: self.bytes as f64 / count,
            time: self.time / self.events.max(1),
            memory: None,
        }
    }
}

fn memory_per_host(before: f64, hosts: usize) -> Result<f64, SlopesError> {
    const BYTES_PER_MB: f64 = 1e6;
    Ok((resident_mb()? - before) * BYTES_PER_MB / hosts as f64)
}

fn parse_id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn host(index: usize) -> wagtail_types::HostId {
    parse_id(&format!("host-{index:03}"))
}

fn zone(index: usize, size: Size) -> wagtail_types::ZoneId {
    parse_id(&format!("zone-{}", index % size.zones))
}

fn region(index: usize, size: Size) -> wagtail_types::RegionId {
    const REGIONS: usize = 4;
    parse_id(&format!("region-{}", index % size.zones % REGIONS))
}
