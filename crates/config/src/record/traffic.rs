//! Planned moves of traffic and drains.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{EndpointId, RecordId, RegionId, ServiceId, Share, ZoneId};

use super::Validator;
use crate::ConfigError;

const MAX_RAMP_S: u64 = 604_800; // one week

/// Describes a planned move of part of a service's traffic from one region to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The record's name, under which the move is replaced or withdrawn.
    pub id: RecordId,
    /// The service whose traffic moves.
    pub service: ServiceId,
    /// The region that the traffic comes from.
    pub from: RegionId,
    /// The region that serves the traffic instead.
    pub to: RegionId,
    /// The share of the region's traffic that is moved once the ramp is over.
    pub share: Share,
    /// The largest share that may be moved to the destination at any time, for any reason.
    pub cap: Share,
    /// How long the moved share takes to grow from zero to `share`; at most one week.
    pub ramp: Duration,
}

/// Names what a drain takes out of service.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DrainTarget {
    /// One endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointId),
    /// Every endpoint of a zone.
    #[display("zone {_0}")]
    Zone(ZoneId),
    /// Every endpoint of a region.
    #[display("region {_0}")]
    Region(RegionId),
}

/// Describes a drain, whose target gets no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// The record's name, under which the drain is replaced or withdrawn.
    pub id: RecordId,
    /// The endpoint, zone or region that is drained.
    pub target: DrainTarget,
    /// The largest share of the target's traffic that may be moved to any one region.
    pub cap: Share,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveBody {
    service: ServiceId,
    from: RegionId,
    to: RegionId,
    share: Share,
    cap: Share,
    ramp_s: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    endpoint: Option<EndpointId>,
    zone: Option<ZoneId>,
    region: Option<RegionId>,
    #[serde(default = "default_cap")]
    cap: Share,
}

fn default_cap() -> Share {
    Share::ALL
}

pub(super) fn planned_move(validator: &Validator<'_>, body: &Value) -> Result<Move, ConfigError> {
    let raw: MoveBody = validator.parse(body)?;
    validator.require(
        raw.from != raw.to,
        "to",
        "it must differ from the source region",
    )?;
    validator.require(raw.share <= raw.cap, "share", "it must not exceed the cap")?;
    validator.require(
        raw.ramp_s <= MAX_RAMP_S,
        "ramp_s",
        "it must be at most 604800",
    )?;
    Ok(Move {
        id: validator.id()?,
        service: raw.service,
        from: raw.from,
        to: raw.to,
        share: raw.share,
        cap: raw.cap,
        ramp: Duration::from_secs(raw.ramp_s),
    })
}

pub(super) fn drain(validator: &Validator<'_>, body: &Value) -> Result<Drain, ConfigError> {
    let raw: DrainBody = validator.parse(body)?;
    let target = match (raw.endpoint, raw.zone, raw.region) {
        (Some(id), None, None) => DrainTarget::Endpoint(id),
        (None, Some(id), None) => DrainTarget::Zone(id),
        (None, None, Some(id)) => DrainTarget::Region(id),
        _ => {
            let reason = "exactly one of endpoint, zone and region is needed";
            return Err(validator.value_error("endpoint", reason));
        }
    };
    Ok(Drain {
        id: validator.id()?,
        target,
        cap: raw.cap,
    })
}
