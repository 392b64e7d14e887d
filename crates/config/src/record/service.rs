//! Services and their endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{EndpointId, ServiceId, ZoneId};

use super::Validator;
use crate::ConfigError;

const MAX_WEIGHT: u32 = 1_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_SLOTS: u32 = 100_000;

/// Names the class under which metrics count the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Class(String);

impl Class {
    /// Returns the class as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Describes a service that endpoints offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The record's name, by which requests, endpoints, teams and moves refer to the service.
    pub id: ServiceId,
    /// The class under which metrics count its requests.
    pub class: Class,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Its share of a contended queue, relative to the weights of the other services; 1 to 1000.
    pub weight: u32,
    /// The deadline of a request that sets none; 1 ms to 10 minutes.
    pub deadline: Duration,
    /// Whether callers need no key.
    pub open: bool,
}

/// Describes an endpoint of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The record's name, by which drains and the platform's list refer to the endpoint.
    pub id: EndpointId,
    /// The service that it offers.
    pub service: ServiceId,
    /// The zone that it runs in; its serving hosts own the slots, or the region's if it has none.
    pub zone: ZoneId,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// How many requests it runs concurrently; 1 to 100000.
    pub slots: u32,
    /// How many connections it accepts; at least `slots`.
    pub connections: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceBody {
    class: String,
    idempotent: bool,
    #[serde(default = "default_weight")]
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

fn default_weight() -> u32 {
    1
}

pub(super) fn service(validator: &Validator<'_>, body: &Value) -> Result<Service, ConfigError> {
    let raw: ServiceBody = validator.parse(body)?;
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let valid_class =
        !raw.class.is_empty() && raw.class.len() <= 32 && raw.class.bytes().all(is_allowed);
    validator.require(
        valid_class,
        "class",
        "1 to 32 characters of a-z, 0-9 and '-' are allowed",
    )?;
    let valid_weight = (1..=MAX_WEIGHT).contains(&raw.weight);
    validator.require(valid_weight, "weight", "it must lie between 1 and 1000")?;
    let valid_deadline = (1..=MAX_DEADLINE_MS).contains(&raw.deadline_ms);
    validator.require(
        valid_deadline,
        "deadline_ms",
        "it must lie between 1 and 600000",
    )?;
    Ok(Service {
        id: validator.id()?,
        class: Class(raw.class),
        idempotent: raw.idempotent,
        weight: raw.weight,
        deadline: Duration::from_millis(raw.deadline_ms),
        open: raw.open,
    })
}

pub(super) fn endpoint(validator: &Validator<'_>, body: &Value) -> Result<Endpoint, ConfigError> {
    let raw: EndpointBody = validator.parse(body)?;
    validator.require(raw.addr.port() != 0, "addr", "the port must not be 0")?;
    let valid_slots = (1..=MAX_SLOTS).contains(&raw.slots);
    validator.require(valid_slots, "slots", "it must lie between 1 and 100000")?;
    let enough_connections = raw.connections >= raw.slots;
    validator.require(
        enough_connections,
        "connections",
        "it must be at least the number of slots",
    )?;
    Ok(Endpoint {
        id: validator.id()?,
        service: raw.service,
        zone: raw.zone,
        addr: raw.addr,
        slots: raw.slots,
        connections: raw.connections,
    })
}
