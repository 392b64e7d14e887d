//! Typed maps of the records in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use wagtail_types::{
    EndpointId, HostId, KeyDigest, RecordId, RegionId, ServiceId, SiteId, TeamId, ZoneId,
};

use crate::{
    Blocks, Category, ConfigError, Drain, DrainTarget, Endpoint, Host, Kind, Move, Record,
    RecordKey, Region, Scope, Service, Site, Team, Zone,
};

type Records = BTreeMap<Arc<RecordKey>, Arc<Record>>;
type Faults = BTreeMap<Arc<RecordKey>, ConfigError>;

/// Holds the records in force by type and id, and the faults of all records.
#[derive(Debug, Default)]
pub(crate) struct Index {
    pub(crate) regions: BTreeMap<RegionId, Arc<Region>>,
    pub(crate) zones: BTreeMap<ZoneId, Arc<Zone>>,
    pub(crate) hosts: BTreeMap<HostId, Arc<Host>>,
    pub(crate) services: BTreeMap<ServiceId, Arc<Service>>,
    pub(crate) endpoints: BTreeMap<EndpointId, Arc<Endpoint>>,
    pub(crate) by_service: BTreeMap<ServiceId, Vec<Arc<Endpoint>>>,
    pub(crate) teams: BTreeMap<TeamId, Arc<Team>>,
    pub(crate) by_key: BTreeMap<KeyDigest, Arc<Team>>,
    pub(crate) moves: BTreeMap<RecordId, Arc<Move>>,
    pub(crate) drains: BTreeMap<RecordId, Arc<Drain>>,
    pub(crate) sites: BTreeMap<SiteId, Arc<Site>>,
    pub(crate) blocks: BTreeMap<RecordId, Arc<Blocks>>,
    pub(crate) issues: Vec<ConfigError>,
}

impl Index {
    /// Indexes the records in the order of [`Kind::ALL`], so that a record is checked after those
    /// that it refers to.
    pub(crate) fn build(records: &Records, faults: &Faults) -> Self {
        let mut index = Self::default();
        index.issues.extend(faults.values().cloned());
        for kind in Kind::ALL {
            let of_kind = records
                .iter()
                .filter(|(key, _)| key.known_kind() == Some(*kind));
            for (key, record) in of_kind {
                index.add(key, record);
            }
        }
        index.map_keys();
        index
    }

    fn add(&mut self, key: &RecordKey, record: &Record) {
        let issues = self.dangling_references(key, record);
        let in_force = issues.is_empty() || matches!(record, Record::Team(_));
        self.issues.extend(issues);
        if in_force {
            self.insert(record.clone());
        }
    }

    fn insert(&mut self, record: Record) {
        match record {
            Record::Region(r) => drop(self.regions.insert(r.id.clone(), r)),
            Record::Zone(r) => drop(self.zones.insert(r.id.clone(), r)),
            Record::Host(r) => drop(self.hosts.insert(r.id.clone(), r)),
            Record::Service(r) => drop(self.services.insert(r.id.clone(), r)),
            Record::Endpoint(r) => self.insert_endpoint(r),
            Record::Team(r) => drop(self.teams.insert(r.id.clone(), r)),
            Record::Move(r) => drop(self.moves.insert(r.id.clone(), r)),
            Record::Drain(r) => drop(self.drains.insert(r.id.clone(), r)),
            Record::Site(r) => drop(self.sites.insert(r.id.clone(), r)),
            Record::Blocks(r) => drop(self.blocks.insert(r.part.clone(), r)),
            Record::Unknown(_) => {}
        }
    }

    fn insert_endpoint(&mut self, endpoint: Arc<Endpoint>) {
        let list = self.by_service.entry(endpoint.service.clone()).or_default();
        list.push(endpoint.clone());
        self.endpoints.insert(endpoint.id.clone(), endpoint);
    }

    /// Maps each key digest to its team; a digest that two teams list belongs to neither.
    fn map_keys(&mut self) {
        let mut claims: BTreeMap<KeyDigest, Vec<Arc<Team>>> = BTreeMap::new();
        for team in self.teams.values() {
            for digest in &team.keys {
                claims.entry(*digest).or_default().push(team.clone());
            }
        }
        for (digest, mut teams) in claims {
            let Some(team) = teams.pop() else { continue };
            if teams.is_empty() {
                self.by_key.insert(digest, team);
                continue;
            }
            teams.push(team);
            for team in teams {
                let reason = format!("{digest:?} is also listed by another team");
                self.issues.push(key_fault(
                    Kind::Team,
                    team.id.as_str(),
                    Category::Duplicate,
                    &reason,
                ));
            }
        }
    }

    /// Returns an issue for each reference of `record` to a record that is not in force.
    fn dangling_references(&self, key: &RecordKey, record: &Record) -> Vec<ConfigError> {
        let mut refs = ReferenceCheck {
            key,
            issues: Vec::new(),
        };
        match record {
            Record::Region(_) | Record::Service(_) | Record::Unknown(_) => {}
            Record::Zone(r) => refs.region(self, "region", &r.region),
            Record::Host(r) => refs.zone(self, "zone", &r.zone),
            Record::Site(r) => r.zones.iter().for_each(|z| refs.zone(self, "zones", z)),
            Record::Endpoint(r) => {
                refs.service(self, "service", &r.service);
                refs.zone(self, "zone", &r.zone);
            }
            Record::Team(r) => {
                r.services
                    .iter()
                    .for_each(|s| refs.service(self, "services", s));
                if let Scope::Only(regions) = &r.regions {
                    for region in regions {
                        refs.region(self, "regions", region);
                    }
                }
            }
            Record::Move(r) => {
                refs.service(self, "service", &r.service);
                refs.region(self, "from", &r.from);
                refs.region(self, "to", &r.to);
            }
            Record::Drain(r) => match &r.target {
                DrainTarget::Endpoint(id) => {
                    refs.require(self.endpoints.contains_key(id), "endpoint", id);
                }
                DrainTarget::Zone(id) => refs.zone(self, "zone", id),
                DrainTarget::Region(id) => refs.region(self, "region", id),
            },
            Record::Blocks(r) => {
                let sites = r.sites.iter();
                sites.for_each(|s| refs.require(self.sites.contains_key(s), "blocks", s));
            }
        }
        refs.issues
    }
}

/// Collects the faulty references of one record.
struct ReferenceCheck<'a> {
    key: &'a RecordKey,
    issues: Vec<ConfigError>,
}

impl ReferenceCheck<'_> {
    fn require(&mut self, in_force: bool, field: &str, target: &impl ToString) {
        if in_force {
            return;
        }
        let reason = format!("{} is not in force", target.to_string());
        let field = format!("body.{field}");
        self.issues.push(ConfigError::new(
            Category::Reference,
            self.key,
            field,
            &reason,
        ));
    }

    fn region(&mut self, index: &Index, field: &str, id: &RegionId) {
        self.require(index.regions.contains_key(id), field, id);
    }

    fn zone(&mut self, index: &Index, field: &str, id: &ZoneId) {
        self.require(index.zones.contains_key(id), field, id);
    }

    fn service(&mut self, index: &Index, field: &str, id: &ServiceId) {
        self.require(index.services.contains_key(id), field, id);
    }
}

fn key_fault(kind: Kind, name: &str, category: Category, reason: &str) -> ConfigError {
    let key = RecordKey::new(kind.as_str(), name).expect("the name of a checked record");
    ConfigError::new(category, &key, "body.keys", reason)
}
