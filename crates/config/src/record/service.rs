//! Services and their endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{EndpointId, ServiceId, ZoneId};

use super::Source;
use crate::ConfigError;

const MAX_WEIGHT: u32 = 1_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_SLOTS: u32 = 100_000;

/// The label under which a service's requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Class(String);

impl Class {
    /// The label as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A service that endpoints offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name.
    pub id: ServiceId,
    /// The class that it is counted under.
    pub class: Class,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Its share of a contended queue, against the weights of the others.
    pub weight: u32,
    /// The deadline of a request that brings none.
    pub deadline: Duration,
    /// Whether it serves callers without a key.
    pub open: bool,
}

/// An endpoint of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The name.
    pub id: EndpointId,
    /// The service that it offers.
    pub service: ServiceId,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceBody {
    class: String,
    idempotent: bool,
    #[serde(default = "one")]
    weight: u32,
    deadline_ms: u64,
    #[serde(default)]
    open: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointBody {
    service: ServiceId,
    zone: ZoneId,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
}

fn one() -> u32 {
    1
}

pub(super) fn service(source: &Source<'_>, body: &Value) -> Result<Service, ConfigError> {
    let raw: ServiceBody = source.read(body)?;
    let label = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let good = !raw.class.is_empty() && raw.class.len() <= 32 && raw.class.bytes().all(label);
    source.require(
        good,
        "class",
        "1 to 32 characters of a-z, 0-9 and '-' are allowed",
    )?;
    let weighty = (1..=MAX_WEIGHT).contains(&raw.weight);
    source.require(weighty, "weight", "it must lie between 1 and 1000")?;
    let timely = (1..=MAX_DEADLINE_MS).contains(&raw.deadline_ms);
    source.require(timely, "deadline_ms", "it must lie between 1 and 600000")?;
    Ok(Service {
        id: source.id()?,
        class: Class(raw.class),
        idempotent: raw.idempotent,
        weight: raw.weight,
        deadline: Duration::from_millis(raw.deadline_ms),
        open: raw.open,
    })
}

pub(super) fn endpoint(source: &Source<'_>, body: &Value) -> Result<Endpoint, ConfigError> {
    let raw: EndpointBody = source.read(body)?;
    source.require(raw.addr.port() != 0, "addr", "the port must not be 0")?;
    let roomy = (1..=MAX_SLOTS).contains(&raw.slots);
    source.require(roomy, "slots", "it must lie between 1 and 100000")?;
    let wide = raw.connections >= raw.slots;
    source.require(wide, "connections", "fewer connections than slots")?;
    Ok(Endpoint {
        id: source.id()?,
        service: raw.service,
        zone: raw.zone,
        addr: raw.addr,
        slots: raw.slots,
        connections: raw.connections,
    })
}
