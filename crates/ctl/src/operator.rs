//! Carries out operators' changes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use serde_json::{Map, Value};
use wagtail_config::{Acceptance, HostStatus, RawRecord, RecordKey, View};
use wagtail_store::{Change, CommitError, Committed, Platform, commit, load_config};
use wagtail_types::{Epoch, HostId, KeyDigest, TeamId, ZoneId};

use crate::{CtlError, DrainSpec, MoveSpec, watch};

/// Settings of an [`Operator`].
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Entry hosts to ask; empty to take those of the configuration.
    pub entries: Vec<SocketAddr>,
    /// How long to wait for a change to be accepted.
    pub wait: Duration,
    /// The epoch that changes are made from; a record changed since is not overwritten.
    pub made_at: Option<Epoch>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            wait: Duration::from_secs(10),
            made_at: None,
        }
    }
}

/// How far a change has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether it is in force everywhere that matters.
    pub acceptance: Acceptance,
    /// Whether any entry host could be asked.
    pub answered: bool,
    /// The zones that entry hosts stand in.
    pub zones: BTreeSet<ZoneId>,
    /// The entry hosts of the configuration.
    pub hosts: BTreeSet<HostId>,
}

/// An operator's hold on the configuration.
pub struct Operator {
    platform: Arc<dyn Platform>,
    settings: OperatorSettings,
    rng: StdRng,
}

impl Operator {
    /// An operator who works through `platform`. `rng` draws the attempt ids, so its seed must not
    /// repeat.
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
    /// Fails where the platform fails.
    pub async fn view(&self) -> Result<View, CtlError> {
        Ok(load_config(&*self.platform).await?)
    }

    /// Puts records in force, all at once.
    ///
    /// # Errors
    ///
    /// Fails where a record has a fault or was raced, or the platform fails.
    pub async fn put(&mut self, records: Vec<RawRecord>) -> Result<Outcome, CtlError> {
        self.commit(|_| {
            Ok(Change {
                put: records.clone(),
                ..Change::default()
            })
        })
        .await
    }

    /// Changes fields of one record; `null` removes a field.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and where there is no such record.
    pub async fn change(
        &mut self,
        key: &RecordKey,
        fields: &Map<String, Value>,
    ) -> Result<Outcome, CtlError> {
        self.commit(|view| {
            let mut raw = held(view, key)?;
            for (field, value) in fields {
                set(&mut raw.body, field, value);
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
    /// Fails as [`put`](Self::put) does, and where there is no such record.
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
    /// Fails as [`put`](Self::put) does, and where the team has the key already.
    pub async fn grant(&mut self, team: &TeamId, key: KeyDigest) -> Result<Outcome, CtlError> {
        self.set_key(team, key, true).await
    }

    /// Withdraws a key from a team.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does, and where the team has no such key.
    pub async fn revoke(&mut self, team: &TeamId, key: KeyDigest) -> Result<Outcome, CtlError> {
        self.set_key(team, key, false).await
    }

    /// Starts a drain.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    pub async fn drain(&mut self, spec: &DrainSpec) -> Result<Outcome, CtlError> {
        let raw = spec.raw().map_err(|e| CtlError::Usage(e.to_string()))?;
        self.put(vec![raw]).await
    }

    /// Starts or changes a move.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    pub async fn shift(&mut self, spec: &MoveSpec) -> Result<Outcome, CtlError> {
        let raw = spec.raw().map_err(|e| CtlError::Usage(e.to_string()))?;
        self.put(vec![raw]).await
    }

    /// Asks entry hosts, in turn, for what they know; the answer of the first that gives one.
    ///
    /// # Errors
    ///
    /// Fails where none answers.
    pub async fn status(&self) -> Result<HostStatus, CtlError> {
        let entries = if self.settings.entries.is_empty() {
            entries(&self.view().await?)
        } else {
            self.settings.entries.clone()
        };
        let mut last = CtlError::Missing("no entry host is known".to_owned());
        for entry in entries {
            match watch::ask(entry).await {
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
            let mut raw = held(view, &record)?;
            set_digest(&mut raw, &record, key, granted)?;
            Ok(Change {
                put: vec![raw],
                ..Change::default()
            })
        })
        .await
    }

    async fn commit(
        &mut self,
        mut make: impl FnMut(&View) -> Result<Change, CommitError> + Send,
    ) -> Result<Outcome, CtlError> {
        let made_at = self.settings.made_at;
        let make = |view: &View| {
            Ok(Change {
                made_at,
                ..make(view)?
            })
        };
        let Committed { epoch, view } = commit(&*self.platform, &mut self.rng, make).await?;
        let own = &self.settings.entries;
        let entries = if own.is_empty() {
            entries(&view)
        } else {
            own.clone()
        };
        let watched = watch::wait(&view, &entries, self.settings.wait).await;
        Ok(Outcome {
            epoch,
            acceptance: watched.acceptance,
            answered: watched.answered,
            zones: view.hosts().values().map(|h| h.zone.clone()).collect(),
            hosts: view.hosts().keys().cloned().collect(),
        })
    }
}

fn entries(view: &View) -> Vec<SocketAddr> {
    view.hosts().values().map(|host| host.api).collect()
}

fn held(view: &View, key: &RecordKey) -> Result<RawRecord, CommitError> {
    let raw = view.row(key).and_then(|row| row.raw());
    raw.ok_or_else(|| CommitError::Refused(format!("there is no record {key}")))
}

fn set(body: &mut Value, field: &str, value: &Value) {
    let Some(fields) = body.as_object_mut() else {
        return;
    };
    if value.is_null() {
        fields.remove(field);
    } else {
        fields.insert(field.to_owned(), value.clone());
    }
}

fn set_digest(
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
    let has = list.contains(&digest);
    if has == granted {
        let state = if granted {
            "already has"
        } else {
            "does not have"
        };
        return Err(CommitError::Refused(format!("{record} {state} {key:?}")));
    }
    list.retain(|held| *held != digest);
    if granted {
        list.push(digest);
    }
    *keys = Value::from(list);
    Ok(())
}
