//! The configured regions, zones, services and endpoints, and the membership view.

use std::time::Duration;

use wagtail_types::{EndpointId, HostId, RegionId, ServiceId, Share, TeamId, ZoneId};

/// The routing configuration, always replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    /// All zones; endpoints in zones that are not listed are not used.
    pub zones: Vec<ZoneSpec>,
    /// One-way delays between regions; a missing pair gets
    /// [`SpilloverSettings::region_delay`](crate::SpilloverSettings::region_delay).
    pub delays: Vec<Delay>,
    /// All services; the queued requests of a removed one are refused.
    pub services: Vec<ServiceSpec>,
    /// All endpoints; a removed one finishes its requests in flight.
    pub endpoints: Vec<EndpointSpec>,
    /// All teams; the key of a removed one becomes invalid.
    pub teams: Vec<TeamSpec>,
    /// Planned moves in force.
    pub moves: Vec<MoveSpec>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Caps on traffic shifted between regions.
    pub caps: Vec<CapSpec>,
}

/// A zone and the region that it belongs to.
#[derive(Debug, Clone)]
pub struct ZoneSpec {
    /// The name by which hosts, endpoints and drains refer to it.
    pub id: ZoneId,
    /// The region that it belongs to.
    pub region: RegionId,
}

/// The one-way delay between two regions, the same in both directions.
#[derive(Debug, Clone)]
pub struct Delay {
    /// One of the regions.
    pub from: RegionId,
    /// The other region, or the same one for the delay between its zones.
    pub to: RegionId,
    /// The one-way delay, by which the peers for a relay are ordered.
    pub time: Duration,
}

/// A service and the limit on the duration of its requests.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The name by which endpoints, planned moves and adverts refer to it.
    pub id: ServiceId,
    /// The longest time that one of its requests may run at an endpoint.
    pub max_duration: Duration,
}

/// An endpoint of a service and its capacity, which the hosts divide among themselves.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// The name in reports and drains; its hash determines which hosts hold the slots.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The zone in which it runs; its serving hosts divide the slots, or those of the region if
    /// the zone has none.
    pub zone: ZoneId,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// The number of connections that it accepts, summed over all hosts.
    pub connections: u32,
}

/// A team, its weight and the regions open to it.
#[derive(Debug, Clone)]
pub struct TeamSpec {
    /// The name with which [`Router::team`](crate::Router::team) looks up its key.
    pub id: TeamId,
    /// Its weight in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// The regions that may run its requests; `None` for all.
    pub regions: Option<Vec<RegionId>>,
}

/// A planned move of a region's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// The region whose traffic moves.
    pub from: RegionId,
    /// The region that receives it.
    pub to: RegionId,
    /// The share of the traffic that is to move once the ramp has ended.
    pub share: Share,
    /// The service whose traffic moves; `None` for all.
    pub service: Option<ServiceId>,
    /// The time over which the share grows to its target, counted from when this host first sees
    /// the move.
    pub ramp: Duration,
}

/// A planned drain, in force while the configuration lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Drain {
    /// Traffic leaves a zone for the others of its region, then for other regions.
    Zone(ZoneId),
    /// Traffic leaves a region for other regions, as far as the caps allow.
    Region(RegionId),
    /// An endpoint gets no new requests.
    Endpoint(EndpointId),
}

/// A cap on the share of one region's traffic that goes to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapSpec {
    /// The region whose traffic is shifted; `None` for any.
    pub from: Option<RegionId>,
    /// The region that receives it; `None` for any.
    pub to: Option<RegionId>,
    /// The limit; if several caps apply, the smallest of each value counts.
    pub cap: Cap,
    /// Whether it applies only between regions without any other cap.
    pub fallback: bool,
}

/// The share of a region's traffic that may go to one other region, and its growth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cap {
    /// The greatest value that the allowed share can reach.
    pub level: Share,
    /// The share that is allowed at once.
    pub start: Share,
    /// The growth of the allowed share per second while there is demand.
    pub rise: Share,
}

impl Cap {
    /// Returns the cap that allows only what both caps allow.
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

/// The membership state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// It takes requests.
    Serving,
    /// It is stopping: it takes no new requests and is left out of look-ups.
    Leaving,
    /// It was detected as failed.
    Dead,
}

/// An entry host in the membership view.
#[derive(Debug, Clone)]
pub struct HostView {
    /// Its name; the hash determines which slots it holds.
    pub id: HostId,
    /// The zone in which it runs and whose slots it divides with the other serving hosts.
    pub zone: ZoneId,
    /// Its membership state; only serving hosts hold slots and get relays.
    pub state: HostState,
}
