//! A deployment in one process: platform stand-in, endpoints and entry hosts on loopback.

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
    /// A socket could not be opened.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A host could not start or did not stop cleanly.
    #[display("{_0}")]
    Host(RunError),
    /// The settings of a host are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The records are incomplete or inconsistent.
    #[display("records: {_0}")]
    #[from(ignore)]
    Records(#[error(not(source))] String),
    /// The records could not be committed.
    #[display("commit: {_0}")]
    #[from(ignore)]
    Commit(#[error(not(source))] String),
}

/// Returns the SHA-256 digest under which a team record lists a key, in hexadecimal.
pub fn digest(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hex::encode(hash)
}

/// A running deployment: entry hosts and endpoints with a platform stand-in.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: platform::Running,
    /// The running endpoints by name.
    pub endpoints: BTreeMap<String, endpoint::Running>,
    /// The running entry hosts by name.
    pub hosts: BTreeMap<String, Running>,
    /// The records as last committed.
    pub records: Vec<RawRecord>,
}

/// A function that returns the settings of an endpoint, given its name and service.
pub type EndpointSettings<'a> = &'a dyn Fn(&str, &str) -> endpoint::Settings;

impl Fleet {
    /// Starts every host and endpoint in `records`; their addresses are replaced by the loopback
    /// addresses that the operating system assigns.
    ///
    /// # Errors
    ///
    /// Returns an error if a host or an endpoint cannot start or the records are inconsistent.
    pub async fn start(
        records: Vec<RawRecord>,
        endpoints: EndpointSettings<'_>,
        options: &dyn Fn(&str) -> Options,
        flags: &[(&str, &str)],
    ) -> Result<Self, FleetError> {
        let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
        Self::start_with_platform(platform, records, endpoints, options, flags).await
    }

    /// Does the same as [`Fleet::start`] with a platform stand-in that is already running.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Fleet::start`].
    pub async fn start_with_platform(
        platform: platform::Running,
        mut records: Vec<RawRecord>,
        endpoints: EndpointSettings<'_>,
        options: &dyn Fn(&str) -> Options,
        flags: &[(&str, &str)],
    ) -> Result<Self, FleetError> {
        let mut running = BTreeMap::new();
        for record in records.iter_mut().filter(|r| r.kind == "endpoint") {
            let service = string_field(&record.body, "service")?;
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
        validate(&records)?;
        let mut fleet = Self {
            platform,
            endpoints: running,
            hosts: BTreeMap::new(),
            records,
        };
        fleet.commit(fleet.records.clone()).await?;
        for (name, host) in bound {
            fleet.hosts.insert(name, host.serve().await?);
        }
        Ok(fleet)
    }

    /// Returns the address at which a host takes requests.
    pub fn addr(&self, host: &str) -> Option<SocketAddr> {
        self.hosts.get(host).map(Running::addr)
    }

    /// Returns the record with this kind and name.
    pub fn record(&self, kind: &str, name: &str) -> Option<RawRecord> {
        self.records
            .iter()
            .find(|r| r.kind == kind && r.name == name)
            .cloned()
    }

    /// Stops every host gracefully, then the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a host did not stop cleanly, for example because it cut off requests.
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
        .map(|r| Ok((r.name.clone(), string_field(&r.body, "region")?)))
        .collect::<Result<_, FleetError>>()?;
    let count = records
        .iter()
        .filter(|r| r.kind == "host")
        .count()
        .to_string();
    let mut bound = Vec::new();
    for record in records.iter_mut().filter(|r| r.kind == "host") {
        let zone = string_field(&record.body, "zone")?;
        let region = regions
            .get(&zone)
            .ok_or_else(|| FleetError::Records(format!("zone {zone} does not exist")))?;
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
                return Err(FleetError::Records(
                    "the flags of the host do not start a host".to_owned(),
                ));
            }
        };
        let host = wagtail_entryd::bind(settings, options(&record.name)).await?;
        let peer = host
            .peer_addr()
            .ok_or_else(|| FleetError::Records("the host has no peer address".into()))?;
        record.body["api"] = json!(host.addr());
        record.body["peer"] = json!(peer);
        bound.push((record.name.clone(), host));
    }
    Ok(bound)
}

/// Checks that the records are consistent, as the operator's tool does.
fn validate(records: &[RawRecord]) -> Result<(), FleetError> {
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

fn string_field(body: &Value, field: &str) -> Result<String, FleetError> {
    let value = body[field].as_str();
    value
        .map(ToOwned::to_owned)
        .ok_or_else(|| FleetError::Records(format!("field {field} is missing")))
}

/// Returns default options with the given logger, for any host.
pub fn default_options(log: &Logger) -> impl Fn(&str) -> Options {
    let log = Arc::new(log.clone());
    move |_| Options::new((*log).clone())
}

impl Fleet {
    /// Commits records; a record replaces an earlier one of the same kind and name. Returns the epoch
    /// of the commit.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not accept them.
    pub async fn commit(
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
