//! All decisions of one host, over one state: what is registered and what is in force.

mod balance;
pub(crate) mod fleet;
pub(crate) mod placing;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use wagtail_types::{EndpointId, RegionId, ServiceId, ZoneId};

use crate::budget::Budget;
use crate::catalog::Catalog;
use crate::config::{Config, ConfigVersion, ContentError, RouteId};
use crate::endpoint::{
    CHECK_EVERY, Endpoint, EndpointKey, EndpointRecord, EndpointState, Site, Way,
};
use crate::estimate::Estimates;
use crate::flow::Flow;
use crate::hash::short_hash;
use crate::hosts::{HostRecord, Hosts};
use crate::quota::Quota;
use crate::regions::Regions;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::split::Split;
use crate::warm::Kept;

/// The time for which a loss of endpoints lifts the bound on moves between regions.
const LIFT_TIME: Duration = Duration::from_secs(6);
/// The time after a return of the registry within which registrations that lapsed meanwhile may
/// come back. Hosts are held to what the registry says three seconds after a cut has ended, and
/// may notice its end almost a second late.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// This host.
#[derive(Debug, Clone)]
pub struct Us {
    /// The registration.
    pub record: HostRecord,
    /// The region.
    pub region: RegionId,
    /// The regions of all zones.
    pub zones: HashMap<ZoneId, RegionId>,
    /// The start of the process in milliseconds of wall-clock time.
    pub started: u64,
}

/// The state that all decisions of one host share.
#[derive(Debug)]
pub struct Steer {
    pub(crate) us: Us,
    pub(crate) settings: Settings,
    pub(crate) catalog: Option<Rc<Catalog>>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    names: HashMap<EndpointId, EndpointKey>,
    /// Endpoints by the hashes that digests tell; a rare clash does no harm.
    hashes: HashMap<u32, EndpointKey>,
    /// All regions, in order of their names.
    places: Vec<RegionId>,
    /// Whether hosts or endpoints have changed since senders were chosen.
    senders_stale: bool,
    services: HashMap<ServiceId, Vec<EndpointKey>>,
    evacuated: HashSet<ZoneId>,
    pub(crate) hosts: Hosts,
    pub(crate) quota: Quota,
    budgets: HashMap<ServiceId, Budget>,
    /// Requests that arrive for a service, by the one region that may run them, if so.
    flows: HashMap<(ServiceId, Option<RegionId>), Flow>,
    splits: HashMap<RouteId, Split>,
    estimates: Estimates,
    shares: Shares,
    regions: Regions,
    kept: HashMap<ServiceId, Kept>,
    /// Counts requests that concern no object.
    plain: u32,
    number: u32,
    hosts_known: bool,
    registry_back: Option<Instant>,
    /// Objects that became warm lately, to tell the other hosts.
    warmed: VecDeque<(Instant, u32, u32)>,
}

impl Steer {
    /// A host that knows nothing yet.
    pub fn new(us: Us, settings: Settings) -> Self {
        let shares = Shares::new(settings.shift_window);
        let hosts = Hosts::new(us.region.clone(), &settings);
        let places: BTreeSet<_> = us.zones.values().cloned().collect();
        let places = places.into_iter().collect();
        Self {
            us,
            settings,
            catalog: None,
            endpoints: SlotMap::with_key(),
            names: HashMap::new(),
            hashes: HashMap::new(),
            places,
            senders_stale: false,
            services: HashMap::new(),
            evacuated: HashSet::new(),
            hosts,
            quota: Quota::default(),
            budgets: HashMap::new(),
            flows: HashMap::new(),
            splits: HashMap::new(),
            estimates: Estimates::default(),
            shares,
            regions: Regions::default(),
            kept: HashMap::new(),
            plain: 0,
            number: 0,
            hosts_known: false,
            registry_back: None,
            warmed: VecDeque::new(),
        }
    }

    /// This host.
    pub fn us(&self) -> &Us {
        &self.us
    }

    /// Bounds and weights.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The other hosts.
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// An endpoint, unless it has left.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// The number of endpoints known.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Puts a configuration in force if it is later than the one before.
    ///
    /// # Errors
    ///
    /// [`ContentError`] if its parts do not fit together; the one before stays in force.
    pub fn configure(&mut self, config: Config) -> Result<Option<ConfigVersion>, ContentError> {
        let version = config.version;
        if self
            .catalog
            .as_ref()
            .is_some_and(|c| c.version() >= version)
        {
            return Ok(None);
        }
        self.catalog = Some(Rc::new(Catalog::try_from(config)?));
        Ok(Some(version))
    }

    /// Starts or ends the evacuation of a zone. `false` if nothing changed.
    pub fn evacuate(&mut self, zone: &ZoneId, on: bool, now: Instant) -> bool {
        if on {
            self.shares.lift(now + LIFT_TIME);
            return self.evacuated.insert(zone.clone());
        }
        let ended = self.evacuated.remove(zone);
        if ended {
            self.shares.lift(now + LIFT_TIME);
            // Endpoints of the zone may have come back cold: each is asked before its first use.
            for endpoint in self
                .endpoints
                .values_mut()
                .filter(|e| &e.record.zone == zone)
            {
                endpoint.check_at = Some(now);
            }
        }
        ended
    }

    /// Replaces the set of evacuated zones after a whole read of the registry.
    pub fn set_evacuated(&mut self, zones: &HashSet<ZoneId>, now: Instant) {
        let ended: Vec<_> = self.evacuated.difference(zones).cloned().collect();
        for zone in ended {
            self.evacuate(&zone, false, now);
        }
        for zone in zones {
            self.evacuate(zone, true, now);
        }
    }

    /// Takes a registration of an endpoint.
    pub fn register(&mut self, record: EndpointRecord, now: Instant) -> Option<EndpointKey> {
        let region = self.us.zones.get(&record.zone)?.clone();
        let site = Site {
            region: self.places.iter().position(|r| *r == region)?,
            way: if record.zone == self.us.record.zone {
                Way::Zone
            } else if region == self.us.region {
                Way::Region
            } else {
                Way::Away
            },
        };
        self.senders_stale = true;
        if let Some(&key) = self.names.get(&record.id) {
            let endpoint = &mut self.endpoints[key];
            let moved = endpoint.record.service != record.service;
            if moved && let Some(list) = self.services.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
            let service = record.service.clone();
            endpoint.update(record, region, site, now);
            if moved {
                self.services.entry(service).or_default().push(key);
            }
            return Some(key);
        }
        let id = record.id.clone();
        let service = record.service.clone();
        let mut endpoint = Endpoint::new(record, region, site, now);
        endpoint.note_others(self.hosts.load(endpoint.hash), now);
        let hash = endpoint.hash;
        let key = self.endpoints.insert(endpoint);
        self.names.insert(id, key);
        self.hashes.insert(hash, key);
        self.services.entry(service).or_default().push(key);
        Some(key)
    }

    /// Takes the end of a registration. Soon after the registry came back the endpoint is kept
    /// for the time in which a live one registers again.
    pub fn unregister(&mut self, id: &EndpointId, now: Instant) {
        let Some(&key) = self.names.get(id) else {
            return;
        };
        let back = self
            .registry_back
            .filter(|&at| now.duration_since(at) < LAPSE_GRACE);
        match back {
            Some(at) if self.endpoints[key].record.state == EndpointState::Ready => {
                self.endpoints[key].lapses_at = Some(at + LAPSE_GRACE);
            }
            _ => self.remove(key, now),
        }
    }

    /// Ends the registrations that a whole read of the registry did not show.
    pub fn keep_only(&mut self, ids: &HashSet<EndpointId>, now: Instant) {
        let gone: Vec<_> = self
            .names
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.unregister(&id, now);
        }
    }

    fn remove(&mut self, key: EndpointKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            if endpoint.record.state == EndpointState::Ready {
                self.shares.lift(now + LIFT_TIME);
            }
            self.names.remove(&endpoint.record.id);
            if self.hashes.get(&endpoint.hash) == Some(&key) {
                self.hashes.remove(&endpoint.hash);
            }
            if let Some(list) = self.services.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
        }
    }

    /// Notes that the registry answers again after it did not.
    pub fn registry_returned(&mut self, now: Instant) {
        self.registry_back = Some(now);
    }

    /// Whether this host knows enough to serve callers: the configuration, the endpoints, and how
    /// many hosts share the limits.
    pub fn is_informed(&self) -> bool {
        self.catalog.is_some() && self.hosts_known && !self.endpoints.is_empty()
    }

    /// Endpoints that are due for a check: not reached, or back from an evacuation.
    pub fn due_checks(&mut self, now: Instant) -> Vec<EndpointKey> {
        let mut due = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let evacuated = self.evacuated.contains(&endpoint.record.zone);
            if let Some(at) = endpoint.check_at
                && at <= now
                && !evacuated
            {
                endpoint.check_at = Some(now + CHECK_EVERY);
                due.push(key);
            }
        }
        due
    }

    /// Takes the result of a check: `None` where the endpoint was not reached or is not well,
    /// else the time for which it stays cold.
    pub fn checked(&mut self, key: EndpointKey, cold: Option<Duration>, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if let Some(cold) = cold {
            endpoint.check_at = None;
            if !cold.is_zero() {
                endpoint.cold_until = Some(now + cold);
            }
        }
    }

    /// Ends registrations that lapsed while the registry was away and did not come back.
    pub fn end_lapsed(&mut self, now: Instant) {
        let over = |e: &Endpoint| e.lapses_at.is_some_and(|at| at <= now);
        let keys: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, e)| over(e))
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            self.remove(key, now);
        }
    }

    /// The hash by which placement knows an object.
    pub fn object_hash(name: &str) -> u32 {
        short_hash(name)
    }
}
