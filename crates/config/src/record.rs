//! Validated records.

mod blocks;
mod service;
mod team;
mod topology;
mod traffic;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Category, ConfigError, Kind, RawRecord, RecordKey, Row};

pub use blocks::{Block, Blocks};
pub use service::{Class, Endpoint, Service};
pub use team::{CutOff, Scope, Team};
pub use topology::{Host, Region, Site, Zone};
pub use traffic::{Drain, DrainTarget, Move};

/// Holds a record whose fields have been validated.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A region, its one-way delays and its links.
    Region(Arc<Region>),
    /// An availability zone of a region.
    Zone(Arc<Zone>),
    /// An entry host and its addresses.
    Host(Arc<Host>),
    /// A service and how its requests are treated.
    Service(Arc<Service>),
    /// An endpoint of a service, its zone and its capacity.
    Endpoint(Arc<Endpoint>),
    /// A team, its keys, its rate and its entitlements.
    Team(Arc<Team>),
    /// A planned move of traffic.
    Move(Arc<Move>),
    /// A drain of an endpoint, zone or region.
    Drain(Arc<Drain>),
    /// A client site and the zones that serve it best.
    Site(Arc<Site>),
    /// One part of the client blocks.
    Blocks(Arc<Blocks>),
    /// A record of a kind or schema version that this build does not know. It is kept, but never
    /// acted on.
    Unknown(Unknown),
}

/// Identifies a record of an unknown kind or schema version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    /// The record's key.
    pub key: RecordKey,
    /// The version of the body's schema.
    pub schema: u32,
}

impl TryFrom<&RawRecord> for Record {
    type Error = ConfigError;

    fn try_from(raw: &RawRecord) -> Result<Self, ConfigError> {
        let key = raw.key().map_err(|e| key_error(raw, &e))?;
        Self::check(
            &Validator {
                key: &key,
                schema: raw.schema,
            },
            &raw.body,
        )
    }
}

impl Record {
    /// Validates the record that a row holds; `None` if the record is withdrawn.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON or does not match the kind's schema.
    pub fn from_row(row: &Row) -> Result<Option<Self>, ConfigError> {
        let Some(body) = &row.body else {
            return Ok(None);
        };
        let body: Value = serde_json::from_str(body)
            .map_err(|e| ConfigError::new(Category::Malformed, &row.key, "body", &e))?;
        let validator = Validator {
            key: &row.key,
            schema: row.schema,
        };
        Self::check(&validator, &body).map(Some)
    }

    fn check(validator: &Validator<'_>, body: &Value) -> Result<Self, ConfigError> {
        let record = match (validator.key.known_kind(), validator.schema) {
            (Some(Kind::Region), 1) => Self::Region(Arc::new(topology::region(validator, body)?)),
            (Some(Kind::Zone), 1) => Self::Zone(Arc::new(topology::zone(validator, body)?)),
            (Some(Kind::Host), 1) => Self::Host(Arc::new(topology::host(validator, body)?)),
            (Some(Kind::Site), 1) => Self::Site(Arc::new(topology::site(validator, body)?)),
            (Some(Kind::Service), 1) => Self::Service(Arc::new(service::service(validator, body)?)),
            (Some(Kind::Endpoint), 1) => {
                Self::Endpoint(Arc::new(service::endpoint(validator, body)?))
            }
            (Some(Kind::Team), 1) => Self::Team(Arc::new(team::schema_1(validator, body)?)),
            (Some(Kind::Team), 2) => Self::Team(Arc::new(team::schema_2(validator, body)?)),
            (Some(Kind::Move), 1) => Self::Move(Arc::new(traffic::planned_move(validator, body)?)),
            (Some(Kind::Drain), 1) => Self::Drain(Arc::new(traffic::drain(validator, body)?)),
            (Some(Kind::Blocks), 1) => Self::Blocks(Arc::new(blocks::blocks(validator, body)?)),
            _ => Self::Unknown(Unknown {
                key: validator.key.clone(),
                schema: validator.schema,
            }),
        };
        Ok(record)
    }
}

/// Parses and validates the body of one record and reports faults under its key.
pub(crate) struct Validator<'a> {
    key: &'a RecordKey,
    schema: u32,
}

impl Validator<'_> {
    /// Parses the body. An unknown, missing or mistyped field is an error that names the field.
    fn parse<T: DeserializeOwned>(&self, body: &Value) -> Result<T, ConfigError> {
        if !body.is_object() {
            let reason = "an object was expected";
            return Err(ConfigError::new(Category::Field, self.key, "body", reason));
        }
        serde_path_to_error::deserialize(body).map_err(|e| {
            let path = e.path().to_string();
            let field = if path == "." {
                "body".to_owned()
            } else {
                format!("body.{path}")
            };
            ConfigError::new(Category::Field, self.key, field, e.inner())
        })
    }

    /// Parses the record's name as an identifier.
    fn id<T>(&self) -> Result<T, ConfigError>
    where
        T: std::str::FromStr<Err = wagtail_types::ParseError>,
    {
        let name = self.key.name();
        name.parse()
            .map_err(|e| ConfigError::new(Category::Name, self.key, "name", &e))
    }

    /// Creates an error about the value of a field.
    fn value_error(&self, field: &str, reason: &(impl ToString + ?Sized)) -> ConfigError {
        ConfigError::new(Category::Value, self.key, format!("body.{field}"), reason)
    }

    /// Fails with `reason` unless `valid`.
    fn require(&self, valid: bool, field: &str, reason: &str) -> Result<(), ConfigError> {
        if valid {
            Ok(())
        } else {
            Err(self.value_error(field, reason))
        }
    }
}

/// Reports a malformed key. Characters that a key must not hold are left out of the key shown.
fn key_error(raw: &RawRecord, error: &wagtail_types::ParseError) -> ConfigError {
    let sanitize = |text: &str| -> String {
        let is_allowed =
            |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(*c);
        let kept: String = text.chars().filter(is_allowed).take(48).collect();
        if kept.is_empty() {
            "-".to_owned()
        } else {
            kept
        }
    };
    let key = RecordKey::new(&sanitize(&raw.kind), &sanitize(&raw.name))
        .expect("only allowed characters");
    ConfigError::new(Category::Name, &key, "name", error)
}
