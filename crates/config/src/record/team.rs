//! Teams. Schema 1 has a limit; schema 2 has a rate, a burst and allowed regions.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{KeyDigest, Rate, RegionId, ServiceId, TeamId, Tokens};

use super::Validator;
use crate::ConfigError;

const MAX_KEYS: usize = 64;
const MAX_BURST_SECONDS: u64 = 3_600;

/// Tells what a host that is cut off from the platform does with a team's requests once the team's
/// keys may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// Refuses the requests, so that a withdrawn key stops working.
    #[display("refuse")]
    Refuse,
    /// Serves the requests with the keys that the host last knew.
    #[display("serve")]
    Serve,
}

/// Selects the items that a team may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope<T> {
    /// Every item.
    All,
    /// Only the listed items.
    Only(BTreeSet<T>),
}

impl<T: Ord> Scope<T> {
    /// Returns whether `item` is in the scope.
    pub fn allows(&self, item: &T) -> bool {
        match self {
            Self::All => true,
            Self::Only(items) => items.contains(item),
        }
    }
}

/// Describes a team, its rate and its entitlements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The record's name, under which hosts keep the team's limits.
    pub id: TeamId,
    /// The rate at which it may send requests, over all hosts together.
    pub rate: Rate,
    /// How many requests it may send at once.
    pub burst: Tokens,
    /// The digests of its API keys.
    pub keys: BTreeSet<KeyDigest>,
    /// The services that it may call.
    pub services: BTreeSet<ServiceId>,
    /// The regions that may serve it.
    pub regions: Scope<RegionId>,
    /// What a cut-off host does with its requests.
    pub cutoff: CutOff,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BodyV1 {
    limit: Rate,
    burst_seconds: u64,
    #[serde(default)]
    keys: Vec<KeyDigest>,
    services: Vec<ServiceId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BodyV2 {
    rate: Rate,
    burst: u64,
    #[serde(default)]
    keys: Vec<KeyDigest>,
    services: Vec<ServiceId>,
    #[serde(default)]
    regions: Option<Vec<RegionId>>,
    #[serde(default = "default_cutoff")]
    cut_off: CutOff,
}

fn default_cutoff() -> CutOff {
    CutOff::Refuse
}

pub(super) fn schema_1(validator: &Validator<'_>, body: &Value) -> Result<Team, ConfigError> {
    let raw: BodyV1 = validator.parse(body)?;
    let valid_burst = raw.burst_seconds <= MAX_BURST_SECONDS;
    validator.require(valid_burst, "burst_seconds", "it must be at most 3600")?;
    let team = Team {
        id: validator.id()?,
        rate: raw.limit,
        burst: raw.limit.over(Duration::from_secs(raw.burst_seconds)),
        keys: unique_keys(validator, raw.keys)?,
        services: raw.services.into_iter().collect(),
        regions: Scope::All,
        cutoff: CutOff::Refuse,
    };
    check_limits(validator, &team, ["limit", "burst_seconds"])?;
    Ok(team)
}

pub(super) fn schema_2(validator: &Validator<'_>, body: &Value) -> Result<Team, ConfigError> {
    const MAX_BURST: u64 = 1_000_000_000;
    let raw: BodyV2 = validator.parse(body)?;
    validator.require(
        raw.burst <= MAX_BURST,
        "burst",
        "it must be at most 1000000000",
    )?;
    let regions = match raw.regions {
        None => Scope::All,
        Some(list) => Scope::Only(list.into_iter().collect()),
    };
    let team = Team {
        id: validator.id()?,
        rate: raw.rate,
        burst: Tokens::whole(raw.burst),
        keys: unique_keys(validator, raw.keys)?,
        services: raw.services.into_iter().collect(),
        regions,
        cutoff: raw.cut_off,
    };
    check_limits(validator, &team, ["rate", "burst"])?;
    Ok(team)
}

fn unique_keys(
    validator: &Validator<'_>,
    keys: Vec<KeyDigest>,
) -> Result<BTreeSet<KeyDigest>, ConfigError> {
    validator.require(
        keys.len() <= MAX_KEYS,
        "keys",
        "at most 64 keys are allowed",
    )?;
    let count = keys.len();
    let keys: BTreeSet<_> = keys.into_iter().collect();
    validator.require(keys.len() == count, "keys", "a digest is listed twice")?;
    Ok(keys)
}

fn check_limits(
    validator: &Validator<'_>,
    team: &Team,
    [rate, burst]: [&str; 2],
) -> Result<(), ConfigError> {
    validator.require(team.rate > Rate::ZERO, rate, "it must be more than 0")?;
    validator.require(
        team.burst >= Tokens::ONE,
        burst,
        "it must allow at least one request",
    )?;
    if let Scope::Only(regions) = &team.regions {
        validator.require(
            !regions.is_empty(),
            "regions",
            "at least one region is needed",
        )?;
    }
    Ok(())
}
