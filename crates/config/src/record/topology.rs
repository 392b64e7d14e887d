//! Regions, zones, entry hosts and sites.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{ByteRate, HostId, RegionId, Share, SiteId, ZoneId};

use super::Validator;
use crate::ConfigError;

const MILLIS_PER_SECOND: f64 = 1_000.0;
const MAX_DELAY: Duration = Duration::from_secs(10);
const DEFAULT_LINK: ByteRate = ByteRate(500_000_000);

/// Describes a region, its one-way delays and its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// The record's name, by which zones, teams, moves and drains refer to the region.
    pub id: RegionId,
    /// The one-way delay to other regions, and between the zones of this one under its own name.
    pub delays: BTreeMap<RegionId, Duration>,
    /// The capacity of its links to other regions in each direction, shared by all traffic.
    pub link: ByteRate,
    /// The largest share of its traffic that may spill over to any one region if no record sets
    /// another limit.
    pub spill: Share,
}

/// Describes an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The record's name, by which hosts, endpoints, sites and drains refer to the zone.
    pub id: ZoneId,
    /// The region that it is in.
    pub region: RegionId,
}

/// Describes an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The record's name, equal to the id in the host's own settings.
    pub id: HostId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The address for callers and operators.
    pub api: SocketAddr,
    /// The address for other entry hosts; differs from `api`.
    pub peer: SocketAddr,
}

/// Describes a client site and the zones that serve it best.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// The record's name, by which client blocks refer to the site.
    pub id: SiteId,
    /// The zones, in order of preference; at least one, and none twice.
    pub zones: Vec<ZoneId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionBody {
    #[serde(default)]
    delay_ms: BTreeMap<RegionId, f64>,
    #[serde(default = "default_link")]
    link: ByteRate,
    #[serde(default = "default_spill")]
    spill: Share,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneBody {
    region: RegionId,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostBody {
    zone: ZoneId,
    api: SocketAddr,
    peer: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteBody {
    zones: Vec<ZoneId>,
}

fn default_link() -> ByteRate {
    DEFAULT_LINK
}

fn default_spill() -> Share {
    Share::ALL
}

pub(super) fn region(validator: &Validator<'_>, body: &Value) -> Result<Region, ConfigError> {
    let raw: RegionBody = validator.parse(body)?;
    let mut delays = BTreeMap::new();
    for (to, millis) in raw.delay_ms {
        let field = format!("delay_ms.{to}");
        let delay = Duration::try_from_secs_f64(millis / MILLIS_PER_SECOND)
            .map_err(|e| validator.value_error(&field, &e))?;
        validator.require(delay <= MAX_DELAY, &field, "it must be at most 10 s")?;
        delays.insert(to, delay);
    }
    Ok(Region {
        id: validator.id()?,
        delays,
        link: raw.link,
        spill: raw.spill,
    })
}

pub(super) fn zone(validator: &Validator<'_>, body: &Value) -> Result<Zone, ConfigError> {
    let raw: ZoneBody = validator.parse(body)?;
    Ok(Zone {
        id: validator.id()?,
        region: raw.region,
    })
}

pub(super) fn host(validator: &Validator<'_>, body: &Value) -> Result<Host, ConfigError> {
    let raw: HostBody = validator.parse(body)?;
    for (field, addr) in [("api", raw.api), ("peer", raw.peer)] {
        validator.require(addr.port() != 0, field, "the port must not be 0")?;
    }
    validator.require(
        raw.api != raw.peer,
        "peer",
        "it must differ from the api address",
    )?;
    Ok(Host {
        id: validator.id()?,
        zone: raw.zone,
        api: raw.api,
        peer: raw.peer,
    })
}

pub(super) fn site(validator: &Validator<'_>, body: &Value) -> Result<Site, ConfigError> {
    let raw: SiteBody = validator.parse(body)?;
    validator.require(
        !raw.zones.is_empty(),
        "zones",
        "at least one zone is needed",
    )?;
    let distinct: BTreeSet<_> = raw.zones.iter().collect();
    validator.require(
        distinct.len() == raw.zones.len(),
        "zones",
        "a zone is listed twice",
    )?;
    Ok(Site {
        id: validator.id()?,
        zones: raw.zones,
    })
}
