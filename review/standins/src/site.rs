//! What all cases have: a network, a store, upstreams, a record and a folder for settings.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Log};
use crate::host::{Host, Network, Zones};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{self, Kind, Runs};

/// The last number of the address of the store and the upstreams.
const PLATFORM: u8 = 50;

pub struct Site {
    pub network: Network,
    pub store: Arc<Store>,
    pub runs: Runs,
    pub log: Log,
    pub record: Record,
    folder: PathBuf,
}

impl Site {
    pub fn new() -> io::Result<Self> {
        let network = Network::find(8).ok_or_else(|| io::Error::other("no free network"))?;
        let folder = std::env::temp_dir().join(format!("wagtail-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store: Store::start(network.ip(PLATFORM))?,
            network,
            runs: Runs::default(),
            log: Log::default(),
            record: Record::new(),
            folder,
        })
    }

    /// Starts upstreams of a service, spread over zones.
    pub fn upstreams(&self, kind: &Kind, zones: &[&str], count: usize) -> io::Result<()> {
        for i in 0..count {
            let id = format!("i-{}-{i}", kind.service);
            let zone = zones[i % zones.len()];
            let ip = self.network.ip(PLATFORM);
            upstream::start(&self.store, ip, &id, zone, kind, &self.runs)?;
        }
        Ok(())
    }

    pub fn host(
        &self,
        name: &'static str,
        zone: &'static str,
        zones: Zones,
        machine: u8,
    ) -> io::Result<Host> {
        let ip = self.network.ip(machine);
        Host::new(&self.folder, (name, zone), zones, ip, self.store.addr)
    }

    /// Starts hosts and waits until all of them are ready.
    pub fn start(&self, hosts: &mut [Host]) -> io::Result<()> {
        for host in &mut *hosts {
            host.start()?;
            self.record.note(format!("{} started", host.name));
        }
        for host in &*hosts {
            if !host.until_ready(Duration::from_secs(15)) {
                return Err(io::Error::other(format!(
                    "{} does not become ready",
                    host.name
                )));
            }
            self.record.note(format!("{} ready", host.name));
        }
        Ok(())
    }

    /// Notes all requests, runs and calls of the store in the record.
    pub fn record_traffic(&self) {
        for (at, note) in self.store.notes() {
            self.record.note_at(at, format!("store: {note}"));
        }
        let runs = self.runs.lock().expect("no thread panics with the lock");
        for run in &*runs {
            let text = format!("run {} for {}", run.id, run.tenant);
            self.record.note_at(run.at, text);
            if let Some(at) = run.answered {
                self.record
                    .note_at(at, format!("upstream answered {}", run.id));
            }
        }
        let log = self.log.lock().expect("no thread panics with the lock");
        for sent in &*log {
            let to = sent.to.map_or("nowhere".to_owned(), |to| to.to_string());
            let kept = if sent.kept { "kept" } else { "new" };
            let text = format!("send {} {} to {to} ({kept})", sent.id, sent.what);
            self.record.note_at(sent.at, text);
            let end = match &sent.end {
                End::Answer(status) => status.to_string(),
                End::NoConnection => "no connection".to_owned(),
                End::Cut => "connection ended without an answer".to_owned(),
                End::Deadline => "deadline".to_owned(),
            };
            self.record
                .note_at(sent.ended, format!("end {}: {end}", sent.id));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            // The folder may be removed by hand if this fails.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sleeps until a time.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
