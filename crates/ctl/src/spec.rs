//! Builds the configuration records that commands write.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use wagtail_config::{DrainTarget, RawRecord, RecordKey};
use wagtail_types::{KeyDigest, ParseError, RegionId, ServiceId, Share};

const RECORD_SCHEMA: u32 = 1;

/// Describes a drain to start or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSpec {
    /// The endpoint, zone or region to drain.
    pub target: DrainTarget,
    /// The largest share of the target's traffic that may be sent to any one region.
    pub cap: Share,
}

impl DrainSpec {
    /// Returns the record's key, which is the same for every drain of one target.
    ///
    /// # Errors
    ///
    /// Returns an error if the target's name is too long for a key.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        let (field, name) = self.target_field();
        RecordKey::new("drain", &format!("{field}-{name}"))
    }

    /// Returns the drain as a record to commit.
    ///
    /// # Errors
    ///
    /// Returns an error if the target's name is too long for a key.
    pub fn raw(&self) -> Result<RawRecord, ParseError> {
        let (field, name) = self.target_field();
        Ok(raw_record(
            &self.key()?,
            json!({ field: name, "cap": self.cap }),
        ))
    }

    /// Returns the record field that names the target, and the target's name.
    fn target_field(&self) -> (&'static str, &str) {
        match &self.target {
            DrainTarget::Endpoint(id) => ("endpoint", id.as_str()),
            DrainTarget::Zone(id) => ("zone", id.as_str()),
            DrainTarget::Region(id) => ("region", id.as_str()),
        }
    }
}

/// Describes a move of traffic between regions to start, change or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// The service whose traffic is moved.
    pub service: ServiceId,
    /// The region that the traffic comes from.
    pub from: RegionId,
    /// The region that serves it instead.
    pub to: RegionId,
    /// The share of the traffic to move once the ramp is complete.
    pub share: Share,
    /// The largest share that may be moved at any time.
    pub cap: Share,
    /// Duration of the ramp up to `share`, in seconds.
    pub ramp_s: u64,
}

impl MoveSpec {
    /// Returns the record's key, which is the same for every move of a service between two regions.
    ///
    /// # Errors
    ///
    /// Returns an error if the names are too long for a key.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        RecordKey::new(
            "move",
            &format!("{}.{}.{}", self.service, self.from, self.to),
        )
    }

    /// Returns the move as a record to commit.
    ///
    /// # Errors
    ///
    /// Returns an error if the names are too long for a key.
    pub fn raw(&self) -> Result<RawRecord, ParseError> {
        let body = json!({
            "service": self.service,
            "from": self.from,
            "to": self.to,
            "share": self.share,
            "cap": self.cap,
            "ramp_s": self.ramp_s,
        });
        Ok(raw_record(&self.key()?, body))
    }
}

/// Returns the SHA-256 digest of a key as read from input, without the line ending after it.
pub fn key_digest(input: &[u8]) -> KeyDigest {
    let line = input.strip_suffix(b"\n").unwrap_or(input);
    let key = line.strip_suffix(b"\r").unwrap_or(line);
    KeyDigest(Sha256::digest(key).into())
}

fn raw_record(key: &RecordKey, body: Value) -> RawRecord {
    RawRecord {
        kind: key.kind().to_owned(),
        name: key.name().to_owned(),
        schema: RECORD_SCHEMA,
        body,
    }
}
