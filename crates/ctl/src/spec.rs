//! Records that commands write.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use wagtail_config::{DrainTarget, RawRecord, RecordKey};
use wagtail_types::{KeyDigest, ParseError, RegionId, ServiceId, Share};

const SCHEMA: u32 = 1;

/// A drain to start or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSpec {
    /// What is drained.
    pub target: DrainTarget,
    /// The largest share of its traffic that may go to any one region.
    pub cap: Share,
}

impl DrainSpec {
    /// The record's key, the same for every drain of one target.
    ///
    /// # Errors
    ///
    /// Fails where the target's name is too long for a key.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        let (field, name) = self.parts();
        RecordKey::new("drain", &format!("{field}-{name}"))
    }

    /// The record.
    ///
    /// # Errors
    ///
    /// Fails where the target's name is too long for a key.
    pub fn raw(&self) -> Result<RawRecord, ParseError> {
        let (field, name) = self.parts();
        Ok(raw(&self.key()?, json!({ field: name, "cap": self.cap })))
    }

    fn parts(&self) -> (&'static str, &str) {
        match &self.target {
            DrainTarget::Endpoint(id) => ("endpoint", id.as_str()),
            DrainTarget::Zone(id) => ("zone", id.as_str()),
            DrainTarget::Region(id) => ("region", id.as_str()),
        }
    }
}

/// A move to start, change or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// The service.
    pub service: ServiceId,
    /// The region that the traffic comes from.
    pub from: RegionId,
    /// The region that serves it instead.
    pub to: RegionId,
    /// The share to move in the end.
    pub share: Share,
    /// The largest share at any time.
    pub cap: Share,
    /// How long it takes, in seconds.
    pub ramp_s: u64,
}

impl MoveSpec {
    /// The record's key, the same for every move of a service between two regions.
    ///
    /// # Errors
    ///
    /// Fails where the names are too long for a key.
    pub fn key(&self) -> Result<RecordKey, ParseError> {
        RecordKey::new(
            "move",
            &format!("{}.{}.{}", self.service, self.from, self.to),
        )
    }

    /// The record.
    ///
    /// # Errors
    ///
    /// Fails where the names are too long for a key.
    pub fn raw(&self) -> Result<RawRecord, ParseError> {
        let body = json!({
            "service": self.service,
            "from": self.from,
            "to": self.to,
            "share": self.share,
            "cap": self.cap,
            "ramp_s": self.ramp_s,
        });
        Ok(raw(&self.key()?, body))
    }
}

/// The digest of a key as read from input; a line end after it is no part of it.
pub fn key_digest(input: &[u8]) -> KeyDigest {
    let line = input.strip_suffix(b"\n").unwrap_or(input);
    let key = line.strip_suffix(b"\r").unwrap_or(line);
    KeyDigest(Sha256::digest(key).into())
}

fn raw(key: &RecordKey, body: Value) -> RawRecord {
    RawRecord {
        kind: key.kind().to_owned(),
        name: key.name().to_owned(),
        schema: SCHEMA,
        body,
    }
}
