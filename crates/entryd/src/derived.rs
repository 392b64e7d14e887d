//! Tables and inputs derived from a configuration view, built once per epoch.

use std::sync::Arc;

use wagtail_config::{DrainTarget, Scope, View};
use wagtail_quota::{ShardMap, TeamLimit};
use wagtail_route::{
    Cap, CapSpec, Delay, Drain, EndpointSpec, MoveSpec, PrefixTable, ServiceSpec, SiteKey, SiteRow,
    TeamSpec, Topology, ZoneSpec,
};
use wagtail_types::{Epoch, RegionId, SiteId};

use crate::periods;

/// The client address blocks and sites of a view.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sites {
    /// Maps a client address to a site key.
    pub(crate) blocks: PrefixTable,
    /// Site names, indexed by key.
    pub(crate) names: Vec<SiteId>,
    /// Zones of each site in order of preference, indexed by key.
    pub(crate) rows: Vec<SiteRow>,
}

impl Sites {
    /// Builds the tables; blocks that are the same as in `previous` are reused.
    pub(crate) fn build(view: &View, previous: Option<(&View, &Self)>) -> Self {
        let names: Vec<SiteId> = view.sites().keys().cloned().collect();
        let rows = view
            .sites()
            .values()
            .map(|s| SiteRow {
                zones: s.zones.clone(),
            })
            .collect();
        let reusable = previous.filter(|(_, sites)| sites.names == names);
        let mut blocks = reusable
            .map(|(_, sites)| sites.blocks.clone())
            .unwrap_or_default();
        if let Some((old, _)) = reusable {
            for removed in old
                .blocks()
                .keys()
                .filter(|name| !view.blocks().contains_key(*name))
            {
                blocks.replace(removed.as_str(), &[]);
            }
        }
        for (name, record) in view.blocks() {
            let same = reusable
                .and_then(|(old, _)| old.blocks().get(name))
                .is_some_and(|old| Arc::ptr_eq(old, record));
            if !same {
                let nets: Vec<_> = record
                    .list
                    .iter()
                    .filter_map(|b| Some((b.net, site_key(&names, &b.site)?)))
                    .collect();
                blocks.replace(name.as_str(), &nets);
            }
        }
        Self {
            blocks,
            names,
            rows,
        }
    }
}

fn site_key(names: &[SiteId], site: &SiteId) -> Option<SiteKey> {
    let at = names.binary_search(site).ok()?;
    u16::try_from(at).ok().map(SiteKey)
}

/// Extracts the records of a view that routing needs.
pub(crate) fn topology(view: &View) -> Topology {
    Topology {
        zones: zones(view),
        delays: delays(view),
        services: services(view),
        endpoints: endpoints(view),
        teams: teams(view),
        moves: moves(view),
        drains: drains(view),
        caps: caps(view),
    }
}

fn zones(view: &View) -> Vec<ZoneSpec> {
    let spec = |z: &Arc<wagtail_config::Zone>| ZoneSpec {
        id: z.id.clone(),
        region: z.region.clone(),
    };
    view.zones().values().map(spec).collect()
}

fn delays(view: &View) -> Vec<Delay> {
    view.regions()
        .values()
        .flat_map(|region| {
            region.delays.iter().map(|(to, time)| Delay {
                from: region.id.clone(),
                to: to.clone(),
                time: *time,
            })
        })
        .collect()
}

fn services(view: &View) -> Vec<ServiceSpec> {
    let spec = |s: &Arc<wagtail_config::Service>| ServiceSpec {
        id: s.id.clone(),
        max_duration: s.deadline,
    };
    view.services().values().map(spec).collect()
}

fn endpoints(view: &View) -> Vec<EndpointSpec> {
    view.endpoints()
        .values()
        .map(|e| EndpointSpec {
            id: e.id.clone(),
            service: e.service.clone(),
            zone: e.zone.clone(),
            slots: e.slots,
            connections: e.connections,
        })
        .collect()
}

fn teams(view: &View) -> Vec<TeamSpec> {
    const EQUAL_WEIGHT: u32 = 1;
    view.teams()
        .values()
        .map(|t| TeamSpec {
            id: t.id.clone(),
            weight: EQUAL_WEIGHT,
            regions: match &t.regions {
                Scope::All => None,
                Scope::Only(list) => Some(list.iter().cloned().collect()),
            },
        })
        .collect()
}

fn moves(view: &View) -> Vec<MoveSpec> {
    view.moves()
        .values()
        .map(|m| MoveSpec {
            from: m.from.clone(),
            to: m.to.clone(),
            share: m.share,
            service: Some(m.service.clone()),
            ramp: m.ramp,
        })
        .collect()
}

fn drains(view: &View) -> Vec<Drain> {
    view.drains()
        .values()
        .map(|d| match &d.target {
            DrainTarget::Endpoint(id) => Drain::Endpoint(id.clone()),
            DrainTarget::Zone(id) => Drain::Zone(id.clone()),
            DrainTarget::Region(id) => Drain::Region(id.clone()),
        })
        .collect()
}

/// Collects the caps of moves and drains; caps of regions apply where neither sets one.
fn caps(view: &View) -> Vec<CapSpec> {
    let cap = |from, to, level, fallback| CapSpec {
        from,
        to,
        cap: Cap {
            level,
            ..Cap::default()
        },
        fallback,
    };
    let moves = view.moves().values();
    let moves = moves.map(|m| cap(Some(m.from.clone()), Some(m.to.clone()), m.cap, false));
    let drains = view.drains().values();
    let drains = drains.map(|d| cap(drained_region(view, &d.target), None, d.cap, false));
    let regions = view.regions().values();
    let regions = regions.map(|r| cap(Some(r.id.clone()), None, r.spill, true));
    moves.chain(drains).chain(regions).collect()
}

/// Returns the region whose traffic a drain shifts.
fn drained_region(view: &View, target: &DrainTarget) -> Option<RegionId> {
    match target {
        DrainTarget::Endpoint(id) => {
            let endpoint = view.endpoints().get(id)?;
            view.region_of(&endpoint.zone).cloned()
        }
        DrainTarget::Zone(id) => view.region_of(id).cloned(),
        DrainTarget::Region(id) => Some(id.clone()),
    }
}

/// Collects the limit of every team and the quota shards of each zone.
pub(crate) fn limits(view: &View) -> (Vec<TeamLimit>, ShardMap) {
    let limit = |t: &Arc<wagtail_config::Team>| TeamLimit {
        team: t.id.clone(),
        rate: t.rate,
        burst: t.burst,
        since: since(view, t),
    };
    let shards = view
        .zones()
        .keys()
        .map(|zone| (zone.clone(), periods::SHARDS_PER_ZONE))
        .collect();
    (
        view.teams().values().map(limit).collect(),
        ShardMap::new(shards),
    )
}

/// Returns the epoch of the last change to a team's record.
fn since(view: &View, team: &wagtail_config::Team) -> Epoch {
    wagtail_config::RecordKey::new("team", team.id.as_str())
        .ok()
        .and_then(|key| view.row(&key).map(|row| row.epoch))
        .unwrap_or_else(|| view.epoch())
}
