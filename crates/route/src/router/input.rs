//! How the router takes in news.

use std::time::Instant;

use crate::message::Input;
use crate::pool::Pool;
use crate::router::{Router, Service, Team};
use crate::topology::{Drain, HostView, ServiceSpec, TeamSpec, Topology};

impl Router {
    /// Takes in news.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.wake(now);
        match input {
            Input::Topology(topology) => self.configure(now, &topology),
            Input::Hosts(hosts) => self.set_hosts(now, hosts),
            Input::Advert(advert) => self.spill.advert(now, advert),
            Input::Report(report) => {
                let effects = &mut self.scratch;
                let mut pools = self.services.values_mut().map(|s| &mut s.pool);
                pools.any(|pool| pool.report(now, &report, effects));
            }
            Input::Leaving(endpoint) => {
                let effects = &mut self.scratch;
                let mut pools = self.services.values_mut().map(|s| &mut s.pool);
                pools.any(|pool| pool.leaving(now, &endpoint, effects));
            }
        }
        self.publish();
    }

    fn configure(&mut self, now: Instant, topology: &Topology) {
        let zones: Vec<_> = topology
            .zones
            .iter()
            .map(|zone| (zone.id.clone(), zone.region.clone()))
            .collect();
        self.owner.set_zones(now, &zones);
        self.spill.set_zones(&zones, &topology.delays);
        self.set_teams(&topology.teams);
        self.set_services(now, topology);
        let hosts = std::mem::take(&mut self.hosts);
        self.set_hosts(now, hosts);
    }

    fn set_hosts(&mut self, now: Instant, hosts: Vec<HostView>) {
        self.owner.set_hosts(now, &hosts);
        self.spill.set_hosts(&self.settings.host, &hosts);
        for service in self.services.values_mut() {
            service.pool.split(now, &self.owner, false);
        }
        self.hosts = hosts;
    }

    fn set_teams(&mut self, specs: &[TeamSpec]) {
        let listed = |team: &Team| specs.iter().any(|spec| spec.id == team.id);
        self.teams.retain(|_, team| listed(team));
        let teams = &self.teams;
        self.team_keys.retain(|_, key| teams.contains_key(*key));
        for spec in specs {
            let team = Team {
                id: spec.id.clone(),
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
        let listed = |service: &Service| topology.services.iter().any(|s| s.id == service.id);
        self.services.retain(|_, service| listed(service));
        let services = &self.services;
        self.service_keys
            .retain(|_, key| services.contains_key(*key));
        for spec in &topology.services {
            self.set_service(now, spec, topology);
        }
    }

    fn set_service(&mut self, now: Instant, spec: &ServiceSpec, topology: &Topology) {
        let key = match self.service_keys.get(&spec.id) {
            Some(key) => *key,
            None => self.services.insert_with_key(|key| Service {
                id: spec.id.clone(),
                pool: Pool::new(self.settings.pool.clone(), key, now),
            }),
        };
        self.service_keys.insert(spec.id.clone(), key);
        let regions = &self.spill;
        let region = &self.settings.region;
        let near = |zone| regions.region_of(zone) == Some(region);
        let mine = topology
            .endpoints
            .iter()
            .filter(|e| e.service == spec.id && near(&e.zone));
        let drained = |id: &_| {
            let is = |drain: &Drain| matches!(drain, Drain::Endpoint(endpoint) if endpoint == id);
            topology.drains.iter().any(is)
        };
        let pool = &mut self.services[key].pool;
        pool.set_endpoints(now, spec.longest, mine, &mut self.scratch);
        pool.set_drains(now, drained, &mut self.scratch);
    }
}
