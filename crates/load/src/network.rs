//! The emulated network of an experiment: link delays and zones that can be cut off.

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

/// Emulates the links between hosts and to the platform.
#[derive(Debug, Clone)]
pub struct Network {
    layout: Arc<Layout>,
    zones: Arc<BTreeMap<String, String>>,
    cut: Arc<RwLock<BTreeSet<String>>>,
    emulations: Arc<Mutex<BTreeMap<String, LinkEmulation>>>,
}

/// The traffic between hosts, sent and received together.
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
    /// Creates a network in which no zone is cut off.
    pub fn new(layout: Arc<Layout>) -> Self {
        let zones = layout.host_names().into_iter().collect();
        Self {
            layout,
            zones: Arc::new(zones),
            cut: Arc::default(),
            emulations: Arc::default(),
        }
    }

    /// Cuts a zone off from all other zones and from the platform.
    pub fn cut(&self, zone: &str) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        cut.insert(zone.to_owned());
    }

    /// Connects every zone again.
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

    fn link(&self, from: &str, to: &str) -> LinkState {
        let (Some(from), Some(to)) = (self.zones.get(from), self.zones.get(to)) else {
            return LinkState::Down;
        };
        if from != to && (self.is_cut(from) || self.is_cut(to)) {
            return LinkState::Down;
        }
        LinkState::Up(self.layout.delay(from, to))
    }

    /// Returns the emulation of the links of one host.
    pub fn link_emulation(&self, host: &str) -> LinkEmulation {
        let (network, from) = (self.clone(), host.to_owned());
        let emulation = LinkEmulation::new(move |to| network.link(&from, to.as_str()));
        let mut known = self
            .emulations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        known.insert(host.to_owned(), emulation.clone());
        emulation
    }

    /// Returns the traffic of all hosts since their start; each byte and message is counted at both
    /// ends.
    pub fn traffic(&self) -> Traffic {
        let known = self
            .emulations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut sum = Traffic::default();
        for counts in known.values().filter_map(LinkEmulation::counts) {
            sum.control += counts.control_in + counts.control_out;
            sum.relay += counts.relay_in + counts.relay_out;
            sum.messages += counts.messages_out;
        }
        sum
    }

    /// Returns the platform as one host reaches it, with delay and cuts.
    pub fn platform(&self, host: &str, addr: SocketAddr) -> Arc<dyn Platform> {
        let zone = self.zones.get(host).cloned().unwrap_or_default();
        Arc::new(DelayedPlatform {
            delay: self.layout.delay(&zone, &self.layout.zone(0)),
            zone,
            network: self.clone(),
            client: HttpClient::new(HttpSettings::new(addr)),
        })
    }
}

/// A platform client behind an emulated link.
#[derive(Debug)]
struct DelayedPlatform {
    network: Network,
    zone: String,
    delay: Duration,
    client: HttpClient,
}

impl DelayedPlatform {
    async fn delay_request(&self) -> Result<(), PlatformError> {
        /// How long a call from a zone that is cut off takes to fail.
        const CUT_TIMEOUT: Duration = Duration::from_secs(1);
        if self.network.is_cut(&self.zone) {
            tokio::time::sleep(CUT_TIMEOUT).await;
            return Err(PlatformError::unavailable("the zone is cut off"));
        }
        tokio::time::sleep(self.delay).await;
        Ok(())
    }

    async fn delay_response(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(self.delay).await;
        if self.network.is_cut(&self.zone) {
            return Err(PlatformError::unknown("the zone is cut off"));
        }
        Ok(())
    }

    async fn round_trip<T>(&self, call: BoxFuture<'_, T>) -> Result<T, PlatformError> {
        self.delay_request().await?;
        let answer = call.await?;
        self.delay_response().await?;
        Ok(answer)
    }
}

impl Table for DelayedPlatform {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(self.round_trip(self.client.read(key)))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(self.round_trip(self.client.scan(scan)))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(self.round_trip(self.client.transact(txn)))
    }
}

impl Objects for DelayedPlatform {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        Box::pin(self.round_trip(self.client.put(name, bytes)))
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(self.round_trip(self.client.get(name)))
    }
}

impl Hosts for DelayedPlatform {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        Box::pin(self.round_trip(self.client.list()))
    }
}
