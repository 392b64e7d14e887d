//! The network of an experiment: link delays, and zones that can be cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use wagtail_peer::{LinkEmulation, LinkState};
use wagtail_store::{
    BoxFuture, Hosts, HttpClient, HttpSettings, Listed, Objects, Page, Platform, PlatformError,
    Receipt, Row, RowKey, Scan, Table, Txn,
};

use crate::deployment::Layout;

/// Delays between hosts and to the platform, and the zones that are cut off.
#[derive(Debug, Clone)]
pub struct Network {
    layout: Arc<Layout>,
    zones: Arc<BTreeMap<String, String>>,
    cut: Arc<RwLock<BTreeSet<String>>>,
    lines: Arc<Mutex<BTreeMap<String, LinkEmulation>>>,
}

/// What hosts have sent and received between them, both directions together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes on control connections.
    pub control: u64,
    /// Bytes on relay connections.
    pub relay: u64,
    /// Control messages sent.
    pub messages: u64,
}

impl Network {
    /// A whole network.
    pub fn new(layout: Arc<Layout>) -> Self {
        let zones = layout.host_names().into_iter().collect();
        Self {
            layout,
            zones: Arc::new(zones),
            cut: Arc::default(),
            lines: Arc::default(),
        }
    }

    /// Cuts a zone off from all others and from the platform.
    pub fn cut(&self, zone: &str) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        cut.insert(zone.to_owned());
    }

    /// Mends every cut.
    pub fn heal(&self) {
        self.cut
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn is_cut(&self, zone: &str) -> bool {
        self.cut
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(zone)
    }

    fn line(&self, from: &str, to: &str) -> LinkState {
        let (Some(from), Some(to)) = (self.zones.get(from), self.zones.get(to)) else {
            return LinkState::Down;
        };
        if from != to && (self.is_cut(from) || self.is_cut(to)) {
            return LinkState::Down;
        }
        LinkState::Up(self.layout.delay(from, to))
    }

    /// The lines of one host.
    pub fn lines(&self, host: &str) -> LinkEmulation {
        let (network, from) = (self.clone(), host.to_owned());
        let lines = LinkEmulation::new(move |to| network.line(&from, to.as_str()));
        let mut known = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(host.to_owned(), lines.clone());
        lines
    }

    /// The traffic of all hosts since their start, each counted at both of its ends.
    pub fn traffic(&self) -> Traffic {
        let known = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sum = Traffic::default();
        for counts in known.values().filter_map(LinkEmulation::counts) {
            sum.control += counts.control_in + counts.control_out;
            sum.relay += counts.relay_in + counts.relay_out;
            sum.messages += counts.messages_out;
        }
        sum
    }

    /// The platform as one host reaches it.
    pub fn platform(&self, host: &str, addr: SocketAddr) -> Arc<dyn Platform> {
        let zone = self.zones.get(host).cloned().unwrap_or_default();
        Arc::new(Distant {
            delay: self.layout.delay(&zone, &self.layout.zone(0)),
            zone,
            network: self.clone(),
            client: HttpClient::new(HttpSettings::new(addr)),
        })
    }
}

/// The platform behind a delay and a cut.
#[derive(Debug)]
struct Distant {
    network: Network,
    zone: String,
    delay: Duration,
    client: HttpClient,
}

impl Distant {
    async fn there(&self) -> Result<(), PlatformError> {
        const PATIENCE: Duration = Duration::from_secs(1);
        if self.network.is_cut(&self.zone) {
            tokio::time::sleep(PATIENCE).await;
            return Err(PlatformError::unavailable("the zone is cut off"));
        }
        tokio::time::sleep(self.delay).await;
        Ok(())
    }

    async fn back(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(self.delay).await;
        if self.network.is_cut(&self.zone) {
            return Err(PlatformError::unknown("the zone is cut off"));
        }
        Ok(())
    }

    async fn trip<T>(&self, call: BoxFuture<'_, T>) -> Result<T, PlatformError> {
        self.there().await?;
        let answer = call.await?;
        self.back().await?;
        Ok(answer)
    }
}

impl Table for Distant {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(self.trip(self.client.read(key)))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(self.trip(self.client.scan(scan)))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(self.trip(self.client.transact(txn)))
    }
}

impl Objects for Distant {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Box::pin(self.trip(self.client.put(name, bytes)))
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(self.trip(self.client.get(name)))
    }
}

impl Hosts for Distant {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        Box::pin(self.trip(self.client.list()))
    }
}
