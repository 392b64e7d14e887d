//! Handling of the router's inputs.

use std::time::Instant;

use rand::Rng;
use wagtail_types::{ByteRate, Reason};

use crate::budget::Budget;
use crate::key::ServiceKey;
use crate::message::Input;
use crate::pool::Pool;
use crate::queue::Queue;
use crate::router::{Router, Service, Team};
use crate::topology::{Drain, HostState, HostView, ServiceSpec, TeamSpec, Topology};

impl Router {
    /// Applies an input.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.check_pause(now);
        match input {
            Input::Topology(topology) => self.configure(now, &topology),
            Input::Hosts(hosts) => self.set_hosts(now, hosts),
            Input::Advert(advert) => self.spillover.record_advert(now, advert),
            Input::Report(report) => {
                let effects = &mut self.new_effects;
                let mut pools = self.services.values_mut().map(|s| &mut s.pool);
                pools.any(|pool| pool.apply_report(now, &report, effects));
            }
            Input::Leaving(endpoint) => {
                let effects = &mut self.new_effects;
                let mut pools = self.services.values_mut().map(|s| &mut s.pool);
                pools.any(|pool| pool.set_leaving(now, &endpoint, effects));
            }
            Input::HandoverRequest { from, request } => {
                self.handover.record_request(now, &from, request);
            }
            Input::HandoverConsent { from, consent } => {
                self.handover.record_consent(&from, consent);
            }
            Input::Link(rate) => {
                self.link_rate = Some(rate);
                self.share_link(now);
            }
        }
        self.advance_handover(now);
        self.start_all_queued(now);
        self.flush_effects();
    }

    fn configure(&mut self, now: Instant, topology: &Topology) {
        let zones: Vec<_> = topology
            .zones
            .iter()
            .map(|zone| (zone.id.clone(), zone.region.clone()))
            .collect();
        self.ownership.set_zones(now, &zones);
        self.spillover.set_zones(&zones, &topology.delays);
        self.plan.configure(now, topology);
        self.set_teams(&topology.teams);
        self.set_services(now, topology);
        let max_duration = topology.services.iter().map(|spec| spec.max_duration).max();
        self.handover
            .set_max_duration(max_duration.unwrap_or_default());
        let hosts = std::mem::take(&mut self.hosts);
        self.set_hosts(now, hosts);
    }

    fn set_hosts(&mut self, now: Instant, hosts: Vec<HostView>) {
        self.ownership.set_hosts(now, &hosts);
        let token = self.rng.random();
        self.handover.set_hosts(now, &hosts, token);
        let plan = &self.plan;
        let drained = |zone: &_, region: &_| plan.is_drained(zone, region);
        self.spillover
            .set_hosts(&self.settings.host, &hosts, drained);
        for service in self.services.values_mut() {
            service.pool.update_slots(now, &self.ownership, false);
        }
        self.hosts = hosts;
        self.share_link(now);
    }

    /// Sets the byte rate to this host's part of the region's link; leaving hosts keep theirs.
    fn share_link(&mut self, now: Instant) {
        let Some(link) = self.link_rate else {
            return;
        };
        let near = |h: &&HostView| {
            let region = self.spillover.region_of(&h.zone);
            h.state != HostState::Dead && region == Some(&self.settings.region)
        };
        let hosts = self.hosts.iter().filter(near).count().max(1) as u64;
        let wait = self.settings.ownership.detection_timeout;
        self.byte_budget
            .set_rate(now, ByteRate(link.0 / hosts), wait);
    }

    fn set_teams(&mut self, specs: &[TeamSpec]) {
        let listed = |team: &Team| specs.iter().any(|spec| spec.id == team.id);
        self.teams.retain(|_, team| listed(team));
        let teams = &self.teams;
        self.team_keys.retain(|_, key| teams.contains_key(*key));
        for spec in specs {
            let team = Team {
                id: spec.id.clone(),
                weight: spec.weight.max(1),
                regions: spec.regions.clone(),
            };
            if let Some(key) = self.team_keys.get(&spec.id) {
                self.teams[*key] = team;
            } else {
                let key = self.teams.insert(team);
                self.team_keys.insert(spec.id.clone(), key);
            }
        }
    }

    fn set_services(&mut self, now: Instant, topology: &Topology) {
        let keys: Vec<_> = self.services.keys().collect();
        for key in keys {
            let id = &self.services[key].id;
            if !topology.services.iter().any(|spec| spec.id == *id) {
                self.withdraw(key);
            }
        }
        for spec in &topology.services {
            self.set_service(now, spec, topology);
        }
    }

    /// Refuses the queued requests of a removed service, and drops the service once nothing is in
    /// flight.
    fn withdraw(&mut self, key: ServiceKey) {
        self.refuse_all(key, Reason::UnknownService);
        let service = &mut self.services[key];
        self.service_keys.remove(&service.id);
        service.withdrawn = true;
        if !service.pool.is_running() {
            self.services.remove(key);
        }
    }

    fn set_service(&mut self, now: Instant, spec: &ServiceSpec, topology: &Topology) {
        let key = self.service_key(now, spec);
        let near = |zone| self.spillover.region_of(zone) == Some(&self.settings.region);
        let local = topology
            .endpoints
            .iter()
            .filter(|e| e.service == spec.id && near(&e.zone));
        let drained = |id: &_| {
            let matches =
                |drain: &Drain| matches!(drain, Drain::Endpoint(endpoint) if endpoint == id);
            topology.drains.iter().any(matches)
        };
        let of_service = topology.endpoints.iter().filter(|e| e.service == spec.id);
        let regions = of_service.filter_map(|e| self.spillover.region_of(&e.zone));
        let mut regions: Vec<_> = regions.cloned().collect();
        regions.sort();
        regions.dedup();
        self.services[key].regions = regions;
        let pool = &mut self.services[key].pool;
        pool.set_endpoints(now, spec.max_duration, local, &mut self.new_effects);
        pool.set_drains(now, drained, &mut self.new_effects);
    }

    fn service_key(&mut self, now: Instant, spec: &ServiceSpec) -> ServiceKey {
        let mut existing = self.services.iter().filter(|(_, s)| s.id == spec.id);
        let key = existing.next().map(|(key, _)| key);
        let key = key.unwrap_or_else(|| {
            let settings = &self.settings;
            self.services.insert_with_key(|key| Service {
                id: spec.id.clone(),
                regions: Vec::new(),
                pool: Pool::new(settings.pool.clone(), key, now, settings.fault),
                queue: Queue::new(settings.queue.clone(), settings.fault),
                retries: Budget::new(settings.budget.retry, settings.budget.burst),
                hedges: Budget::new(settings.budget.hedge, settings.budget.burst),
                withdrawn: false,
            })
        });
        self.services[key].withdrawn = false;
        self.service_keys.insert(spec.id.clone(), key);
        key
    }
}
