//! Checked records.

mod blocks;
mod place;
mod service;
mod shift;
mod team;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Category, ConfigError, Kind, Raw, RecordKey, Row};

pub use blocks::{Block, Blocks};
pub use place::{Host, Region, Site, Zone};
pub use service::{Class, Endpoint, Service};
pub use shift::{Drain, DrainTarget, Move};
pub use team::{CutOff, Scope, Team};

/// A record whose fields have been checked.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A region.
    Region(Arc<Region>),
    /// A zone.
    Zone(Arc<Zone>),
    /// An entry host.
    Host(Arc<Host>),
    /// A service.
    Service(Arc<Service>),
    /// An endpoint.
    Endpoint(Arc<Endpoint>),
    /// A team.
    Team(Arc<Team>),
    /// A planned move.
    Move(Arc<Move>),
    /// A drain.
    Drain(Arc<Drain>),
    /// A site.
    Site(Arc<Site>),
    /// One part of the client blocks.
    Blocks(Arc<Blocks>),
    /// A kind or schema version that this build does not know; it is kept and never acted on.
    Unknown(Unknown),
}

/// A record of an unknown kind or schema version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    /// The record's key.
    pub key: RecordKey,
    /// Its schema version.
    pub schema: u32,
}

impl TryFrom<&Raw> for Record {
    type Error = ConfigError;

    fn try_from(raw: &Raw) -> Result<Self, ConfigError> {
        let key = raw.key().map_err(|e| bad_key(raw, &e))?;
        Self::check(
            &Source {
                key: &key,
                schema: raw.schema,
            },
            &raw.body,
        )
    }
}

impl Record {
    /// Checks the record that a row holds; `None` where it is withdrawn.
    ///
    /// # Errors
    ///
    /// Fails where the body is not JSON or does not fit the kind's schema.
    pub fn of(row: &Row) -> Result<Option<Self>, ConfigError> {
        let Some(body) = &row.body else {
            return Ok(None);
        };
        let body: Value = serde_json::from_str(body)
            .map_err(|e| ConfigError::new(Category::Malformed, &row.key, "body", &e))?;
        let source = Source {
            key: &row.key,
            schema: row.schema,
        };
        Self::check(&source, &body).map(Some)
    }

    fn check(source: &Source<'_>, body: &Value) -> Result<Self, ConfigError> {
        let record = match (source.key.known(), source.schema) {
            (Some(Kind::Region), 1) => Self::Region(Arc::new(place::region(source, body)?)),
            (Some(Kind::Zone), 1) => Self::Zone(Arc::new(place::zone(source, body)?)),
            (Some(Kind::Host), 1) => Self::Host(Arc::new(place::host(source, body)?)),
            (Some(Kind::Site), 1) => Self::Site(Arc::new(place::site(source, body)?)),
            (Some(Kind::Service), 1) => Self::Service(Arc::new(service::service(source, body)?)),
            (Some(Kind::Endpoint), 1) => Self::Endpoint(Arc::new(service::endpoint(source, body)?)),
            (Some(Kind::Team), 1) => Self::Team(Arc::new(team::schema_1(source, body)?)),
            (Some(Kind::Team), 2) => Self::Team(Arc::new(team::schema_2(source, body)?)),
            (Some(Kind::Move), 1) => Self::Move(Arc::new(shift::planned(source, body)?)),
            (Some(Kind::Drain), 1) => Self::Drain(Arc::new(shift::drain(source, body)?)),
            (Some(Kind::Blocks), 1) => Self::Blocks(Arc::new(blocks::blocks(source, body)?)),
            _ => Self::Unknown(Unknown {
                key: source.key.clone(),
                schema: source.schema,
            }),
        };
        Ok(record)
    }
}

/// What the checks of a body know of the record round it.
pub(crate) struct Source<'a> {
    key: &'a RecordKey,
    schema: u32,
}

impl Source<'_> {
    /// Reads the body; an unknown, missing or mistyped field is an error that names it.
    fn read<T: DeserializeOwned>(&self, body: &Value) -> Result<T, ConfigError> {
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

    /// Reads the record's name as an identifier.
    fn id<T>(&self) -> Result<T, ConfigError>
    where
        T: std::str::FromStr<Err = wagtail_types::ParseError>,
    {
        let name = self.key.name();
        name.parse()
            .map_err(|e| ConfigError::new(Category::Name, self.key, "name", &e))
    }

    /// An error about the value of a field.
    fn value(&self, field: &str, reason: &(impl ToString + ?Sized)) -> ConfigError {
        ConfigError::new(Category::Value, self.key, format!("body.{field}"), reason)
    }

    /// Fails with `reason` unless `good`.
    fn require(&self, good: bool, field: &str, reason: &str) -> Result<(), ConfigError> {
        if good {
            Ok(())
        } else {
            Err(self.value(field, reason))
        }
    }
}

fn bad_key(raw: &Raw, error: &wagtail_types::ParseError) -> ConfigError {
    let shown = |text: &str| -> String {
        let plain = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(*c);
        let kept: String = text.chars().filter(plain).take(48).collect();
        if kept.is_empty() {
            "-".to_owned()
        } else {
            kept
        }
    };
    let key =
        RecordKey::new(&shown(&raw.kind), &shown(&raw.name)).expect("only allowed characters");
    ConfigError::new(Category::Name, &key, "name", error)
}
