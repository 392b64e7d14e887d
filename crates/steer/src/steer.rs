//! All decisions of one host, over one state.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use wagtail_types::{EndpointId, HostId, RegionId, ServiceId, ZoneId};

use crate::budget::Budget;
use crate::catalog::Catalog;
use crate::cold::is_sender;
use crate::config::{Config, ConfigVersion, ContentError, Part, Route, RouteId};
use crate::digest::{Digest, HostState};
use crate::endpoint::{
    CHECK_EVERY, Endpoint, EndpointKey, EndpointRecord, EndpointState, Load, Outcome,
};
use crate::estimate::{Estimates, WARM_GUESS};
use crate::flow::{Flow, flow_hash};
use crate::hash::{short_hash, tenths};
use crate::hosts::{HostRecord, Hosts, Peer};
use crate::place::{Ask, Choice, Placement, Use, View, place};
use crate::quota::Quota;
use crate::regions::{RegionLoad, Regions};
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

/// The time for which digests repeat that an object is warm; two periods between regions.
const WARM_TOLD: Duration = Duration::from_millis(2_200);

/// The part of the allowed shift that weights use; spills use the rest.
const WEIGHTS_PART: f64 = 0.6;

/// The fewest hosts of a zone for which one follows the registry; with fewer, calls saved are few.
const FOLLOWED: usize = 3;

/// Who follows the registry for the hosts of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Follower {
    /// Each host for itself.
    Each,
    /// This host, which passes changes on to these addresses.
    Us(Vec<SocketAddr>),
    /// Another host.
    Other,
}

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

/// The end of a request at an endpoint.
#[derive(Debug)]
pub struct End<'a> {
    /// Where it was.
    pub choice: &'a Choice,
    /// Its route.
    pub route: &'a Route,
    /// The object that it concerns.
    pub object: Option<u32>,
    /// How it ended.
    pub outcome: Outcome,
    /// The time to its answer, where that says how long it ran.
    pub taken: Option<Duration>,
    /// The endpoint's own count of requests.
    pub load: Option<Load>,
}

/// The state that all decisions of one host share.
#[derive(Debug)]
pub struct Steer {
    pub(crate) us: Us,
    pub(crate) settings: Settings,
    pub(crate) catalog: Option<Rc<Catalog>>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    names: HashMap<EndpointId, EndpointKey>,
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
        Self {
            us,
            settings,
            catalog: None,
            endpoints: SlotMap::with_key(),
            names: HashMap::new(),
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
        if let Some(&key) = self.names.get(&record.id) {
            let endpoint = &mut self.endpoints[key];
            let moved = endpoint.record.service != record.service;
            if moved && let Some(list) = self.services.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
            let service = record.service.clone();
            endpoint.update(record, now);
            if moved {
                self.services.entry(service).or_default().push(key);
            }
            return Some(key);
        }
        let id = record.id.clone();
        let service = record.service.clone();
        let key = self.endpoints.insert(Endpoint::new(record, region, now));
        self.names.insert(id, key);
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
            if let Some(list) = self.services.get_mut(&endpoint.record.service) {
                list.retain(|k| *k != key);
            }
        }
    }

    /// Notes that the registry answers again after it did not.
    pub fn registry_returned(&mut self, now: Instant) {
        self.registry_back = Some(now);
    }

    /// Notes that all registered hosts were read.
    pub fn hosts_read(&mut self) {
        self.hosts_known = true;
    }

    /// Whether this host knows enough to serve callers: the configuration, the endpoints, and how
    /// many hosts share the limits.
    pub fn is_informed(&self) -> bool {
        self.catalog.is_some() && self.hosts_known && !self.endpoints.is_empty()
    }

    /// Takes the registration of another host.
    pub fn register_host(&mut self, record: HostRecord, now: Instant) {
        if record.id == self.us.record.id {
            return;
        }
        if let Some(region) = self.us.zones.get(&record.zone).cloned() {
            self.hosts.register(record, region, &self.settings, now);
        }
    }

    /// Takes a digest; `false` if it is out of date or from an unknown zone.
    pub fn hear(&mut self, mut digest: Digest, now: Instant) -> bool {
        if digest.host == self.us.record.id {
            return false;
        }
        let Some(region) = self.us.zones.get(&digest.zone).cloned() else {
            return false;
        };
        let warm = std::mem::take(&mut digest.warm);
        if !self.hosts.hear(digest, region, &self.settings, now) {
            return false;
        }
        for endpoint in self.endpoints.values_mut() {
            for &(_, object) in warm.iter().filter(|(hash, _)| *hash == endpoint.hash) {
                endpoint.warm.note(object, now);
            }
            let loads = self
                .hosts
                .alive(now)
                .filter_map(|p| p.loads.get(&endpoint.hash));
            let count: u32 = loads.map(|&l| u32::from(l)).sum();
            endpoint.note_others(f64::from(count), now);
        }
        true
    }

    /// This host's next digest.
    pub fn digest(&mut self, state: HostState, now: Instant) -> Digest {
        self.number += 1;
        while self
            .warmed
            .front()
            .is_some_and(|w| now.duration_since(w.0) >= WARM_TOLD)
        {
            self.warmed.pop_front();
        }
        let arrivals = self.flows.iter().map(|((service, bound), flow)| {
            (flow_hash(service, bound.as_ref()), tenths(flow.rate(now)))
        });
        let arrivals = arrivals.filter(|&(_, rate)| rate > 0).collect();
        Digest {
            host: self.us.record.id.clone(),
            started: self.us.started,
            number: self.number,
            zone: self.us.record.zone.clone(),
            front: self.us.record.front,
            peer: self.us.record.peer,
            state,
            loads: self
                .endpoints
                .values()
                .filter(|e| e.own > 0)
                .map(|e| (e.hash, u16::try_from(e.own).unwrap_or(u16::MAX)))
                .collect(),
            warm: self
                .warmed
                .iter()
                .map(|&(_, endpoint, object)| (endpoint, object))
                .collect(),
            arrivals,
        }
    }

    /// The hosts that are heard.
    pub fn alive_hosts(&self, now: Instant) -> HashSet<HostId> {
        let alive = self.hosts.alive(now);
        alive.map(|p| p.record.id.clone()).collect()
    }

    /// Who follows the registry for this host's zone.
    pub fn follower(&self, now: Instant) -> Follower {
        let zone = &self.us.record.zone;
        let ready = |p: &&Peer| p.record.zone == *zone && p.state == Some(HostState::Ready);
        let peers: Vec<&Peer> = self.hosts.alive(now).filter(ready).collect();
        if peers.len() + 1 < FOLLOWED {
            return Follower::Each;
        }
        if peers.iter().any(|p| p.record.id < self.us.record.id) {
            return Follower::Other;
        }
        Follower::Us(peers.iter().map(|p| p.record.peer).collect())
    }

    /// Drops hosts that have been silent for long.
    pub fn prune_hosts(&mut self, now: Instant) -> Vec<HostId> {
        self.hosts.prune(&self.settings, now)
    }

    /// The addresses for callers of a zone: hosts of the zone, else of its region, else all.
    pub fn directory(&self, zone: Option<&ZoneId>, ready: bool, now: Instant) -> Vec<SocketAddr> {
        let mut found: Vec<(&ZoneId, &RegionId, SocketAddr)> = self
            .hosts
            .alive(now)
            .filter(|p| p.state == Some(HostState::Ready))
            .map(|p| (&p.record.zone, &p.region, p.record.front))
            .collect();
        if ready {
            found.push((&self.us.record.zone, &self.us.region, self.us.record.front));
        }
        let zone = zone.unwrap_or(&self.us.record.zone);
        let region = self.us.zones.get(zone);
        let pick = |near: &dyn Fn(&ZoneId, &RegionId) -> bool| -> Vec<SocketAddr> {
            found
                .iter()
                .filter(|(z, r, _)| near(z, r))
                .map(|&(.., addr)| addr)
                .collect()
        };
        let in_zone = pick(&|z, _| z == zone);
        if in_zone.len() > 1 {
            return in_zone;
        }
        let in_region = pick(&|_, r| Some(r) == region);
        if in_region.is_empty() {
            pick(&|_, _| true)
        } else {
            in_region
        }
    }

    /// The number of hosts that are alive, with this one.
    pub fn host_count(&self, now: Instant) -> usize {
        self.hosts.alive(now).count() + 1
    }

    /// The service that runs the next request of a route.
    pub fn split(&mut self, route: &Route) -> Option<ServiceId> {
        if let [Part { service, .. }] = &*route.parts {
            return Some(service.clone());
        }
        self.splits
            .entry(route.id.clone())
            .or_default()
            .next(&route.parts)
    }

    /// Counts a request for a service, in its retry budget and in the demand of the region that
    /// has to run it.
    pub fn count_request(&mut self, service: &ServiceId, homes: &[RegionId], now: Instant) {
        let bound = match homes {
            [home] => Some(home.clone()),
            _ => None,
        };
        self.flows
            .entry((service.clone(), bound))
            .or_default()
            .note(now);
        let window = self.settings.retry_window;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(window));
        budget.request(now);
    }

    /// Takes a further attempt from the service's budget.
    pub fn take_retry(&mut self, service: &ServiceId, now: Instant) -> bool {
        let hosts = self.hosts.all().count() + 1;
        let Settings {
            retry_ratio,
            retry_slack,
            ..
        } = self.settings;
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|b| b.take(retry_ratio, retry_slack, hosts, now))
    }

    /// Whether [`take_retry`](Self::take_retry) would succeed.
    pub fn may_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let hosts = self.hosts.all().count() + 1;
        let Settings {
            retry_ratio,
            retry_slack,
            ..
        } = self.settings;
        let budget = self.budgets.get(service);
        budget.is_some_and(|b| b.allows(retry_ratio, retry_slack, hosts, now))
    }

    /// Looks for an endpoint and counts the request there if one is found.
    pub fn place(&mut self, ask: &Ask<'_>, now: Instant) -> Placement {
        let usable = self.usable(ask, now);
        let point = self.point(ask);
        let primary = self.primary(ask, &usable, point);
        let mut used: HashMap<RegionId, Use> = HashMap::new();
        for endpoint in usable.iter().map(|&k| &self.endpoints[k]) {
            let slots = f64::from(endpoint.record.slots);
            let region = used.entry(endpoint.region.clone()).or_default();
            region.busy += endpoint.outstanding().min(slots);
            region.slots += slots;
        }
        let view = View {
            zone: &self.us.record.zone,
            region: &self.us.region,
            primary: &primary,
            kept: self.kept.get(ask.service),
            estimates: &self.estimates,
            late_worth: self.settings.late_worth,
            used: &used,
            now,
        };
        let allowed: HashSet<&RegionId> = self
            .us
            .zones
            .values()
            .filter(|r| **r == primary || self.shares.allows(r, self.settings.max_shift, now))
            .collect();
        let endpoints = |only: bool| {
            let endpoints = &self.endpoints;
            let allowed = &allowed;
            usable
                .iter()
                .map(move |&k| (k, &endpoints[k]))
                .filter(move |(_, e)| !only || allowed.contains(&e.region))
        };
        let mut placement = place(ask, &view, endpoints(true));
        let none_near = || endpoints(true).next().is_none();
        if matches!(placement, Placement::Refuse { .. }) && none_near() {
            placement = place(ask, &view, endpoints(false));
        }
        if let Placement::Send(choice) = &placement {
            self.sent(choice, ask, now);
        }
        placement
    }

    /// The region that should run a request: by the weights, if they point to one that may and can.
    fn primary(&self, ask: &Ask<'_>, usable: &[EndpointKey], point: f64) -> RegionId {
        let region = |key: &EndpointKey| &self.endpoints[*key].region;
        let weighted = self
            .regions
            .pick(ask.service, point)
            .unwrap_or(&self.us.region);
        let mut regions: Vec<&RegionId> = usable.iter().map(region).collect();
        regions.sort();
        regions.dedup();
        if regions.is_empty() || regions.contains(&weighted) {
            return weighted.clone();
        }
        if regions.contains(&&self.us.region) {
            return self.us.region.clone();
        }
        let step = 1.0 / regions.len() as f64;
        let mut points = (1..regions.len()).map(|i| i as f64 * step);
        let at = points
            .position(|end| point < end)
            .unwrap_or(regions.len() - 1);
        regions[at].clone()
    }

    /// The point that decides on the region of a request: the same for all of an object.
    fn point(&mut self, ask: &Ask<'_>) -> f64 {
        /// Multiples of the golden ratio fill the unit interval evenly.
        const GOLDEN: f64 = 0.618_033_988_749_895;
        if let Some(object) = ask.object {
            return f64::from(object) / f64::from(u32::MAX);
        }
        self.plain = self.plain.wrapping_add(1);
        (f64::from(self.plain) * GOLDEN).fract()
    }

    /// The slot time of a request for a service, in seconds.
    fn each(&self, service: &ServiceId) -> f64 {
        self.estimates.settled(service).unwrap_or_else(|| {
            let aim = self.catalog.as_ref().and_then(|c| c.aim(service));
            aim.map_or(0.0, |aim| aim.as_secs_f64() * WARM_GUESS)
        })
    }

    /// Moves the weights of the regions towards demand and capacity.
    pub fn balance(&mut self, now: Instant) {
        let most = self.settings.max_shift * WEIGHTS_PART;
        for (service, keys) in &self.services {
            let each = self.each(service);
            let mut loads: HashMap<RegionId, RegionLoad> = HashMap::new();
            for region in self.us.zones.values() {
                loads.entry(region.clone()).or_default();
            }
            let free = flow_hash(service, None);
            for peer in self.hosts.alive(now) {
                let rate = peer.arrivals.get(&free).copied().unwrap_or(0.0);
                loads.entry(peer.region.clone()).or_default().demand += rate * each;
            }
            let rate = |bound| {
                self.flows
                    .get(&(service.clone(), bound))
                    .map_or(0.0, |f| f.rate(now))
            };
            loads.entry(self.us.region.clone()).or_default().demand += rate(None) * each;
            for (region, load) in &mut loads {
                let bound = flow_hash(service, Some(region));
                let others = self.hosts.alive(now).filter_map(|p| p.arrivals.get(&bound));
                load.bound = (rate(Some(region.clone())) + others.sum::<f64>()) * each;
            }
            for endpoint in keys.iter().map(|&k| &self.endpoints[k]) {
                let record = &endpoint.record;
                let out = self.evacuated.contains(&record.zone) || endpoint.is_down();
                if record.state == EndpointState::Ready && !out {
                    let slots = f64::from(record.slots) / endpoint.slowness(now).max(1.0);
                    loads.entry(endpoint.region.clone()).or_default().slots += slots;
                }
            }
            let window = self.settings.shift_window;
            self.regions
                .update(service, &self.us.region, &loads, most, window, now);
        }
    }

    fn sent(&mut self, choice: &Choice, ask: &Ask<'_>, now: Instant) {
        let endpoint = &mut self.endpoints[choice.key];
        endpoint.own += 1;
        endpoint.used = true;
        if endpoint.is_cold(now) {
            endpoint.cold.take();
        }
        if ask.tried.is_empty() {
            self.shares.note(&endpoint.region, now);
        }
    }

    /// The endpoints that may run a request now.
    fn usable(&mut self, ask: &Ask<'_>, now: Instant) -> Vec<EndpointKey> {
        let Some(keys) = self.services.get(ask.service).cloned() else {
            return Vec::new();
        };
        let cold_rate = self
            .catalog
            .as_ref()
            .and_then(|c| c.service(ask.service))
            .map_or(1.0, |s| s.cold_rate);
        keys.into_iter()
            .filter(|&k| self.is_usable(k, ask, cold_rate, now))
            .collect()
    }

    fn is_usable(&mut self, key: EndpointKey, ask: &Ask<'_>, cold_rate: f64, now: Instant) -> bool {
        let endpoint = &mut self.endpoints[key];
        let record = &endpoint.record;
        if record.state != EndpointState::Ready
            || endpoint.check_at.is_some()
            || ask.tried.contains(&key)
            || self.evacuated.contains(&record.zone)
            || !(ask.homes.is_empty() || ask.homes.contains(&endpoint.region))
        {
            return false;
        }
        if !endpoint.is_cold(now) && endpoint.used {
            return true;
        }
        let region = &endpoint.region;
        let others = self
            .hosts
            .alive(now)
            .filter(|p| &p.region == region && p.state == Some(HostState::Ready))
            .map(|p| p.record.id.as_str());
        let near = *region == self.us.region;
        let sender = near && is_sender(record.id.as_str(), self.us.record.id.as_str(), others);
        if !endpoint.used && sender {
            endpoint.untried = true;
        }
        !endpoint.is_cold(now) || sender && endpoint.cold.allows(cold_rate, now)
    }

    /// Takes the end of a request at an endpoint.
    pub fn finish(&mut self, end: &End<'_>, now: Instant) {
        let &End {
            choice,
            object,
            outcome,
            taken,
            load,
            ..
        } = end;
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        endpoint.own = endpoint.own.saturating_sub(1);
        endpoint.note_outcome(outcome, now);
        if let Some(load) = load {
            endpoint.note_load(load, now);
        }
        if outcome == Outcome::Replaced {
            self.remove(choice.key, now);
            return;
        }
        if outcome == Outcome::Answered
            && let Some(object) = object
            && endpoint.warm.note(object, now)
        {
            self.warmed.push_back((now, endpoint.hash, object));
        }
        if outcome == Outcome::Answered
            && let Some(taken) = taken
        {
            self.learn(end, taken.as_secs_f64(), now);
        }
    }

    /// Learns from the time to an answer. Where a queue was met, it only bounds the running time
    /// from above.
    fn learn(&mut self, end: &End<'_>, taken: f64, now: Instant) {
        let (choice, route) = (end.choice, end.route);
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        let service = endpoint.record.service.clone();
        let looks = self.estimates.looks_warm(&route.id, route.aim, taken);
        let warm = looks.unwrap_or(choice.warm);
        let expected = self.estimates.running(&route.id, route.aim, warm);
        if !choice.free && taken >= expected {
            return;
        }
        endpoint.note_pace(taken / expected, now);
        if let (Some(rank), Some(warm)) = (choice.rank, looks) {
            self.kept
                .entry(service.clone())
                .or_default()
                .learn(rank, warm);
        }
        if !endpoint.is_cold(now) {
            self.estimates
                .learn(&route.id, &service, route.aim, choice.warm, taken);
        }
    }

    /// Notes the region that runs nothing any more for want of endpoints.
    pub fn lift_shares(&mut self, now: Instant) {
        self.shares.lift(now + LIFT_TIME);
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
