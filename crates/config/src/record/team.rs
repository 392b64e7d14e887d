//! Teams: schema 1 with a limit, schema 2 with rate, burst and regions.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{KeyDigest, Rate, RegionId, ServiceId, TeamId, Tokens};

use super::Source;
use crate::ConfigError;

const MAX_KEYS: usize = 64;
const MAX_BURST_SECONDS: u64 = 3_600;

/// What a cut-off host does with a team's requests once its keys may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// Refuses them, so that a withdrawn key stops.
    #[display("refuse")]
    Refuse,
    /// Serves them with the keys that it has.
    #[display("serve")]
    Serve,
}

/// The members of a set that a team may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope<T> {
    /// Every one.
    All,
    /// Only these.
    Only(BTreeSet<T>),
}

impl<T: Ord> Scope<T> {
    /// Whether `item` is in the scope.
    pub fn allows(&self, item: &T) -> bool {
        match self {
            Self::All => true,
            Self::Only(items) => items.contains(item),
        }
    }
}

/// A team, its rate and its entitlements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name.
    pub id: TeamId,
    /// What it may send over all hosts together.
    pub rate: Rate,
    /// What it may send at once.
    pub burst: Tokens,
    /// The digests of its keys.
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
struct Body1 {
    limit: Rate,
    burst_seconds: u64,
    #[serde(default)]
    keys: Vec<KeyDigest>,
    services: Vec<ServiceId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body2 {
    rate: Rate,
    burst: u64,
    #[serde(default)]
    keys: Vec<KeyDigest>,
    services: Vec<ServiceId>,
    #[serde(default)]
    regions: Option<Vec<RegionId>>,
    #[serde(default = "refuse")]
    cut_off: CutOff,
}

fn refuse() -> CutOff {
    CutOff::Refuse
}

pub(super) fn schema_1(source: &Source<'_>, body: &Value) -> Result<Team, ConfigError> {
    let raw: Body1 = source.read(body)?;
    let short = raw.burst_seconds <= MAX_BURST_SECONDS;
    source.require(short, "burst_seconds", "it must be at most 3600")?;
    let team = Team {
        id: source.id()?,
        rate: raw.limit,
        burst: raw.limit.over(Duration::from_secs(raw.burst_seconds)),
        keys: digests(source, raw.keys)?,
        services: raw.services.into_iter().collect(),
        regions: Scope::All,
        cutoff: CutOff::Refuse,
    };
    check(source, &team, ["limit", "burst_seconds"])?;
    Ok(team)
}

pub(super) fn schema_2(source: &Source<'_>, body: &Value) -> Result<Team, ConfigError> {
    const MAX_BURST: u64 = 1_000_000_000;
    let raw: Body2 = source.read(body)?;
    source.require(
        raw.burst <= MAX_BURST,
        "burst",
        "it must be at most 1000000000",
    )?;
    let regions = match raw.regions {
        None => Scope::All,
        Some(list) => Scope::Only(list.into_iter().collect()),
    };
    let team = Team {
        id: source.id()?,
        rate: raw.rate,
        burst: Tokens::whole(raw.burst),
        keys: digests(source, raw.keys)?,
        services: raw.services.into_iter().collect(),
        regions,
        cutoff: raw.cut_off,
    };
    check(source, &team, ["rate", "burst"])?;
    Ok(team)
}

fn digests(source: &Source<'_>, keys: Vec<KeyDigest>) -> Result<BTreeSet<KeyDigest>, ConfigError> {
    source.require(keys.len() <= MAX_KEYS, "keys", "more than 64 keys")?;
    let count = keys.len();
    let keys: BTreeSet<_> = keys.into_iter().collect();
    source.require(keys.len() == count, "keys", "a digest is listed twice")?;
    Ok(keys)
}

fn check(source: &Source<'_>, team: &Team, [rate, burst]: [&str; 2]) -> Result<(), ConfigError> {
    source.require(team.rate > Rate::ZERO, rate, "it must be more than 0")?;
    source.require(
        team.burst >= Tokens::ONE,
        burst,
        "it must allow at least one request",
    )?;
    if let Scope::Only(regions) = &team.regions {
        source.require(
            !regions.is_empty(),
            "regions",
            "at least one region is needed",
        )?;
    }
    Ok(())
}
