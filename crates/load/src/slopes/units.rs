//! What one event of each control machine costs, in one thread and in virtual time.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{SlopesError, resident};

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
    /// Teams.
    pub teams: usize,
}

/// What one source of control work was seen to cost, a host.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Unit {
    /// The source.
    pub source: &'static str,
    /// The size at which it was measured.
    pub size: Size,
    /// Events a second.
    pub events: f64,
    /// Bytes that an event sends, as encoded, before TCP and IP.
    pub bytes: f64,
    /// Time of an event.
    pub time: Duration,
    /// Memory of the machine in bytes, where it was measured.
    pub memory: Option<f64>,
}

impl Unit {
    /// Bytes sent a second.
    pub fn traffic(&self) -> f64 {
        self.events * self.bytes
    }

    /// Share of a core.
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

/// Measures every source at every size and hands each result to `found` at once.
///
/// # Errors
///
/// Fails where the system does not tell how much memory the process uses.
pub fn measure(seed: u64, mut found: impl FnMut(Unit)) -> Result<(), SlopesError> {
    // Memory that is given back would be used again and hide the growth of the next fleet.
    let mut kept = Kept::new();
    for size in SIZES {
        // Membership and routing do not know teams.
        if size.teams == BASE.teams {
            found(member::unit(size, seed, &mut kept)?);
            route::units(size, seed).into_iter().for_each(&mut found);
        }
        quota::units(size, seed, &mut kept)?
            .into_iter()
            .for_each(&mut found);
    }
    Ok(())
}

/// Prints the head of the table.
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

type Kept = Vec<Box<dyn std::any::Any>>;

/// A count of events with their bytes and time.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    events: u32,
    bytes: usize,
    time: Duration,
}

impl Tally {
    fn run<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = work();
        self.time += begun.elapsed();
        result
    }

    /// The unit, of `hosts` hosts that ran for `virtual_time`.
    fn unit(self, source: &'static str, size: Size, virtual_time: Duration) -> Unit {
        let each = f64::from(self.events.max(1));
        Unit {
            source,
            size,
            events: f64::from(self.events) / virtual_time.as_secs_f64() / size.hosts as f64,
            bytes: self.bytes as f64 / each,
            time: self.time / self.events.max(1),
            memory: None,
        }
    }
}

fn memory_each(before: f64, hosts: usize) -> Result<f64, SlopesError> {
    const BYTES_PER_MB: f64 = 1e6;
    Ok((resident()? - before) * BYTES_PER_MB / hosts as f64)
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn host(index: usize) -> wagtail_types::HostId {
    id(&format!("host-{index:03}"))
}

fn zone(index: usize, size: Size) -> wagtail_types::ZoneId {
    id(&format!("zone-{}", index % size.zones))
}

fn region(index: usize, size: Size) -> wagtail_types::RegionId {
    const REGIONS: usize = 4;
    id(&format!("region-{}", index % size.zones % REGIONS))
}
