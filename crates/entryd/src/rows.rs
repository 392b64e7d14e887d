//! Lease and claim rows in the platform's table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wagtail_once::{ClaimResult, ClaimRow};
use wagtail_quota::{Member, ReadOutcome, Row, ShardId, TeamSpread, TeamTokens, WriteOutcome};
use wagtail_store::{Access, PlatformError, Priority, Receipt, RowKey, Txn, Write};
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, TeamId, Tokens};

use crate::calls;
use crate::host::Host;

const LEASES: &str = "lease";
const CLAIMS: &str = "claim";

/// A host and its incarnation, as stored in a lease row.
#[derive(Debug, Serialize, Deserialize)]
struct Holder {
    host: HostId,
    incarnation: Incarnation,
}

/// The stored JSON form of a quota shard's [`Row`].
#[derive(Debug, Serialize, Deserialize)]
struct Lease {
    holder: Option<Holder>,
    epoch: Epoch,
    confirmed: Epoch,
    members: Vec<Holder>,
    attempt: String,
    tokens: Vec<(TeamId, u64)>,
    #[serde(default)]
    spreads: Vec<(TeamId, Epoch, u32)>,
}

impl From<&Member> for Holder {
    fn from(member: &Member) -> Self {
        Self {
            host: member.host.clone(),
            incarnation: member.incarnation,
        }
    }
}

impl From<Holder> for Member {
    fn from(holder: Holder) -> Self {
        Self {
            host: holder.host,
            incarnation: holder.incarnation,
        }
    }
}

impl From<&Row> for Lease {
    fn from(row: &Row) -> Self {
        Self {
            holder: row.holder.as_ref().map(Holder::from),
            epoch: row.epoch,
            confirmed: row.confirmed,
            members: row.members.iter().map(Holder::from).collect(),
            attempt: row.attempt.to_string(),
            tokens: row
                .tokens
                .iter()
                .map(|t| (t.team.clone(), t.tokens.micros()))
                .collect(),
            spreads: row
                .spreads
                .iter()
                .map(|s| (s.team.clone(), s.since, s.count))
                .collect(),
        }
    }
}

impl TryFrom<Lease> for Row {
    type Error = wagtail_types::ParseError;

    fn try_from(lease: Lease) -> Result<Self, Self::Error> {
        let tokens = |(team, micros)| TeamTokens {
            team,
            tokens: Tokens::from_micros(micros),
        };
        let spread = |(team, since, count)| TeamSpread { team, since, count };
        Ok(Self {
            spreads: lease.spreads.into_iter().map(spread).collect(),
            holder: lease.holder.map(Member::from),
            epoch: lease.epoch,
            confirmed: lease.confirmed,
            members: lease.members.into_iter().map(Member::from).collect(),
            attempt: lease.attempt.parse()?,
            tokens: lease.tokens.into_iter().map(tokens).collect(),
        })
    }
}

async fn read(
    host: &Arc<Host>,
    priority: Priority,
    key: &RowKey,
) -> Result<Option<wagtail_store::Row>, PlatformError> {
    calls::call(host, priority, Access::Read, host.platform.read(key)).await
}

async fn write(host: &Arc<Host>, priority: Priority, txn: &Txn) -> Result<Receipt, PlatformError> {
    calls::call(host, priority, Access::Write, host.platform.transact(txn)).await
}

fn lease_key(shard: &ShardId) -> RowKey {
    RowKey::new(LEASES, &shard.to_string())
}

/// Reads the row of a shard's lease.
pub(crate) async fn read_lease(host: &Arc<Host>, shard: &ShardId) -> ReadOutcome {
    match read(host, Priority::Lease, &lease_key(shard)).await {
        Ok(None) => ReadOutcome::Absent,
        Ok(Some(row)) => {
            parse_lease(&row.value).map_or(ReadOutcome::Failed, |lease| ReadOutcome::Found {
                version: row.version,
                row: lease,
            })
        }
        Err(_) => ReadOutcome::Failed,
    }
}

fn parse_lease(text: &str) -> Option<Row> {
    serde_json::from_str::<Lease>(text).ok()?.try_into().ok()
}

/// Writes the lease row of a shard if the stored version is the expected one.
pub(crate) async fn write_lease(
    host: &Arc<Host>,
    shard: &ShardId,
    expected: Option<u64>,
    row: &Row,
) -> WriteOutcome {
    let Ok(text) = serde_json::to_string(&Lease::from(row)) else {
        return WriteOutcome::Unknown;
    };
    let key = lease_key(shard);
    let txn = Txn::new(row.attempt)
        .check(key.clone(), expected)
        .write(Write::put(key, &text));
    match write(host, Priority::Lease, &txn).await {
        Ok(receipt) => WriteOutcome::Applied {
            version: receipt.version,
        },
        Err(PlatformError::Conflict { .. }) => WriteOutcome::Conflict,
        // Other failures count as unknown too: the row is read back, as after a lost response.
        Err(_) => WriteOutcome::Unknown,
    }
}

/// The stored JSON form of a [`ClaimRow`].
#[derive(Debug, Serialize, Deserialize)]
struct Claim {
    host: HostId,
    incarnation: Incarnation,
    attempt: String,
    lasts_secs: u64,
}

fn claim_key(row: &ClaimRow) -> RowKey {
    RowKey::new(CLAIMS, &format!("{}/{}/{}", row.team, row.service, row.key))
}

/// Inserts the row of a claim unless one is stored.
pub(crate) async fn write_claim(host: &Arc<Host>, claim: AttemptId, row: &ClaimRow) -> ClaimResult {
    let value = Claim {
        host: row.host.clone(),
        incarnation: row.incarnation,
        attempt: claim.to_string(),
        lasts_secs: row.retention.as_secs(),
    };
    let Ok(text) = serde_json::to_string(&value) else {
        return ClaimResult::Unavailable;
    };
    let key = claim_key(row);
    let txn = Txn::new(claim)
        .check(key.clone(), None)
        .write(Write::put(key, &text));
    match write(host, Priority::Claim, &txn).await {
        Ok(_) => ClaimResult::Applied,
        Err(PlatformError::Conflict { .. }) => read_claim(host, claim, row).await,
        Err(PlatformError::Unknown { .. }) => ClaimResult::Unknown,
        Err(PlatformError::Unavailable { .. } | PlatformError::NotApplied { .. }) => {
            ClaimResult::Unavailable
        }
    }
}

/// Reads the row of a claim and returns who holds it.
pub(crate) async fn read_claim(host: &Arc<Host>, claim: AttemptId, row: &ClaimRow) -> ClaimResult {
    match read(host, Priority::Claim, &claim_key(row)).await {
        Ok(None) => ClaimResult::Absent,
        Ok(Some(found)) if found.attempt == claim => ClaimResult::Applied,
        Ok(Some(found)) => match serde_json::from_str::<Claim>(&found.value) {
            Ok(held) => ClaimResult::AlreadyHeldBy {
                host: held.host,
                incarnation: held.incarnation,
            },
            Err(_) => ClaimResult::Unknown,
        },
        Err(_) => ClaimResult::Unknown,
    }
}
