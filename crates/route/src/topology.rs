//! What the configuration says about regions, zones, services and endpoints.

use std::time::Duration;

use wagtail_types::{EndpointId, HostId, RegionId, ServiceId, Share, TeamId, ZoneId};

/// The configuration that routing rests on, replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    /// Every zone with its region.
    pub zones: Vec<ZoneSpec>,
    /// One-way delays between regions; a pair that is missing is taken as far.
    pub delays: Vec<Delay>,
    /// Every service.
    pub services: Vec<ServiceSpec>,
    /// Every endpoint.
    pub endpoints: Vec<EndpointSpec>,
    /// Every team.
    pub teams: Vec<TeamSpec>,
    /// Planned moves in force.
    pub moves: Vec<MoveSpec>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Caps on shifted traffic.
    pub caps: Vec<CapSpec>,
}

/// A zone.
#[derive(Debug, Clone)]
pub struct ZoneSpec {
    /// Its name.
    pub id: ZoneId,
    /// The region that it belongs to.
    pub region: RegionId,
}

/// The one-way delay between two regions, in both directions.
#[derive(Debug, Clone)]
pub struct Delay {
    /// One of the regions.
    pub from: RegionId,
    /// The other one.
    pub to: RegionId,
    /// The delay.
    pub time: Duration,
}

/// A service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub id: ServiceId,
    /// The longest time that one of its requests may run at an endpoint.
    pub longest: Duration,
}

/// An endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// Its name.
    pub id: EndpointId,
    /// The service that it offers.
    pub service: ServiceId,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Connections that it allows, over all hosts.
    pub connections: u32,
}

/// A team.
#[derive(Debug, Clone)]
pub struct TeamSpec {
    /// Its name.
    pub id: TeamId,
    /// Its weight against the other teams in a queue; 0 counts as 1.
    pub weight: u32,
    /// The regions that may run its requests; `None` for all.
    pub regions: Option<Vec<RegionId>>,
}

/// A planned move of a region's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// The region whose traffic moves.
    pub from: RegionId,
    /// The region that takes it.
    pub to: RegionId,
    /// The share that is to move.
    pub share: Share,
    /// The service that moves; `None` for all.
    pub service: Option<ServiceId>,
    /// How long the share takes to reach its target, from when this host first sees it.
    pub ramp: Duration,
}

/// A planned drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Drain {
    /// Traffic leaves a zone for the others of its region, then for other regions.
    Zone(ZoneId),
    /// Traffic leaves a region.
    Region(RegionId),
    /// An endpoint gets no new work.
    Endpoint(EndpointId),
}

/// A cap on the share of one region's traffic that goes to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapSpec {
    /// The region whose traffic is shifted; `None` for any.
    pub from: Option<RegionId>,
    /// The region that takes it; `None` for any.
    pub to: Option<RegionId>,
    /// The cap.
    pub cap: Cap,
    /// Whether it counts only between regions for which no other cap is set.
    pub fallback: bool,
}

/// How much of a region's traffic may go to one other region, and how fast that may grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cap {
    /// The share that is never passed.
    pub level: Share,
    /// The share that is open at once.
    pub start: Share,
    /// How much the open share grows per second while it is wanted.
    pub rise: Share,
}

impl Cap {
    /// What both caps allow.
    pub(crate) fn tighter(self, other: Self) -> Self {
        Self {
            level: self.level.min(other.level),
            start: self.start.min(other.start),
            rise: self.rise.min(other.rise),
        }
    }
}

impl Default for Cap {
    fn default() -> Self {
        const PPM: [Option<Share>; 2] = [Share::from_ppm(100_000), Share::from_ppm(20_000)];
        let [start, rise] = PPM.map(|share| share.unwrap_or(Share::NONE));
        Self {
            level: Share::ALL,
            start,
            rise,
        }
    }
}

/// Whether a host takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It serves.
    Serving,
    /// It is stopping: it takes no new work and is left out of look-ups.
    Leaving,
    /// It is not heard.
    Dead,
}

/// An entry host as membership sees it.
#[derive(Debug, Clone)]
pub struct HostView {
    /// Its name.
    pub id: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes part.
    pub state: HostState,
}
