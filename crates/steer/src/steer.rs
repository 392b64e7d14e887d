//! The steering state of one host and the updates that the registry and health checks make to it.

mod balance;
pub(crate) mod fleet;
pub(crate) mod requests;
mod restore;
pub(crate) mod signals;
pub(crate) mod suspects;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use wagtail_types::{EndpointId, RegionId, ServiceId, ZoneId};

use crate::budget::RetryBudget;
use crate::catalog::Catalog;
use crate::config::{Config, ConfigError, RouteId};
use crate::digest::{HostState, LeavingEndpoint};
use crate::endpoint::{
    CHECK_INTERVAL, Distance, Endpoint, EndpointKey, EndpointRecord, Location, cold_end,
};
use crate::estimate::Estimates;
use crate::hash::short_hash;
use crate::overload::OverloadMeter;
use crate::peers::{HostRecord, Peers};
use crate::placement::PlacementCounts;
use crate::quota::Quota;
use crate::rate::RateMeter;
use crate::regions::RegionWeights;
use crate::round_trip::RoundTrips;
use crate::settings::Settings;
use crate::shift::ShiftLimiter;
use crate::split::WeightedSplit;
use crate::steer::restore::Restore;
use crate::suspect::{End, Suspects};
use crate::warm::WarmCapacity;

/// How long the limit on moving traffic between regions stays suspended after endpoints are lost.
const SUSPENSION: Duration = Duration::from_secs(6);
/// How long after the registry recovers an endpoint whose registration lapsed during the outage may
/// register again. Hosts must follow the registry three seconds after an outage ends and may detect
/// its end almost a second late, so that the grace period must stay below the difference.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// The host that this process runs on.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// The host's own registration; its digests carry the same name, zone and addresses.
    pub record: HostRecord,
    /// The region that contains the host's zone.
    pub region: RegionId,
    /// The region of every zone of the deployment.
    pub zones: HashMap<ZoneId, RegionId>,
    /// The start of the process in milliseconds of wall-clock time; identifies its incarnation.
    pub started: u64,
}

/// The steering state of one host.
#[derive(Debug)]
pub struct Steer {
    pub(crate) local: LocalHost,
    pub(crate) settings: Settings,
    pub(crate) catalog: Option<Rc<Catalog>>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<EndpointId, EndpointKey>,
    /// Endpoints by the short hash that digests carry; a rare collision is harmless.
    by_hash: HashMap<u32, EndpointKey>,
    /// All regions of the deployment, sorted by name. [`Location::region`] indexes this list.
    regions: Vec<RegionId>,
    /// Whether endpoints or host states have changed since senders were last chosen.
    senders_stale: bool,
    by_service: HashMap<ServiceId, Vec<EndpointKey>>,
    evacuated: HashSet<ZoneId>,
    pub(crate) peers: Peers,
    pub(crate) quota: Quota,
    budgets: HashMap<ServiceId, RetryBudget>,
    /// Arrival rates by service and, for requests that only one region may run, by that region.
    arrivals: HashMap<(ServiceId, Option<RegionId>), RateMeter>,
    splits: HashMap<RouteId, WeightedSplit>,
    estimates: Estimates,
    shift_limiter: ShiftLimiter,
    weights: RegionWeights,
    overload: OverloadMeter,
    round_trips: RoundTrips,
    warm_capacity: HashMap<ServiceId, WarmCapacity>,
    /// The placements since they were last taken.
    placement_counts: PlacementCounts,
    /// The number of requests without an object that were placed so far; wraps around.
    unkeyed_count: u32,
    /// The sequence number of the last digest.
    sequence: u32,
    /// The local host's state in the last digest.
    state: HostState,
    /// When the local host first said that it leaves.
    pub(crate) leaving_since: Option<Instant>,
    /// Whether the registrations of all hosts have been read.
    hosts_known: bool,
    /// When the registry last recovered from an outage.
    recovered_at: Option<Instant>,
    /// What is kept in case the registry is restored from an older copy.
    restore: Restore,
    /// Objects that recently became warm, as (time, endpoint hash, object hash), to report in
    /// digests.
    newly_warm: VecDeque<(Instant, u32, u32)>,
    /// Endpoints that recently said that they leave, to report in digests.
    newly_leaving: VecDeque<(Instant, LeavingEndpoint)>,
    /// Requests under which endpoints ended.
    suspects: Suspects,
}

impl Steer {
    /// Creates the state of a host that has not received any configuration or registration yet.
    pub fn new(local: LocalHost, settings: Settings) -> Self {
        let shift_limiter = ShiftLimiter::new(settings.shift_window);
        let peers = Peers::new(local.region.clone(), &settings);
        let regions: BTreeSet<_> = local.zones.values().cloned().collect();
        let regions = regions.into_iter().collect();
        Self {
            local,
            settings,
            catalog: None,
            endpoints: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            regions,
            senders_stale: false,
            by_service: HashMap::new(),
            evacuated: HashSet::new(),
            peers,
            quota: Quota::default(),
            budgets: HashMap::new(),
            arrivals: HashMap::new(),
            splits: HashMap::new(),
            estimates: Estimates::default(),
            shift_limiter,
            weights: RegionWeights::default(),
            overload: OverloadMeter::default(),
            round_trips: RoundTrips::default(),
            warm_capacity: HashMap::new(),
            placement_counts: PlacementCounts::default(),
            unkeyed_count: 0,
            sequence: 0,
            state: HostState::Starting,
            leaving_since: None,
            hosts_known: false,
            recovered_at: None,
            restore: Restore::default(),
            newly_warm: VecDeque::new(),
            newly_leaving: VecDeque::new(),
            suspects: Suspects::default(),
        }
    }

    /// Returns the local host.
    pub fn local_host(&self) -> &LocalHost {
        &self.local
    }

    /// Returns the limits and tuning parameters.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the other entry hosts.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns an endpoint, or `None` if it is no longer registered.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns all registered endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the number of registered endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Puts a configuration in force if its version is higher than the current one, and returns the
    /// errors of the parts that cannot be used; `None` if the current configuration stays.
    pub fn configure(&mut self, config: Config) -> Option<Vec<ConfigError>> {
        let version = config.version;
        self.restore.stored_config = Some(version);
        if self
            .catalog
            .as_ref()
            .is_some_and(|c| c.version() >= version)
        {
            return None;
        }
        let (catalog, errors) = Catalog::new(config);
        self.catalog = Some(Rc::new(catalog));
        Some(errors)
    }

    /// Starts or ends the evacuation of a zone. Returns `false` if the zone was in that state
    /// already.
    pub fn evacuate(&mut self, zone: &ZoneId, on: bool, now: Instant) -> bool {
        self.restore.confirm_evacuation(zone);
        if on {
            self.shift_limiter.suspend(now + SUSPENSION);
            return self.evacuated.insert(zone.clone());
        }
        let ended = self.evacuated.remove(zone);
        if ended {
            self.shift_limiter.suspend(now + SUSPENSION);
            // Endpoints may have restarted during the evacuation, so that each one is checked for a
            // cold start before it is used again.
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

    /// Replaces the set of evacuated zones after a full read of the registry.
    pub fn set_evacuated(&mut self, zones: &HashSet<ZoneId>, now: Instant) {
        let ended: Vec<_> = self.evacuated.difference(zones).cloned().collect();
        for zone in ended {
            self.evacuate(&zone, false, now);
        }
        for zone in zones {
            self.evacuate(zone, true, now);
        }
    }

    /// Adds or updates an endpoint registration. Returns `None` if its zone is unknown.
    pub fn register(&mut self, record: EndpointRecord, now: Instant) -> Option<EndpointKey> {
        let region = self.local.zones.get(&record.zone)?.clone();
        let location = Location {
            region: self.regions.iter().position(|r| *r == region)?,
            distance: if record.zone == self.local.record.zone {
                Distance::SameZone
            } else if region == self.local.region {
                Distance::SameRegion
            } else {
                Distance::OtherRegion
            },
        };
        self.senders_stale = true;
        if let Some(&key) = self.by_id.get(&record.id) {
            let endpoint = &mut self.endpoints[key];
            let moved = endpoint.record.service != record.service;
            if moved && let Some(list) = self.by_service.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
            let service = record.service.clone();
            let end = End {
                endpoint: endpoint.hash,
                started: endpoint.record.started,
                began: now,
                at: now,
            };
            let leaves = endpoint.is_leaving();
            endpoint.update(record, region, location, now);
            let started = endpoint.record.started;
            if let Some(born) = started.filter(|_| started != end.started && !leaves) {
                self.suspects.record_restart(key, end, born, now);
            }
            if moved {
                self.by_service.entry(service).or_default().push(key);
            }
            return Some(key);
        }
        let id = record.id.clone();
        let service = record.service.clone();
        let mut endpoint = Endpoint::new(record, region, location, now);
        let said = self.restore.said(&endpoint.record);
        endpoint.recall(said, now);
        self.restore.forget_departure(&id);
        endpoint.record_peer_load(self.peers.peer_load(endpoint.hash), now);
        let hash = endpoint.hash;
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        self.by_service.entry(service).or_default().push(key);
        Some(key)
    }

    /// Ends an endpoint registration. Shortly after the registry recovers, a ready endpoint is kept
    /// until the grace period ends, so that a live one has time to register again.
    pub fn unregister(&mut self, id: &EndpointId, now: Instant) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        let recovery = self
            .recovered_at
            .filter(|&at| now.duration_since(at) < LAPSE_GRACE);
        match recovery {
            Some(at) if !self.endpoints[key].is_leaving() => {
                self.endpoints[key].lapses_at = Some(at + LAPSE_GRACE);
            }
            _ => self.remove_endpoint(key, now),
        }
    }

    /// Unregisters every endpoint that a full read of the registry did not list.
    pub fn retain_endpoints(&mut self, ids: &HashSet<EndpointId>, now: Instant) {
        let gone: Vec<_> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.unregister(&id, now);
        }
    }

    fn remove_endpoint(&mut self, key: EndpointKey, now: Instant) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.restore.record_departure(&endpoint, now);
            if !endpoint.is_leaving() {
                self.shift_limiter.suspend(now + SUSPENSION);
            }
            self.by_id.remove(&endpoint.record.id);
            if self.by_hash.get(&endpoint.hash) == Some(&key) {
                self.by_hash.remove(&endpoint.hash);
            }
            if let Some(list) = self.by_service.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
        }
    }

    /// Records that the registry answers again after an outage.
    pub fn registry_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Returns whether the host knows enough to serve callers: a configuration that is not older
    /// than those of its peers, at least one endpoint, and the other hosts that share the limits.
    pub fn is_initialized(&self, now: Instant) -> bool {
        let Some(catalog) = &self.catalog else {
            return false;
        };
        self.hosts_known
            && !self.endpoints.is_empty()
            && !self.restore.awaits_config(catalog.version(), now)
    }

    /// Returns the endpoints that are due for a health check, because they were unreachable or
    /// because the evacuation of their zone has ended, and schedules the next check of each.
    pub fn due_checks(&mut self, now: Instant) -> Vec<EndpointKey> {
        let mut due = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let evacuated = self.evacuated.contains(&endpoint.record.zone);
            if let Some(at) = endpoint.check_at
                && at <= now
                && !evacuated
                && !endpoint.has_given_notice()
                && !endpoint.is_paused(now)
                && endpoint.limit.admits(now)
            {
                endpoint.limit.take();
                endpoint.check_at = Some(now + CHECK_INTERVAL);
                due.push(key);
            }
        }
        due
    }

    /// Records the result of a health check: `None` if the endpoint was unreachable or unhealthy,
    /// otherwise the remaining time of its cold start.
    pub fn record_check(&mut self, key: EndpointKey, cold: Option<Duration>, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if let Some(cold) = cold {
            endpoint.check_at = None;
            endpoint.cold_until = cold_end(cold, now).or(endpoint.cold_until);
        }
    }

    /// Removes endpoints whose registration lapsed during a registry outage and was not renewed
    /// within the grace period.
    pub fn remove_lapsed(&mut self, now: Instant) {
        let lapsed = |e: &Endpoint| e.lapses_at.is_some_and(|at| at <= now);
        let keys: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, e)| lapsed(e))
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            self.remove_endpoint(key, now);
        }
    }

    /// Returns the hash that identifies an object, team or endpoint in placement and in messages
    /// between hosts.
    pub fn short_hash(name: &str) -> u32 {
        short_hash(name)
    }
}
