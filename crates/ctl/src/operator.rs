//! Commits operators' changes and waits until hosts have adopted them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use serde_json::{Map, Value};
use wagtail_config::{Acceptance, HostStatus, RawRecord, RecordKey, View};
use wagtail_store::{Change, CommitError, Committed, Platform, PlatformError, commit, load_config};
use wagtail_types::{Epoch, HostId, KeyDigest, TeamId, ZoneId};

use crate::{CtlError, DrainSpec, MoveSpec, watch};

/// Configures an [`Operator`].
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Addresses of the entry hosts to query; if empty, those of the configuration are used.
    pub entries: Vec<SocketAddr>,
    /// How long to wait for a change to be accepted.
    pub wait: Duration,
    /// The epoch that changes are based on; a record changed after it is not overwritten.
    pub base_epoch: Option<Epoch>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            wait: Duration::from_secs(10),
            base_epoch: None,
        }
    }
}

/// Reports how widely a committed change has been adopted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The epoch that the change was committed at.
    pub epoch: Epoch,
    /// Whether the change is accepted, or which hosts have yet to adopt it.
    pub acceptance: Acceptance,
    /// Whether any entry host answered.
    pub answered: bool,
    /// The zones that have entry hosts.
    pub zones: BTreeSet<ZoneId>,
    /// The entry hosts of the configuration.
    pub hosts: BTreeSet<HostId>,
    /// Why a snapshot that was due was not stored. Hosts that start read the table meanwhile.
    pub snapshot_failure: Option<PlatformError>,
}

/// Reads and changes the configuration on behalf of an operator.
pub struct Operator {
    platform: Arc<dyn Platform>,
    settings: OperatorSettings,
    rng: StdRng,
}

impl Operator {
    /// Creates an operator that works through `platform`. `rng` generates the attempt ids, so its seed
    /// must not repeat.
    pub fn new(platform: Arc<dyn Platform>, settings: OperatorSettings, rng: StdRng) -> Self {
        Self {
            platform,
            settings,
            rng,
        }
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails.
    pub async fn view(&self) -> Result<View, CtlError> {
        Ok(load_config(&*self.platform).await?)
    }

    /// Writes records in a single transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is invalid or was changed concurrently, or if the platform fails.
    pub async fn put(&mut self, records: Vec<RawRecord>) -> Result<Outcome, CtlError> {
        self.commit(|_| {
            Ok(Change {
                put: records.clone(),
                ..Change::default()
            })
        })
        .await
    }

    /// Sets fields of one record; a `null` value removes the field.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and if the record does not exist.
    pub async fn change(
        &mut self,
        key: &RecordKey,
        fields: &Map<String, Value>,
    ) -> Result<Outcome, CtlError> {
        self.commit(|view| {
            let mut raw = existing_record(view, key)?;
            for (field, value) in fields {
                set_field(&mut raw.body, field, value);
            }
            Ok(Change {
                put: vec![raw],
                ..Change::default()
            })
        })
        .await
    }

    /// Withdraws a record.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and if the record does not exist.
    pub async fn withdraw(&mut self, key: RecordKey) -> Result<Outcome, CtlError> {
        self.commit(|_| {
            Ok(Change {
                withdraw: vec![key.clone()],
                ..Change::default()
            })
        })
        .await
    }

    /// Grants a key to a team.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and if the team already has the key.
    pub async fn grant(&mut self, team: &TeamId, key: KeyDigest) -> Result<Outcome, CtlError> {
        self.set_key(team, key, true).await
    }

    /// Withdraws a key from a team.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and if the team does not have the key.
    pub async fn revoke(&mut self, team: &TeamId, key: KeyDigest) -> Result<Outcome, CtlError> {
        self.set_key(team, key, false).await
    }

    /// Writes the record of a drain.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    pub async fn start_drain(&mut self, spec: &DrainSpec) -> Result<Outcome, CtlError> {
        let raw = spec.raw().map_err(|e| CtlError::Usage(e.to_string()))?;
        self.put(vec![raw]).await
    }

    /// Writes the record of a move, whether new or changed.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    pub async fn start_move(&mut self, spec: &MoveSpec) -> Result<Outcome, CtlError> {
        let raw = spec.raw().map_err(|e| CtlError::Usage(e.to_string()))?;
        self.put(vec![raw]).await
    }

    /// Queries the entry hosts one after another and returns the first status received.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry host answers.
    pub async fn status(&self) -> Result<HostStatus, CtlError> {
        let host_addresses = if self.settings.entries.is_empty() {
            host_addresses(&self.view().await?)
        } else {
            self.settings.entries.clone()
        };
        let mut last = CtlError::Missing("no entry host is configured; use --entry".to_owned());
        for entry in host_addresses {
            match watch::fetch_status(entry).await {
                Ok(status) => return Ok(status),
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }

    async fn set_key(
        &mut self,
        team: &TeamId,
        key: KeyDigest,
        granted: bool,
    ) -> Result<Outcome, CtlError> {
        let record = RecordKey::new("team", team.as_str());
        let record = record.map_err(|e| CtlError::Usage(e.to_string()))?;
        self.commit(|view| {
            let mut raw = existing_record(view, &record)?;
            set_key_digest(&mut raw, &record, key, granted)?;
            Ok(Change {
                put: vec![raw],
                ..Change::default()
            })
        })
        .await
    }

    async fn commit(
        &mut self,
        mut build_change: impl FnMut(&View) -> Result<Change, CommitError> + Send,
    ) -> Result<Outcome, CtlError> {
        let base_epoch = self.settings.base_epoch;
        let build_change = |view: &View| {
            Ok(Change {
                base_epoch,
                ..build_change(view)?
            })
        };
        let Committed {
            epoch,
            view,
            snapshot_failure,
        } = commit(&*self.platform, &mut self.rng, build_change).await?;
        let configured = &self.settings.entries;
        let host_addresses = if configured.is_empty() {
            host_addresses(&view)
        } else {
            configured.clone()
        };
        let watch_result =
            watch::wait_for_acceptance(&view, &host_addresses, self.settings.wait).await;
        Ok(Outcome {
            epoch,
            acceptance: watch_result.acceptance,
            answered: watch_result.answered,
            zones: view.hosts().values().map(|h| h.zone.clone()).collect(),
            hosts: view.hosts().keys().cloned().collect(),
            snapshot_failure,
        })
    }
}

fn host_addresses(view: &View) -> Vec<SocketAddr> {
    view.hosts().values().map(|host| host.api).collect()
}

fn existing_record(view: &View, key: &RecordKey) -> Result<RawRecord, CommitError> {
    let raw = view.row(key).and_then(|row| row.raw());
    raw.ok_or_else(|| CommitError::Refused(format!("there is no record {key}")))
}

fn set_field(body: &mut Value, field: &str, value: &Value) {
    let Some(fields) = body.as_object_mut() else {
        return;
    };
    if value.is_null() {
        fields.remove(field);
    } else {
        fields.insert(field.to_owned(), value.clone());
    }
}

fn set_key_digest(
    raw: &mut RawRecord,
    record: &RecordKey,
    key: KeyDigest,
    granted: bool,
) -> Result<(), CommitError> {
    let digest = Value::from(key.to_string());
    let Some(body) = raw.body.as_object_mut() else {
        return Err(CommitError::Refused(format!("{record} has no fields")));
    };
    let keys = body
        .entry("keys")
        .or_insert_with(|| Value::from(Vec::<Value>::new()));
    let mut list = keys.as_array().cloned().unwrap_or_default();
    let present = list.contains(&digest);
    if present == granted {
        let state = if granted {
            "already has"
        } else {
            "does not have"
        };
        return Err(CommitError::Refused(format!("{record} {state} {key:?}")));
    }
    list.retain(|existing| *existing != digest);
    if granted {
        list.push(digest);
    }
    *keys = Value::from(list);
    Ok(())
}
