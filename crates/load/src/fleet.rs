//! A whole deployment in one process: platform stand-in, endpoints and entry hosts on loopback.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use derive_more::{Display, Error, From};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use slog::Logger;
use wagtail_config::{RawRecord, View};
use wagtail_entryd::{Action, Bound, Options, RunError, Running, SettingsError, from_env};
use wagtail_standin::{endpoint, platform};

const SECRET: &str = "a secret for one process only";

/// Why a fleet could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A socket could not be had.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A host could not start or stop.
    #[display("{_0}")]
    Host(RunError),
    /// A host's settings are wrong.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The records are not what a fleet needs.
    #[display("records: {_0}")]
    #[from(ignore)]
    Records(#[error(not(source))] String),
    /// The records could not be committed.
    #[display("commit: {_0}")]
    #[from(ignore)]
    Commit(#[error(not(source))] String),
}

/// The digest under which a key stands in a team record.
pub fn digest(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hex::encode(hash)
}

/// A running deployment.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: platform::Running,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, endpoint::Running>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, Running>,
    /// The records as committed.
    pub records: Vec<RawRecord>,
}

/// How a fleet's endpoints behave; called with each endpoint's name and service.
pub type EndpointSettings<'a> = &'a dyn Fn(&str, &str) -> endpoint::Settings;

impl Fleet {
    /// Starts everything that `records` name; the addresses in them are replaced by those that the
    /// system gives out.
    ///
    /// # Errors
    ///
    /// Fails where a part cannot start or the records do not fit together.
    pub async fn start(
        records: Vec<RawRecord>,
        endpoints: EndpointSettings<'_>,
        options: &dyn Fn(&str) -> Options,
        flags: &[(&str, &str)],
    ) -> Result<Self, FleetError> {
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
        Self::start_on(platform, records, endpoints, options, flags).await
    }

    /// As [`Fleet::start`], with a platform that runs already.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub async fn start_on(
        platform: platform::Running,
        mut records: Vec<RawRecord>,
        endpoints: EndpointSettings<'_>,
        options: &dyn Fn(&str) -> Options,
        flags: &[(&str, &str)],
    ) -> Result<Self, FleetError> {
        let mut running = BTreeMap::new();
        for record in records.iter_mut().filter(|r| r.kind == "endpoint") {
            let service = text(&record.body, "service")?;
            let slots = record.body["slots"].as_u64().unwrap_or(1);
            let settings = endpoint::Settings {
                slots: usize::try_from(slots).unwrap_or(1),
                ..endpoints(&record.name, &service)
            };
            let endpoint = endpoint::start(settings).await?;
            record.body["addr"] = json!(endpoint.addr());
            running.insert(record.name.clone(), endpoint);
        }
        let bound = bind_all(&mut records, &platform, options, flags).await?;
        check(&records)?;
        let mut fleet = Self {
            platform,
            endpoints: running,
            hosts: BTreeMap::new(),
            records,
        };
        fleet.put(fleet.records.clone()).await?;
        for (name, host) in bound {
            fleet.hosts.insert(name, host.serve().await);
        }
        Ok(fleet)
    }

    /// The address for callers of one host.
    pub fn addr(&self, host: &str) -> Option<SocketAddr> {
        self.hosts.get(host).map(Running::addr)
    }

    /// The record of a kind and name.
    pub fn record(&self, kind: &str, name: &str) -> Option<RawRecord> {
        self.records
            .iter()
            .find(|r| r.kind == kind && r.name == name)
            .cloned()
    }

    /// Stops every host gracefully and ends the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails where a host cut requests off.
    pub async fn stop(self) -> Result<(), FleetError> {
        let stops: Vec<_> = self
            .hosts
            .into_values()
            .map(|h| tokio::spawn(h.stop()))
            .collect();
        let mut result = Ok(());
        for stop in stops {
            if let Ok(Err(error)) = stop.await {
                result = Err(error.into());
            }
        }
        for endpoint in self.endpoints.into_values() {
            endpoint.stop().await;
        }
        self.platform.stop();
        result
    }
}

async fn bind_all(
    records: &mut [RawRecord],
    platform: &platform::Running,
    options: &dyn Fn(&str) -> Options,
    flags: &[(&str, &str)],
) -> Result<Vec<(String, Bound)>, FleetError> {
    let regions: BTreeMap<String, String> = records
        .iter()
        .filter(|r| r.kind == "zone")
        .map(|r| Ok((r.name.clone(), text(&r.body, "region")?)))
        .collect::<Result<_, FleetError>>()?;
    let count = records
        .iter()
        .filter(|r| r.kind == "host")
        .count()
        .to_string();
    let mut bound = Vec::new();
    for record in records.iter_mut().filter(|r| r.kind == "host") {
        let zone = text(&record.body, "zone")?;
        let region = regions
            .get(&zone)
            .ok_or_else(|| FleetError::Records(format!("zone {zone} is not there")))?;
        let addr = platform.addr.to_string();
        let mut args: Vec<String> = Vec::new();
        let own = [
            ("host", record.name.as_str()),
            ("zone", &zone),
            ("region", region),
            ("platform", &addr),
            ("fleet-secret", SECRET),
            ("fleet-size", &count),
        ];
        for (name, value) in own.iter().chain(flags) {
            args.extend([format!("--{name}"), (*value).to_owned()]);
        }
        let settings = match from_env(args.into_iter().map(Into::into), [])? {
            Action::Run(settings) => *settings,
            Action::Check(_) | Action::Help => {
                return Err(FleetError::Records("a flag asks for no host".to_owned()));
            }
        };
        let host = wagtail_entryd::bind(settings, options(&record.name)).await?;
        let peer = host
            .peer_addr()
            .ok_or_else(|| FleetError::Records("no peer address".into()))?;
        record.body["api"] = json!(host.addr());
        record.body["peer"] = json!(peer);
        bound.push((record.name.clone(), host));
    }
    Ok(bound)
}

/// Checks that the records fit together, as the operators' tool would.
fn check(records: &[RawRecord]) -> Result<(), FleetError> {
    let epoch = wagtail_types::Epoch(1);
    let rows = records.iter().map(|r| wagtail_config::Row::put(r, epoch));
    let rows = rows
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| FleetError::Records(e.to_string()))?;
    let view = View::empty().apply(epoch, rows);
    match view.issues().first() {
        None => Ok(()),
        Some(issue) => Err(FleetError::Records(issue.to_string())),
    }
}

fn text(body: &Value, field: &str) -> Result<String, FleetError> {
    let value = body[field].as_str();
    value
        .map(ToOwned::to_owned)
        .ok_or_else(|| FleetError::Records(format!("{field} is missing")))
}

/// Options with the given logger and the defaults.
pub fn plain(log: &Logger) -> impl Fn(&str) -> Options {
    let log = Arc::new(log.clone());
    move |_| Options::new((*log).clone())
}

impl Fleet {
    /// Commits records; later calls replace those of the same kind and name.
    ///
    /// # Errors
    ///
    /// Fails where the platform does not take them.
    pub async fn put(
        &mut self,
        records: Vec<RawRecord>,
    ) -> Result<wagtail_types::Epoch, FleetError> {
        use wagtail_config::{Head, Row};
        use wagtail_store::{HttpClient, HttpSettings, RowKey, Table, Txn, Write};
        let fail = |e: &dyn std::error::Error| FleetError::Commit(e.to_string());
        let client = HttpClient::new(HttpSettings::new(self.platform.addr));
        let key = RowKey::new("head", "config");
        let old = client.read(&key).await.map_err(|e| fail(&e))?;
        let mut head: Head = match &old {
            Some(row) => serde_json::from_str(&row.value).map_err(|e| fail(&e))?,
            None => Head::default(),
        };
        head.epoch = head.epoch.next();
        let attempt = wagtail_types::AttemptId::random(
            &mut <rand::rngs::SmallRng as rand::SeedableRng>::from_os_rng(),
        );
        let text = serde_json::to_string(&head).map_err(|e| fail(&e))?;
        let mut txn = Txn::new(attempt)
            .check(key.clone(), old.map(|r| r.version))
            .write(Write::put(key, &text));
        for raw in &records {
            let row = Row::put(raw, head.epoch).map_err(|e| fail(&e))?;
            let text = serde_json::to_string(&row).map_err(|e| fail(&e))?;
            let key = RowKey::new("config", &row.key.to_string());
            txn = txn.write(Write::put(key, &text).mark(head.epoch.0));
        }
        client.transact(&txn).await.map_err(|e| fail(&e))?;
        for raw in records {
            self.records
                .retain(|r| (&r.kind, &r.name) != (&raw.kind, &raw.name));
            self.records.push(raw);
        }
        Ok(head.epoch)
    }
}
